package dispatch

import (
	"maps"
	"slices"
	"time"
)

// maxSkipped bounds how many places of a queue are looked at for one that can be
// sent, as those that wait for a claim or avoid the free runners are passed over.
const maxSkipped = 32

// dispatch sends queued requests of a service while its runners have free slots.
func (c *Core) dispatch(now time.Duration, s *service) []Action {
	var out []Action
	for i := 0; i < min(len(s.queue), maxSkipped) && s.idle(); {
		r := s.queue[i].request
		target := s.pick(r)
		// At its deadline a request waits for its timer: nothing is sent that
		// nobody waits for.
		if r.phase != queued || target == nil || now >= r.Deadline {
			i++
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		out = append(out, c.send(now, r, target))
	}
	return out
}

func (c *Core) send(now time.Duration, r *request, target *runner) Send {
	target.busy++
	r.phase, r.runner, r.sent = running, target, now
	r.attempts++
	c.timers.set(r, r.Deadline)
	return Send{Request: r.ID, Runner: target.Instance, Attempt: r.attempts}
}

// pick returns the least busy runner with a slot for us.
func (s *service) pick(r *request) *runner {
	var best *runner
	for _, t := range s.runners {
		if !t.takesNew() || t.busy >= t.share || r.avoids(t.ID) {
			continue
		}
		if best == nil || t.busy*best.share < best.busy*t.share {
			best = t
		}
	}
	return best
}

// dispatchAll sends what can be sent of all services, in the order of names.
func (c *Core) dispatchAll(now time.Duration) []Action {
	var out []Action
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		out = append(out, c.dispatch(now, c.services[name])...)
	}
	return out
}
