package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

type slotState int

const (
	// slotWaiting has a claim on room that others still use.
	slotWaiting slotState = iota
	// slotHeld has its room and waits for a Confirm.
	slotHeld
	// slotStarting is to be started; the worker may or may not run it yet.
	slotStarting
	// slotRunning was in a report of the worker.
	slotRunning
	// slotEnded uses nothing any more and waits for its home's Forget.
	slotEnded
)

// slot is one attempt at one worker.
type slot struct {
	attempt Attempt
	home    ownership.Unit
	worker  *worker
	// at is the slot's index in worker.slots.
	at    int
	task  infra.Task
	hints hints
	state slotState
	// sent means that a start was handed to the network: from then on the
	// worker may run the task until it says otherwise.
	sent   bool
	final  AttemptState
	cause  Cause
	reason string
	// run is how long the task had run by its last report, which came at ranAt.
	run   time.Duration
	ranAt time.Duration
	usage infra.Resources
	// memory is what the newest report says the task uses, in MiB.
	memory int64
	// throttled means that the task is above its need and is to be throttled.
	throttled bool
	heldAt    time.Duration
	// hold means that the task is not to start before a Confirm.
	hold bool
	// claimAt is when a waiting slot expects its room.
	claimAt time.Duration
	// backfill marks a task that runs in room which a waiting slot claims.
	backfill bool
	stop     bool
	noted    bool
	seen     bool
	toldAt   time.Duration
	// missingUntil is set for a task of a machine that was replaced under the same
	// worker ID: the old machine may run it until its lease has lapsed.
	missingUntil time.Duration
}

// ranFor is how long the task has run by now. Reports without news don't list a
// running task.
func (sl *slot) ranFor(now time.Duration) time.Duration {
	if sl.state != slotRunning {
		return sl.run
	}
	return sl.run + now - sl.ranAt
}

// worker is one worker as its owner sees it.
type worker struct {
	infra.Worker
	// listed means that the platform's list has the worker.
	listed bool
	// listedAt is when it was last on the list, for one that no longer is.
	listedAt time.Duration
	// fenced means that the worker has answered under this owner's token at
	// least once: its predecessors are fenced out, and whatever they started is in
	// slots.
	fenced bool
	// settledAt is when no machine that had this worker's ID before can run a
	// task that slots does not hold.
	settledAt time.Duration
	// reconciled means that slots holds all that the worker runs now; a worker
	// whose lease has lapsed has to answer again first.
	reconciled bool
	sequence   uint64
	inflight   bool
	// polling is how long the request in flight may be held back.
	polling time.Duration
	// known is the change count of the last answer; fullAt is when the last
	// report of all tasks came.
	known   uint64
	fullAt  time.Duration
	sentAt  time.Duration
	heardAt time.Duration
	reading int64
	boot    uint64
	urgent  bool
	slots   []*slot
	// committed is what the slots that have not ended need together.
	committed infra.Resources
	// claimed is what the waiting slots need together; leaving is what the
	// running ones need that have been told to stop.
	claimed infra.Resources
	leaving infra.Resources
	waiting int
	held    int
	// overuse is what tasks use above their needs; it is kept from others.
	overuse infra.Resources
	health  health
	// peers is used within one search: the tasks of the job that are here.
	peers   int
	ended   int
	forgets []string
}

// free is the room that is neither committed nor claimed.
func (w *worker) free() infra.Resources { return w.uncommitted().Sub(w.claimed) }

// uncommitted is the room that a waiting task may start in.
func (w *worker) uncommitted() infra.Resources {
	return w.Capacity.Sub(w.committed).Sub(w.overuse)
}

func (w *worker) find(id string) *slot {
	for _, sl := range w.slots {
		if sl.task.ID == id {
			return sl
		}
	}
	return nil
}

// add takes a slot's need from its worker's room: committed at once, or claimed
// while the slot waits.
func (s *Shard) add(w *worker, sl *slot) {
	sl.worker, sl.at = w, len(w.slots)
	w.slots = append(w.slots, sl)
	sl.take()
	s.slots[sl.attempt] = sl
	s.jobs[sl.attempt.Job] = append(s.jobs[sl.attempt.Job], sl)
}

func (sl *slot) take() {
	w := sl.worker
	switch sl.state {
	case slotWaiting:
		w.claimed = w.claimed.Add(sl.task.Need)
		w.waiting++
	case slotHeld:
		w.held++
		fallthrough
	default:
		w.committed = w.committed.Add(sl.task.Need)
	}
}

func (sl *slot) giveBack() {
	w := sl.worker
	switch sl.state {
	case slotWaiting:
		w.claimed = w.claimed.Sub(sl.task.Need)
		w.waiting--
	case slotHeld:
		w.held--
		fallthrough
	default:
		w.committed = w.committed.Sub(sl.task.Need)
	}
	if sl.stop {
		w.leaving = w.leaving.Sub(sl.task.Need)
	}
}

// end gives a slot's room back. It must be called only when the task can't run
// any more: the worker said so, never got it, or its lease has lapsed.
func (s *Shard) end(sl *slot, final AttemptState, cause Cause, reason string) {
	if sl.state == slotEnded {
		return
	}
	sl.giveBack()
	sl.worker.ended++
	sl.state, sl.final, sl.cause, sl.reason = slotEnded, final, cause, reason
}

// revive commits the room of an ended slot again: the worker runs it after all.
func (s *Shard) revive(sl *slot) {
	w := sl.worker
	w.ended--
	sl.state, sl.stop = slotRunning, true
	sl.take()
	w.leaving = w.leaving.Add(sl.task.Need)
}

// forget drops an ended slot here and at the worker.
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
