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
	return safe && !r.left && inTime && c.budget >= retryCost(f) && c.hasOther(r)
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
	r.stalled = true
	c.suspect(now, r, "an attempt got stuck")
	c.timers.set(r, r.Deadline)
	if r.Idempotent && c.budget >= 1 && c.hasOther(r) {
		return []Action{Cancel{r.ID}}
	}
	return nil
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
