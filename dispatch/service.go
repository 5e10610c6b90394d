package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// service is the state of one upstream service: its runners and the requests for it.
type service struct {
	name    string
	runners []*runner
	queue   queue
	// runTime is learned from all requests of the service.
	runTime estimate
	// offeredTime is the estimated slot time of the requests that arrived within about the last
	// loadWindow.
	offeredTime time.Duration
	decayedAt   time.Duration
	borrowing   borrowState
	// errorRate is the moving share of answers in which runners report an error.
	errorRate float64
}

// sortedKeys returns the keys of a map in sorted order. Actions must not depend on the iteration
// order of maps.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// loadWindow is the time window of the load measurement.
const loadWindow = 5 * time.Second

func (c *Core) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{name: name, runTime: estimate{mean: initialRunTime, deviation: initialRunTime / 2}}
		c.services[name] = s
	}
	return s
}

// slots returns how many slots this entry may use for the service.
func (s *service) slots() int {
	n := 0
	for _, t := range s.runners {
		switch {
		case !t.acceptsRequests() || t.health.state == Avoided:
		case t.health.state == Probation:
			n++
		default:
			n += max(t.share-t.lent, 0) + len(t.borrowed)
		}
	}
	return n
}

// hasFreeSlot reports whether a slot, own or borrowed, is free.
func (s *service) hasFreeSlot() bool {
	for _, t := range s.runners {
		if t.isEligible() && (t.freeOwnSlots() > 0 || t.hasFreeLoan()) {
			return true
		}
	}
	return false
}

// freeOwnSlots returns how many of this entry's own slots are free.
func (s *service) freeOwnSlots() int {
	n := 0
	for _, t := range s.runners {
		if t.isEligible() {
			n += t.freeOwnSlots()
		}
	}
	return n
}

// FreeOwnSlots returns how many of this entry's own slots of a service are free.
func (c *Core) FreeOwnSlots(serviceName string) int { return c.service(serviceName).freeOwnSlots() }

// acceptsRequests reports whether a runner is listed and not leaving.
func (t *runner) acceptsRequests() bool { return t.listed && t.State != infra.InstanceLeaving }

// recordDemand adds the expected slot time of a new request to the load measurement.
func (s *service) recordDemand(now, run time.Duration) {
	s.decay(now)
	s.offeredTime += run
}

func (s *service) decay(now time.Duration) {
	passed := min(now-s.decayedAt, loadWindow)
	s.offeredTime -= time.Duration(float64(s.offeredTime) * passed.Seconds() / loadWindow.Seconds())
	s.decayedAt = now
}

// load returns the requested slot time as a multiple of the available slot time.
func (s *service) load(now time.Duration, slots int) float64 {
	s.decay(now)
	return s.offeredTime.Seconds() / (loadWindow.Seconds() * float64(max(slots, 1)))
}
