package pool

import "slices"

// A worker that drains takes its tasks along when it leaves, and doesn't tell: its owner
// finds out 6.3 s later, when the lease is over. Tasks that end by themselves may end in
// time, and are left. Lasting ones don't, so they are stopped while their worker drains
// and begin elsewhere, as many at once as their step may miss and as there is room for.
// Gangs stay: their members would have to find room together.

// leaveDraining moves lasting tasks away from workers that drain.
func (c *Core) leaveDraining() {
	for _, w := range c.byID {
		if !w.Draining || !w.listed || !w.fenced || w.silent {
			continue
		}
		for _, r := range w.sortedRuns() {
			if c.shouldLeave(r) {
				c.moveAway(r)
			}
		}
	}
}

// shouldLeave reports whether a run on a worker that drains is to end there now, if
// there is room elsewhere.
func (c *Core) shouldLeave(r *run) bool {
	s := r.task.step
	return s.spec.LongRunning && !s.spec.Gang && r.task.run == r && r.phase == running && !r.stopping &&
		c.now >= s.lookAgain && c.mayPlace(s) && s.mayMissBut(r.task)
}

// moveAway stops a run once there is room for it elsewhere, and keeps that room until its
// end is listed: others of a full pool would take it meanwhile. Where a ticket is needed,
// it is asked for first.
func (c *Core) moveAway(r *run) {
	s := r.task.step
	s.rated = c.urgencyOf(s)
	picks := c.pick(s, 1, allowed)
	if len(picks) == 0 {
		s.lookAgain = c.now + lookAgainAfter
		c.askFor(s, 1)
		return
	}
	r.kept = &booking{worker: picks[0], need: r.need}
	picks[0].booked = picks[0].booked.Plus(r.need)
	s.kept = append(s.kept, r.kept)
	c.stop(r, "its worker drains")
}

// giveBack ends the keeping of room for a run's task.
func (r *run) giveBack() {
	if r.kept == nil {
		return
	}
	w, s := r.kept.worker, r.task.step
	w.booked = w.booked.Minus(r.kept.need)
	s.kept = slices.DeleteFunc(s.kept, func(b *booking) bool { return b == r.kept })
	r.kept = nil
}
