package pool

import (
	"cmp"
	"slices"
	"time"
)

// vanishedGrace is how long after a worker's last answer about a run the run may still be
// missing from the worker's list.
const vanishedGrace = 300 * time.Millisecond

type runKey struct {
	task TaskID
	run  int
}

type phase int

const (
	starting phase = iota // sent, not answered yet
	running
	unconfirmed // sent, and the call failed without an answer
	planned     // not sent yet, see planRun
)

// run is one start of a task on a worker. It takes up resources from the moment the start is
// decided until its end is listed, or until it is certain that it can't exist any more.
type run struct {
	task       *task
	number     int
	worker     *worker
	need       Resources
	priority   int // of its queue when it was started or adopted
	phase      phase
	startsSent int
	// unansweredAt is when a start of it was last found to have no answer; 0: never.
	unansweredAt time.Duration
	// inFlight is set while a start is on its way and has no answer.
	inFlight bool
	// record is the record of starts that names it; nil: it needs none any more.
	record *startRecord
	ticket string
	// planSave is the save after which a planned run is started, plannedFor the worker's incarnation
	// when it was planned.
	planSave uint64
	// sendUntil is until when its starts may leave, see startTTL; 0: it isn't recorded.
	sendUntil  time.Duration
	inProgress bool // its job's progress names it
	plannedFor int64
	answeredAt time.Duration // when it was sent, or when the worker last answered about it
	// startedAt is when it was first sent, or adopted from a predecessor.
	startedAt time.Duration
	adopted   bool // started by a predecessor
	// quarantined is set if nothing else was started on the worker shortly before.
	quarantined bool
	// stopping is set once the run must end. stopSentAt is when the stop was last sent,
	// stopConfirmedAt when the worker confirmed it.
	stopping        bool
	stopSentAt      time.Duration
	stopConfirmedAt time.Duration
	percent         int
	usage           int
	// progressAt is when percent last changed.
	progressAt time.Duration
	listedIn   int  // the worker's newest list of runs that includes it, see worker.lists
	resumed    bool // from a checkpoint, so its duration tells little about the task's
	pace       int  // of a best-effort task, in percent
	// former is set if the run may have been lost with the worker's former incarnation, which is known
	// only once the present one has listed all its ends.
	former *formerRun
	// migrationBooking is the booking for its task on another worker, to be used once this run
	// has stopped.
	migrationBooking *booking
}

// syncActiveRuns takes over the runs that a worker reports. It adopts those of a predecessor
// and stops those that aren't wanted.
func (c *Core) syncActiveRuns(w *worker, e HoldAnswered) {
	w.lists++
	for _, a := range e.Active {
		r := w.runs[runKey{a.Task, a.Run}]
		if r == nil {
			r = c.adopt(w, a)
		}
		r.listedIn, r.former = w.lists, nil
		if r.phase != running {
			c.confirmRun(r)
			r.answeredAt = c.now
		}
		c.recordProgress(r, a.Percent)
		r.usage = a.Usage
		if a.Checkpoint != "" && r.task != nil {
			r.task.takeCheckpoint(r, a.Checkpoint)
		}
	}
}

// confirmRun notes that the worker has the run. If workers have crashed under its task, a successor must
// know that.
func (c *Core) confirmRun(r *run) {
	r.phase = running
	if len(r.task.crashes) > 0 {
		c.markDirty(r.task.step.job)
	}
}

func (c *Core) adopt(w *worker, a ActiveRun) *run {
	// Its pace is unknown and left at 0, so that adjustPace sets it. Its duration is unknown
	// too, as that of a resumed run.
	r := &run{number: a.Run, worker: w, phase: running, answeredAt: c.now, startedAt: c.now, adopted: true, resumed: true}
	t := c.reportedTask(a.Task)
	if t == nil {
		t = c.finishedTask(a.Task)
	}
	if t == nil {
		// The task is unknown, so it must not run. Its resources are unknown too: until it
		// has stopped, the worker counts as full.
		t = &task{step: &step{id: StepID{a.Task.Job, a.Task.K, a.Task.Step}, spec: &StepSpec{}, job: &job{state: Cancelled}}, ordinal: a.Task.Ordinal, done: true}
	}
	if t.run != nil && t.run.phase == planned && !t.done {
		c.dropPlanned(t.run)
	}
	r.task = t
	r.need = t.step.spec.Reserved()
	if r.isOrphan() {
		r.need = w.Capacity
		c.orphans++
	}
	c.addRun(r)
	if t.done || t.step.job.state.Ended() || (t.run != nil && !c.adoptsCopy(t, r)) {
		c.logRun("run.unwanted", r, "its task is unknown, done or has another run")
		if t.run != nil {
			c.surplusRuns[t] = append(c.surplusRuns[t], r)
		}
		c.stop(r, "unwanted")
		return r
	}
	if t.run == nil {
		t.run = r
	} else {
		t.copy = r
	}
	t.lastRun = max(t.lastRun, a.Run)
	t.step.gangRun = max(t.step.gangRun, a.Run)
	c.markBegun(t.step.job)
	c.confirmRun(r)
	c.logRun("run.adopted", r, "")
	return r
}

