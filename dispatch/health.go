package dispatch

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Health is the health state of a runner.
type Health string

// Health states.
const (
	Healthy Health = "healthy"
	// Avoided: the runner failed too often and gets no requests for some time.
	Avoided Health = "avoided"
	// Probation: the runner gets one request at a time until successesToRecover have succeeded.
	Probation Health = "probation"
)

const (
	// failuresToAvoid is the number of consecutive failures after which a runner is avoided.
	failuresToAvoid = 3
	// failureShareToAvoid is the failure share, over about healthWindow attempts, from which a
	// runner with intermittent failures is avoided.
	failureShareToAvoid = 0.5
	healthWindow        = 16
	// successesToRecover is the number of consecutive successes that end probation.
	successesToRecover = 3
	// initialAvoidance is doubled with each relapse, up to maxAvoidance.
	initialAvoidance = time.Second
	maxAvoidance     = 10 * time.Second
	// serviceErrorThreshold is the share of error answers of a whole service from which errors
	// are attributed to the requests and no longer to single runners.
	serviceErrorThreshold = 0.5
	// slowThreshold is the ratio of actual to expected run time above which a runner's load
	// score is increased.
	slowThreshold = 1.5
)

// health tracks the attempts on a runner. A runner that fails immediately always has free slots
// and would attract most requests, so its failures take precedence over its free slots.
type health struct {
	state        Health
	avoidedUntil time.Duration
	avoidance    time.Duration
	failures     int
	successes    int
	// failureShare and slowness are moving averages.
	failureShare float64
	slowness     float64
	reason       string
	lastFailure  string
	lastFailedAt time.Duration
}

func newHealth() health { return health{state: Healthy, slowness: 1} }

// update ends an expired avoidance and returns the state.
func (h *health) update(now time.Duration) Health {
	if h.state == Avoided && now >= h.avoidedUntil {
		h.state, h.successes = Probation, 0
	}
	return h.state
}

// recordFailure records a failed attempt.
func (h *health) recordFailure(now time.Duration, reason string) {
	h.failures++
	h.successes = 0
	h.failureShare += (1 - h.failureShare) / healthWindow
	h.lastFailure, h.lastFailedAt = reason, now
	relapse := h.update(now) == Probation
	if relapse || h.state == Healthy && (h.failures >= failuresToAvoid || h.failureShare >= failureShareToAvoid) {
		h.avoid(now, reason)
	}
}

func (h *health) avoid(now time.Duration, reason string) {
	h.avoidance = min(max(2*h.avoidance, initialAvoidance), maxAvoidance)
	h.state, h.avoidedUntil, h.reason = Avoided, now+h.avoidance, reason
}

// recordSuccess records a successful attempt; slowdown is its run time as a multiple of the
// expected one.
func (h *health) recordSuccess(now time.Duration, slowdown float64) {
	h.failures = 0
	h.failureShare -= h.failureShare / healthWindow
	h.slowness += (slowdown - h.slowness) / healthWindow
	if h.update(now) != Probation {
		return
	}
	h.successes++
	if h.successes >= successesToRecover {
		*h = health{state: Healthy, slowness: h.slowness, lastFailure: h.lastFailure, lastFailedAt: h.lastFailedAt}
	}
}

// loadScore rates the runner for one more request: utilization, increased by its slowness. Lower
// is better.
func (t *runner) loadScore() float64 {
	c := float64(t.busy+1) / float64(max(t.share, 1))
	if t.health.slowness > slowThreshold {
		c *= t.health.slowness
	}
	return c
}

// isEligible reports whether the runner may get one more request. Slots of an ineligible runner
// are neither used nor lent: as they are always free, a borrower would be drawn to them.
func (t *runner) isEligible() bool {
	switch t.health.state {
	case Avoided:
		return false
	case Probation:
		return t.acceptsRequests() && t.inProgress() == 0
	}
	return t.acceptsRequests()
}

// inProgress returns the number of this entry's attempts on the runner, including those on
// borrowed slots.
func (t *runner) inProgress() int {
	n := t.busy
	for _, b := range t.borrowed {
		if b.used {
			n++
		}
	}
	return n
}

// failureProximity returns how close the runner is to those on which the request failed: 0 for
// another availability zone, 1 for another rack, 2 for the same rack, which may share the fault.
func (t *runner) failureProximity(r *request) int {
	closest := 0
	for _, f := range r.failedRunners {
		closest = max(closest, proximity(t.Instance, f))
	}
	return closest
}

func proximity(a, b infra.Instance) int {
	switch {
	case a.Zone != b.Zone:
		return 0
	case a.Rack != b.Rack:
		return 1
	}
	return 2
}
