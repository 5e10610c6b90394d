package dispatch

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Health is how much a runner is trusted with requests.
type Health string

// The states of health.
const (
	Healthy Health = "healthy"
	// Avoided: it failed too often and gets nothing for a while.
	Avoided Health = "avoided"
	// Probation: it gets one request at a time until some have succeeded.
	Probation Health = "probation"
)

const (
	// failuresToAvoid is how many failures in a row make a runner avoided.
	failuresToAvoid = 3
	// failureShareToAvoid makes one avoided that fails now and then, looking back on about
	// healthWindow attempts.
	failureShareToAvoid = 0.5
	healthWindow        = 16
	// successesToTrust is how many successes in a row end probation.
	successesToTrust = 3
	// firstAvoidance doubles with each relapse up to maxAvoidance.
	firstAvoidance = time.Second
	maxAvoidance   = 10 * time.Second
	// serviceFailing is the share of erring answers of a whole service above which
	// they are laid to the requests and no longer to single runners.
	serviceFailing = 0.5
	// slowFrom is how many times longer than expected a runner has to take before
	// it is chosen less.
	slowFrom = 1.5
)

// health is what is known of a runner from its attempts. A runner that fails
// everything at once always has idle slots and would draw most requests to itself,
// so failures count against it before its idle slots count for it.
type health struct {
	state     Health
	until     time.Duration
	avoidance time.Duration
	failures  int
	successes int
	// failureShare and slowness are moving averages.
	failureShare float64
	slowness     float64
	reason       string
	lastReason   string
	lastFailed   time.Duration
}

func newHealth() health { return health{state: Healthy, slowness: 1} }

// at brings the state up to date: avoidance ends with time.
func (h *health) at(now time.Duration) Health {
	if h.state == Avoided && now >= h.until {
		h.state, h.successes = Probation, 0
	}
	return h.state
}

// fail takes in a failed attempt.
func (h *health) fail(now time.Duration, why string) {
	h.failures++
	h.successes = 0
	h.failureShare += (1 - h.failureShare) / healthWindow
	h.lastReason, h.lastFailed = why, now
	relapse := h.at(now) == Probation
	if relapse || h.state == Healthy && (h.failures >= failuresToAvoid || h.failureShare >= failureShareToAvoid) {
		h.avoid(now, why)
	}
}

func (h *health) avoid(now time.Duration, why string) {
	h.avoidance = min(max(2*h.avoidance, firstAvoidance), maxAvoidance)
	h.state, h.until, h.reason = Avoided, now+h.avoidance, why
}

// succeed takes in an attempt that took as many times the expected run time.
func (h *health) succeed(now time.Duration, times float64) {
	h.failures = 0
	h.failureShare -= h.failureShare / healthWindow
	h.slowness += (times - h.slowness) / healthWindow
	if h.at(now) != Probation {
		return
	}
	h.successes++
	if h.successes >= successesToTrust {
		*h = health{state: Healthy, slowness: h.slowness, lastReason: h.lastReason, lastFailed: h.lastFailed}
	}
}

// cost is how unattractive one more request at the runner is.
func (t *runner) cost() float64 {
	c := float64(t.busy+1) / float64(max(t.share, 1))
	if t.health.slowness > slowFrom {
		c *= t.health.slowness
	}
	return c
}

// open reports whether the runner may get one more request. Slots of others are
// neither used nor lent: a borrower would be drawn to them as they are always idle.
func (t *runner) open() bool {
	switch t.health.state {
	case Avoided:
		return false
	case Probation:
		return t.takesNew() && t.inProgress() == 0
	}
	return t.takesNew()
}

// inProgress counts all our attempts at the runner, on borrowed slots too.
func (t *runner) inProgress() int {
	n := t.busy
	for _, b := range t.borrowed {
		if b.used {
			n++
		}
	}
	return n
}

// nearness says how close a runner is to those that failed a request: another
// availability zone, another rack, or the same rack, which may share their fault.
func (t *runner) nearness(r *request) int {
	near := 0
	for _, f := range r.failedAt {
		near = max(near, closeness(t.Instance, f))
	}
	return near
}

func closeness(a, b infra.Instance) int {
	switch {
	case a.Zone != b.Zone:
		return 0
	case a.Rack != b.Rack:
		return 1
	}
	return 2
}
