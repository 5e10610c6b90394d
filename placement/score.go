package placement

import "github.com/knapweedweir/knapweedweir/infra"

// workerScorer rates a worker that passed the filters, from 0 to 1.
type workerScorer interface {
	score(q *query, w *worker) float64
}

// weightedScorer is a scorer and how much it counts.
type weightedScorer struct {
	workerScorer
	weight float64
}

// workerScorers are added up. An accelerator taken by a task without need of it
// blocks others for long, so keeping them weighs more than any fit; spreading a
// service weighs more than the fit, because it decides how much one worker's
// death takes away.
var workerScorers = []weightedScorer{
	{keepAccelerators{}, 8},
	{spreadJob{}, 4},
	{bestFit{}, 1},
	{noSplinters{}, 0.5},
}

// bestFit prefers the worker that has the least left on its dominant resource,
// so that large room stays whole for large tasks.
type bestFit struct{}

func (bestFit) score(q *query, w *worker) float64 {
	cpu, memory, accelerators := leftShares(q.Need, w)
	return 1 - max(cpu, memory, accelerators)
}

// noSplinters prefers that what is left is left evenly: room with memory but no
// processors, or accelerators without processors, serves nobody.
type noSplinters struct{}

func (noSplinters) score(q *query, w *worker) float64 {
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

// spreadJob prefers workers that run few tasks of a job that wants to be spread.
// The home spreads over the shards, which are racks.
type spreadJob struct{}

func (spreadJob) score(q *query, w *worker) float64 {
	if !q.Spread {
		return 0
	}
	return 1 / float64(1+w.peers)
}

// leftShares are the parts of a worker that stay free after a task.
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

// choice is the outcome of a search: the best workers, and what was removed.
type choice struct {
	best    *worker
	top     []Candidate
	removed []Removed
}

// choose filters the workers and scores the rest. Of equal scores the first by
// ID wins, so that the same events give the same choice.
func (s *Shard) choose(q *query) choice {
	s.countPeers(q, 1)
	defer s.countPeers(q, -1)
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
		c.note(w, score)
	}
	c.removed = counts.list()
	return c
}

// note keeps the best candidates, best first.
func (c *choice) note(w *worker, score float64) {
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

// countPeers notes at each worker how many tasks of the job it runs.
func (s *Shard) countPeers(q *query, by int) {
	if !q.Spread {
		return
	}
	for _, sl := range s.jobs[q.Attempt.Job] {
		if sl.state != slotEnded {
			sl.worker.peers += by
		}
	}
}
