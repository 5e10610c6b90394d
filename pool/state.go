package pool

import (
	"slices"
	"time"
)

type job struct {
	// A plan reads these of each waiting step's job. They come first, so that they share a cache line.
	state     State
	inherited bool
	// beyondWeight is set if the job was submitted beyond its organisation's weight.
	beyondWeight bool

	Job
	// occurrences are the open ones, by their numbers. Those before next have been opened or are finished.
	occurrences []*occurrence
	next        int
	finished    Spans
	sums        *repeatedJobs // of the core
	// occurrenceWeight is the weight of each occurrence, and chains what Job.chains returns.
	occurrenceWeight int
	chains           []int64
	work             float64 // core-seconds of an occurrence, by the estimates
	// storedState is the newest state that the store holds. Callers see the end of a job only
	// once it can't be lost with this process.
	storedState State
	started     bool
	// saysBegun is set if the stored progress said whether the job has begun.
	saysBegun bool
	dirty     bool
	// savedIn is the sequence number of the newest save that holds the job's progress.
	savedIn uint64
	runs    int // that may exist
	// recordsDropped is set once the removal of the job's stored records was ordered.
	recordsDropped bool
	endedAt        time.Duration
	// firstRun is the first run number that this owner may use.
	firstRun int
	// storedAs is the job's position in the order in which the jobs were stored.
	storedAs int
	// tasksPerPart is the number of tasks of each part once the job's progress is stored in parts, and parts
	// holds the stored ones. Those of another size have to be removed.
	tasksPerPart int
	parts        map[PartID][]byte
	// hidden is set once the job's stored specification hides its queue, and specChanged if the specification
	// has to be stored again.
	hidden, specChanged bool
	// uncountedBefore is the first occurrence that a predecessor can't have opened, if a crash under its tasks
	// may not have been counted; see Core.markUncounted.
	uncountedBefore int
	// compacted are the finished occurrences that the stored specification names, so that the progress record
	// needn't list their steps; see job.compact.
	compacted Spans
	// givenUp is the task because of which the job has failed; nil: none.
	givenUp *GivenUp
}

type step struct {
	job       *job
	occ       *occurrence
	id        StepID
	spec      *StepSpec
	tasks     []*task
	remaining int // tasks that aren't done
	gangRun   int // number of the gang's newest run
	doneRun   int // number of the gang's run that ended as done; 0: none did
	// maxFailures is the largest number of failed runs of any task.
	maxFailures     int
	policy          policy
	urgency         urgency // as of the last pass
	criticalPathMs  int64   // critical path of the job
	remainingPathMs int64   // critical path from this step on
	pathMs          int64   // longest path that starts with this step
	dueMs           int64   // when the occurrence may start, in Unix milliseconds
	acceptedMs      int64   // see Job.AcceptedMs
	advice          advice
	// readySince is when all predecessors of the step were done.
	readySince time.Duration
	ready      bool
	// delayRecorded is set once the step's wait is counted in its queue's delays.
	delayRecorded bool
	notBefore     time.Duration
	lostRun       bool // a run of a task was lost
	// turnAt is when the step last had its turn among those that can't earn anything any more.
	turnAt time.Duration
	// noneWaitingBefore is the earliest time at which a task can wait again; 0: unknown. It is
	// reset by Core.mayWait.
	noneWaitingBefore time.Duration
	// inWaitList is set while Core.waitList includes the step.
	inWaitList bool
	// retryPlacementAt is when placement of the step is tried again.
	retryPlacementAt time.Duration
	booked           []booking
	// pendingLoads are the loads that the step's unanswered advice request adds to workers.
	pendingLoads []pendingLoad
	// answeredBookings are the bookings made for the advice that is being handled.
	answeredBookings []booking
	// migrationBookings are the bookings for tasks that migrate from draining workers.
	migrationBookings []*booking
	// retryMigrationAt is when migration of tasks from draining workers is tried again.
	retryMigrationAt time.Duration
	quarantined      int // number of quarantined tasks
	// failedOn holds the IDs of the workers on which a run failed.
	failedOn map[string]bool
	// doneRuns and doneTime are the number and the total run time of the runs that ended as
	// done.
	doneRuns int
	doneTime time.Duration
}

