package pool

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/pool/runtimes"
)

// Settings configures a Core.
type Settings struct {
	// Pool is the number of the pool's partition.
	Pool int
	// Token is the owner's lowest fencing token, and Tokens the number of tokens from it on that no other
	// owner uses; 0: Token is used for all calls, whichever incarnation of a worker they reach.
	Token, Tokens uint64
	// Generation counts the owners of the pool. It keeps the run numbers of successive owners
	// apart, see runsPerOwner.
	Generation int
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTimeout is the longest time that a worker takes to stop a run.
	StopTimeout time.Duration
	// OrderLease is how long an owner's lease of maintenance orders for a machine lasts; 0: defaultOrderLease.
	OrderLease time.Duration
	// MaxWorkerConns is how many connections to workers the owner may have open; 0: no limit.
	MaxWorkerConns int
	// MaxRecord is the size of the largest record that the store accepts, in bytes; 0: no limit.
	MaxRecord int
	// MaxMemory is the memory that the process may use, in bytes; 0: unknown.
	MaxMemory int64
	// NeedsConfirmation is set if the owner may be replaced without noticing: leases are renewed and tasks started
	// only while Core.Confirm has confirmed the ownership.
	NeedsConfirmation bool
	// UnrecordedStarts is set if a predecessor may have sent starts that no record in the store names.
	UnrecordedStarts bool
	// HasPredecessors is set if predecessors may grant leases until Core.EndPredecessors reports that they are over.
	HasPredecessors bool
	// EndedRetention is how long the state of an ended job can be queried.
	EndedRetention time.Duration
}

const (
	// saveInterval is the minimum time between two saves, so that the ends of short tasks are
	// batched: at 150 ends per second, a save holds seven of them. Halving it caused 11 % more
	// store calls on a day of low load without any more value earned.
	saveInterval = 50 * time.Millisecond
	// maxPendingSaves limits the saves that aren't confirmed yet. It covers the appends that
	// an owner has in flight while the store is slow, and one more that waits for the next. A
	// fast store confirms a save before the next is due.
	maxPendingSaves = 4
	// runsPerOwner is the distance between the run numbers of two successive owners. A new
	// owner can't know which numbers its predecessor used for a task whose worker vanished. A
	// task has far fewer runs under one owner.
	runsPerOwner = 1000
)

