package pool

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// A new owner doesn't know which tasks its predecessor started, so it asks every worker. While
// one of them is silent, any task of an inherited job (one stored before the takeover) might run
// there unnoticed, and all of these jobs would have to wait for the longest lease, 6.9 s.
// Therefore an owner stores a silence record when a worker falls silent: the list of tasks that
// the worker may run. It starts nothing more there until that record is removed. A successor
// then delays only the tasks in the record. A worker that falls silent at the same time as the
// owner has no record. If the platform's list of machines shows that this worker's incarnation
// has ended, nothing runs there any more; otherwise the full wait is needed.

// machineCheckDelay is how long a new owner waits for its workers' answers before it lists the
// machines. Nearly all workers answer within a few round trips, and the list has one page for
// about every hundred machines.
const machineCheckDelay = 200 * time.Millisecond

// requiredAbsentLists is how many consecutive lists must omit a worker before it counts as gone. A
// list is read page by page, and omits a machine if others leave meanwhile.
const requiredAbsentLists = 2

// silenceRecord is the state of a worker's silence record in the store.
type silenceRecord struct {
	unsaved     bool   // the next save writes or removes it
	stored      bool   // the store may hold it
	removalSave uint64 // save that removes it; 0: none
	// blockedTasks are the tasks in a predecessor's record, which may run on the worker
	// unnoticed, and lateTasks those of them that a late start may bring to life until lateUntil.
	blockedTasks, lateTasks []*task
	lateUntil               time.Duration
}

// queueSilenceRecord makes the next save write the worker's silence record, or remove it if the
// worker isn't silent any more. Before the worker has listed all its ends, a record would hide the
// tasks of those that haven't been read, and a predecessor's record still holds.
func (c *Core) queueSilenceRecord(w *worker) {
	if !w.reconciled || (!w.silent && !w.silence.stored) {
		w.silence.unsaved = false
		return
	}
	if !w.silence.unsaved {
		w.silence.unsaved = true
		c.silenceChanges = append(c.silenceChanges, w)
	}
}

// silenceRecords returns the silence records for a save.
func (c *Core) silenceRecords() []Record {
	var records []Record
	for _, w := range c.silenceChanges {
		if !w.silence.unsaved || c.workers[w.ID] != w {
			continue
		}
		w.silence.unsaved = false
		if w.silent {
			w.silence.stored, w.silence.removalSave = true, 0
			r := Record{Key: SilentKey(w.ID), Value: Encode(c.runningTasks(w))}
			if !c.fits(r) {
				// Without a record, a successor waits for the worker's answer or its longest lease.
				c.emit(LogEntry{Event: "silence.not_stored", Worker: w.ID, Runs: len(w.runs),
					Reason: fmt.Sprintf("%d bytes, and a record may have %d", r.Size(), c.settings.MaxRecord)})
				r.Value = nil
			}
			records = append(records, r)
			continue
		}
		w.silence.removalSave = c.saveSeq
		records = append(records, Record{Key: SilentKey(w.ID)})
	}
	c.silenceChanges = nil
	return records
}

// silenceRecordsSaved lets workers get tasks again once their silence records are removed from
// the store.
func (c *Core) silenceRecordsSaved(seq uint64) {
	for _, w := range c.workerList {
		if w.silence.removalSave != 0 && w.silence.removalSave <= seq {
			w.silence.removalSave, w.silence.stored = 0, false
			c.replan = true
			c.workersChanged()
		}
	}
}

// runningTasks returns the tasks that the worker may run, and those that it may have run when it crashed.
func (c *Core) runningTasks(w *worker) []SilentTask {
	list := []SilentTask{}
	for _, r := range w.sortedRuns() {
		if r.phase != planned {
			list = append(list, SilentTask{TaskID: r.task.id(), Unconfirmed: r.phase != running, Stopping: r.endsByStop(), LateStart: c.mayStartLate(r) || c.mayBeRenewedLate(r)})
		}
	}
	for _, l := range w.lost {
		list = append(list, SilentTask{TaskID: l.task.id(), Unconfirmed: l.doubtful, Lost: true})
	}
	return list
}