type task struct {
	step    *step
	ordinal int
	done    bool
	failed  []int // numbers of the failed runs; task 0 holds those of a gang
	// crashes are the crashes of workers under the task since a worker last survived one of its
	// runs, oldest first.
	crashes   []Crash
	crashedAt time.Duration // when the last of them was noticed
	// uncounted is set if a predecessor may have started the task on a worker that crashed, and may have
	// lost the pool before it counted that. From then on the task's runs are stored, so it is one crash.
	uncounted bool
	// inheritedRun is a predecessor's stored run of the task until it is known what has become of it.
	inheritedRun Crash
	// awaitsVerdict is set while it is decided whether the task is given up.
	awaitsVerdict    bool
	newestCheckpoint string // newest checkpoint; task 0 holds that of a gang
	lastRun          int
	run              *run
	// copy is the second run of a task of a step that permits it; nil: none. While it is set, run is set too.
	copy *run
	// copyNotBefore delays the next copy after one of two runs has ended.
	copyNotBefore time.Duration
	// lostRun is set if a run was lost with its worker, which may have crashed because of the task.
	lostRun bool
	// notBefore delays the next run after a failed one.
	notBefore time.Duration
	// late is a start that may still be carried out, see Core.lateStartOf; nil: there is none.
	late *lateStart
	// blockedBy is a silent worker on which a predecessor's run of the task may still be
	// active.
	blockedBy *worker
}

func (t *task) id() TaskID {
	return TaskID{Job: t.step.id.Job, K: t.step.id.K, Step: t.step.id.Step, Ordinal: t.ordinal}
}

// policy is a queue's policy as a step last looked it up.
type policy struct {
	Queue
	known   bool
	version int // Core.policyVersion at the time of the lookup
}

// policy returns the policy of a step's queue. It is cached until the policies change, since a
// pass asks for it thousands of times.
func (c *Core) policy(s *step) *policy {
	if s.policy.version != c.policyVersion {
		q, known := c.queuePolicy(s.job)
		s.policy = policy{Queue: q, known: known, version: c.policyVersion}
	}
	return &s.policy
}

// isWaiting reports whether the task could be started now.
func (t *task) isWaiting(now time.Duration) bool {
	return !t.done && t.run == nil && t.blockedBy == nil && !t.awaitsVerdict && now >= t.notBefore
}

func (c *Core) addJob(e JobStored) {
	if known := c.jobs[e.Job.ID]; known != nil {
		// A caller submitted it twice. Its record has replaced one that hides the job's queue, or has other terms.
		if lost := known.hidden && !e.Job.isHidden(); !known.state.Ended() && (lost || !known.Terms.equal(e.Job.Terms)) {
			known.hidden, known.specChanged = known.hidden && !lost, true
			c.markDirty(known)
		}
		return
	}
	j := &job{Job: e.Job, inherited: e.Inherited, state: Queued, storedState: Queued, occurrenceWeight: e.Job.weight(), chains: e.Job.chains(), work: e.Job.work(), sums: &c.repeated}
	if admitted := c.admission.markStored(j.ID); admitted != nil {
		j.beyondWeight = admitted.beyondWeight
	} else {
		j.beyondWeight = c.countTowardsWeight(&j.Job, c.atUnix(min(c.unixMs, j.AcceptedMs)))
	}
	if e.Inherited {
		j.firstRun = c.settings.Generation * runsPerOwner
		c.orgs.inheritedUseAt = -inheritedUseInterval // the estimate has to include its tasks
	}
	c.storedJobs++
	j.storedAs = c.storedJobs
	c.jobs[j.ID] = j
	c.activeJobs = append(c.activeJobs, j)
	c.countActive(j, 1)
	j.hidden, j.compacted = j.isHidden(), slices.Clone(j.Finished).add(0, j.FinishedBefore)
	c.restoreFinished(j, j.compacted)
	c.openDueOccurrences(j)
	c.claim(j)
	c.replan = true
}

