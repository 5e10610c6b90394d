package pool

import (
	"cmp"
	"slices"
	"time"
)

// Large tasks, and gangs, whose members need capacity at the same time, would starve while small
// tasks keep every worker partly utilized: each gap that opens goes to a small task first. So
// workers are reserved for the most urgent steps of that kind. Until such a step is expected to
// start, other tasks may be backfilled if most tasks like them would have ended by then.
//
// All workers that a gang may use are reserved for it, not only those where slots are expected
// first: run times are known so roughly that it starts sooner on whichever slots become free first.
// With a third of the work in gangs, 3 of 10 workers allowed for each and 80 % of the processors
// demanded, reservations raised the earned value from 0.896 to 0.931 of that offered, and at 90 %
// from 0.861 to 0.911 (kw-pool-load, 40 simulations). Reserving only the earliest slots, with the
// rest of the workers open to other tasks, gave 0.900 and 0.867.
const (
	// largeTaskShare is the share of a worker's capacity from which on a task is large.
	largeTaskShare = 0.45
	// maxReservedShare bounds the share of a pool's workers that are reserved. Reserving all of
	// them earned as much value; 0.5 earned 0.01 to 0.03 less.
	maxReservedShare = 0.8
	// reservationInterval is how often reservations are recomputed. They change as tasks end that
	// run for seconds, and going through a pool of 350 workers takes some milliseconds.
	reservationInterval = 100 * time.Millisecond
	// caughtUpAfter is how long an owner must have kept up with its events to count as no longer
	// behind.
	caughtUpAfter = 2 * time.Second
)

// reservation reserves a worker for a step.
type reservation struct {
	step *step
	// at is when the step can start there, as far as is known.
	at time.Duration
}

// slot is the capacity for one task on a worker that becomes free at some time.
type slot struct {
	worker *worker
	at     time.Duration
}

// needsReservation reports whether a step would starve without reserved workers. An owner that has
// fallen behind reserves none for gangs: it learns of free capacity and tickets so late that
// reserved workers stay idle, and it has more waiting steps to go through. On 350 workers with an
// owner that had no processor time left, jobs earned 0.68 of the offered value with reservations
// and 0.75 without.
func (c *Core) needsReservation(s *step) bool {
	if s.spec.Gang && (c.laggedAt == 0 || c.now-c.laggedAt > caughtUpAfter) {
		return true
	}
	return s.spec.isLarge(c.smallestCapacity)
}

// resetReservations drops all reservations at regular intervals, so that they are recomputed
// in this pass.
func (c *Core) resetReservations() {
	if c.reserving = c.reservationsDue(); !c.reserving {
		return
	}
	c.reservedAt = c.now
	c.reservedCount = 0
	for _, w := range c.workerList {
		w.reserved = nil
	}
}

// reservationsDue reports whether reservations are to be recomputed.
func (c *Core) reservationsDue() bool { return c.now-c.reservedAt >= reservationInterval }

// reserveFor reserves workers for tasks of a step that found too little free capacity.
func (c *Core) reserveFor(s *step, tasks int) {
	if tasks <= 0 || !c.reserving || s.urgency.turn || !c.needsReservation(s) {
		return
	}
	candidates, pool := c.reservable(s)
	limit := int(maxReservedShare * float64(pool))
	if c.reservedCount >= limit {
		return
	}
	slots := c.earliestSlots(s, tasks, candidates)
	if !s.spec.Gang {
		for _, x := range slots {
			c.reserveWorker(x.worker, reservation{step: s, at: x.at}, limit)
		}
		return
	}
	if len(slots) < tasks {
		return // it can't start on these workers at all
	}
	c.requestTicketsAhead(s, slots)
	for _, w := range candidates {
		c.reserveWorker(w, reservation{step: s, at: slots[len(slots)-1].at}, limit)
	}
}

func (c *Core) reserveWorker(w *worker, r reservation, limit int) {
	if w.reserved != nil || c.reservedCount >= limit {
		return
	}
	c.reservedCount++
	w.reserved = &r
}

