package pool

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// A task may crash each worker that starts it, and with the worker all other tasks there. Nothing
// that the worker lists shows it: the run just disappears with the worker. So the owner counts, for
// each task, the workers that crashed in a row while the task ran on them. Tasks that only ran
// beside the cause are counted too at first. From the second crash on, a task is quarantined: it
// runs in isolation: on a worker on which nothing else was started recently, and nothing else is
// started until the run has proven itself. If that worker crashes as well, the task is given up.
//
// A rack or an availability zone that loses power crashes many workers at once. A task isn't blamed
// for the first outages under it, and an outage is never the reason to give it up. Later outages do
// count, since the many tasks of a job may all crash their workers at the same time. So does a crash
// right after the task's start: an outage hits a task at any age.
const (
	// quarantineAfter is the number of blamed crashes in a row after which a task is quarantined.
	quarantineAfter = 2
	// maxCrashes is the number of crashes in a row after which a task is given up even if none
	// happened in isolation: late crashes, and those of workers that never answered a start. At least
	// minSingleCrashes of them must not have been part of an outage. A crash that a predecessor may
	// not have counted is included.
	maxCrashes       = 5
	minSingleCrashes = 3
	// minProvenLife is how long a run must be active before it proves that its task doesn't crash
	// workers. It must also be active for provenLifeFactor times as long as any run of the task
	// that ended in a crash.
	minProvenLife    = 3 * time.Second
	provenLifeFactor = 2
	// earlyLife is how long after its start a run is last listed at most if its task crashes workers
	// at its start.
	earlyLife = 100 * time.Millisecond
	// unknownLife is for how long a predecessor's run is taken to have been active before it was
	// adopted.
	unknownLife = minProvenLife
	// maxBlamedLife is how long a run is active at most for its task to be blamed for a crash.
	maxBlamedLife = time.Minute
	// excusedOutages is the number of outages in a row for which a task isn't blamed.
	excusedOutages = 1
	// crashMemory is how long crashes of workers are remembered to recognize outages, and to
	// retract them if a worker turns out to be alive.
	crashMemory = time.Minute
)

// Crash is the crash of a worker while it ran a task.
type Crash struct {
	Worker string `json:"w"`
	// Born is the incarnation that crashed; 0: unknown.
	Born int64 `json:"b,omitempty"`
	// Run is the number of the task's run; 0 if it is known only from a predecessor's silence
	// record.
	Run int `json:"r,omitempty"`
	// LivedMs is how long the run was known to be active, in milliseconds.
	LivedMs int64 `json:"l,omitempty"`
	// Early is set if the worker crashed right after it had confirmed the run's start.
	Early bool `json:"e,omitempty"`
	// Outage is set if many other workers crashed at the same time, and the crash wasn't early.
	Outage bool `json:"o,omitempty"`
	// Doubtful is set if it is unknown whether the worker ever got the run's start. The task isn't
	// blamed for such a crash.
	Doubtful bool `json:"d,omitempty"`
	// Isolated is set if the worker was isolated for the task, so that no other task can be the
	// cause, and is known to have crashed. The last crash before a task is given up needs no proof
	// that the worker wasn't only unreachable.
	Isolated bool `json:"i,omitempty"`
}

// outages returns the number of a task's crashes that were part of an outage.
func (t *task) outages() int {
	n := 0
	for _, x := range t.crashes {
		if x.Outage {
			n++
		}
	}
	return n
}

// blame returns how many of a task's crashes count against it.
func (t *task) blame() int {
	certain, outages := 0, 0
	for _, x := range t.crashes {
		if x.Doubtful {
			continue
		}
		certain++
		if x.Outage {
			outages++
		}
	}
	return certain - min(outages, excusedOutages)
}

// lostRun is a run that ended with its worker.
type lostRun struct {
	task   *task
	number int
	lived  time.Duration
	// running is set if the worker confirmed the start.
	running bool
	// doubtful is set if it may never have got the start.
	doubtful bool
	// isolated is set if the run was quarantined and the worker fell silent while it was isolated
	// for the run, so that only this run can be the cause.
	isolated bool
}