// Core holds the scheduling state of one pool's owner. It isn't safe for concurrent use.
type Core struct {
	settings       Settings
	now            time.Duration
	unixMs         int64
	startedAt      time.Duration // when this owner took over
	resumedAt      time.Duration // when this process last went on after it had been stopped
	interruptedAt  time.Duration // likewise, for at least MaxHandlingLag
	queues         map[string]Queue
	jobs           map[string]*job
	activeJobs     []*job         // jobs that haven't ended, in the order in which they were stored
	jobsByService  map[string]int // numbers of active jobs
	memory         int64          // of the active jobs with one occurrence each, see Job.memory
	repeated       repeatedJobs
	workers        map[string]*worker
	workerList     []*worker // in the order in which they were first seen
	trackedWorkers map[string]TrackedWorker
	formerFencing  map[string]formerFencing // of removed workers, by ID
	unclaimed      unclaimedEnds
	orphans        int               // number of runs whose task is unknown
	trackedParts   map[string][]byte // the stored parts of the list of tracked workers
	surplusRuns    map[*task][]*run  // that are active beside a task's own and have to stop
	suspects       map[*task]bool    // tasks under which workers have crashed, or may have and that run
	crashedWorkers []crashedWorker   // the recent ones
	verdicts       []verdict         // oldest first
	// inheritedSuspects are the tasks of which a predecessor stored a run, until the workers are listed.
	inheritedSuspects []*task
	plannedRuns       []*run // oldest first
	begun             []*job // that have begun since the last save
	begunSince        time.Duration
	unrecordedStarts  []*run         // planned runs whose starts are in no save yet
	startRecords      []*startRecord // by number
	// uncountedCrashes is the number of inherited workers that have crashed without a silence record.
	uncountedCrashes int
	inheritedChecked bool            // markUncounted has been called
	isolationMode    isolationMode   // of the placement in progress
	isolatedRacks    map[string]bool // of the placement in progress
	// lastEarlyIsolationAt is when a quarantined task was last started that crashes workers early.
	lastEarlyIsolationAt time.Duration
	silenceChanges       []*worker // workers whose silence record has to be saved or removed
	trackedChanged       bool      // trackedWorkers has changed since it was last saved
	dirty                []*job
	pendingSaves         []pendingSave // oldest first
	otherRecords         []Record      // other records to save: removals of expired keys, progress of waves
	saveSeq              uint64
	savedSeq             uint64
	confirmedAt          time.Duration // see Confirm
	acceptedAt           time.Duration // see Confirm
	firstAnswered        bool          // a worker has answered under this owner's token
	predecessorsOver     bool          // see EndPredecessors
	predecessorsOverAt   time.Duration // when it was reported
	listed               bool          // the list of workers has arrived at least once
	listedAsOf           time.Duration // see WorkersListed
	lastSave             time.Duration
	saveAtOnce           bool // the next save doesn't wait for saveInterval
	replan               bool
	// waitingLoggedAt is when the reasons why steps wait were last logged.
	waitingLoggedAt time.Duration
	laggedAt        time.Duration // when this owner last lagged behind its events
	// retryAllSteps makes the next pass try to place all waiting steps, since a worker has
	// become available.
	retryAllSteps bool
	// reservedCount counts the workers that are reserved for steps, as decided at reservedAt.
	// While reserving is set, this pass decides it anew.
	reservedCount int
	reservedAt    time.Duration
	reserving     bool
	// runtimes holds the learned speeds of workers and run times of queues.
	runtimes *runtimes.Model
	// speedPreference is the weight of a worker's slowness for the step that is placed.
	speedPreference  float64
	availableWorkers []availableWorker // workers that accept new tasks in this pass
	capacity         freeCapacity
	waitList         waitList
	storedJobs       int  // number of jobs stored so far
	takenOver        bool // see takeoverComplete
	// startBudget is the number of bytes of starts that this pass may still send.
	startBudget int
	// candidateBuffer and unknownBuffer hold lists of workers, and are reused so that they
	// aren't allocated for each step. The second alone took 5 KB per step, half of what the first
	// plan of a new owner with 3,000 jobs allocated (BenchmarkTakeover).
	candidateBuffer []*worker
	unknownBuffer   []rankedWorker
	scored          scoreHeap // heap of pickAmong, reused between steps
	// waiting and rated are buffers for a pass's lists of steps, reused between passes. With
	// 3,000 waiting jobs they took 0.2 MB per pass (BenchmarkStored).
	waiting          []*step
	rated            []ratedStep
	largestFree      Resources // by resource, the most that is free on any worker in this pass
	smallestCapacity Resources // by resource, the smallest capacity of any worker; 0: no worker has any
	workersSeen      int       // number of workers seen so far
	// policyVersion counts the changes of the queues' policies.
	policyVersion int
	deposed       bool
	ended         []*job // ended jobs, oldest first
	pendingDrops  []*job // ended jobs whose stored records aren't removed yet
	copies        copyState
	waves         waves
	admission     admissionState
	orgs          organisations
	shares        shares
	actions       []Action
}

// pendingSave is a save that the store hasn't confirmed yet.
type pendingSave struct {
	seq  uint64
	jobs []*job // jobs whose progress it holds
}

// New returns the core of a pool's new owner.
func New(set Settings, now time.Duration) *Core {
	return &Core{
		settings: set, now: now, startedAt: now, predecessorsOver: !set.HasPredecessors, predecessorsOverAt: now,
		queues:         map[string]Queue{},
		jobs:           map[string]*job{},
		jobsByService:  map[string]int{},
		workers:        map[string]*worker{},
		trackedWorkers: map[string]TrackedWorker{},
		suspects:       map[*task]bool{},
		surplusRuns:    map[*task][]*run{},
		runtimes:       runtimes.New(),
		admission:      newAdmissionState(),
		orgs:           newOrganisations(set.Pool),
	}
}

// Step handles an event and returns the resulting actions. The time must never go back, and
// includes the time that the machine is suspended. Plan has to be called after one or more
// events.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.setTime(now)
	c.actions = nil
	if c.deposed {
		return nil
	}
	c.handle(ev)
	c.flush()
	return c.actions
}

// setTime advances the time, and notices that the process was stopped.
func (c *Core) setTime(now time.Duration) {
	if now-c.now >= MaxHandlingLag {
		c.interruptedAt = now
	}
	if now-c.now >= stoppedAfter {
		c.resumedAt = now
	}
	c.now = max(c.now, now)
}

