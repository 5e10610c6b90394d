package pool

import (
	"cmp"
	"slices"
	"time"
)

// A gang starts as a whole or not at all: advice that leaves it with too few workers starts
// nothing, and its next request waits behind all others. So a request for a gang lists as many
// workers as the gang is expected to need. It is sent again only if the answer can be expected to
// let the gang start, or if the workers known to be allowed couldn't hold it even when empty.

const (
	// serviceMaxWorkers is how many workers the advice service accepts in one request.
	serviceMaxWorkers = 100
	// gangListFactor is the expected number of task slots on the listed workers, as a multiple of
	// what the gang needs: which workers are allowed is not predictable, and other steps take
	// capacity until the answer comes.
	gangListFactor = 2
	// assumedAllowedShare is the share of workers assumed to be allowed for a queue's steps until
	// there are answers. It is weighted like answers about assumedShareWeight workers.
	assumedAllowedShare = 0.25
	assumedShareWeight  = maxWorkersPerRequest
	// unlikelyRequestInterval is the time between a gang's requests if the answer can't be expected
	// to let the gang start, while there is free capacity for it. The longest requests take a
	// second; with three times that, an instance spends at most a third of its time on such
	// requests.
	unlikelyRequestInterval = 3 * time.Second
)

// allowedShare returns the share of workers that a queue's steps may use, based on the answers so
// far.
func (c *Core) allowedShare(queue string) float64 {
	a := c.admission.allowedByQueue[queue]
	return (a.allowed + assumedAllowedShare*assumedShareWeight) / (a.answered + assumedShareWeight)
}

// tasksThatFitOn returns how many tasks of a step fit on a worker now, or once all runs there that
// end by themselves have ended. Long-running tasks are never counted as ended: a gang whose workers
// were full of them waited as long as they ran, and requested no advice for other workers.
func (c *Core) tasksThatFitOn(s *step, w *worker, whenEmpty bool) float64 {
	if whenEmpty {
		return float64(c.tasksThatFit(s, w.Capacity.Minus(w.longRunning)))
	}
	return float64(c.tasksThatFit(s, w.free()))
}

// gangCapacity returns how many tasks of a gang fit on the workers with at least the given
// permission: on all of them, or on those of the rack with the most if the gang wants a single
// rack.
func (c *Core) gangCapacity(s *step, minPermission permission, whenEmpty bool) float64 {
	sum := capacitySum{byRack: s.spec.SameRack}
	for _, w := range c.workerList {
		if c.permission(s, w) <= minPermission && c.isEligible(s, w) {
			sum.add(w, c.tasksThatFitOn(s, w, whenEmpty))
		}
	}
	return sum.largest
}

// capacitySum sums up task slots, in total or by rack.
type capacitySum struct {
	byRack  bool
	racks   map[string]float64
	largest float64 // total, or of the rack with the most
}

func (p *capacitySum) add(w *worker, tasks float64) {
	if !p.byRack {
		p.largest += tasks
		return
	}
	if p.racks == nil {
		p.racks = map[string]float64{}
	}
	p.racks[w.Rack] += tasks
	p.largest = max(p.largest, p.racks[w.Rack])
}

// limitRequestedWorkers returns as many of the listed workers as a request may contain, those whose
// tickets expire first. The service rejects larger requests, so that a gang on more workers would
// never start; the next request renews the other tickets.
func (c *Core) limitRequestedWorkers(s *step, names []string) []string {
	if len(names) <= serviceMaxWorkers {
		return names
	}
	until := func(id string) time.Duration { return s.advice.get(c.workers[id]).ticketExpiry }
	names = slices.Clone(names)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(until(a), until(b)) })
	return names[:serviceMaxWorkers]
}

// needsMoreWorkers reports whether the workers known to be allowed are too few for a gang even once
// the runs that end by themselves there have ended, while unknown workers could make up for it. No
// workers can be reserved for the gang then.
func (c *Core) needsMoreWorkers(s *step, tasks int) bool {
	if !s.spec.Gang {
		return false
	}
	return c.gangCapacity(s, renewable, true) < float64(tasks) && c.gangCapacity(s, unknown, true) >= float64(tasks)
}

// gangRequestSize returns the minimum number of workers of a list that a request for a gang
// contains.
func (c *Core) gangRequestSize(s *step, list []rankedWorker, tasks int, whenEmpty bool) int {
	share, expected := c.allowedShare(s.job.Queue), c.gangCapacity(s, renewable, whenEmpty)
	for n, w := range list {
		if n == serviceMaxWorkers || expected >= gangListFactor*float64(tasks) {
			return n
		}
		expected += share * c.tasksThatFitOn(s, w.worker, whenEmpty)
	}
	return min(serviceMaxWorkers, len(list))
}

// gangCouldStart reports whether a gang can be expected to start now with advice about the workers
// with free capacity. The expectation may be wrong for this gang, as the queue's other steps may
// use other workers; so it delays the next request, but doesn't prevent it.
func (c *Core) gangCouldStart(s *step, tasks int) bool {
	if len(c.pickWorkers(s, tasks, unknown)) < tasks {
		return false
	}
	if c.now-s.advice.requestedAt >= unlikelyRequestInterval {
		return true
	}
	share, listed := c.allowedShare(s.job.Queue), 0
	expected := capacitySum{byRack: s.spec.SameRack}
	for _, w := range c.candidateBuffer {
		p := c.tasksThatFitOn(s, w, false)
		if c.permission(s, w) == unknown {
			if listed++; listed > serviceMaxWorkers {
				continue
			}
			p *= share
		}
		expected.add(w, p)
	}
	return expected.largest >= float64(tasks)
}