// rememberLostRuns notes the runs of a worker that are lost. They count as crashes only once the
// worker is known to have crashed.
func (c *Core) rememberLostRuns(w *worker, runs []*run) {
	if !w.silent {
		w.silentSince = c.now
	}
	for _, r := range runs {
		if r.countsIfLost() {
			w.lost = append(w.lost, w.lostRun(r))
		}
	}
}

// countsIfLost reports whether the run's loss with its worker may say something about its task.
func (r *run) countsIfLost() bool { return !r.isOrphan() && r.phase != planned && !r.endsByStop() }

// lostRun returns the run as lost when the worker fell silent.
func (w *worker) lostRun(r *run) lostRun {
	lived := max(0, w.answeredAt-r.startedAt)
	if r.adopted {
		lived += unknownLife
	}
	return lostRun{task: r.task, number: r.number, lived: lived,
		running: r.phase == running, doubtful: r.phase != running, isolated: r.quarantined && r.startedAt >= w.isolation.since && w.isolation.isActive(w.silentSince)}
}

// endsByStop reports whether the run was active and must end, so that its end says nothing about the task.
func (r *run) endsByStop() bool { return r.stopping && r.phase == running }

// workerCrashed counts a crash for the tasks that ran on the worker. A worker that drains, or whose
// machine is in maintenance, ends as planned.
func (c *Core) workerCrashed(w *worker, confirmed bool) {
	lost := w.takeLostRuns()
	if w.Draining || w.inMaintenance {
		return
	}
	if w.mayHaveRunUnknownTasks() {
		c.uncountedCrashes++
	}
	crash := w.crash(confirmed)
	outage := w.hasKnownSilence() && c.isOutage(crash, false)
	isolated := slices.ContainsFunc(lost, func(l lostRun) bool { return l.isolated })
	// The list of workers may still name a worker that has ended, so that it ends again. A new
	// owner doesn't know when a worker ended that has never answered it.
	if w.hasKnownSilence() && !slices.ContainsFunc(c.crashedWorkers, func(x crashedWorker) bool { return x.id == w.ID && x.born == w.incarnation }) {
		c.crashedWorkers = append(c.crashedWorkers, crash)
	}
	if len(lost) == 0 {
		return
	}
	reason := "it ran tasks"
	switch {
	case outage:
		reason = "other workers crashed at the same time"
	case isolated:
		reason = "it ran a quarantined task"
	}
	c.emit(LogEntry{Event: "worker.crashed", Worker: w.ID, Runs: len(lost), Reason: reason})
	for _, l := range lost {
		if !isolated || l.isolated {
			c.recordCrash(crash, l, outage && c.excuses(crash, l))
		}
	}
}

// crash describes the crash of the worker's incarnation.
func (w *worker) crash(confirmed bool) crashedWorker {
	return crashedWorker{id: w.ID, born: w.incarnation, rack: w.Rack, at: w.silentSince, explained: w.fellSilentInIsolation(), confirmed: confirmed}
}

// excuses reports whether the outage of which a crash was part excuses the task of a lost run.
func (c *Core) excuses(crash crashedWorker, l lostRun) bool {
	return !l.task.onLastStart() || c.isOutage(crash, true)
}

