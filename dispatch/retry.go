package dispatch

import (
	"slices"
	"time"
)

const (
	// maxRetryBudget bounds the retries saved up in quiet times.
	maxRetryBudget = 10
	// notBegunCost is the part of a retry that one costs after an attempt that never began:
	// it took nothing of a runner. When an availability zone is gone, each entry meets each of its
	// runners a few times before it avoids them.
	notBegunCost = 0.2
)

// retryCost is what a retry after such a failure takes from the budget.
func retryCost(f Failure) float64 {
	if f.mayHaveRun() {
		return 1
	}
	return notBegunCost
}

func (c *Core) earnRetry() { c.budget = min(c.budget+c.cfg.RetryShare, maxRetryBudget) }

// mayRetry reports whether a failed request may be sent once more. Another try
// is safe if nothing ran, or if running twice does no harm.
func (c *Core) mayRetry(now time.Duration, r *request, f Failure) bool {
	safe := !r.mayRun || r.Idempotent
	inTime := now < r.latestStart()
	paid := r.brokenOff || c.budget >= retryCost(f)
	return safe && !r.left && inTime && paid && c.hasOther(r)
}

// payRetry takes a retry after a failure from the budget, unless that was done when the attempt
// was broken off.
func (c *Core) payRetry(r *request, f Failure) {
	if !r.brokenOff {
		c.budget -= retryCost(f)
	}
	r.brokenOff = false
}

const (
	// stallDistances is how many average distances above the mean an attempt takes
	// until it is held to be stuck; fewer than one in a thousand last so long.
	stallDistances = 12
	minStall       = 250 * time.Millisecond
	// lateLook is the time between two looks at the timers from which on this process
	// itself was held up.
	lateLook = 100 * time.Millisecond
)

// stallsAfter is when an attempt is held to be stuck. Before run times are known it never
// is: with a first guess of 50 ms all runners would look stuck to a service that takes a second.
func (r *request) stallsAfter() time.Duration {
	if !r.expected.known() {
		return r.Deadline
	}
	return max(minStall, r.expected.within(stallDistances))
}

// stall takes in that an attempt takes far too long: its runner is paused, or the
// connection went silent. It costs the caller one short try and not the whole
// deadline, if the request may run twice and the budget has a retry left.
func (c *Core) stall(now time.Duration, r *request) []Action {
	if c.late {
		// The answers may be waiting to be read: a process that was paused would else
		// hold every runner to be stuck and refuse all callers.
		c.timers.set(r, min(r.Deadline, now+r.stallsAfter()))
		return nil
	}
	if !r.stalled {
		r.stalled = true
		c.suspect(now, r, "an attempt got stuck")
	}
	if r.brokenOff || !r.Idempotent {
		c.timers.set(r, r.Deadline)
		return nil
	}
	if c.budget < 1 || !c.hasSlotElsewhere(r) {
		c.timers.set(r, min(r.Deadline, now+minStall))
		return nil
	}
	r.brokenOff = true
	c.budget--
	c.timers.set(r, r.Deadline)
	return []Action{Cancel{r.ID}}
}

// hasSlotElsewhere reports whether another runner has a free slot for a request, beside those
// for requests whose attempts were broken off just now. The slot of an attempt that is broken
// off stays taken until its runner must have stopped, so one without another slot would only
// wait for its deadline.
func (c *Core) hasSlotElsewhere(r *request) bool {
	s := c.service(r.Service)
	free := 0
	for _, t := range s.runners {
		switch {
		case t == r.runner || !t.open() || r.avoids(t.ID):
		case t.health.state == Probation:
			free++
		default:
			free += t.ownFree()
			if t.ownFree() == 0 && t.loanFor(r) != nil {
				free++
			}
		}
	}
	return free > s.brokenOff(c.requests)
}

// brokenOff counts the service's requests whose attempts were broken off and have yet to end.
func (s *service) brokenOff(requests map[uint64]*request) int {
	n := 0
	for _, r := range requests {
		if r.brokenOff && r.runner != nil && slices.Contains(s.runners, r.runner) {
			n++
		}
	}
	return n
}

// suspect counts silence against a runner, unless half of the service's runners are in
// doubt already: then something else is slow, and avoiding the rest would refuse all callers.
func (c *Core) suspect(now time.Duration, r *request, why string) {
	doubtful := 0
	runners := c.service(r.Service).runners
	for _, t := range runners {
		if t.health.state != Healthy {
			doubtful++
		}
	}
	if 2*doubtful < len(runners) {
		r.runner.health.fail(now, why)
	}
}

func (c *Core) hasOther(r *request) bool {
	return slices.ContainsFunc(c.service(r.Service).runners, func(t *runner) bool { return t.takesNew() && t.health.state != Avoided && !r.avoids(t.ID) })
}
