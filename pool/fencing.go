package pool

import "time"

// A call without an answer may be carried out seconds later, after newer calls. A worker refuses calls
// with a lower fencing token than the highest that it has seen, but one that has started again under its
// ID has seen none: it would carry out a start that was meant for its former incarnation, even of a task
// that is done and forgotten here. So the calls to each incarnation carry a higher token than those to the
// one before. The first call with it makes the incarnation refuse all that was sent to a former one; until
// then, nothing can.

// lateCallPeriod is how long a call without an answer may still be carried out. The token of a removed worker
// is kept that long, in case it comes back, and for good once it was raised: the worker may come back without
// having started again.
const lateCallPeriod = 12 * time.Second

// workerFencing is how a worker's fencing token follows its incarnations.
type workerFencing struct {
	born   int64  // newest incarnation that is known, see WorkerInfo.Born; 0: none
	raises uint64 // how often the token has been raised
}

// formerFencing is the fencing of a worker that was removed.
type formerFencing struct {
	workerFencing
	removedAt time.Duration
}

// token returns the fencing token of calls to the worker.
func (c *Core) token(w *worker) uint64 { return c.settings.Token + w.fencing.raises }

// isOutdated reports whether a call was sent to the worker with a lower token than the present one; 0: it
// is unknown with which.
func (c *Core) isOutdated(w *worker, token uint64) bool { return token != 0 && token < c.token(w) }

// mayGetLateStarts reports whether a start without an answer may reach the worker's next incarnation before
// a call with a higher token does.
func (c *Core) mayGetLateStarts(w *worker) bool {
	return w.unansweredStartAt != 0 && c.now-w.unansweredStartAt < lateCallPeriod
}

// waitsForLateStarts reports whether tasks of the step are held back while a start of them may be carried out late.
// Those that last have to be started again soon after their worker is lost, and those that permit copies may run twice.
func (s *StepSpec) waitsForLateStarts() bool { return !s.LongRunning && !s.permitsCopies() }

// mayStartLate reports whether a start of the run without an answer may still be carried out. That its worker's
// lease has expired doesn't prevent it: the worker may have started again, with a clock that the start's
// deadline is ahead of.
func (c *Core) mayStartLate(r *run) bool {
	if !r.task.step.spec.waitsForLateStarts() {
		return false
	}
	if l := c.lateStartOf(r.task); l != nil && l.worker == r.worker.ID {
		return true
	}
	late := lateCallPeriod + c.lateStartLease(r.worker)
	return r.unansweredAt != 0 && c.now-r.unansweredAt < late
}

// mayBeRenewedLate reports whether a late start of another run may lengthen the lease of this one, whose start an incarnation
// has answered that no hold has reached.
func (c *Core) mayBeRenewedLate(r *run) bool {
	w := r.worker
	late := lateCallPeriod + c.lateStartLease(w)
	return r.phase == running && r.listedIn == 0 && w.hasUnmetIncarnation() && w.unansweredStartAt != 0 && c.now-w.unansweredStartAt < late && r.task.step.spec.waitsForLateStarts()
}

// lateStartLease returns how long a run may last that a late start has brought to life on a later incarnation of its worker,
// if one is known to have appeared.
func (c *Core) lateStartLease(w *worker) time.Duration {
	if !w.hasUnmetIncarnation() {
		return 0
	}
	return leaseBound(c.settings.MaxLease)
}

// fenceFormerIncarnation raises the worker's token if the incarnation is a newer one than was known. An owner
// that has used up its tokens gives the pool up: the next claim's are higher.
func (c *Core) fenceFormerIncarnation(w *worker, born int64) {
	f := &w.fencing
	if born <= f.born {
		return
	}
	restarted := f.born != 0
	f.born = born
	switch {
	case !restarted || c.settings.Tokens == 0:
	case f.raises+1 >= c.settings.Tokens:
		c.depose("worker " + w.ID + " has started again more often than there are fencing tokens")
	default:
		f.raises++
	}
}

// keepToken keeps the token of a worker that is removed.
func (c *Core) keepToken(w *worker) {
	if c.formerFencing == nil {
		c.formerFencing = map[string]formerFencing{}
	}
	for id, f := range c.formerFencing {
		if f.raises == 0 && c.now-f.removedAt >= lateCallPeriod {
			delete(c.formerFencing, id)
		}
	}
	if w.fencing.born != 0 {
		c.formerFencing[w.ID] = formerFencing{w.fencing, c.now}
	}
}

// restoreToken gives a worker that comes back the token that it had.
func (c *Core) restoreToken(w *worker) {
	var f formerFencing
	f, w.wasRemoved = c.formerFencing[w.ID]
	w.fencing = f.workerFencing
	delete(c.formerFencing, w.ID)
}
