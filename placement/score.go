package placement

import "github.com/knapweedweir/knapweedweir/infra"

// workerScorer scores a worker that passed the filters, from 0 to 1.
type workerScorer interface {
	score(q *query, w *worker) float64
}

// weightedScorer is a scorer and its weight.
type weightedScorer struct {
	workerScorer
	weight float64
}

// workerScorers are summed up by weight. A task that occupies an accelerator
// without needing it blocks others for long, so keepAccelerators outweighs any
// fit. Spreading a service outweighs the fit because it decides how many tasks
// the loss of one worker affects.
var workerScorers = []weightedScorer{
	{keepAccelerators{}, 8},
	{spreadJob{}, 4},
	{bestFit{}, 1},
	{balancedLeftover{}, 0.5},
}

// bestFit prefers the worker with the least left of its dominant resource,
// which keeps large free capacity for large tasks.
type bestFit struct{}

func (bestFit) score(q *query, w *worker) float64 {
	cpu, memory, accelerators := leftShares(q.Need, w)
	return 1 - max(cpu, memory, accelerators)
}

// balancedLeftover prefers workers whose remaining resources are balanced:
// memory without processors, or accelerators without processors, can't be used.
type balancedLeftover struct{}

func (balancedLeftover) score(q *query, w *worker) float64 {
	cpu, memory, accelerators := leftShares(q.Need, w)
	if w.Capacity.Accelerators == 0 {
		accelerators = cpu
	}
	return 1 - (max(cpu, memory, accelerators) - min(cpu, memory, accelerators))
}

// keepAccelerators keeps workers with accelerators for tasks that ask for them.
type keepAccelerators struct{}

func (keepAccelerators) score(q *query, w *worker) float64 {
	if q.Need.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		return 0
	}
	return 1
}

// spreadJob prefers workers that run few tasks of a job that is to be spread.
// The home spreads the tasks over shards, which are racks.
type spreadJob struct{}

func (spreadJob) score(q *query, w *worker) float64 {
	if !q.Spread {
		return 0
	}
	return 1 / float64(1+w.jobTasks)
}

// leftShares returns the shares of a worker's capacity that stay free after
// placing a task.
func leftShares(need infra.Resources, w *worker) (cpu, memory, accelerators float64) {
	left := w.free().Sub(need)
	return share(left.MilliCPU, w.Capacity.MilliCPU), share(left.MemoryMiB, w.Capacity.MemoryMiB),
		share(left.Accelerators, w.Capacity.Accelerators)
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func scoreWorker(q *query, w *worker) float64 {
	var sum float64
	for i := range workerScorers {
		sum += workerScorers[i].weight * workerScorers[i].score(q, w)
	}
	return sum
}

// choice is the result of a search: the best workers and the counts of removed
// ones.
type choice struct {
	best    *worker
	top     []Candidate
	removed []Removed
}

// choose filters the workers and scores the rest. Among equal scores the lowest
// ID wins, so that equal events lead to equal choices.
func (s *Shard) choose(q *query) choice {
	s.countJobTasks(q, 1)
	defer s.countJobTasks(q, -1)
	var c choice
	var counts removedCounts
	var bestScore float64
	for _, w := range s.order {
		if i := filterWorker(q, w); i >= 0 {
			counts[i]++
			continue
		}
		score := scoreWorker(q, w)
		if c.best == nil || score > bestScore {
			c.best, bestScore = w, score
		}
		c.addCandidate(w, score)
	}
	c.removed = counts.list()
	return c
}

// addCandidate keeps the best candidates, best first.
func (c *choice) addCandidate(w *worker, score float64) {
	if c.top == nil {
		c.top = make([]Candidate, 0, MaxCandidates+1)
	}
	at := len(c.top)
	for at > 0 && c.top[at-1].Score < score {
		at--
	}
	if at >= MaxCandidates {
		return
	}
	c.top = append(c.top, Candidate{})
	copy(c.top[at+1:], c.top[at:])
	c.top[at] = Candidate{Worker: w.ID, Score: score}
	c.top = c.top[:min(len(c.top), MaxCandidates)]
}

// countJobTasks adds by to the workers' counters, once for each of the job's
// tasks.
func (s *Shard) countJobTasks(q *query, by int) {
	if !q.Spread {
		return
	}
	for _, sl := range s.jobs[q.Attempt.Job] {
		if sl.state != slotEnded {
			sl.worker.jobTasks += by
		}
	}
}
