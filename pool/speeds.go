package pool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/pool/runtimes"
)

const (
	// slownessMaxAge is how old a worker's cached slowness may be. Placement needs it for each candidate
	// of each step, and it changes with each run that ends.
	slownessMaxAge = 100 * time.Millisecond
	// maxCachedQueues is the number of queues for which a worker's slowness is cached.
	maxCachedQueues = 16
	// A step is tight while the time left is at most tightSlack times its remaining critical path at typical speed, and has
	// slack from ampleSlack on.
	tightSlack = 2
	ampleSlack = 4
	// tightWeight and slackWeight are the weights of a worker's slowness in the placement score of tight
	// steps and of those with slack, and change linearly in between.
	tightWeight = 3
	slackWeight = -0.1
	// requestWeight is the weight of the same when workers are chosen for an advice request, relative to
	// that in the score.
	requestWeight = 0.5
	// gangTolerance is how much slower a gang's workers may be than the slowest of the fastest workers
	// that can hold the gang.
	gangTolerance = 0.15
	// backfillShare is the share of tasks that have ended by their expected time when they are backfilled
	// on a reserved worker.
	backfillShare = 0.9
)

// cachedSlowness is a worker's slowness in a queue as of a time.
type cachedSlowness struct {
	queue    string
	slowness float64
	at       time.Duration
}

// slowness returns the expected run time of a queue's tasks on a worker, as a multiple of that on a
// typical worker. The empty queue stands for all.
func (c *Core) slowness(w *worker, queue string) float64 {
	for i := range w.slowness {
		if x := &w.slowness[i]; x.queue == queue {
			if c.now-x.at >= slownessMaxAge {
				x.slowness, x.at = c.newestSlowness(w, queue), c.now
			}
			return x.slowness
		}
	}
	if len(w.slowness) == maxCachedQueues {
		w.slowness = w.slowness[:0]
	}
	w.slowness = append(w.slowness, cachedSlowness{queue: queue, slowness: c.newestSlowness(w, queue), at: c.now})
	return w.slowness[len(w.slowness)-1].slowness
}

// newestSlowness is like slowness without the cache.
func (c *Core) newestSlowness(w *worker, queue string) float64 {
	return c.runtimes.Slowness(w.ID, w.incarnation, w.Kind, queue)
}

// speed returns a worker's speed relative to a typical worker, over all queues.
func (c *Core) speed(w *worker) float64 { return 1 / c.slowness(w, "") }

// observeRuntime learns from a run that ended as done.
func (c *Core) observeRuntime(s *step, w *worker, took time.Duration) {
	change := c.runtimes.Observe(c.now, runtimes.Observation{Worker: w.ID, Incarnation: w.incarnation, Kind: w.Kind, Queue: s.job.Queue,
		Declared: s.estimate(), Took: took, StepMean: s.meanRuntime()})
	switch change {
	case runtimes.BecameSlow:
		c.emit(c.speedEntry("worker.slow", w))
	case runtimes.Recovered:
		c.emit(c.speedEntry("worker.speed_recovered", w))
	}
}

// speedEntry returns a log entry with what was learned of a worker's speed.
func (c *Core) speedEntry(event string, w *worker) LogEntry {
	return LogEntry{Event: event, Worker: w.ID,
		Reason: fmt.Sprintf("run times are %.2f times those on a typical worker, learned from %d runs", c.newestSlowness(w, ""), c.runtimes.Runs(w.ID, w.incarnation))}
}

// estimate returns the caller's estimate of a task's run time.
func (s *step) estimate() time.Duration { return time.Duration(s.spec.EstimateMs) * time.Millisecond }

// expectedRuntimeOn returns how long a task of the step is expected to run on a worker.
func (c *Core) expectedRuntimeOn(s *step, w *worker) time.Duration {
	typical := c.expectedRuntime(s)
	if typical >= unbounded {
		return unbounded
	}
	return time.Duration(float64(typical) * c.slowness(w, s.job.Queue))
}

// runtimeQuantile returns the run time on a worker that a share of the tasks like the step's doesn't
// exceed.
func (c *Core) runtimeQuantile(s *step, w *worker, share float64) time.Duration {
	if s.spec.LongRunning || s.spec.Fills {
		return unbounded
	}
	return time.Duration(float64(c.typicalQuantile(s, share)) * c.slowness(w, s.job.Queue))
}

// typicalQuantile is like runtimeQuantile on a typical worker.
func (c *Core) typicalQuantile(s *step, share float64) time.Duration {
	if mean := s.meanRuntime(); mean > 0 {
		return c.runtimes.StepQuantile(s.job.Queue, mean, share)
	}
	return c.runtimes.Quantile(s.job.Queue, s.estimate(), share)
}

// speedWeight returns the weight of a worker's slowness in the placement score of a step. Steps whose
// jobs have little time left for the rest of their critical path get the fast workers. The others
// leave them these. Time counts up to the objective, or once that is past, as long as the job has any value.
func (c *Core) speedWeight(s *step) float64 {
	if s.spec.LongRunning || s.spec.Fills {
		return 0
	}
	end := s.urgency.due
	if s.urgency.tier != OnTime {
		end = s.urgency.worthUntil
	}
	path := c.expectedRuntime(s) + c.runtimes.Mean(s.job.Queue, s.longestPath()-s.estimate())
	slack := float64(end-c.unixMs) / max(1, float64(path.Milliseconds()))
	share := min(max((slack-tightSlack)/(ampleSlack-tightSlack), 0), 1)
	return tightWeight + share*(slackWeight-tightWeight)
}

// longestPath returns the declared run time of the longest chain of steps that starts with this one.
func (s *step) longestPath() time.Duration {
	return max(s.estimate(), time.Duration(s.pathMs)*time.Millisecond)
}

// ofSimilarSpeed returns the candidates for a gang of n tasks without those that would slow it down: a
// gang is as slow as its slowest member.
func (c *Core) ofSimilarSpeed(s *step, n int, candidates []*worker) []*worker {
	room := 0
	for _, w := range candidates {
		room += c.tasksThatFit(s, w.free())
	}
	if room < n {
		return candidates
	}
	limit := (1 + gangTolerance) * c.gangSlowness(s, n, candidates)
	return slices.DeleteFunc(slices.Clone(candidates), func(w *worker) bool { return c.slowness(w, s.job.Queue) > limit })
}

// gangSlowness returns the slowness of the slowest of the fastest workers that can hold n tasks of a
// gang now.
func (c *Core) gangSlowness(s *step, n int, candidates []*worker) float64 {
	bySpeed := slices.Clone(candidates)
	slices.SortStableFunc(bySpeed, func(a, b *worker) int {
		return cmp.Compare(c.slowness(a, s.job.Queue), c.slowness(b, s.job.Queue))
	})
	for _, w := range bySpeed {
		if n -= c.tasksThatFit(s, w.free()); n <= 0 {
			return c.slowness(w, s.job.Queue)
		}
	}
	return math.Inf(1)
}
