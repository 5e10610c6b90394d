package dispatch

import (
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
	return append(out, c.ask(now, s)...)
}

func (c *Core) send(now time.Duration, r *request, target *runner) Send {
	if target.ownFree() > 0 {
		target.busy++
	} else {
		r.loan = target.loanFor(r)
		r.loan.used = true
	}
	r.phase, r.runner, r.sent = running, target, now
	r.attempts++
	r.stalled = false
	c.timers.set(r, min(r.Deadline, now+r.stallsAfter()))
	return Send{Request: r.ID, Runner: target.Instance, Attempt: r.attempts}
}

// pick returns the best runner with a slot for us. A retry goes first to another
// availability zone or rack than those that failed it.
func (s *service) pick(r *request) *runner {
	var best *runner
	for _, t := range s.runners {
		if !t.open() || r.avoids(t.ID) || t.ownFree() == 0 && t.loanFor(r) == nil {
			continue
		}
		if best == nil || t.better(best, r) {
			best = t
		}
	}
	return best
}

// better prefers the runner further from those that failed the request, then our
// own slots to borrowed ones, and then the less busy runner.
func (t *runner) better(than *runner, r *request) bool {
	if near, other := t.nearness(r), than.nearness(r); near != other {
		return near < other
	}
	if own, other := t.ownFree() > 0, than.ownFree() > 0; own != other {
		return own
	}
	return t.cost() < than.cost()
}

// dispatchAll sends what can be sent of all services, in the order of names.
func (c *Core) dispatchAll(now time.Duration) []Action {
	var out []Action
	for _, name := range sortedKeys(c.services) {
		out = append(out, c.dispatch(now, c.services[name])...)
	}
	return out
}
