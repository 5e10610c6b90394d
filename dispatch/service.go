package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// service is the runners of one upstream service and the requests for it.
type service struct {
	name    string
	runners []*runner
	queue   queue
	// run is what is learned of all its requests together.
	run estimate
	// offered is the slot time asked for within about the last loadWindow.
	offered   time.Duration
	offeredAt time.Duration
	asking    asking
	// erring is the share of answers by which runners say that they failed.
	erring float64
}

// sortedKeys returns the keys of a map in order, as actions must not depend on the
// order of maps.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// loadWindow is how far the measured load looks back.
const loadWindow = 5 * time.Second

func (c *Core) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{name: name, run: estimate{mean: firstRun, dev: firstRun / 2}}
		c.services[name] = s
	}
	return s
}

// slots is how many slots this entry may use for the service.
func (s *service) slots() int {
	n := 0
	for _, t := range s.runners {
		switch {
		case !t.takesNew() || t.health.state == Avoided:
		case t.health.state == Probation:
			n++
		default:
			n += max(t.share-t.lent, 0) + len(t.borrowed)
		}
	}
	return n
}

// idle reports whether a slot is free.
func (s *service) idle() bool {
	for _, t := range s.runners {
		if t.open() && (t.ownFree() > 0 || t.loanFree()) {
			return true
		}
	}
	return false
}

// free is how many of this entry's own slots are idle.
func (s *service) free() int {
	n := 0
	for _, t := range s.runners {
		if t.open() {
			n += t.ownFree()
		}
	}
	return n
}

// Idle is how many of this entry's own slots of a service are idle.
func (c *Core) Idle(serviceName string) int { return c.service(serviceName).free() }

// takesNew reports whether a runner may get new requests at all.
func (t *runner) takesNew() bool { return t.listed && t.State != infra.InstanceLeaving }

// offer counts the slot time that a new request asks for.
func (s *service) offer(now, run time.Duration) {
	s.decay(now)
	s.offered += run
}

func (s *service) decay(now time.Duration) {
	passed := min(now-s.offeredAt, loadWindow)
	s.offered -= time.Duration(float64(s.offered) * passed.Seconds() / loadWindow.Seconds())
	s.offeredAt = now
}

// load is the slot time asked for as a multiple of what the slots give.
func (s *service) load(now time.Duration, slots int) float64 {
	s.decay(now)
	return s.offered.Seconds() / (loadWindow.Seconds() * float64(max(slots, 1)))
}
