package pool

import (
	"container/heap"
	"slices"
)

// pickWorkers returns workers for up to n tasks of a step, one per task, among those with at least
// the given permission. A worker may be returned several times.
func (c *Core) pickWorkers(s *step, n int, minPermission permission) []*worker {
	need := s.spec.Reserved()
	candidates := c.candidateBuffer[:0]
	for _, w := range c.availableWorkers {
		if need.Within(w.free) && c.isEligible(s, w.worker) && c.permission(s, w.worker) <= minPermission && c.admitsIsolation(s, w.worker) &&
			!c.reservedForOther(s, w.worker) {
			candidates = append(candidates, w.worker)
		}
	}
	c.candidateBuffer = candidates
	if s.spec.Gang && s.spec.SameRack {
		return c.pickInRack(s, n, candidates)
	}
	return c.pickAmong(s, n, candidates)
}

// pickInRack picks workers within one rack. If no rack could hold the tasks even when empty, it
// picks from any racks: a slow run is better than none.
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
	if c.rackCanHold(s, n) {
		return nil
	}
	return c.pickAmong(s, n, candidates)
}

func (c *Core) rackCanHold(s *step, n int) bool {
	capacity := map[string]int{}
	for _, w := range c.workerList {
		if c.isEligible(s, w) && c.permission(s, w) != forbidden {
			capacity[w.Rack] += c.tasksThatFit(s, w.Capacity)
		}
	}
	for _, tasks := range capacity {
		if tasks >= n {
			return true
		}
	}
	return false
}

// tasksThatFit returns how many tasks of a step fit into a capacity.
func (c *Core) tasksThatFit(s *step, capacity Resources) int {
	fitting := s.spec.Count
	need := s.spec.Reserved()
	for _, r := range [...][2]int{{need.CPU, capacity.CPU}, {need.Mem, capacity.Mem}, {need.GPU, capacity.GPU}} {
		if r[0] > 0 {
			fitting = min(fitting, r[1]/r[0])
		}
	}
	if s.spec.PerWorker > 0 {
		fitting = min(fitting, s.spec.PerWorker)
	}
	return max(0, fitting)
}

// pickAmong picks the candidate with the lowest score for each of n tasks in turn; ties go to
// the earlier candidate. A pick changes only the score of the picked worker, so a heap avoids
// scoring all candidates again for each task.
func (c *Core) pickAmong(s *step, n int, candidates []*worker) []*worker {
	c.speedPreference = c.speedWeight(s)
	if s.spec.Gang {
		if picks := c.pickBest(s, n, c.ofSimilarSpeed(s, n, candidates)); len(picks) == n {
			return picks
		}
	}
	return c.pickBest(s, n, candidates)
}

// pickBest is like pickAmong for the weight of speed that is set.
func (c *Core) pickBest(s *step, n int, candidates []*worker) []*worker {
	need := s.spec.Reserved()
	scored := c.scored[:0]
	for i, w := range candidates {
		p := scoredWorker{worker: w, free: w.free(), order: i}
		if need.Within(p.free) && c.withinPerWorkerLimit(s, w, 0) {
			p.score = c.score(s, w, p.free, 0)
			scored = append(scored, p)
		}
	}
	c.scored = scored
	heap.Init(&scored)
	var picks []*worker
	for len(picks) < n && len(scored) > 0 {
		best := &scored[0]
		picks = append(picks, best.worker)
		best.free = best.free.Minus(need)
		best.tasks++
		if need.Within(best.free) && c.withinPerWorkerLimit(s, best.worker, best.tasks) {
			best.score = c.score(s, best.worker, best.free, best.tasks)
			heap.Fix(&scored, 0)
		} else {
			heap.Pop(&scored)
		}
	}
	return picks
}

// scoredWorker is a candidate of pickAmong with its score for the next task.
type scoredWorker struct {
	worker *worker
	free   Resources // after subtracting the tasks picked for it
	tasks  int       // number of tasks picked for it
	score  float64
	order  int // index among the candidates, breaks ties
}

// scoreHeap is a min-heap of workers by score.
type scoreHeap []scoredWorker

func (h scoreHeap) Len() int { return len(h) }

func (h scoreHeap) Less(i, j int) bool {
	if h[i].score != h[j].score {
		return h[i].score < h[j].score
	}
	return h[i].order < h[j].order
}

func (h scoreHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *scoreHeap) Push(x any) { *h = append(*h, x.(scoredWorker)) }

// Pop implements heap.Interface. It returns nil, since callers don't use the removed element.
func (h *scoreHeap) Pop() any {
	last := len(*h) - 1
	*h = (*h)[:last]
	return nil
}

// withinPerWorkerLimit reports whether one more task of the step may run on the worker.
func (c *Core) withinPerWorkerLimit(s *step, w *worker, extra int) bool {
	if s.spec.PerWorker == 0 {
		return true
	}
	count := extra
	for _, b := range s.booked {
		if b.worker == w {
			count++
		}
	}
	for _, b := range s.migrationBookings {
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

// Weights of the placement score, as shares of a worker. A lower score is better.
const (
	// remoteDataPenalty makes the rack that holds the data outweigh any packing: a task runs
	// several times as long elsewhere.
	remoteDataPenalty = 10
	// fillServingPenalty keeps best-effort tasks away from serving tasks while there is capacity
	// elsewhere, as they slow serving tasks down.
	fillServingPenalty = 3
	// failedWorkerPenalty avoids workers on which a task of the step has failed: the failure may
	// have been the worker's fault, and attempts are few.
	failedWorkerPenalty = 4
	// sameStepPenalty spreads the tasks of a long-running step, so that the loss of one worker
	// affects few of them.
	sameStepPenalty = 0.2
)

// score rates a worker for one more task of a step; free is its free capacity before that task.
func (c *Core) score(s *step, w *worker, free Resources, extra int) float64 {
	score := 0.0
	if s.spec.DataRack != "" && w.Rack != s.spec.DataRack {
		score += remoteDataPenalty
	}
	if s.failedOn[w.ID] {
		score += failedWorkerPenalty
	}
	if s.spec.Fills {
		// Best-effort tasks use idle processor time: prefer the least utilized worker with the
		// fewest of them.
		score += c.utilization(w) + float64((w.bestEffortRuns+extra)*s.spec.Need.CPU)/float64(max(1, w.Capacity.CPU))
		return score + fillServingPenalty*float64(min(1, w.servingRuns))
	}
	if c.isolationMode != notIsolated {
		return score + c.utilization(w) // few other tasks are lost if the worker crashes
	}
	if c.speedPreference != 0 {
		score += c.speedPreference * (c.slowness(w, s.job.Queue) - 1)
	}
	left := free.Minus(s.spec.Reserved())
	// Best fit: leave the least free capacity, so that large tasks find empty workers.
	score += float64(left.CPU) / float64(max(1, w.Capacity.CPU))
	if w.Capacity.GPU > 0 {
		score += float64(left.GPU) / float64(w.Capacity.GPU)
	}
	if s.spec.LongRunning {
		score += sameStepPenalty * float64(extra)
	}
	if s.spec.TargetMs > 0 {
		score += fillServingPenalty * float64(min(1, w.bestEffortRuns))
	}
	return score
}
