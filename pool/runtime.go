package pool

import (
	"cmp"
	"slices"
	"time"
)

const (
	// unbounded stands for the run time of tasks that don't end by themselves.
	unbounded = time.Hour
	// minProgressPercent is the progress from which a run's end is extrapolated from its
	// speed.
	minProgressPercent = 10
	// minRemaining is the minimum expected remaining time of a run that is still listed.
	minRemaining = 50 * time.Millisecond
)

// expectedEnd is when the resources of a run are expected to become free.
type expectedEnd struct {
	at   time.Duration
	need Resources
}

// expectedRuntime returns how long a task of the step is expected to run: the mean of the
// step's tasks that are done, or else the caller's estimate corrected by the queue's estimate
// ratio.
func (c *Core) expectedRuntime(s *step) time.Duration {
	if s.spec.LongRunning || s.spec.Fills {
		return unbounded
	}
	if mean := s.meanRuntime(); mean > 0 {
		return mean
	}
	return c.runtimes.Mean(s.job.Queue, s.estimate())
}

// estimateRatio returns the learned ratio of the actual to the estimated run time of a queue's tasks.
func (c *Core) estimateRatio(queue string) float64 {
	return c.runtimes.Mean(queue, time.Second).Seconds()
}

// expectedRemaining returns how long a run is expected to go on, extrapolated from its own
// speed if that is known.
func (c *Core) expectedRemaining(r *run) time.Duration {
	s := r.task.step
	if r.stopping {
		return c.settings.StopTimeout
	}
	if s.occ == nil || s.spec.LongRunning || s.spec.Fills {
		return unbounded
	}
	left := c.expectedRuntimeOn(s, r.worker) - (c.now - r.answeredAt)
	if r.percent >= minProgressPercent && !r.resumed {
		took := r.progressAt - r.answeredAt
		left = took*time.Duration(100-r.percent)/time.Duration(r.percent) - (c.now - r.progressAt)
	}
	return max(left, minRemaining)
}

// expectedEnds returns when the runs on a worker are expected to end, earliest first. The
// result is cached until reservations are decided anew.
func (c *Core) expectedEnds(w *worker) []expectedEnd {
	if w.expectedEndsAt == c.reservedAt && w.expectedEnds != nil {
		return w.expectedEnds
	}
	w.expectedEndsAt = c.reservedAt
	w.expectedEnds = w.expectedEnds[:0]
	for _, r := range w.runs {
		if left := c.expectedRemaining(r); left < unbounded {
			w.expectedEnds = append(w.expectedEnds, expectedEnd{at: c.now + left, need: r.need})
		}
	}
	slices.SortFunc(w.expectedEnds, func(a, b expectedEnd) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.need.CPU, b.need.CPU), cmp.Compare(a.need.Mem, b.need.Mem), cmp.Compare(a.need.GPU, b.need.GPU))
	})
	return w.expectedEnds
}
