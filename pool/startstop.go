package pool

import (
	"fmt"
	"time"
)

const (
	// stopRetryInterval is the time after which an unanswered stop is sent again.
	stopRetryInterval = 300 * time.Millisecond
	// maxStartTries is how often an unanswered start is sent before the run is stopped instead.
	// Sending a start again is harmless: a worker executes a run only once.
	maxStartTries = 3
	// misdirectedLogInterval is the minimum time between two log lines about calls to a worker at a wrong address.
	misdirectedLogInterval = time.Minute
)

// stop tells a run's worker to stop it.
func (c *Core) stop(r *run, reason string) {
	switch {
	case r.stopping:
		return
	case r.phase == planned:
		c.dropPlanned(r)
		return
	}
	r.stopping = true
	r.task.endLateStart(r.number)
	c.logRun("run.stop", r, reason)
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.stopSentAt = c.now
	w := r.worker
	c.emit(Stop{Worker: w.ID, Addr: w.Addr, Born: w.incarnation, Token: c.token(w), Task: r.task.id(), Run: r.number})
}

func (c *Core) stopAnswered(e StopAnswered) {
	w := c.answeringWorker(e.Worker, e.Addr, e.Token, e.Outcome)
	if w == nil || e.Born != w.incarnation {
		return // a former incarnation's confirmation says nothing about this one
	}
	// A worker that refused because it is unhealthy has done nothing: the run may exist there, or
	// its start may still arrive. Treating that as a confirmation would start the task twice.
	if r := w.runs[runKey{e.Task, e.Run}]; r != nil && e.Outcome == OK {
		r.stopConfirmedAt = c.now
	}
}

// answeringWorker returns the worker that answered, or nil if there is nothing left to do there
// according to the answer: this owner was replaced, or another incarnation of the worker answered
// at its address and all runs of this one are gone.
func (c *Core) answeringWorker(id, addr string, token uint64, outcome Outcome) *worker {
	c.watchInheritedSuspects()
	w := c.workers[id]
	switch {
	case w == nil:
		return nil
	case outcome == Fenced && !c.isOutdated(w, token):
		c.depose("worker " + w.ID + " has seen a newer owner")
		return nil
	case outcome == WrongIncarnation && w.isKnownAt(addr):
		c.rememberLostRuns(w, w.sortedRuns())
		c.workerCrashed(w, true)
		c.loseRuns(w, w.sortedRuns(), "another incarnation of the worker answered")
		c.removeWorker(w)
		return nil
	case outcome == WrongIncarnation && (w.misdirectedLoggedAt == 0 || c.now-w.misdirectedLoggedAt >= misdirectedLogInterval):
		w.misdirectedLoggedAt = c.now
		c.emit(LogEntry{Event: "worker.misdirected", Worker: w.ID, Incarnation: w.incarnation, Runs: len(w.runs),
			Reason: fmt.Sprintf("another worker answered at %s; it last answered at %s", addr, w.answeredAddr)})
	}
	c.freeChanged(w)
	return w
}

// isKnownAt reports whether the worker is at an address unless it has ended. A list entry, or the record of a
// predecessor, may name one where it has never been or isn't any more: that another worker answers there says
// nothing about it.
func (w *worker) isKnownAt(addr string) bool {
	return addr == "" || addr == w.Addr && (w.answeredAddr == "" || addr == w.answeredAddr)
}

func (c *Core) startAnswered(e StartAnswered) {
	if e.Outcome == WrongIncarnation {
		c.dropUnsentRun(e)
	}
	w := c.answeringWorker(e.Worker, e.Addr, e.Token, e.Outcome)
	if w == nil {
		return
	}
	c.checkClock(w, e)
	r := w.runs[runKey{e.Task, e.Run}]
	if r == nil {
		return
	}
	c.startSettled(r, e.Outcome != NoAnswer)
	if e.Outcome != NoAnswer || r.phase == running {
		c.releaseRecord(r)
	}
	if r.phase == running {
		return
	}
	r.answeredAt = c.now
	switch e.Outcome {
	case OK:
		c.confirmRun(r)
		c.markBegun(r.task.step.job)
	case NoAnswer:
		c.retryStart(r)
	case Stale:
		// The run was there and has ended: either its end is listed, or it is found to have
		// vanished.
		r.phase = running
		r.task.endLateStart(r.number)
	default:
		c.startRefused(r, e.Outcome)
	}
}

// dropUnsentRun removes a run whose only start reached another incarnation of the worker. The task
// can't be the reason why the addressed one has ended.
func (c *Core) dropUnsentRun(e StartAnswered) {
	w := c.workers[e.Worker]
	if w == nil || !w.isKnownAt(e.Addr) {
		return
	}
	if r := w.runs[runKey{e.Task, e.Run}]; r != nil && r.startsSent == 1 && r.phase == starting {
		c.logRun("start.refused", r, e.Outcome.String())
		c.startSettled(r, true)
		c.removeRun(r)
	}
}

func (c *Core) retryStart(r *run) {
	w := r.worker
	w.unansweredStartAt, r.unansweredAt = c.now, c.now
	c.logRun("start.unanswered", r, fmt.Sprintf("sent %d times", r.startsSent))
	isSameIncarnation := w.incarnationMetAt <= r.startedAt // what the next one may get isn't stored yet, see acceptsTasks
	mayLeave := r.sendUntil == 0 || c.now < r.sendUntil
	if r.startsSent < maxStartTries && mayLeave && !r.stopping && isSameIncarnation && c.mayRenew(w) && w.used.Within(w.Capacity) {
		c.sendStart(r)
		return
	}
	r.phase = unconfirmed
	c.stop(r, "start without an answer")
}

// startRefused handles a start that the worker definitely didn't execute.
func (c *Core) startRefused(r *run, why Outcome) {
	w := r.worker
	c.logRun("start.refused", r, why.String())
	switch why {
	case InvalidTicket:
		r.task.step.advice.dropTicket(w)
	case NoRoom, DeadlinePassed, WrongIncarnation, NotSent:
		w.pausedUntil = c.now + retryDelay
	case Unhealthy:
		w.pausedUntil = c.now + unhealthyPause
	case Rejected:
		r.task.notBefore = c.now + unhealthyPause
	}
	if r.startsSent > 1 {
		// An earlier, unanswered start may still arrive.
		r.phase = unconfirmed
		c.stop(r, "refused after a start without an answer")
	} else {
		c.removeRun(r)
	}
	if r.task.step.spec.Gang {
		c.stopGang(r.task.step, "the start of a member was refused")
	}
}