// silenceStored restores a predecessor's silence record. Its tasks wait until the worker has
// answered, or can't run anything of a predecessor any more.
func (c *Core) silenceStored(e SilenceStored) {
	w := c.workers[e.Worker]
	if w == nil {
		w = c.newWorker(WorkerInfo{ID: e.Worker})
	}
	w.silence.stored, w.runsKnown = true, true
	c.workersChanged()
	w.silent, w.silentSince = true, c.now
	for _, id := range e.Tasks {
		t := cmp.Or(c.reportedTask(id.TaskID), c.finishedTask(id.TaskID))
		switch {
		case id.Lost:
			if t != nil && !t.done {
				w.lost = append(w.lost, lostRun{task: t, lived: unknownLife, doubtful: id.Unconfirmed})
			}
		case t != nil && (!t.done || t.step.spec.permitsCopies()): // the other run of a task that is done may go on
			if t.blockedBy == nil {
				t.blockedBy = w
			}
			if (id.Unconfirmed || id.LateStart) && t.step.spec.waitsForLateStarts() {
				w.silence.lateTasks, w.silence.lateUntil = append(w.silence.lateTasks, t), c.now+lateCallPeriod
			}
			w.silence.blockedTasks = append(w.silence.blockedTasks, t)
			if !id.Stopping && !t.done {
				w.lost = append(w.lost, lostRun{task: t, lived: unknownLife, doubtful: id.Unconfirmed})
			}
		}
	}
}

// unblockTasks unblocks the tasks of a predecessor's silence record, unless another silent worker may run them
// too. If this one hasn't answered, it doesn't refuse the predecessor's late starts.
func (c *Core) unblockTasks(w *worker, answered bool) {
	for _, t := range w.silence.blockedTasks {
		if !answered && slices.Contains(w.silence.lateTasks, t) {
			t.notBefore = max(t.notBefore, w.silence.lateUntil+c.lateStartLease(w))
		}
		if t.blockedBy == w {
			t.blockedBy = c.otherBlocker(t, w)
			c.mayWait(t.step)
			c.replan = true
		}
	}
	w.silence.blockedTasks = nil
}

// otherBlocker returns another silent worker on which a predecessor's run of the task may still be active.
func (c *Core) otherBlocker(t *task, w *worker) *worker {
	for _, o := range c.workerList {
		if o != w && slices.Contains(o.silence.blockedTasks, t) {
			return o
		}
	}
	return nil
}

// mayBeGone reports whether inherited tasks may wait for the worker and it doesn't answer.
func (w *worker) mayBeGone() bool { return w.inherited && !w.reconciled && (w.silent || !w.fenced) }

// waitsForInheritedWorkers reports whether inherited tasks wait for workers that may be gone:
// all of them, or those in a silence record.
func (c *Core) waitsForInheritedWorkers() bool {
	if !c.listed || c.now-c.startedAt < machineCheckDelay {
		return false
	}
	for _, w := range c.workerList {
		if w.mayBeGone() && !c.leaseOver(w) && (!w.runsKnown || len(w.silence.blockedTasks) > 0) {
			return true
		}
	}
	return false
}

// expireGoneWorkers stops waiting for a predecessor's workers whose incarnation has ended: a
// machine that is down, moved or in maintenance runs nothing, and one that is up runs only what
// its current worker runs. Without this, a worker that had just left or gone into maintenance
// delayed all inherited jobs by 6.7 s at a takeover.
func (c *Core) expireGoneWorkers(machines []MachineInfo) {
	up := map[string]bool{}       // by worker
	services := map[string]bool{} // services in the list of machines
	for _, m := range machines {
		services[m.Service] = true
		if m.Worker != "" {
			up[m.Worker] = up[m.Worker] || m.Up // should two machines name it
		}
	}
	for _, m := range machines {
		if m.Up && m.Worker == "" {
			services[m.Service] = false // it may host any worker of the service
		}
	}
	for _, w := range c.workerList {
		if !w.mayBeGone() || !services[w.Service] || c.leaseOver(w) {
			continue
		}
		isUp, found := up[w.ID]
		if !found {
			w.absentLists++
		} else {
			w.absentLists = 0
		}
		if (found && !isUp) || w.absentLists >= requiredAbsentLists {
			c.expireWorker(w)
		}
	}
}

func (c *Core) expireWorker(w *worker) {
	w.hostDown, w.hostDownAt = true, c.now
	c.emit(LogEntry{Event: "worker.over", Worker: w.ID, Reason: "no running machine hosts the worker"})
	c.tickWorker(w)
	c.replan, c.retryAllSteps = true, true
}
