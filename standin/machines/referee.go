package machines

import (
	"fmt"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

// maxStartAfterCancel is how long after the acknowledgement of a cancellation tasks of the
// job may still be started.
const maxStartAfterCancel = 3 * time.Second

// maxReadLatency is the time within which an owner without faults has read an entry and has
// the answers to its earlier orders: it reads four times a second.
const maxReadLatency = time.Second

// readRecoveryTime is the time after a fault within which an owner has read everything
// written during the fault: a read that hung when the store stopped answering is abandoned
// after 3.2 s and retried within 0.4 s, and there may be a second page.
const readRecoveryTime = 5 * time.Second

// Referee checks the guarantees by what workers and callers observe.
type Referee struct {
	w        *World
	jobs     map[string]*jobRecord
	Findings []string
	// OrdersMayBeLost is set if orders may be lost or delayed: a gang that starts only in
	// part is no violation then.
	OrdersMayBeLost bool
	// caps are the caps of all versions of the configuration, oldest first.
	caps []capsOfVersion
	// lateStartsAfterEnd counts the starts of tasks whose end as done was acknowledged before, by late orders that
	// nothing could prevent.
	lateStartsAfterEnd int
	// startsAfterLapsedEnd counts the starts of tasks whose end as done was acknowledged before, but after the lease of
	// its worker had lapsed: such an end doesn't count as taken note of.
	startsAfterLapsedEnd int
}

type jobRecord struct {
	pool.Job
	attempts     int
	answered     int // submissions with an answer other than "not run"
	accepted     bool
	pendingTries int // submissions without an answer yet
	refused      int
	acceptedAt   time.Time // when a caller was first told so
	cancelled    time.Time // when the cancellation was acknowledged
	// cancelling is set once a caller has requested cancellation.
	cancelling   bool
	done         map[pool.TaskID]bool
	acknowledged map[pool.TaskID]time.Time // when the end as done was acknowledged
	lapsedEnds   map[pool.TaskID]bool      // the lease lapsed between the end as done and its acknowledgement
	lastStart    map[pool.TaskID]time.Time // when a run of the task last started
	failures     map[pool.TaskID]int       // runs whose failure was acknowledged
	// failedRuns are the failed runs, acknowledged or not.
	failedRuns map[pool.TaskID]map[int]bool
	// crashes counts the workers that a task has crashed, and startsAfterCrashes the starts of the
	// task by instances without faults after maxCrashes.
	crashes, startsAfterCrashes map[pool.TaskID]int
	// lostRuns counts the runs of a task that ended because their worker crashed for any reason.
	lostRuns map[pool.TaskID]int
	givenUp  bool // shown as failed because of crashes under a task
	// shownCompleted is when a caller was first shown the job as completed.
	shownCompleted time.Time
}

func newReferee(w *World) *Referee { return &Referee{w: w, jobs: map[string]*jobRecord{}} }

func (r *Referee) finding(rule, format string, args ...any) {
	r.Findings = append(r.Findings, fmt.Sprintf("%v %s: ", r.w.Since().Round(time.Millisecond), rule)+fmt.Sprintf(format, args...))
}

// Submitted records a caller's attempt to submit a job.
func (r *Referee) Submitted(j pool.Job, attempts int) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	if r.jobs[j.ID] == nil {
		r.jobs[j.ID] = &jobRecord{Job: j, attempts: attempts, done: map[pool.TaskID]bool{}, acknowledged: map[pool.TaskID]time.Time{}, lapsedEnds: map[pool.TaskID]bool{}, lastStart: map[pool.TaskID]time.Time{}, failures: map[pool.TaskID]int{}, failedRuns: map[pool.TaskID]map[int]bool{},
			crashes: map[pool.TaskID]int{}, startsAfterCrashes: map[pool.TaskID]int{},
			lostRuns: map[pool.TaskID]int{}}
	}
	r.jobs[j.ID].pendingTries++
}

// Answered records the answer to an attempt to submit a job.
func (r *Referee) Answered(job string, accepted, refused bool) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	j := r.jobs[job]
	j.pendingTries--
	if refused {
		j.refused++
	} else {
		j.answered++
	}
	if accepted && !j.accepted {
		j.accepted, j.acceptedAt = true, time.Now()
	}
}

// countLatency is how old the number of waiting jobs that an instance gives may be: a job is visible after 3 s, and the number
// may be 2 s old.
const countLatency = 5 * time.Second

