package dispatch

import (
	"fmt"
	"time"
)

const (
	// planDistances is how many average distances above the mean a run time is
	// taken to be when a request is given a place in the queue.
	planDistances = 4
	// startDistances is the same when it is about to be sent: it waited for its
	// slot already, so less certainty is enough.
	startDistances = 2
	// waitShare is the part of a request's time that it may spend in the queue.
	// A longer queue delivers no more under lasting overload; it only makes all wait.
	waitShare = 0.5
	// minRetryAfter and maxRetryAfter bound when callers are told to come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Arrive takes in a request. A request that can't end in time, or only at the cost
// of worthier ones, is refused at once.
func (c *Core) Arrive(now time.Duration, in Request) []Action {
	c.earnRetry()
	r := &request{Request: in, arrived: now, place: -1, expected: c.estimates.of(in.Team, in.Service)}
	s := c.service(in.Service)
	s.offer(now, r.expected.mean)
	if why := c.hopeless(now, s, r); why != "" {
		return []Action{c.refuse(now, r, why)}
	}
	c.requests[in.ID] = r
	if !in.Idempotent {
		return c.admit(now, s, r, claiming)
	}
	return append(c.admit(now, s, r, queued), c.dispatch(now, s)...)
}

// hopeless says why a request could not be served even by an idle cell.
func (c *Core) hopeless(now time.Duration, s *service, r *request) string {
	switch {
	case s.slots() == 0:
		return fmt.Sprintf("no runner of %s takes requests of this entry: each is leaving, failing or not listed", s.name)
	case now+max(0, r.expected.within(-startDistances)) >= r.Deadline:
		return "no runner could end it before the deadline"
	}
	return ""
}

// admit gives a request its place in the queue, if need be in place of others.
func (c *Core) admit(now time.Duration, s *service, r *request, p phase) []Action {
	r.phase = p
	c.setTimer(r)
	at := s.queue.insert(r.planned())
	var out []Action
	if p == claiming {
		out = append(out, AskClaim{r.ID})
	}
	if s.idle() && len(s.queue) == 1 {
		return out
	}
	leaving := c.crowdedOut(now, s, at)
	if len(leaving) == 1 && leaving[0] == r {
		return []Action{c.refuse(now, r, "the load is too high for a request of its worth and run time to end in time")}
	}
	for _, other := range leaving {
		out = append(out, c.refuse(now, other, "displaced by a request that is worth more for its run time"))
	}
	return out
}

// crowdedOut returns the requests that have to leave for the newcomer, or the
// newcomer itself.
func (c *Core) crowdedOut(now time.Duration, s *service, newcomer int) []*request {
	places := s.queue.displaced(newcomer, now, s.run.mean/time.Duration(s.slots()), s.slots())
	if len(places) == 0 && len(s.queue) > c.cfg.MaxQueue {
		places = []int{s.queue.leastWorthy(len(s.queue)-1, newcomer, nil)}
	}
	var out []*request
	for _, i := range places {
		out = append(out, s.queue[i].request)
	}
	return out
}

// planned is the place in the queue that a request asks for.
func (r *request) planned() waiting {
	latest := r.Deadline - r.expected.within(planDistances)
	patience := time.Duration(waitShare * float64(r.Deadline-r.arrived))
	return waiting{request: r, latest: min(latest, r.arrived+patience), run: r.expected.mean,
		density: r.Worth / max(r.expected.mean.Seconds(), 1e-6)}
}

// latestStart is when a request that still waits is given up: it would most
// likely end too late.
func (r *request) latestStart() time.Duration {
	return max(r.arrived, r.Deadline-r.expected.within(startDistances))
}

func (c *Core) setTimer(r *request) {
	wake := r.latestStart()
	if r.phase == claiming && c.cfg.ClaimWait > 0 {
		wake = min(wake, r.arrived+c.cfg.ClaimWait)
	}
	c.timers.set(r, wake)
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

// requeue puts a request back for another try.
func (c *Core) requeue(now time.Duration, s *service, r *request) []Action {
	r.phase = queued
	c.setTimer(r)
	s.queue.insert(r.planned())
	return c.dispatch(now, s)
}

// comeBack estimates when a request like this one would find a place: the queue
// has to drain first, and the more is offered beyond what the slots give,
// the longer callers have to stay away for the load to fall.
func (c *Core) comeBack(now time.Duration, s *service, r *request) time.Duration {
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
	// Callers refused together come back spread out.
	wait += wait / 4 * time.Duration(r.ID%4) / 4
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
