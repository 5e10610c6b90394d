package dispatch

import (
	"fmt"
	"time"
)

const (
	// queueDeviations is the number of mean absolute deviations added to the mean run time when
	// a request is queued.
	queueDeviations = 4
	// sendDeviations is the same when the request is about to be sent. It has already waited for
	// its slot, so a smaller safety margin suffices.
	sendDeviations = 2
	// maxWaitShare is the share of the time between arrival and deadline that a request may
	// spend in the queue. Under sustained overload a longer queue delivers no more, it only
	// makes all requests wait.
	maxWaitShare = 0.5
	// minRetryAfter and maxRetryAfter bound the retry delay given to callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Arrive handles a new request. It is rejected at once if it can't finish before its deadline,
// or only by displacing requests of higher value.
func (c *Core) Arrive(now time.Duration, in Request) []Action {
	c.earnRetryBudget()
	r := &request{Request: in, arrived: now, heapIndex: -1, expected: c.estimates.get(in.Team, in.Service)}
	s := c.service(in.Service)
	s.recordDemand(now, r.expected.mean)
	if reason := c.infeasibleReason(now, s, r); reason != "" {
		return []Action{c.refuse(now, r, reason)}
	}
	c.requests[in.ID] = r
	if !in.Idempotent {
		return c.admit(now, s, r, claiming)
	}
	return append(c.admit(now, s, r, queued), c.dispatch(now, s)...)
}

// infeasibleReason returns why the request could not be served even without load, or "".
func (c *Core) infeasibleReason(now time.Duration, s *service, r *request) string {
	switch {
	case s.slots() == 0:
		return fmt.Sprintf("no runner of %s takes requests of this entry: each is leaving, failing or not listed", s.name)
	case now+max(0, r.expected.meanPlus(-sendDeviations)) >= r.Deadline:
		return "no runner could end it before the deadline"
	}
	return ""
}

// admit queues a request, possibly displacing others.
func (c *Core) admit(now time.Duration, s *service, r *request, p phase) []Action {
	r.phase = p
	c.setTimer(r)
	at := s.queue.insert(r.newQueueEntry())
	var out []Action
	if p == claiming {
		out = append(out, ProposeClaim{r.ID})
	}
	if s.hasFreeSlot() && len(s.queue) == 1 {
		return out
	}
	evicted := c.displacedBy(now, s, at)
	if len(evicted) == 1 && evicted[0] == r {
		return []Action{c.refuse(now, r, "the load is too high for a request of its worth and run time to end in time")}
	}
	for _, displaced := range evicted {
		out = append(out, c.refuse(now, displaced, "displaced by a request that is worth more for its run time"))
	}
	return out
}

// displacedBy returns the requests that must leave the queue because of the new one; possibly
// the new request itself.
func (c *Core) displacedBy(now time.Duration, s *service, newcomer int) []*request {
	places := s.queue.displaced(newcomer, now, s.runTime.mean/time.Duration(s.slots()), s.slots())
	if len(places) == 0 && len(s.queue) > c.cfg.MaxQueue {
		places = []int{s.queue.leastValuable(len(s.queue)-1, newcomer, nil)}
	}
	var out []*request
	for _, i := range places {
		out = append(out, s.queue[i].request)
	}
	return out
}

// newQueueEntry returns the queue entry of a request.
func (r *request) newQueueEntry() queueEntry {
	latest := r.Deadline - r.expected.meanPlus(queueDeviations)
	maxWait := time.Duration(maxWaitShare * float64(r.Deadline-r.arrived))
	return queueEntry{request: r, latestStart: min(latest, r.arrived+maxWait), run: r.expected.mean,
		valueDensity: r.Worth / max(r.expected.mean.Seconds(), 1e-6)}
}

// latestStart returns when a queued request is given up because it would most likely miss its
// deadline.
func (r *request) latestStart() time.Duration {
	return max(r.arrived, r.Deadline-r.expected.meanPlus(sendDeviations))
}

func (c *Core) setTimer(r *request) {
	wake := r.latestStart()
	if r.phase == claiming && c.cfg.ClaimTimeout > 0 {
		wake = min(wake, r.arrived+c.cfg.ClaimTimeout)
	}
	c.timers.set(r, wake)
}

// Claimed handles the decision on a claim; err is nil if it was granted. A decision that arrives
// after the request was given up has no effect: the claim may stay in the log, but the request
// is not sent under it.
func (c *Core) Claimed(now time.Duration, id uint64, err error, mayBeOurs bool) []Action {
	r, ok := c.requests[id]
	if !ok || r.phase != claiming {
		return nil
	}
	switch {
	case err != nil && mayBeOurs:
		return []Action{c.refuse(now, r, "the log did not confirm the claim in time; the request was not sent")}
	case err != nil:
		return []Action{c.refuse(now, r, "not claimed: "+err.Error())}
	case now >= r.Deadline:
		return []Action{c.refuse(now, r, "the claim was confirmed after the deadline; the request was not sent")}
	}
	r.phase = queued
	c.setTimer(r)
	return c.dispatch(now, c.service(r.Service))
}

// requeue queues a request for a retry.
func (c *Core) requeue(now time.Duration, s *service, r *request) []Action {
	r.phase = queued
	c.setTimer(r)
	s.queue.insert(r.newQueueEntry())
	return c.dispatch(now, s)
}

// retryAfter estimates when a request like this one could be admitted: after the queue has
// drained, and the later the more the offered load exceeds the capacity, since the load falls
// only if callers stay away long enough.
func (c *Core) retryAfter(now time.Duration, s *service, r *request) time.Duration {
	slots := s.slots()
	if slots == 0 {
		return time.Second
	}
	work := r.expected.mean
	for _, w := range s.queue {
		work += w.run
	}
	drained := work.Seconds() / float64(slots)
	wait := time.Duration(drained * max(1, s.load(now, slots)) * float64(time.Second))
	// Spread the retries of callers that were rejected at the same time.
	wait += wait / 4 * time.Duration(r.ID%4) / 4
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