// Waiting returns the number of jobs that an instance without faults has to count as waiting at least: those that were
// accepted more than countLatency ago, no task of which has started, and that nobody cancels.
func (r *Referee) Waiting() int {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	n := 0
	for _, j := range r.jobs {
		if j.accepted && time.Since(j.acceptedAt) > countLatency && len(j.lastStart) == 0 && j.Repeat == 0 && !j.cancelling && !j.givenUp {
			n++
		}
	}
	return n
}

// CountShown checks the number of waiting jobs that an instance without faults gave, by the results of Waiting before and after
// the request.
func (r *Referee) CountShown(instance string, count, before, after int) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	if least := min(before, after); 2*count < least {
		r.finding("MIXED", "%s says that %d jobs wait, and at least %d do", instance, count, least)
	}
}

// CancelRequested records that a caller is about to cancel a job: the job may end as
// cancelled whether or not the caller gets an answer.
func (r *Referee) CancelRequested(job string) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.jobs[job].cancelling = true
}

// CancelAcknowledged records that a caller's cancellation was acknowledged.
func (r *Referee) CancelAcknowledged(job string) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.jobs[job].cancelled = time.Now()
}

// Shown records the state that a caller received, and checks it.
func (r *Referee) Shown(job string, state pool.State) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	j := r.jobs[job]
	switch state {
	case pool.Completed:
		if j.shownCompleted.IsZero() {
			j.shownCompleted = time.Now()
		}
		if !j.allDone() {
			r.finding("MIXED", "job %s is shown as completed, but not all of its tasks have ended so", job)
		}
	case pool.Failed:
		if !j.isExhausted() && !j.mayBeGivenUp() {
			r.finding("LOST", "job %s is shown as failed without cause", job)
		}
		if j.mayBeGivenUp() {
			j.givenUp = true
		}
	}
}

// isExhausted reports whether a task has used all its attempts.
func (j *jobRecord) isExhausted() bool {
	for _, runs := range j.failedRuns {
		if len(runs) >= j.attempts {
			return true
		}
	}
	return false
}

func (j *jobRecord) allDone() bool {
	for k := range j.Occurrences() {
		for i := range j.Steps {
			if !j.stepDone(k, i) {
				return false
			}
		}
	}
	return true
}

// stepDone reports whether all tasks of a step of occurrence k are done.
func (j *jobRecord) stepDone(k, i int) bool {
	for n := range j.Steps[i].Count {
		if !j.done[pool.TaskID{Job: j.ID, K: k, Step: i, Ordinal: n}] {
			return false
		}
	}
	return true
}

