package dispatch

import (
	"fmt"
	"time"
)

// Outcome is the final result of a request.
type Outcome string

// Outcomes. NotRun is reported only if no runner started the request.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Failure is the way in which an attempt ended without a usable answer.
type Failure int

// Kinds of failures.
const (
	// NeverSent: no byte of the request was written.
	NeverSent Failure = iota
	// Refused: the runner reported that it did not start the request.
	Refused
	// MayHaveRun: the request was sent and no complete answer arrived; it may still be running.
	MayHaveRun
	// BadAnswer: the runner completed the request, but its answer is unusable.
	BadAnswer
)

// mayHaveRun reports whether the runner may have started the request.
func (f Failure) mayHaveRun() bool { return f == MayHaveRun || f == BadAnswer }

// Answered handles a complete answer of a runner. erred is set if the answer reports an error of
// the runner (a status of 500 and above): it is still passed to the caller, but counts against
// the runner and does not update the run time estimates.
func (c *Core) Answered(now time.Duration, id uint64, took time.Duration, erred bool) []Action {
	r, ok := c.requests[id]
	if !ok || r.runner == nil {
		return nil
	}
	s := c.service(r.Service)
	if r.cancelling {
		r.cancelling = false
		c.retryBudget = min(c.retryBudget+1, maxRetryBudget) // the reserved retry was not needed
	}
	c.learnFromAnswer(now, s, r, took, erred)
	c.releaseSlot(r)
	if r.phase == ended {
		c.deleteRequest(r)
		return c.dispatch(now, s)
	}
	return append([]Action{c.finish(now, r, Done, "")}, c.dispatch(now, s)...)
}

// learnFromAnswer updates the runner's health and the estimates from an answer.
func (c *Core) learnFromAnswer(now time.Duration, s *service, r *request, took time.Duration, erred bool) {
	if erred {
		s.errorRate += (1 - s.errorRate) / estimateWindow
		if s.errorRate < serviceErrorThreshold {
			r.runner.health.recordFailure(now, "it answers with errors")
		}
		return
	}
	s.errorRate -= s.errorRate / estimateWindow
	slowdown := 1.0
	if r.expected.isReliable() {
		slowdown = took.Seconds() / r.expected.mean.Seconds()
	}
	r.runner.health.recordSuccess(now, slowdown)
	c.learnRunTime(s, r, took)
}

// Failed handles the end of an attempt without a usable answer.
func (c *Core) Failed(now time.Duration, id uint64, f Failure, reason string) []Action {
	r, ok := c.requests[id]
	if !ok || r.runner == nil {
		return nil
	}
	r.failedRunners = append(r.failedRunners, r.runner.Instance)
	if !r.callerGone && !r.stalled && r.phase == running {
		r.runner.health.recordFailure(now, reason)
	}
	r.mayHaveRun = r.mayHaveRun || f.mayHaveRun()
	if f == MayHaveRun {
		c.holdSlot(r)
	} else {
		c.releaseSlot(r)
	}
	s := c.service(r.Service)
	switch {
	case r.phase == ended:
		c.deleteRequest(r)
	case c.canRetry(now, r, f):
		c.chargeRetry(r, f)
		return c.requeue(now, s, r)
	default:
		return append([]Action{c.finishWithoutAnswer(now, r, reason)}, c.dispatch(now, s)...)
	}
	return c.dispatch(now, s)
}

// Expire fires the timers that are due, releases expired slots and loans, and dispatches queued
// requests.
func (c *Core) Expire(now time.Duration) []Action {
	c.timersLate = now-c.lastExpire >= maxExpireGap
	c.lastExpire = now
	c.releaseExpiredHolds(now)
	for _, t := range c.sortedRunners {
		t.health.update(now)
	}
	out := c.recallLoans(now)
	for r := c.timers.due(now); r != nil; r = c.timers.due(now) {
		out = append(out, c.expire(now, r)...)
	}
	out = append(out, c.dispatchAll(now)...)
	return append(out, c.returnLoans(now)...)
}

func (c *Core) expire(now time.Duration, r *request) []Action {
	switch r.phase {
	case claiming:
		return []Action{c.finish(now, r, NotRun, "the log did not confirm the claim in time; the request was not sent")}
	case queued:
		return []Action{c.finishWithoutAnswer(now, r, fmt.Sprintf("no runner of %s was free in time for it to end before the deadline", r.Service))}
	case running:
		if now < r.Deadline {
			return c.handleStall(now, r)
		}
		// The sender may hang, and the caller must not wait for it.
		r.mayHaveRun = true
		if !r.stalled && r.expected.isReliable() && now-r.sent >= r.expected.meanPlus(queueDeviations) {
			c.recordSilence(now, r, "an attempt lasted beyond the deadline")
		}
		c.learnRunTime(c.service(r.Service), r, now-r.sent)
		return []Action{c.finishWithoutAnswer(now, r, "the runner did not answer before the deadline"), Cancel{r.ID}}
	}
	// The sender never reported the end of the attempt; the runner has stopped by now.
	c.releaseSlot(r)
	c.deleteRequest(r)
	return nil
}

// Gone handles a caller that has disconnected. A request that was not sent is dropped. An
// idempotent one in progress is cancelled; a non-idempotent one runs on, so that its outcome can
// be stored for a repeated request.
func (c *Core) Gone(now time.Duration, id uint64) []Action {
	r, ok := c.requests[id]
	if !ok || r.callerGone || r.phase == ended {
		return nil
	}
	r.callerGone = true
	if r.phase != running {
		return append([]Action{c.finishWithoutAnswer(now, r, "the caller left")}, c.dispatch(now, c.service(r.Service))...)
	}
	if r.Idempotent {
		return []Action{Cancel{id}}
	}
	return nil
}

// finishWithoutAnswer ends a request as Unknown if it may have run, else as NotRun.
func (c *Core) finishWithoutAnswer(now time.Duration, r *request, reason string) Finished {
	if r.mayHaveRun {
		return c.finish(now, r, Unknown, reason)
	}
	return c.finish(now, r, NotRun, reason)
}

// refuse ends a request of which no attempt was sent.
func (c *Core) refuse(now time.Duration, r *request, reason string) Finished {
	return c.finishWithoutAnswer(now, r, reason)
}

// learnRunTime adds a run time, or a lower bound of it, to the estimates.
func (c *Core) learnRunTime(s *service, r *request, took time.Duration) {
	r.expected.add(took)
	s.runTime.add(took)
}

// finish ends a request. An attempt in progress keeps its slot until its end is reported or its
// runner must have stopped.
func (c *Core) finish(now time.Duration, r *request, o Outcome, reason string) Finished {
	f := Finished{Request: r.ID, Outcome: o, Reason: reason}
	if o == NotRun {
		f.RetryAfter = c.retryAfter(now, c.service(r.Service), r)
	}
	if o != Done {
		c.recordRefusal(now, r, f)
	}
	if r.phase == queued || r.phase == claiming {
		c.service(r.Service).queue.remove(r)
	}
	r.phase = ended
	if r.runner == nil {
		c.deleteRequest(r)
		return f
	}
	c.timers.set(r, r.Deadline+stopGrace)
	return f
}

func (c *Core) deleteRequest(r *request) {
	c.timers.stop(r)
	delete(c.requests, r.ID)
}