// recordCrash counts a crash for one task. If the task seems to be the cause, it is given up once a
// crash of other workers at the same time would have been noticed too.
func (c *Core) recordCrash(w crashedWorker, l lostRun, outage bool) {
	t := l.task
	if t.done || t.step.job.state.Ended() {
		return
	}
	wasQuarantined := t.isQuarantined()
	// An unconfirmed run may outlast several incarnations of its worker.
	isKnown := func(x Crash) bool { return w.isSameCrash(x) || (l.number != 0 && x.Run == l.number) }
	if i := slices.IndexFunc(t.crashes, isKnown); i >= 0 {
		if t.crashes[i].Doubtful && !l.doubtful {
			t.crashes = slices.Clone(t.crashes)
			t.crashes[i].Doubtful = false
			c.crashesChanged(t, wasQuarantined)
		}
		return
	}
	if l.lived >= maxBlamedLife {
		c.clearCrashes(t)
		return
	}
	early := l.running && l.lived <= earlyLife
	t.crashes = append(t.crashes, Crash{Worker: w.id, Born: w.born, Run: l.number, LivedMs: l.lived.Milliseconds(), Early: early, Outage: outage && !early, Doubtful: l.doubtful,
		Isolated: l.isolated && l.running && !outage && (w.confirmed || t.onLastStart())})
	t.dropOldOutages()
	t.crashedAt = c.now
	c.suspects[t] = true
	c.crashesChanged(t, wasQuarantined)
	if t.isCause() {
		t.awaitsVerdict = true
		c.verdicts = append(c.verdicts, verdict{task: t, worker: w, at: c.now + outageWindow})
	}
}

// dropOldOutages limits the number of a task's crashes: many outages in a row tell no more about the task than
// a few. Others than outages are few, as the task is given up.
func (t *task) dropOldOutages() {
	for len(t.crashes) > maxKeptCrashes {
		i := slices.IndexFunc(t.crashes, func(x Crash) bool { return x.Outage })
		if i < 0 {
			return
		}
		t.crashes = slices.Delete(slices.Clone(t.crashes), i, i+1)
	}
}

// crashesChanged makes the next save hold the task's crashes, and quarantines the task if they ask for it.
func (c *Core) crashesChanged(t *task, wasQuarantined bool) {
	c.markDirty(t.step.job)
	switch isQuarantined := t.isQuarantined(); {
	case isQuarantined && !wasQuarantined:
		t.step.quarantined++
		c.logTask("task.quarantined", t, t.crashReason())
	case wasQuarantined && !isQuarantined:
		t.step.quarantined--
	}
}

// isSameCrash reports whether a counted crash is that of this worker. The list of workers may still name
// a worker that has ended, and a successor then doesn't know its incarnation.
func (w crashedWorker) isSameCrash(x Crash) bool {
	return x.Worker == w.id && (x.Born == w.born || x.Born == 0 || w.born == 0)
}

// verdict is the pending decision whether a task is given up after a crash.
type verdict struct {
	task   *task
	worker crashedWorker
	at     time.Duration
	// inherited is set if a predecessor noticed the crash.
	inherited bool
}

// wasOutage reports whether the worker's crash was part of an outage. If a predecessor ended before it could
// tell, other workers that were lost at the takeover show it.
func (c *Core) wasOutage(v verdict) bool {
	if v.inherited {
		return c.workersLostAtTakeover() >= outageWorkers-1
	}
	return c.isOutage(v.worker, v.task.possibleCrashes() >= maxCrashes)
}

// reachVerdicts gives up the tasks whose last crash wasn't part of an outage.
func (c *Core) reachVerdicts() {
	for len(c.verdicts) > 0 && c.now >= c.verdicts[0].at {
		v := c.verdicts[0]
		if v.inherited && !c.takeoverComplete() {
			return
		}
		c.verdicts = c.verdicts[1:]
		t := v.task
		t.awaitsVerdict = false
		c.mayWait(t.step)
		if len(t.crashes) == 0 || !t.isCause() {
			continue // a run has proven itself, or the worker has turned out to be alive
		}
		if c.wasOutage(v) {
			wasQuarantined, last := t.isQuarantined(), &t.crashes[len(t.crashes)-1]
			last.Outage, last.Isolated = !last.Early, false
			c.crashesChanged(t, wasQuarantined)
			if !t.isCause() {
				continue
			}
		}
		c.giveUp(t)
	}
}

// isCause reports whether the task is known to crash its workers: the last of them crashed in
// isolation, or so many crashed that no other cause is plausible.
func (t *task) isCause() bool {
	last := t.crashes[len(t.crashes)-1]
	return last.Isolated || (!last.Outage && t.hasCrashedTooOften())
}

