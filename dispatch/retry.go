package dispatch

import (
	"slices"
	"time"
)

const (
	// maxRetryBudget bounds the retries accumulated while there are few failures.
	maxRetryBudget = 10
	// notStartedRetryCost is the budget cost of a retry after an attempt that never started and
	// so used no runner time. When an availability zone fails, each entry tries each of the
	// zone's runners a few times before it avoids them; at full cost the retries of these
	// attempts would soon use up the budget.
	notStartedRetryCost = 0.2
)

// retryCost returns the budget cost of a retry after the given failure.
func retryCost(f Failure) float64 {
	if f.mayHaveRun() {
		return 1
	}
	return notStartedRetryCost
}

func (c *Core) earnRetryBudget() { c.retryBudget = min(c.retryBudget+c.cfg.RetryRatio, maxRetryBudget) }

// canRetry reports whether a failed request may be sent again. A retry is safe if no runner can
// have started the request, or if the request is idempotent.
func (c *Core) canRetry(now time.Duration, r *request, f Failure) bool {
	safe := !r.mayHaveRun || r.Idempotent
	inTime := now < r.latestStart()
	paid := r.cancelling || c.retryBudget >= retryCost(f)
	return safe && !r.callerGone && inTime && paid && c.hasAlternative(r)
}

// chargeRetry deducts a retry from the budget, unless that was already done when the attempt was
// cancelled.
func (c *Core) chargeRetry(r *request, f Failure) {
	if !r.cancelling {
		c.retryBudget -= retryCost(f)
	}
	r.cancelling = false
}

const (
	// stallDeviations is the number of mean absolute deviations above the mean after which an
	// attempt counts as stuck. Fewer than one in a thousand attempts take that long.
	stallDeviations = 12
	minStallTimeout = 250 * time.Millisecond
	// maxExpireGap is the time between two calls of Expire from which this process itself is
	// assumed to have been paused.
	maxExpireGap = 100 * time.Millisecond
)

// stallTimeout returns after what time an attempt counts as stuck. Without a reliable estimate
// it is the deadline: with the initial guess of 50 ms, all runners of a service that takes a
// second would look stuck.
func (r *request) stallTimeout() time.Duration {
	if !r.expected.isReliable() {
		return r.Deadline
	}
	return max(minStallTimeout, r.expected.meanPlus(stallDeviations))
}

// handleStall handles an attempt that takes far too long because its runner is paused or its
// connection hangs. If the request is idempotent and the budget allows a retry, the attempt is
// cancelled, so the caller loses a short time and not its whole deadline.
func (c *Core) handleStall(now time.Duration, r *request) []Action {
	if c.timersLate {
		// This process was paused and answers may be waiting to be read. Without this check it
		// would treat every runner as stuck and reject all requests.
		c.timers.set(r, min(r.Deadline, now+r.stallTimeout()))
		return nil
	}
	if !r.stalled {
		r.stalled = true
		c.recordSilence(now, r, "an attempt got stuck")
	}
	if r.cancelling || !r.Idempotent {
		c.timers.set(r, r.Deadline)
		return nil
	}
	if c.retryBudget < 1 || !c.hasFreeSlotElsewhere(r) {
		c.timers.set(r, min(r.Deadline, now+minStallTimeout))
		return nil
	}
	r.cancelling = true
	c.retryBudget--
	c.timers.set(r, r.Deadline)
	return []Action{Cancel{r.ID}}
}

// hasFreeSlotElsewhere reports whether another runner has a free slot for the request, not
// counting slots needed by requests whose attempts are being cancelled. The slot of a cancelled
// attempt stays occupied until its runner must have stopped, so a request without another slot
// would only wait for its deadline.
func (c *Core) hasFreeSlotElsewhere(r *request) bool {
	s := c.service(r.Service)
	free := 0
	for _, t := range s.runners {
		switch {
		case t == r.runner || !t.isEligible() || r.hasFailedOn(t.ID):
		case t.health.state == Probation:
			free++
		default:
			free += t.freeOwnSlots()
			if t.freeOwnSlots() == 0 && t.loanFor(r) != nil {
				free++
			}
		}
	}
	return free > s.countCancelling(c.requests)
}

// countCancelling returns the number of the service's requests whose attempts are being
// cancelled.
func (s *service) countCancelling(requests map[uint64]*request) int {
	n := 0
	for _, r := range requests {
		if r.cancelling && r.runner != nil && slices.Contains(s.runners, r.runner) {
			n++
		}
	}
	return n
}

// recordSilence counts a missing answer as a failure of the runner, unless half of the service's
// runners are already not healthy. In that case a common cause is more likely, and avoiding the
// remaining runners would reject all requests.
func (c *Core) recordSilence(now time.Duration, r *request, reason string) {
	unhealthy := 0
	runners := c.service(r.Service).runners
	for _, t := range runners {
		if t.health.state != Healthy {
			unhealthy++
		}
	}
	if 2*unhealthy < len(runners) {
		r.runner.health.recordFailure(now, reason)
	}
}

func (c *Core) hasAlternative(r *request) bool {
	return slices.ContainsFunc(c.service(r.Service).runners, func(t *runner) bool { return t.acceptsRequests() && t.health.state != Avoided && !r.hasFailedOn(t.ID) })
}
