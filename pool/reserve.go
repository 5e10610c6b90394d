package pool

import (
	"cmp"
	"slices"
)

// A step whose tasks need much of a worker finds no room while small tasks keep
// every worker partly filled: each gap that opens goes to a small one first. So
// the workers that are nearest to having room are kept for the most urgent steps
// of that kind, and drain towards them.
const (
	// largeShare of a worker's capacity makes a task large.
	largeShare = 0.45
	// reservedShare bounds the part of a pool's workers that is kept.
	reservedShare = 0.35
)

// reserve keeps workers for tasks that found no room, until the next pass.
func (c *Core) reserve(s *step, tasks int) {
	if tasks <= 0 || !s.spec.isLarge(c.smallest) {
		return
	}
	var candidates []*worker
	pool := 0
	for _, w := range c.byID {
		if w.Service != s.job.Service || !w.listed {
			continue
		}
		pool++
		if w.reservedIn == c.pass || !c.fits(s, w) || !c.inTouch(w) || c.permission(s, w) > renewable || !s.spec.isLarge(w.Capacity) {
			continue
		}
		candidates = append(candidates, w)
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int { return cmp.Compare(c.fullness(a), c.fullness(b)) })
	for _, w := range candidates[:min(len(candidates), max(0, tasks))] {
		if float64(c.reserved+1) > reservedShare*float64(pool) {
			return
		}
		c.reserved++
		w.reservedIn, w.reservedFor = c.pass, s
	}
}

// isLarge reports whether a task needs much of a worker.
func (s *StepSpec) isLarge(capacity Resources) bool {
	need := s.Reserved()
	return share(need.CPU, capacity.CPU) >= largeShare || share(need.GPU, capacity.GPU) >= largeShare ||
		share(need.Mem, capacity.Mem) >= largeShare
}

func share(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// keptForOther reports whether a worker is kept for another step.
func (c *Core) keptForOther(s *step, w *worker) bool {
	return w.reservedIn == c.pass && w.reservedFor != s
}