// hasCrashedTooOften reports whether so many workers crashed under the task that it is given up.
func (t *task) hasCrashedTooOften() bool {
	return t.possibleCrashes() >= maxCrashes && len(t.crashes)-t.outages() >= minSingleCrashes
}

// crashesEarly reports whether a worker has crashed right after a start of the task.
func (t *task) crashesEarly() bool {
	return slices.ContainsFunc(t.crashes, func(x Crash) bool { return x.Early })
}

// isSuspect reports whether workers have, or may have, crashed under the task.
func (t *task) isSuspect() bool { return len(t.crashes) > 0 || t.uncounted }

// possibleCrashes returns how many workers may have crashed under the task.
func (t *task) possibleCrashes() int {
	if t.uncounted {
		return len(t.crashes) + 1
	}
	return len(t.crashes)
}

// onLastStart reports whether the task has no start left if its present run ends in a crash.
func (t *task) onLastStart() bool { return t.possibleCrashes() >= maxCrashes-1 }

// isQuarantined reports whether the task runs in isolation. Its last start before it is given up always
// does, so that it shows whether the task is the cause.
func (t *task) isQuarantined() bool { return t.blame() >= quarantineAfter || t.onLastStart() }

// crashReason describes the crashes under a task.
func (t *task) crashReason() string {
	var workers []string
	for _, x := range t.crashes {
		if x.Doubtful {
			x.Worker += " (start unconfirmed)"
		}
		workers = append(workers, x.Worker)
	}
	reason := fmt.Sprintf("%d workers crashed under it: %s", len(workers), strings.Join(workers, ", "))
	if t.uncounted {
		reason += ", and maybe one more under an earlier owner of the pool"
	}
	return reason
}

// GivenUp is the task because of which a job failed, and the crashes under it.
type GivenUp struct {
	K       int     `json:"k,omitempty"`
	Step    int     `json:"i,omitempty"`
	Ordinal int     `json:"o,omitempty"`
	Crashes []Crash `json:"x"`
	// Uncounted is set if an earlier owner may not have counted one more crash.
	Uncounted bool `json:"u,omitempty"`
}

// giveUp fails the job of a task that crashes its workers.
func (c *Core) giveUp(t *task) {
	j := t.step.job
	if j.state.Ended() {
		return
	}
	id := t.id()
	j.givenUp = &GivenUp{K: id.K, Step: id.Step, Ordinal: id.Ordinal, Crashes: t.crashes, Uncounted: t.uncounted}
	c.logTask("task.given_up", t, t.crashReason())
	c.failJob(j, fmt.Sprintf("task %d of step %d was given up, %s", id.Ordinal, id.Step, t.crashReason()))
}

// clearCrashes forgets a task's crashes, as a worker has survived a run of it.
func (c *Core) clearCrashes(t *task) {
	if !t.isSuspect() {
		return
	}
	if t.isQuarantined() {
		t.step.quarantined--
	}
	t.crashes, t.uncounted = nil, false
	delete(c.suspects, t)
	c.markDirty(t.step.job)
}

// restoreCrashes takes over the crashes that a predecessor has counted, and whether it may have missed
// one.
func (c *Core) restoreCrashes(t *task, crashes []Crash, uncounted bool) {
	if t.done {
		return
	}
	t.uncounted = uncounted
	if len(crashes) == 0 {
		return
	}
	t.crashes = crashes
	c.suspects[t] = true
	if t.isQuarantined() {
		t.step.quarantined++
	}
	switch last := crashes[len(crashes)-1]; {
	case t.hasCrashedTooOften():
		c.giveUp(t) // its predecessor ended before it could
	case last.Isolated:
		t.awaitsVerdict = true
		c.verdicts = append(c.verdicts, verdict{task: t, worker: crashedWorker{id: last.Worker, born: last.Born, at: c.now}, at: c.now + outageWindow, inherited: true})
	}
}

// suspectedRun returns the run that a successor has to count if its worker crashes, or none.
func (t *task) suspectedRun() Crash {
	if t.run != nil {
		return Crash{Worker: t.run.worker.ID, Born: t.run.worker.incarnation, Run: t.run.number, Doubtful: t.run.phase != running}
	}
	return t.inheritedRun
}