// Plan starts the tasks that can be started after the events since the last call. It goes over
// all waiting steps, so an owner handles several events before each call: with one call per
// event, the owner of a pool of 252 workers lagged further and further behind.
func (c *Core) Plan(now time.Duration) []Action { return c.PlanWithin(now, math.MaxInt) }

// PlanWithin is like Plan, but stops starting tasks once their starts reach startBudget bytes.
// The last start, or a gang, may exceed it. Later calls start the remaining tasks.
func (c *Core) PlanWithin(now time.Duration, startBudget int) []Action {
	c.setTime(now)
	c.actions = nil
	if c.replan && !c.deposed {
		c.replan = false
		c.startBudget = startBudget - c.plannedSize()
		c.placeTasks()
		c.flush()
	}
	return c.actions
}

// Confirm reports that the ownership was confirmed at a time: the calls that have shown this were sent then. The store has
// last accepted an append that was sent at the time accepted. Nobody else had claimed the pool by then, while electors
// may confirm an owner beside a newer one that they don't know.
func (c *Core) Confirm(at, accepted time.Duration) {
	c.confirmedAt, c.acceptedAt = max(c.confirmedAt, at), max(c.acceptedAt, accepted)
}

// wasOwnerAt reports whether nobody else had claimed the pool at a time.
func (c *Core) wasOwnerAt(t time.Duration) bool {
	return !c.settings.NeedsConfirmation || c.acceptedAt >= t
}

// IsConfirmed reports whether leases may be granted. A successor allows for those that are granted for
// confirmationTTL after it knows that the ownership can't be confirmed any more.
func (c *Core) IsConfirmed() bool {
	return !c.settings.NeedsConfirmation || c.now-c.confirmedAt < confirmationTTL
}

// EndPredecessors reports that predecessors grant no leases any more, except for confirmationTTL from now on.
func (c *Core) EndPredecessors(now time.Duration) {
	c.setTime(now)
	if !c.predecessorsOver {
		c.predecessorsOver, c.predecessorsOverAt = true, c.now
		c.boundInheritedLeases()
	}
}

// NeedsPlan reports whether anything has changed since the last plan that may let tasks start.
func (c *Core) NeedsPlan() bool { return c.replan }

// ReportLag tells the core that events arrive faster than they are handled.
func (c *Core) ReportLag(now time.Duration) { c.laggedAt = max(c.laggedAt, now) }

// IsDeposed reports whether this owner must end, see Deposed. A deposed core ignores all events.
func (c *Core) IsDeposed() bool { return c.deposed }

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case JobStored:
		c.addJob(e)
	case ProgressStored:
		c.restore(e)
	case ProgressPartStored:
		c.restorePart(e)
	case CancelStored:
		c.cancelJob(e.Job)
	case QueuesChanged:
		c.changeQueues(e.Queues)
	case OrganisationsChanged:
		c.organisationsChanged(e)
	case CapShareRootKnown:
		c.capShareRootKnown(e)
	case CapShareStored:
		c.orgs.ledger.Restore(e.Record)
	case CapShareOffered:
		c.capShareOffered(e)
	case WorkersListed:
		c.listWorkers(e.Workers)
		c.listedAsOf = e.AsOf
	case TrackedWorkersStored:
		c.inheritWorkers(e)
	case StartsStored:
		c.startsStored(e)
	case SilenceStored:
		c.silenceStored(e)
	case HoldAnswered:
		c.holdAnswered(e)
	case StartAnswered:
		c.startAnswered(e)
	case StopAnswered:
		c.stopAnswered(e)
	case Advised:
		c.advised(e)
	case WavesRequested:
		c.wavesRequested(e)
	case WaveStored:
		c.waveStored(e)
	case MachinesListed:
		c.machinesListed(e)
	case MaintenanceAnswered:
		c.maintenanceAnswered(e)
	case Saved:
		c.saved(e.Seq)
	case Tick:
		c.tick(e)
	}
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) logRun(event string, r *run, reason string) {
	id := r.task.id()
	c.emit(LogEntry{Event: event, Job: id.Job, Task: &id, Run: r.number, Worker: r.worker.ID, Incarnation: r.worker.incarnation, Reason: reason})
}

