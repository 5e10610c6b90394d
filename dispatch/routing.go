package dispatch

import (
	"slices"
	"time"
)

// maxQueueScan bounds how many queue entries are examined to find one that can be sent. Requests
// that wait for a claim, or have failed on the free runners, are skipped.
const maxQueueScan = 32

// dispatch sends queued requests of a service while its runners have free slots.
func (c *Core) dispatch(now time.Duration, s *service) []Action {
	var out []Action
	for i := 0; i < min(len(s.queue), maxQueueScan) && s.hasFreeSlot(); {
		r := s.queue[i].request
		target := s.pickRunner(r)
		// A request at its deadline is left to its timer: its caller no longer waits for an
		// answer.
		if r.phase != queued || target == nil || now >= r.Deadline {
			i++
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		out = append(out, c.send(now, r, target))
	}
	return append(out, c.borrow(now, s)...)
}

func (c *Core) send(now time.Duration, r *request, target *runner) Send {
	if target.freeOwnSlots() > 0 {
		target.busy++
	} else {
		r.loan = target.loanFor(r)
		r.loan.used = true
	}
	r.phase, r.runner, r.sent = running, target, now
	r.attempts++
	r.stalled = false
	c.timers.set(r, min(r.Deadline, now+r.stallTimeout()))
	return Send{Request: r.ID, Runner: target.Instance, Attempt: r.attempts}
}

// pickRunner returns the best runner with a slot that the request may use. A retry prefers a
// runner in another availability zone or rack than those on which it failed.
func (s *service) pickRunner(r *request) *runner {
	var best *runner
	for _, t := range s.runners {
		if !t.isEligible() || r.hasFailedOn(t.ID) || t.freeOwnSlots() == 0 && t.loanFor(r) == nil {
			continue
		}
		if best == nil || t.isPreferredTo(best, r) {
			best = t
		}
	}
	return best
}

// isPreferredTo orders runners by distance from the failed ones, then own slots before borrowed
// ones, then load.
func (t *runner) isPreferredTo(than *runner, r *request) bool {
	if near, other := t.failureProximity(r), than.failureProximity(r); near != other {
		return near < other
	}
	if own, other := t.freeOwnSlots() > 0, than.freeOwnSlots() > 0; own != other {
		return own
	}
	return t.loadScore() < than.loadScore()
}

// dispatchAll dispatches the queues of all services, in order of their names.
func (c *Core) dispatchAll(now time.Duration) []Action {
	var out []Action
	for _, name := range sortedKeys(c.services) {
		out = append(out, c.dispatch(now, c.services[name])...)
	}
	return out
}