// replaceInheritedRun makes room for the next run of a task, since the store holds only one. The worker of
// the predecessor's run may still turn out to have crashed.
func (c *Core) replaceInheritedRun(t *task) {
	if t.inheritedRun.Worker == "" {
		return
	}
	wasQuarantined := t.isQuarantined()
	t.inheritedRun, t.uncounted = Crash{}, true
	c.crashesChanged(t, wasQuarantined)
}

// watchInheritedSuspects makes a crash count for a predecessor's run that its worker doesn't list
// any more because the worker has crashed. If the worker isn't known either, the predecessor has
// dealt with its end. It must be called after the stored records have arrived and before the first
// answer of a worker is handled.
func (c *Core) watchInheritedSuspects() {
	for _, t := range c.inheritedSuspects {
		run := t.inheritedRun
		w := c.workers[run.Worker]
		if w == nil || w.fenced {
			t.inheritedRun = Crash{}
			continue
		}
		w.incarnation = max(w.incarnation, run.Born)
		w.lost = append(w.lost, lostRun{task: t, number: run.Run, lived: unknownLife, doubtful: run.Doubtful})
	}
	c.inheritedSuspects = nil
}

// takeLostRuns returns and removes the runs that were lost with the worker if it has crashed. It is known
// now what has become of them.
func (w *worker) takeLostRuns() []lostRun {
	lost := w.lost
	w.lost = nil
	for _, l := range lost {
		if l.task.inheritedRun.Worker == w.ID {
			l.task.inheritedRun = Crash{}
		}
	}
	return lost
}

// clearProvenRuns forgets the crashes of tasks whose run on the worker has been active for long
// enough.
func (c *Core) clearProvenRuns(w *worker) {
	if len(c.suspects) == 0 {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.task.isSuspect() && r.phase == running && !r.stopping && r.isProven(c.now-r.startedAt) {
			c.clearCrashes(r.task)
		}
	}
}

// longestLife returns the longest time for which a run of the task was active before a crash.
func (t *task) longestLife() time.Duration {
	longest := int64(0)
	for _, x := range t.crashes {
		longest = max(longest, x.LivedMs)
	}
	return time.Duration(longest) * time.Millisecond
}

// isProven reports whether a run that has been active for the given time shows that its task
// doesn't crash its worker. Members of a gang do nothing before all are present.
func (r *run) isProven(lived time.Duration) bool {
	if r.task.step.spec.Gang && r.percent == 0 {
		return false
	}
	return lived >= maxBlamedLife || (lived >= minProvenLife && lived >= provenLifeFactor*r.task.longestLife())
}

// retractCrash undoes a crash that was assumed because the worker had neither reported nor answered
// for long: it was only unreachable.
func (c *Core) retractCrash(id string, born int64) {
	i := slices.IndexFunc(c.crashedWorkers, func(x crashedWorker) bool { return x.id == id && x.born == born && !x.confirmed })
	if i < 0 {
		return
	}
	c.crashedWorkers = slices.Delete(c.crashedWorkers, i, i+1)
	for t := range c.suspects {
		k := slices.IndexFunc(t.crashes, func(x Crash) bool { return x.Worker == id && x.Born == born })
		if k < 0 {
			continue
		}
		wasQuarantined := t.isQuarantined()
		t.crashes = slices.Delete(slices.Clone(t.crashes), k, k+1)
		if !t.isSuspect() {
			delete(c.suspects, t)
		}
		c.crashesChanged(t, wasQuarantined)
	}
}

// forgetCrashes drops crashes of workers that are too old to be part of an outage, and the suspects
// of ended jobs.
func (c *Core) forgetCrashes() {
	c.crashedWorkers = slices.DeleteFunc(c.crashedWorkers, func(x crashedWorker) bool { return c.now-x.at > crashMemory })
	for t := range c.suspects {
		if t.step.job.state.Ended() {
			delete(c.suspects, t)
		}
	}
}