// logLostRun logs the loss of a run, and how many workers have crashed in a row under its task.
func (c *Core) logLostRun(r *run, reason string) {
	r.task.lostRun, r.task.step.lostRun = true, true
	id := r.task.id()
	c.emit(LogEntry{Event: "run.lost", Job: id.Job, Task: &id, Run: r.number, Worker: r.worker.ID, Incarnation: r.worker.incarnation, Reason: reason, Crashes: len(r.task.crashes)})
}

// logTask logs an event about a task and the crashes under it.
func (c *Core) logTask(event string, t *task, reason string) {
	id := t.id()
	c.emit(LogEntry{Event: event, Job: id.Job, Task: &id, Run: t.lastRun, Reason: reason, Crashes: len(t.crashes)})
}

func (c *Core) logJob(event string, j *job, reason string) {
	c.emit(LogEntry{Event: event, Job: j.ID, Reason: reason})
}

func (c *Core) tick(e Tick) {
	c.unixMs = e.UnixMs
	for _, j := range c.activeJobs {
		c.openDueOccurrences(j)
	}
	for _, w := range c.workerList {
		c.tickWorker(w)
	}
	c.startPlanned()
	c.settleInheritedRecords()
	c.runWaves()
	c.reachVerdicts()
	c.forgetWorkers()
	c.forgetCrashes()
	c.dropPending()
	c.forgetJobs()
	c.replan = true
}

// flush saves what has changed. The store applies saves in the order in which they were sent,
// so a confirmation covers all saves before it.
func (c *Core) flush() {
	if len(c.pendingSaves) >= maxPendingSaves || (c.now-c.lastSave < saveInterval && !c.saveAtOnce) || c.deposed {
		return
	}
	if len(c.begun) > 0 && c.now-c.begunSince >= begunSaveDelay {
		c.saveBegun()
	}
	isBatched := c.hasChanges()
	if !isBatched && len(c.unrecordedStarts) == 0 {
		return
	}
	c.saveBegun()
	c.saveSeq++
	save := Save{Seq: c.saveSeq}
	for _, j := range c.dirty {
		save.Records = append(save.Records, c.progressRecords(j)...)
		j.dirty = false
		j.savedIn = c.saveSeq
		save.Records = append(save.Records, c.dropRecords(j)...)
	}
	jobs := c.dirty
	c.dirty = nil
	// The save includes all other changes so far, so that an end that a worker listed before
	// it fell silent is stored no later than its silence record.
	save.Records = append(save.Records, c.silenceRecords()...)
	starts := c.startRecordsForSave()
	save.Records = append(save.Records, starts...)
	save.Records = append(save.Records, c.capShareRecords()...)
	save.Records = append(save.Records, c.otherRecords...)
	c.otherRecords = nil
	if c.trackedChanged {
		c.trackedChanged = false
		save.Records = append(save.Records, c.trackedRecords()...)
	}
	save.Records = slices.DeleteFunc(save.Records, c.isUnstorable)
	if len(save.Records) == 0 {
		c.saveSeq--
		return
	}
	for _, w := range c.workerList {
		w.assignSave(c.saveSeq)
	}
	save.HoldsStarts = slices.ContainsFunc(starts, func(r Record) bool { return len(r.Value) > 0 })
	c.pendingSaves = append(c.pendingSaves, pendingSave{seq: c.saveSeq, jobs: jobs})
	c.saveAtOnce = false
	if isBatched { // starts don't delay what is
		c.lastSave = c.now
	}
	c.emit(save)
}

// hasChanges reports whether there is something to save that is batched.
func (c *Core) hasChanges() bool {
	return len(c.dirty) > 0 || len(c.otherRecords) > 0 || len(c.silenceChanges) > 0 || c.trackedChanged || c.orgs.ledger.HasChanges()
}

func (c *Core) saved(seq uint64) {
	c.savedSeq = max(c.savedSeq, seq)
	for len(c.pendingSaves) > 0 && c.pendingSaves[0].seq <= seq {
		for _, j := range c.pendingSaves[0].jobs {
			if !j.dirty && j.savedIn <= seq {
				j.storedState = j.state
				j.endedAt = c.now // callers can see the end from now on
			}
		}
		c.pendingSaves = c.pendingSaves[1:]
	}
	if c.orgs.ledger.Stored(seq) {
		c.orgs.exchangeSoon = true
	}
	c.silenceRecordsSaved(seq)
	c.trackedWorkersSaved()
	c.startPlanned()
	for _, w := range c.workerList {
		c.ackStoredEnds(w, seq)
	}
}

func (c *Core) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}