// isOrphan reports whether the run's task is unknown to this owner.
func (r *run) isOrphan() bool { return r.task.step.occ == nil }

func (c *Core) addRun(r *run) {
	w := r.worker
	w.runs[runKey{r.task.id(), r.number}] = r
	w.sorted = nil
	w.used = w.used.Plus(r.need)
	c.freeChanged(w)
	r.priority = c.policy(r.task.step).Priority
	c.countUse(r, 1)
	c.countStart(r.task.step)
	if r.adopted && r.task.step.occ != nil {
		r.task.step.occ.started = true
	}
	r.task.step.job.runs++
	if r.task.step.spec.permitsCopies() {
		c.copies.candidates = append(c.copies.candidates, r)
	}
	if r.task.step.spec.LongRunning {
		w.longRunning = w.longRunning.Plus(r.need)
	}
	if r.task.step.spec.Fills {
		w.bestEffortRuns++
	}
	if r.task.step.spec.TargetMs > 0 {
		w.servingRuns++
	}
}

// removeRun removes a run that doesn't exist any more and frees its resources.
func (c *Core) removeRun(r *run) {
	w := r.worker
	key := runKey{r.task.id(), r.number}
	if w.runs[key] != r {
		return
	}
	delete(w.runs, key)
	w.sorted = nil
	c.keepLateStart(r)
	if r.isOrphan() {
		c.orphans--
	}
	c.releaseMigrationBooking(r)
	w.used = w.used.Minus(r.need)
	c.freeChanged(w)
	c.countUse(r, -1)
	r.task.step.job.runs--
	if r.task.step.spec.LongRunning {
		w.longRunning = w.longRunning.Minus(r.need)
	}
	if r.task.step.spec.Fills {
		w.bestEffortRuns--
	}
	if r.task.step.spec.TargetMs > 0 {
		w.servingRuns--
	}
	if c.dropRun(r.task, r) {
		c.mayWait(r.task.step)
	}
	c.replan = true
}

// removeVanishedRuns removes runs that a worker lists neither as active nor as ended. It does
// nothing if an entry is unreadable: any run could be the one in that entry, and treating it as
// vanished would start its task a second time.
func (c *Core) removeVanishedRuns(w *worker, e HoldAnswered) {
	if e.Truncated || e.Unreadable != nil {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.listedIn == w.lists || r.phase == starting || r.phase == planned {
			continue
		}
		if r.phase == unconfirmed {
			// The start may still arrive. Only a confirmed stop rules that out.
			c.stop(r, "start without an answer")
			if r.stopConfirmedAt == 0 || e.SentAt < r.stopConfirmedAt+c.settings.StopTimeout {
				continue
			}
		} else if e.SentAt < r.answeredAt+vanishedGrace || (r.stopping && e.SentAt < max(r.stopConfirmedAt, r.answeredAt)+c.settings.StopTimeout) {
			continue
		}
		if f := r.former; f != nil {
			c.recordCrash(f.worker, f.lost, c.isOutage(f.worker, false) && c.excuses(f.worker, f.lost))
		}
		c.logRun("run.vanished", r, "the worker neither runs it nor lists its end")
		c.removeRun(r)
	}
}

// expiredRuns returns the runs of a worker whose lease has expired, without those that a late start may yet
// bring to life, or may renew.
func (c *Core) expiredRuns(w *worker) []*run {
	return slices.DeleteFunc(slices.Clone(w.sortedRuns()), func(r *run) bool { return c.mayStartLate(r) || c.mayBeRenewedLate(r) })
}

// loseRuns removes runs that have ended with their worker or its lease.
func (c *Core) loseRuns(w *worker, runs []*run, reason string) {
	for _, r := range runs {
		if r.phase == planned {
			c.dropPlanned(r)
			continue
		}
		c.logLostRun(r, reason)
		c.removeRun(r)
	}
	if w.silent {
		c.queueSilenceRecord(w) // these don't run there any more
	}
}

// sortedRuns returns the worker's runs in a deterministic order.
// The list is kept until the runs change, since each tick and each answered hold goes over the runs. The
// caller must not modify it, but may add and remove runs while it goes over it.
func (w *worker) sortedRuns() []*run {
	if w.sorted != nil {
		return w.sorted
	}
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(compareTasks(a.task.id(), b.task.id()), cmp.Compare(a.number, b.number))
	})
	w.sorted = list
	return list
}