// markReadySteps marks the steps whose predecessors are all done.
func (c *Core) markReadySteps(occ *occurrence) {
	for _, s := range occ.steps {
		if s.ready || s.remaining == 0 || !s.predecessorsDone() {
			continue
		}
		s.ready = true
		s.readySince = c.now
		c.mayWait(s)
		c.replan = true
	}
}

func (s *step) predecessorsDone() bool {
	for _, p := range s.spec.After {
		if p < len(s.occ.steps) && s.occ.steps[p].remaining > 0 {
			return false
		}
	}
	return true
}

func (s *step) markDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	s.remaining--
	s.occ.workLeft = unknownWork
	if s.remaining > 0 {
		return
	}
	if s.occ.remaining--; s.occ.remaining == 0 {
		s.job.finish(s.occ)
	}
}

func (c *Core) restore(e ProgressStored) {
	j := c.jobs[e.Job]
	if j == nil {
		c.restoreEnded(e)
		return
	}
	if e.Progress.State.Ended() {
		j.state, j.storedState, j.givenUp = e.Progress.State, e.Progress.State, e.Progress.GivenUp
		c.endJob(j)
		c.pendingDrops = append(c.pendingDrops, j)
		return
	}
	j.saysBegun = e.Progress.Begun != BegunUnknown
	j.started = j.started || e.Progress.HasBegun() == HasBegun
	j.tasksPerPart = e.Progress.TasksPerPart
	c.restoreFinished(j, slices.Clone(e.Progress.Finished).add(0, e.Progress.FinishedBefore))
	c.restoreSteps(j, e.Progress.Steps)
	c.openDueOccurrences(j)
}

// restoreFinished restores which occurrences are finished.
func (c *Core) restoreFinished(j *job, finished Spans) {
	if len(finished) == 0 {
		return
	}
	j.started = true
	j.finished = j.finished.union(finished)
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool {
		if !j.finished.contains(o.number) {
			return false
		}
		for _, s := range o.steps {
			s.remaining = 0 // its tasks may be in the waiting list
		}
		j.countOpen(-1)
		return true
	})
}

// restoreEnded restores a job of which the store holds only the final state. Without it, the
// job would run again if a caller repeated its submission.
func (c *Core) restoreEnded(e ProgressStored) {
	if !e.Progress.State.Ended() {
		return
	}
	j := &job{Job: Job{ID: e.Job, Organisation: e.Progress.Organisation}, inherited: true, state: e.Progress.State, storedState: e.Progress.State, givenUp: e.Progress.GivenUp, recordsDropped: true}
	c.jobs[j.ID] = j
	c.recordJobEnd(j)
}

// completeIfDone completes a job whose occurrences are all finished.
func (c *Core) completeIfDone(j *job) {
	if j.state.Ended() || j.finished.nextMissing(0) < j.Occurrences() {
		return
	}
	j.state = Completed
	c.logJob("job.completed", j, "")
	c.endJob(j)
	c.markDirty(j)
}

func (c *Core) cancelJob(id string) {
	j := c.jobs[id]
	if j == nil || j.state.Ended() {
		return
	}
	j.state = Cancelled
	c.logJob("job.cancelled", j, "")
	c.endJob(j)
	c.markDirty(j)
}

// failJob ends a job of which a task has failed too often.
func (c *Core) failJob(j *job, reason string) {
	if j.state.Ended() {
		return
	}
	j.state = Failed
	c.logJob("job.failed", j, reason)
	c.endJob(j)
	c.markDirty(j)
}

