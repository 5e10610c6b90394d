package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

type slotState int

const (
	// slotWaiting has reserved resources that others still use.
	slotWaiting slotState = iota
	// slotHeld has its resources committed and waits for a Confirm.
	slotHeld
	// slotStarting is to be started; the worker may already run it.
	slotStarting
	// slotRunning was reported as running by the worker.
	slotRunning
	// slotEnded uses no resources and waits for its home's Forget.
	slotEnded
)

// slot is one attempt on one worker.
type slot struct {
	attempt Attempt
	home    ownership.Unit
	worker  *worker
	// at is the slot's index in worker.slots.
	at    int
	task  infra.Task
	hints hints
	state slotState
	// sent means that a start was sent: from then on the worker may run the
	// task until it reports otherwise.
	sent   bool
	final  AttemptState
	cause  Cause
	reason string
	// run is the task's run time in its last report, which was received at
	// ranAt.
	run   time.Duration
	ranAt time.Duration
	usage infra.Resources
	// memory is the task's memory use in MiB in the newest report.
	memory int64
	// throttled means that the task exceeds its need and is to be throttled.
	throttled bool
	heldAt    time.Duration
	// hold means that the task must not start before a Confirm.
	hold bool
	// availableAt is when a waiting slot is expected to get its resources.
	availableAt time.Duration
	// backfill marks a task that runs on resources reserved for a waiting slot.
	backfill     bool
	stop         bool
	acknowledged bool
	reported     bool
	notifiedAt   time.Duration
	// missingUntil is set for a task of a machine that was replaced under the
	// same worker ID: the old machine may run it until its lease has expired.
	missingUntil time.Duration
}

// ranFor is the task's current run time. Partial reports don't list a running
// task that has not changed.
func (sl *slot) ranFor(now time.Duration) time.Duration {
	if sl.state != slotRunning {
		return sl.run
	}
	return sl.run + now - sl.ranAt
}

// worker is the owner's state of one worker.
type worker struct {
	infra.Worker
	// listed means that the platform's list contains the worker.
	listed bool
	// listedAt is when an unlisted worker was last listed.
	listedAt time.Duration
	// fenced means that the worker has answered at least once under this
	// owner's token: its predecessors are fenced out, and whatever they started
	// is in slots.
	fenced bool
	// fencedAt is when the first answer under this owner's token was received.
	fencedAt time.Duration
	// overLogged is set once the end of the predecessors' leases has been logged.
	overLogged bool
	// predecessorsGoneAt is when no earlier machine with this worker's ID can
	// run a task that slots does not hold.
	predecessorsGoneAt time.Duration
	// reconciled means that slots holds everything that the worker runs now;
	// after its lease has expired a worker has to answer again first.
	reconciled bool
	sequence   uint64
	inflight   bool
	// polling is how long the answer to the request in flight may be held back.
	polling time.Duration
	// known is the change count in the last answer; fullAt is when the last
	// report of all tasks was received.
	known   uint64
	fullAt  time.Duration
	sentAt  time.Duration
	heardAt time.Duration
	reading int64
	boot    uint64
	urgent  bool
	slots   []*slot
	// committed is the total need of the slots that have not ended, without the
	// waiting ones.
	committed infra.Resources
	// reserved is the total need of the waiting slots; stopping is that of the
	// running slots that have been told to stop.
	reserved infra.Resources
	stopping infra.Resources
	waiting  int
	held     int
	// memoryOveruse is the usage of tasks above their needs; it is not
	// available to others.
	memoryOveruse infra.Resources
	health        health
	// jobTasks is used within one search: the number of the job's tasks on this
	// worker.
	jobTasks int
	ended    int
	forgets  []string
}

// free is the capacity that is neither committed nor reserved.
func (w *worker) free() infra.Resources { return w.uncommitted().Sub(w.reserved) }

// uncommitted is the capacity in which a waiting task may start.
func (w *worker) uncommitted() infra.Resources {
	return w.Capacity.Sub(w.committed).Sub(w.memoryOveruse)
}

func (w *worker) find(id string) *slot {
	for _, sl := range w.slots {
		if sl.task.ID == id {
			return sl
		}
	}
	return nil
}

// add assigns a slot to a worker: its need is committed at once, or reserved
// while the slot waits.
func (s *Shard) add(w *worker, sl *slot) {
	sl.worker, sl.at = w, len(w.slots)
	w.slots = append(w.slots, sl)
	sl.allocate()
	s.slots[sl.attempt] = sl
	s.jobs[sl.attempt.Job] = append(s.jobs[sl.attempt.Job], sl)
}

func (sl *slot) allocate() {
	w := sl.worker
	switch sl.state {
	case slotWaiting:
		w.reserved = w.reserved.Add(sl.task.Need)
		w.waiting++
	case slotHeld:
		w.held++
		fallthrough
	default:
		w.committed = w.committed.Add(sl.task.Need)
	}
}

func (sl *slot) deallocate() {
	w := sl.worker
	switch sl.state {
	case slotWaiting:
		w.reserved = w.reserved.Sub(sl.task.Need)
		w.waiting--
	case slotHeld:
		w.held--
		fallthrough
	default:
		w.committed = w.committed.Sub(sl.task.Need)
	}
	if sl.stop {
		w.stopping = w.stopping.Sub(sl.task.Need)
	}
}

// end marks a slot as ended and releases its resources. It must be called only
// when the task can't run any more: the worker reported that, never received
// it, or its lease has expired.
func (s *Shard) end(sl *slot, final AttemptState, cause Cause, reason string) {
	if sl.state == slotEnded {
		return
	}
	sl.deallocate()
	sl.worker.ended++
	sl.state, sl.final, sl.cause, sl.reason = slotEnded, final, cause, reason
}

// revive commits the resources of an ended slot again, because the worker runs
// its task after all.
func (s *Shard) revive(sl *slot) {
	w := sl.worker
	w.ended--
	sl.state, sl.stop = slotRunning, true
	sl.allocate()
	w.stopping = w.stopping.Add(sl.task.Need)
}

// forget removes an ended slot here and at the worker.
func (s *Shard) forget(sl *slot) {
	w := sl.worker
	last := len(w.slots) - 1
	w.slots[sl.at] = w.slots[last]
	w.slots[sl.at].at = sl.at
	w.slots[last] = nil
	w.slots = w.slots[:last]
	w.ended--
	delete(s.slots, sl.attempt)
	s.dropFromJob(sl)
	if sl.sent {
		w.forgets = append(w.forgets, sl.task.ID)
	}
}

func (s *Shard) dropFromJob(sl *slot) {
	list := s.jobs[sl.attempt.Job]
	for i, other := range list {
		if other == sl {
			list[i] = list[len(list)-1]
			list[len(list)-1] = nil
			list = list[:len(list)-1]
			break
		}
	}
	if len(list) == 0 {
		delete(s.jobs, sl.attempt.Job)
		return
	}
	s.jobs[sl.attempt.Job] = list
}
