package dispatch

import (
	"slices"
	"time"
)

// Arrive takes in a request.
func (c *Core) Arrive(now time.Duration, in Request) []Action {
	c.earnRetry()
	r := &request{Request: in, arrived: now, place: -1}
	if len(c.queue) >= c.cfg.MaxQueue {
		return []Action{c.finish(r, NotRun, "the entry's queue is full")}
	}
	c.requests[in.ID] = r
	if in.Idempotent {
		c.timers.set(r, in.Deadline)
		return c.enqueue(now, r)
	}
	r.phase = claiming
	c.timers.set(r, c.claimBy(r))
	return []Action{AskClaim{in.ID}}
}

func (c *Core) claimBy(r *request) time.Duration {
	if c.cfg.ClaimWait <= 0 {
		return r.Deadline
	}
	return min(r.Deadline, r.arrived+c.cfg.ClaimWait)
}

// Claimed takes in the ruling on a claim. err is nil when the claim is ours. A
// ruling that comes after the request was given up changes nothing: the claim
// may stand in the log, but nobody sends the request under it.
func (c *Core) Claimed(now time.Duration, id uint64, err error, mayBeOurs bool) []Action {
	r, ok := c.requests[id]
	if !ok || r.phase != claiming {
		return nil
	}
	switch {
	case err != nil && mayBeOurs:
		return []Action{c.finish(r, NotRun, "the log did not confirm the claim in time; the request was not sent")}
	case err != nil:
		return []Action{c.finish(r, NotRun, "not claimed: "+err.Error())}
	case now >= r.Deadline:
		return []Action{c.finish(r, NotRun, "the claim was confirmed after the deadline; the request was not sent")}
	}
	c.timers.set(r, r.Deadline)
	return c.enqueue(now, r)
}

func (c *Core) enqueue(now time.Duration, r *request) []Action {
	r.phase = queued
	c.queue = append(c.queue, r)
	return c.dispatch(now)
}

// unqueue takes a request out of the queue, so that it no longer counts there.
func (c *Core) unqueue(r *request) {
	if i := slices.Index(c.queue, r); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
}

// comeBack estimates when a slot will be free for one more request.
func (c *Core) comeBack() time.Duration {
	slots := 0
	for _, r := range c.order {
		slots += r.share
	}
	return c.meanRun * time.Duration(1+len(c.queue)/max(slots, 1))
}