// reservable returns the workers that may be reserved for a step, and the number of workers in its
// pool.
func (c *Core) reservable(s *step) (candidates []*worker, pool int) {
	for _, w := range c.workerList {
		if w.Service != s.job.Service || !w.listed {
			continue
		}
		pool++
		if w.reserved == nil && c.isEligible(s, w) && c.acceptsTasks(w) && c.permission(s, w) <= renewable {
			candidates = append(candidates, w)
		}
	}
	return candidates, pool
}

// earliestSlots returns the slots for a step's tasks that become free first.
func (c *Core) earliestSlots(s *step, tasks int, candidates []*worker) []slot {
	if !s.spec.Gang || !s.spec.SameRack {
		return c.earliestSlotsAmong(s, tasks, candidates)
	}
	racks := map[string][]*worker{}
	for _, w := range candidates {
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	var best []slot
	for _, w := range candidates { // independent of the map's order
		inRack := racks[w.Rack]
		delete(racks, w.Rack)
		slots := c.earliestSlotsAmong(s, tasks, inRack)
		if len(slots) == tasks && (best == nil || slots[tasks-1].at < best[tasks-1].at) {
			best = slots
		}
	}
	return best
}

func (c *Core) earliestSlotsAmong(s *step, tasks int, candidates []*worker) []slot {
	var all []slot
	for _, w := range candidates {
		all = c.appendSlots(all, s, w)
	}
	slices.SortStableFunc(all, func(a, b slot) int { return cmp.Compare(a.at, b.at) })
	return all[:min(len(all), tasks)]
}

// appendSlots appends the slots for a step's tasks that become free on a worker as its runs end.
func (c *Core) appendSlots(all []slot, s *step, w *worker) []slot {
	free := w.free()
	fitting := c.tasksThatFit(s, free)
	for range fitting {
		all = append(all, slot{worker: w, at: c.now})
	}
	for _, e := range c.expectedEnds(w) {
		free = free.Plus(e.need)
		for range c.tasksThatFit(s, free) - fitting {
			fitting++
			all = append(all, slot{worker: w, at: e.at})
		}
	}
	return all
}

// reservedForOther reports whether a reservation keeps a step off a worker. It doesn't if capacity
// on it was booked for the step and its tickets have arrived: when the worker was reserved for
// another step after the request, the booked capacity stayed idle and the gang had to request
// advice again, in 6 of 10 renewals on 350 busy workers (kw-pool-load -shape grown). Nor does it if
// the holder is less urgent and this step would get reserved workers as well: while its request is
// pending it isn't known which, and they are reserved for others. A step that doesn't need
// reservations has to be of a more urgent tier or priority, as it would otherwise take each gap.
func (c *Core) reservedForOther(s *step, w *worker) bool {
	r := w.reserved
	if c.isolationMode != notIsolated {
		return false
	}
	if r == nil || r.step == s || r.step.job.state.Ended() || r.step.remaining == 0 || s.hasBooked(w) || c.overridesReservation(s, r.step) {
		return false
	}
	return c.now+c.runtimeQuantile(s, w, backfillShare) > r.at
}

// overridesReservation reports whether a step may use a worker reserved for another step: if its
// tier or priority is more urgent, or if it is due earlier and needs reservations itself.
func (c *Core) overridesReservation(s, holder *step) bool {
	return s.urgency.moreUrgentThan(holder.urgency) || (c.needsReservation(s) && s.urgency.compare(holder.urgency) < 0)
}

// isLarge reports whether a task needs a large share of a worker.
func (s *StepSpec) isLarge(capacity Resources) bool {
	need := s.Reserved()
	return ratio(need.CPU, capacity.CPU) >= largeTaskShare || ratio(need.GPU, capacity.GPU) >= largeTaskShare ||
		ratio(need.Mem, capacity.Mem) >= largeTaskShare
}

func ratio(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