// started checks a start. It returns the job, or nil if no caller submitted it.
func (r *Referee) started(x *worker, s pool.Start, o order) *jobRecord {
	j, sender := r.jobs[s.Task.Job], o.sender
	if j == nil || s.Payload != j.Payload {
		r.finding("UNASKED", "%s started %v, which no caller sent", sender, s.Task)
		return nil
	}
	if j.refused > 0 && j.answered == 0 && j.pendingTries == 0 {
		r.finding("REFUSED", "%v started, and all tries to hand it in were refused", s.Task)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > maxStartAfterCancel && r.w.views[sender].IsStable() {
		r.finding("UNASKED", "%v started %v after its cancellation", s.Task, time.Since(j.cancelled))
	}
	if !x.invalidSince.IsZero() && time.Since(x.invalidSince) > maxReadLatency && r.w.views[sender].faultFreeFor() > readRecoveryTime && !r.w.hadLateOrders {
		r.finding("ROUTE", "%v started on %s, whose entry names no worker for %v", s.Task, x.id, time.Since(x.invalidSince))
	}
	if !x.drainsAt.IsZero() && time.Since(x.drainsAt) > maxReadLatency && r.w.views[sender].faultFreeFor() > readRecoveryTime && !r.w.hadLateOrders {
		r.finding("DRAIN", "%v started on %s, which has drained for %v", s.Task, x.id, time.Since(x.drainsAt))
	}
	if !j.shownCompleted.IsZero() && time.Since(j.shownCompleted) > r.maxStartAfterEnd()-time.Second {
		r.finding("TWICE", "%v started on %s %v after its job was shown as completed (%s)", s.Task, x.id, time.Since(j.shownCompleted), o.describe(s))
	}
	j.lastStart[s.Task] = time.Now()
	r.checkCrashes(j, s, sender)
	r.checkOrder(j, s)
	r.checkExclusive(x, j, s, o)
	r.checkCapacity(x, j, s)
	r.checkCap(j, s)
	if !j.Steps[s.Task.Step].LongRunning && j.failures[gangTask(j, s.Task)] >= j.attempts {
		r.finding("BUDGET", "%v started after %d failed runs", s.Task, j.attempts)
	}
	return j
}

// gangTask returns the task under which the failed runs of a gang are counted.
func gangTask(j *jobRecord, t pool.TaskID) pool.TaskID {
	if j.Steps[t.Step].Gang {
		t.Ordinal = 0
	}
	return t
}

// maxEarlyStart is how long before its time an occurrence may start: the clocks of instances differ.
const maxEarlyStart = 250 * time.Millisecond

func (r *Referee) checkOrder(j *jobRecord, s pool.Start) {
	for _, p := range j.Steps[s.Task.Step].After {
		if !j.stepDone(s.Task.K, p) {
			r.finding("ORDER", "%v started before step %d was done", s.Task, p)
		}
	}
	if early := j.DueMs(s.Task.K) - time.Now().UnixMilli(); early > maxEarlyStart.Milliseconds() {
		r.finding("ORDER", "%v started %d ms before its time", s.Task, early)
	}
}

// age describes how long the worker has run, and how long owners have known this incarnation.
func (x *worker) age() string {
	age := fmt.Sprintf("%v after its worker's start, ", time.Since(x.startedAt).Round(time.Millisecond))
	if x.firstHold.IsZero() {
		return age + "before the first hold"
	}
	return age + fmt.Sprintf("%v after the first hold", time.Since(x.firstHold).Round(time.Millisecond))
}

// maxOrderDelay is the longest delay of a late order, see SetLateOrders.
const maxOrderDelay = 12 * time.Second

// maxStartAfterLapsedEnd is how long after its successor has acknowledged an end whose worker's lease had lapsed a former
// owner may still start the task: until its ownership isn't confirmed any more.
const maxStartAfterLapsedEnd = 1500 * time.Millisecond

// maxStartAfterEnd returns how long after the end of a task was acknowledged a copy of it may still arrive, where copies are
// permitted: an owner may have sent the start before it knew of the end.
func (r *Referee) maxStartAfterEnd() time.Duration {
	if r.w.hadLateOrders {
		return time.Second + maxOrderDelay
	}
	return time.Second
}

// maxRuns returns how many runs of a task of the step may be active at the same time.
func maxRuns(s *pool.StepSpec) int {
	if s.Speculative && !s.Gang && !s.LongRunning && !s.Fills {
		return 2
	}
	return 1
}

// maxOnTime is how long after it was sent an order arrives at most unless it is late.
const maxOnTime = time.Second

// isLate reports whether the worker carries the order out late. If it has started again since, and no owner has
// fenced it yet, nothing can prevent that it starts a task whose end as done was acknowledged before. A late start
// beside another run, or before the end is acknowledged, has to be prevented like any other.
func (o order) isLate() bool { return time.Since(o.sentAt) > maxOnTime }

// describe says which order it is, for a finding about a second start.
func (o order) describe(s pool.Start) string {
	return fmt.Sprintf("run %d, sent %v before by %s with token %d", s.Run, time.Since(o.sentAt).Round(time.Millisecond), o.sender, s.Token)
}

func (r *Referee) checkExclusive(x *worker, j *jobRecord, s pool.Start, o order) {
	limit := maxRuns(&j.Steps[s.Task.Step])
	switch at, acknowledged := j.acknowledged[s.Task]; {
	case !acknowledged || (limit > 1 && time.Since(at) <= r.maxStartAfterEnd()):
	case limit == 1 && o.isLate() && !x.heldTwice:
		r.lateStartsAfterEnd++
	case limit == 1 && j.lapsedEnds[s.Task] && time.Since(at) <= maxStartAfterLapsedEnd:
		r.startsAfterLapsedEnd++
	default:
		r.finding("TWICE", "%v started again on %s, %s, after its end was noted (%s)", s.Task, x.id, x.age(), o.describe(s))
	}
	running := 0
	for _, other := range r.w.order {
		for _, run := range other.runs {
			if other.alive && run.task == s.Task {
				if running++; running < limit && other != x {
					continue
				}
				r.finding("TWICE", "%v started on %s, %s, while run %d is active on %s, %s (%s)", s.Task, x.id, x.age(), run.number, other.id, other.age(), o.describe(s))
			}
		}
	}
}

func (r *Referee) checkCapacity(x *worker, j *jobRecord, s pool.Start) {
	step := &j.Steps[s.Task.Step]
	used, same := step.Reserved(), 1
	for _, o := range x.runs {
		used = used.Plus(o.spec.Reserved())
		if sameStep(o.task, s.Task) {
			same++
		}
	}
	if !x.admits(used) {
		r.finding("LIMIT", "%v brings %s to %+v of %+v", s.Task, x.id, used, x.capacity)
	}
	if step.PerWorker > 0 && same > step.PerWorker {
		r.finding("ROUTE", "%v is number %d of its step on %s", s.Task, same, x.id)
	}
	if step.Label != "" && step.Label != x.kind && step.Label != x.rack {
		r.finding("ROUTE", "%v needs the label %s, which %s lacks", s.Task, step.Label, x.id)
	}
	if x.w.Advised && !canRun(pool.StepID{Job: s.Task.Job, K: s.Task.K, Step: s.Task.Step}, x.id) {
		r.finding("ROUTE", "%v may not run on %s", s.Task, x.id)
	}
}

func (r *Referee) ended(_ *worker, run *run, e pool.EndedRun) {
	j := r.jobs[run.task.Job]
	switch e.How {
	case pool.Done:
		j.done[run.task] = true
		if run.spec.Gang {
			for n := range run.spec.Count {
				t := run.task
				t.Ordinal = n
				j.done[t] = true
			}
		}
	case pool.RunFailed:
		t := gangTask(j, run.task)
		if j.failedRuns[t] == nil {
			j.failedRuns[t] = map[int]bool{}
		}
		j.failedRuns[t][run.number] = true
	case pool.GangIncomplete:
		if r.OrdersMayBeLost {
			return // the start of a member may have been delayed
		}
		if !j.cancelling {
			r.finding("GANG", "%v waited in vain for the others", run.task)
		}
	}
}

// endAcknowledged records that the owner has acknowledged an end, so that the worker
// discards it.
func (r *Referee) endAcknowledged(x *worker, e pool.EndedRun) {
	j := r.jobs[e.Task.Job]
	switch e.How {
	case pool.Done:
		if _, known := j.acknowledged[e.Task]; !known {
			j.acknowledged[e.Task] = time.Now()
			ended, known := x.endedAt[e.Number]
			j.lapsedEnds[e.Task] = known && x.lapsedAt.After(ended)
		}
		r.checkStartsSince(x, j, e)
	case pool.RunFailed:
		j.failures[gangTask(j, e.Task)]++
	}
}

// checkStartsSince checks that a task wasn't started between its end as done and the acknowledgement of that
// end. It may be if the worker's lease has lapsed meanwhile: the owner then counts on nothing there.
func (r *Referee) checkStartsSince(x *worker, j *jobRecord, e pool.EndedRun) {
	ended, known := x.endedAt[e.Number]
	if !known || maxRuns(&j.Steps[e.Task.Step]) > 1 || x.lapsedAt.After(ended) {
		return
	}
	if started := j.lastStart[e.Task]; started.After(ended) {
		r.finding("TWICE", "run %d of %v ended as done on %s, a run was started %v later, and the end acknowledged %v after that",
			e.Run, e.Task, x.id, started.Sub(ended), time.Since(started))
	}
}

// runLost is called for each run that ends because its worker has crashed. It checks
// nothing.
func (r *Referee) runLost(_ *worker, lost *run) {
	if j := r.jobs[lost.task.Job]; j != nil {
		j.lostRuns[lost.task]++
	}
}

// sameStep reports whether two tasks belong to the same step of the same occurrence.
func sameStep(a, b pool.TaskID) bool { return a.Job == b.Job && a.K == b.K && a.Step == b.Step }

// gangComplete reports whether all members of a run's gang are running.
func (r *Referee) gangComplete(member *run) bool {
	n := 0
	for _, x := range r.w.order {
		for _, o := range x.runs {
			if x.alive && sameStep(o.task, member.task) && o.number == member.number {
				n++
			}
		}
	}
	return n == member.spec.Count
}

// Unfinished returns the accepted jobs that have not completed, without those that were
// cancelled or can't complete.
func (r *Referee) Unfinished() []string {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	var list []string
	for id, j := range r.jobs {
		if j.accepted && !j.cancelling && !j.isExhausted() && !j.crashesWorkers() && !j.givenUp && !j.allDone() {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// LateStartsAfterEnd returns how many late orders have started a task whose end as done was acknowledged before,
// on workers that no owner had fenced yet.
func (r *Referee) LateStartsAfterEnd() int {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	return r.lateStartsAfterEnd
}

// StartsAfterLapsedEnd returns how many tasks were started again shortly after an end as done was acknowledged before which
// the lease of its worker had lapsed.
func (r *Referee) StartsAfterLapsedEnd() int {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	return r.startsAfterLapsedEnd
}

// Knows reports whether a caller has submitted a job with this ID.
func (r *Referee) Knows(job string) bool {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	return r.jobs[job] != nil
}