// recordJobEnd records when a job ended. It doesn't remove the job from c.activeJobs: restored
// ended jobs aren't in it, and searching it for 3,000 of them among 3,000 open jobs took 5 of
// the 15 ms of a takeover, growing with the product of the two (BenchmarkTakeover, on a machine
// with other load).
func (c *Core) recordJobEnd(j *job) {
	j.endedAt = c.now
	c.ended = append(c.ended, j)
	c.replan = true
}

// endJob removes a job from those to run, stops its runs and records its end.
func (c *Core) endJob(j *job) {
	c.recordJobEnd(j)
	for i, o := range c.activeJobs {
		if o == j {
			c.activeJobs = append(c.activeJobs[:i], c.activeJobs[i+1:]...)
			c.countActive(j, -1)
			j.countOpen(-len(j.occurrences))
			break
		}
	}
	for _, occ := range j.occurrences {
		c.stopOccurrence(occ, string(j.state))
	}
}

// endedWithGang reports whether a run belongs to a gang's run that is done. Its members end at
// the same time, so one whose end isn't listed yet needs no stop: these stops were a tenth of
// all calls that start or stop runs. Another run of the same gang may still be active and has
// to be stopped.
func (r *run) endedWithGang() bool { return r.task.step.spec.Gang && r.number == r.task.step.doneRun }

// forgetJobs drops jobs after EndedRetention. It keeps a job whose end isn't stored yet, since
// no caller has seen that end.
func (c *Core) forgetJobs() {
	for len(c.ended) > 0 && c.ended[0].storedState.Ended() && c.now-c.ended[0].endedAt > c.settings.EndedRetention {
		j := c.ended[0]
		c.ended = c.ended[1:]
		delete(c.jobs, j.ID)
		for _, key := range []string{JobKey(j.ID), ProgressKey(j.ID), CancelKey(j.ID)} {
			c.otherRecords = append(c.otherRecords, Record{Key: key})
		}
	}
}

// JobState returns a job's state, or false if there is no such job.
func (c *Core) JobState(id string) (State, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	if j.state.Ended() {
		if j.storedState.Ended() {
			return j.storedState, true
		}
	}
	if j.started {
		return Running, true
	}
	return Queued, true
}

// OrganisationOf returns the organisation that submitted a job; empty: it isn't known.
func (c *Core) OrganisationOf(id string) string {
	if j := c.jobs[id]; j != nil {
		return j.Organisation
	}
	return ""
}

// begunSaveDelay is how long the record that a job has begun may wait for another save. Copies may be 2 s old.
const begunSaveDelay = 500 * time.Millisecond

// markBegun notes that a worker has confirmed a run of the job. Copies of the pool learn that from its progress record.
func (c *Core) markBegun(j *job) {
	if j.started {
		return
	}
	j.started = true
	if j.state.Ended() {
		return
	}
	if len(c.begun) == 0 {
		c.begunSince = c.now
	}
	c.begun = append(c.begun, j)
}

// saveBegun makes the next save hold the progress of jobs that have begun.
func (c *Core) saveBegun() {
	for _, j := range c.begun {
		if !j.state.Ended() {
			c.markDirty(j)
		}
	}
	c.begun = nil
}

func (j *job) begunRecord() Begun {
	if j.started || len(j.finished) > 0 {
		return HasBegun
	}
	return NotBegun
}

// KnowsBegun reports whether this owner knows which jobs have begun: a predecessor of an older version records that late.
func (c *Core) KnowsBegun(now time.Duration) bool {
	c.setTime(now)
	return c.IsConfirmed() && (!c.settings.UnrecordedStarts || c.takeoverComplete())
}

// Pending returns the number of a queue's jobs of which no task has started.
func (c *Core) Pending(queue string) int {
	n := 0
	for _, j := range c.activeJobs {
		if j.Queue == queue && !j.started {
			n++
		}
	}
	return n
}
