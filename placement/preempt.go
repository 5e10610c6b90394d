package placement

import (
	"fmt"
	"slices"
	"time"
)

// What a displaced task costs, in seconds of lost work. The factors say how much
// more than the lost work is at stake.
const (
	// checkpointCost is what stopping and resuming a checkpointable task costs.
	checkpointCost = 1.0
	// gangFactor: the tasks of a gang stop together.
	gangFactor = 4.0
	// serviceFactor: a service's callers feel each stop.
	serviceFactor = 20.0
	// borrowedFactor: a task above its team's quota gives way first.
	borrowedFactor = 0.25
	// priorityStep is how many levels of priority double the cost of a second.
	priorityStep = 10.0
)

// mayDisplace reports whether an urgent task may take the place of another one.
// Batch work and gangs give way whatever their priority, which only orders who
// starts first: urgent work of a modest team would wait for minutes otherwise. A
// service of higher priority stays.
func mayDisplace(q *query, sl *slot) bool {
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

// cheapest returns the worker on which making room for a task loses the least,
// and the tasks to displace there.
func (s *Shard) cheapest(q *query) (*worker, []*slot) {
	var best *worker
	var bestVictims []*slot
	var bestCost float64
	for _, w := range s.order {
		if lasting(q, w) {
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
// need fits, then without those that turn out not to be needed. The result is
// valid until the next call.
func (s *Shard) victims(q *query, w *worker) ([]*slot, float64, bool) {
	room := w.free().Add(w.leaving)
	all := s.scratch[:0]
	for _, sl := range w.slots {
		if mayDisplace(q, sl) {
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
	for n < len(all) && !q.Need.Fits(room) {
		room = room.Add(all[n].task.Need)
		n++
	}
	if !q.Need.Fits(room) {
		return nil, 0, false
	}
	chosen := all[:n]
	var cost float64
	for i := len(chosen) - 1; i >= 0; i-- {
		if less := room.Sub(chosen[i].task.Need); q.Need.Fits(less) {
			room = less
			chosen = slices.Delete(chosen, i, i+1)
			continue
		}
		cost += displaceCost(q.now, chosen[i])
	}
	return chosen, cost, true
}

// displace stops tasks for an urgent one. The worker checkpoints those that can
// be before it stops them; their home is told that they were preempted, which is
// no failure of theirs.
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
