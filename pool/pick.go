package pool

import "slices"

// pick returns workers for up to n tasks of a step, one for each, among those
// with at least the given permission. It may name a worker several times.
func (c *Core) pick(s *step, n int, least permission) []*worker {
	need := s.spec.Reserved()
	candidates := c.candidates[:0]
	for _, w := range c.takers {
		if need.Within(w.free) && c.fits(s, w.worker) && c.permission(s, w.worker) <= least && !c.keptForOther(s, w.worker) {
			candidates = append(candidates, w.worker)
		}
	}
	c.candidates = candidates
	if s.spec.Gang && s.spec.SameRack {
		return c.pickInRack(s, n, candidates)
	}
	return c.pickAmong(s, n, candidates)
}

// pickInRack picks within one rack. If no rack has the room for it even when
// empty, any racks will do: late is better than never.
func (c *Core) pickInRack(s *step, n int, candidates []*worker) []*worker {
	racks := map[string][]*worker{}
	var names []string
	for _, w := range candidates {
		if racks[w.Rack] == nil {
			names = append(names, w.Rack)
		}
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	slices.Sort(names)
	for _, rack := range names {
		if picks := c.pickAmong(s, n, racks[rack]); len(picks) == n {
			return picks
		}
	}
	if c.rackCouldHold(s, n) {
		return nil
	}
	return c.pickAmong(s, n, candidates)
}

func (c *Core) rackCouldHold(s *step, n int) bool {
	room := map[string]int{}
	for _, w := range c.byID {
		if c.fits(s, w) && c.permission(s, w) != forbidden {
			room[w.Rack] += c.copiesWithin(s, w.Capacity)
		}
	}
	for _, copies := range room {
		if copies >= n {
			return true
		}
	}
	return false
}

// copiesWithin is how many tasks of a step fit into some room.
func (c *Core) copiesWithin(s *step, room Resources) int {
	copies := s.spec.Count
	need := s.spec.Reserved()
	for _, r := range [...][2]int{{need.CPU, room.CPU}, {need.Mem, room.Mem}, {need.GPU, room.GPU}} {
		if r[0] > 0 {
			copies = min(copies, r[1]/r[0])
		}
	}
	if s.spec.PerWorker > 0 {
		copies = min(copies, s.spec.PerWorker)
	}
	return max(0, copies)
}

func (c *Core) pickAmong(s *step, n int, candidates []*worker) []*worker {
	extra := map[*worker]int{}
	need := s.spec.Reserved()
	var picks []*worker
	for range n {
		var best *worker
		var bestScore float64
		for _, w := range candidates {
			free := w.free()
			for range extra[w] {
				free = free.Minus(need)
			}
			if !need.Within(free) || !c.underLimit(s, w, extra[w]) {
				continue
			}
			score := c.score(s, w, free, extra[w])
			if best == nil || score < bestScore {
				best, bestScore = w, score
			}
		}
		if best == nil {
			return picks
		}
		extra[best]++
		picks = append(picks, best)
	}
	return picks
}

// underLimit reports whether one more task of the step may run on the worker.
func (c *Core) underLimit(s *step, w *worker, extra int) bool {
	if s.spec.PerWorker == 0 {
		return true
	}
	count := extra
	for _, b := range s.booked {
		if b.worker == w {
			count++
		}
	}
	for _, b := range s.kept {
		if b.worker == w {
			count++
		}
	}
	for _, r := range w.runs {
		if r.task.step == s {
			count++
		}
	}
	return count < s.spec.PerWorker
}

// Weights of a placement's score, in shares of a worker: the lower the better.
const (
	// awayFromData makes the data's rack win over any packing: elsewhere a
	// task runs several times as long.
	awayFromData = 10
	// besideServing keeps filling tasks and serving tasks apart while there
	// is room elsewhere: a filler slows what serves.
	besideServing = 3
	// failedHere sends the tasks of a step elsewhere than where one has failed:
	// it may have been the worker's fault, and attempts are few.
	failedHere = 4
	// sameStep spreads the tasks of a lasting step, so that one worker's loss
	// takes few of them.
	sameStep = 0.2
)

// score rates a worker for one more task of a step; free is its room before.
func (c *Core) score(s *step, w *worker, free Resources, extra int) float64 {
	score := 0.0
	if s.spec.DataRack != "" && w.Rack != s.spec.DataRack {
		score += awayFromData
	}
	if s.failedOn[w.ID] {
		score += failedHere
	}
	if s.spec.Fills {
		// Fillers live off unused processors: the emptiest worker, and few fillers on each.
		score += c.fullness(w) + float64((w.fills+extra)*s.spec.Need.CPU)/float64(max(1, w.Capacity.CPU))
		return score + besideServing*float64(min(1, w.serving))
	}
	score += max(0, w.slowness)
	left := free.Minus(s.spec.Reserved())
	// Best fit: the least room left, so that large tasks find whole workers.
	score += float64(left.CPU) / float64(max(1, w.Capacity.CPU))
	if w.Capacity.GPU > 0 {
		score += float64(left.GPU) / float64(w.Capacity.GPU)
	}
	if s.spec.LongRunning {
		score += sameStep * float64(extra)
	}
	if s.spec.TargetMs > 0 {
		score += besideServing * float64(min(1, w.fills))
	}
	return score
}
