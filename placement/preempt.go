package placement

import (
	"fmt"
	"slices"
	"time"
)

// The cost of displacing a task, in seconds of lost work. The factors weight
// the lost work by its other consequences.
const (
	// checkpointCost is the cost of stopping and resuming a checkpointable
	// task.
	checkpointCost = 1.0
	// gangFactor: all tasks of a gang stop together.
	gangFactor = 4.0
	// serviceFactor: each stop affects the callers of a service.
	serviceFactor = 20.0
	// borrowedFactor: a task above its team's quota is displaced first.
	borrowedFactor = 0.25
	// priorityStep is the priority at which a task costs twice as much as at
	// priority 0; the cost grows linearly with the priority.
	priorityStep = 10.0
)

// canDisplace reports whether an urgent task may displace another one. Batch
// tasks and gangs can be displaced whatever their priority, which only orders
// the starts: otherwise urgent work of a team with low priority would wait for
// minutes. A service of higher priority is not displaced.
func canDisplace(q *query, sl *slot) bool {
	started := sl.state == slotStarting || sl.state == slotRunning
	if !started || sl.stop || sl.missingUntil > 0 || sl.hints.urgent {
		return false
	}
	return sl.hints.kind != Service || sl.hints.priority <= q.Priority
}

// displaceCost is what is lost when a task is displaced.
func displaceCost(now time.Duration, sl *slot) float64 {
	lost := sl.ranFor(now).Seconds()
	if sl.hints.checkpointable {
		lost = min(lost, checkpointCost)
	}
	cost := (checkpointCost + lost) * (1 + float64(sl.hints.priority)/priorityStep)
	switch sl.hints.kind {
	case Gang:
		cost *= gangFactor
	case Service:
		cost *= serviceFactor
	}
	if sl.hints.borrowed {
		cost *= borrowedFactor
	}
	return cost
}

// cheapestVictims returns the worker on which freeing capacity for a task loses
// the least work, and the tasks to displace there.
func (s *Shard) cheapestVictims(q *query) (*worker, []*slot) {
	var best *worker
	var bestVictims []*slot
	var bestCost float64
	for _, w := range s.order {
		if isIneligible(q, w) {
			continue
		}
		victims, cost, ok := s.victims(q, w)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = w, slices.Clone(victims), cost
		}
	}
	return best, bestVictims
}

// victims chooses the tasks to displace on one worker: the cheapest until the
// need fits, less those that turn out not to be necessary. The result is valid
// until the next call.
func (s *Shard) victims(q *query, w *worker) ([]*slot, float64, bool) {
	free := w.free().Add(w.stopping)
	all := s.scratch[:0]
	for _, sl := range w.slots {
		if canDisplace(q, sl) {
			all = append(all, sl)
		}
	}
	s.scratch = all
	slices.SortStableFunc(all, func(a, b *slot) int {
		if ca, cb := displaceCost(q.now, a), displaceCost(q.now, b); ca != cb {
			if ca < cb {
				return -1
			}
			return 1
		}
		return 0
	})
	n := 0
	for n < len(all) && !q.Need.Fits(free) {
		free = free.Add(all[n].task.Need)
		n++
	}
	if !q.Need.Fits(free) {
		return nil, 0, false
	}
	chosen := all[:n]
	var cost float64
	for i := len(chosen) - 1; i >= 0; i-- {
		if less := free.Sub(chosen[i].task.Need); q.Need.Fits(less) {
			free = less
			chosen = slices.Delete(chosen, i, i+1)
			continue
		}
		cost += displaceCost(q.now, chosen[i])
	}
	return chosen, cost, true
}

// displace stops tasks for an urgent one. The worker checkpoints those that can
// be checkpointed before it stops them. Their home is told that they were
// preempted, which does not count as a failure.
func (s *Shard) displace(q *query, victims []*slot) []Displaced {
	var list []Displaced
	for _, sl := range victims {
		why := displaceReason(q.now, sl)
		list = append(list, Displaced{Attempt: sl.attempt, Why: why})
		s.stop(sl, CausePreempted, fmt.Sprintf("displaced by urgent task %s of team %s: %s", q.Attempt.TaskID(), q.Team, why))
	}
	return list
}

func displaceReason(now time.Duration, sl *slot) string {
	keeps := "loses its work"
	if sl.hints.checkpointable {
		keeps = "can be checkpointed"
	}
	return fmt.Sprintf("%s task of priority %d, ran %s, %s", sl.hints.kind, sl.hints.priority, sl.ranFor(now).Round(time.Second), keeps)
}
