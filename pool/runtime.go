package pool

import (
	"cmp"
	"slices"
	"time"
)

const (
	// forever stands for the run time of what doesn't end by itself.
	forever = time.Hour
	// ratioShare is the weight of the newest run in what is learned of a queue's
	// estimates.
	ratioShare = 0.05
	// tellingPercent is the progress from which on a run's speed says when it ends.
	tellingPercent = 10
	// leastRemaining is how much longer a run takes at least: it is still listed.
	leastRemaining = 50 * time.Millisecond
)

// expectedEnd is when a run's room is expected to be free.
type expectedEnd struct {
	at   time.Duration
	need Resources
}

// expected is how long a task of the step is expected to run: as long as those of
// its step that are done, else as its caller estimates, by what such estimates were
// worth so far.
func (c *Core) expected(s *step) time.Duration {
	if s.spec.LongRunning || s.spec.Fills {
		return forever
	}
	if usual := s.usual(); usual > 0 {
		return usual
	}
	return time.Duration(float64(s.spec.EstimateMs)*c.estimateRatio(s.job.Queue)) * time.Millisecond
}

// estimateRatio is how much longer a queue's tasks run than their callers estimate.
func (c *Core) estimateRatio(queue string) float64 {
	if ratio, known := c.ratios[queue]; known {
		return ratio
	}
	return 1
}

func (c *Core) learnRatio(s *step, took time.Duration) {
	if s.spec.EstimateMs <= 0 {
		return
	}
	ratio := c.estimateRatio(s.job.Queue)
	c.ratios[s.job.Queue] = ratio + ratioShare*(float64(took.Milliseconds())/float64(s.spec.EstimateMs)-ratio)
}

// remaining is how long a run is expected to go on: by its own speed if that is
// known.
func (c *Core) remaining(r *run) time.Duration {
	s := r.task.step
	if r.stopping {
		return c.set.StopTimeout
	}
	if s.occ == nil || s.spec.LongRunning || s.spec.Fills {
		return forever
	}
	left := c.expected(s) - (c.now - r.settled)
	if r.percent >= tellingPercent && !r.resumed {
		took := r.progressAt - r.settled
		left = took*time.Duration(100-r.percent)/time.Duration(r.percent) - (c.now - r.progressAt)
	}
	return max(left, leastRemaining)
}

// expectedEnds returns when the runs on a worker are expected to end, the first
// first. It is worked out once for each time at which reservations are made.
func (c *Core) expectedEnds(w *worker) []expectedEnd {
	if w.endsAt == c.reservedAt && w.expectedEnds != nil {
		return w.expectedEnds
	}
	w.endsAt = c.reservedAt
	w.expectedEnds = w.expectedEnds[:0]
	for _, r := range w.runs {
		if left := c.remaining(r); left < forever {
			w.expectedEnds = append(w.expectedEnds, expectedEnd{at: c.now + left, need: r.need})
		}
	}
	slices.SortFunc(w.expectedEnds, func(a, b expectedEnd) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.need.CPU, b.need.CPU), cmp.Compare(a.need.Mem, b.need.Mem), cmp.Compare(a.need.GPU, b.need.GPU))
	})
	return w.expectedEnds
}
