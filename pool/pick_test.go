package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool/runtimes"
)

// Guards against picks from the heap that differ from those of a full scan for each task. The scan is
// of the same core, since the weight of slowness is that of the step that is placed.
func TestPickedWorkersHaveTheLowestScores(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := &step{job: &job{}, spec: &StepSpec{Count: 30, Need: Resources{CPU: 1 + rng.IntN(4), Mem: rng.IntN(3)},
			PerWorker: rng.IntN(3), LongRunning: rng.IntN(2) == 0, Fills: rng.IntN(4) == 0}}
		var workers []*worker
		for n := range 1 + rng.IntN(20) {
			workers = append(workers, &worker{WorkerInfo: WorkerInfo{ID: fmt.Sprint(n), Capacity: Resources{CPU: 4 + 4*rng.IntN(3), Mem: 8}},
				used: Resources{CPU: rng.IntN(5)}, slowness: []cachedSlowness{{slowness: 0.5 + rng.Float64()}}, bestEffortRuns: rng.IntN(2), servingRuns: rng.IntN(2)})
		}
		n := 1 + rng.IntN(40)
		c := &Core{runtimes: runtimes.New()}
		picks := c.pickAmong(s, n, workers)
		assert.DeepEqual(t, workerIDs(picks), workerIDs(pickByScan(c, s, n, workers)))
	}
}

// pickByScan is the reference implementation of pickAmong: it scores all candidates again for
// each task.
func pickByScan(c *Core, s *step, n int, candidates []*worker) []*worker {
	need, picked := s.spec.Reserved(), map[*worker]int{}
	var picks []*worker
	for range n {
		var best *worker
		var lowest float64
		for _, w := range candidates {
			free := w.free()
			for range picked[w] {
				free = free.Minus(need)
			}
			if !need.Within(free) || !c.withinPerWorkerLimit(s, w, picked[w]) {
				continue
			}
			if score := c.score(s, w, free, picked[w]); best == nil || score < lowest {
				best, lowest = w, score
			}
		}
		if best == nil {
			break
		}
		picked[best]++
		picks = append(picks, best)
	}
	return picks
}

func workerIDs(workers []*worker) []string {
	ids := make([]string, 0, len(workers))
	for _, w := range workers {
		ids = append(ids, w.ID)
	}
	return ids
}

// Guards against advice requests that list workers other than the least utilized ones.
func TestLeastUtilizedWorkersComeFirst(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		list := make([]rankedWorker, rng.IntN(60))
		for i := range list {
			list[i] = rankedWorker{worker: &worker{}, utilization: float64(rng.IntN(8)) / 8, order: i}
		}
		n := rng.IntN(70)
		want := slices.Clone(list)
		slices.SortStableFunc(want, compareRanked)
		got := leastUtilized(list, n)
		assert.Equal(t, len(got), min(n, len(list)))
		for i := range got {
			assert.Equal(t, got[i].order, want[i].order)
		}
	}
}

// Guards against a stale noneWaitingBefore, which would keep a task from being started again.
func TestStepWithoutWaitingTasksIsScannedAfterARunEnds(t *testing.T) {
	c := New(Settings{}, 0)
	s := &step{job: &job{}, occ: &occurrence{}, spec: &StepSpec{Count: 1}}
	first := &task{step: s}
	s.tasks = []*task{first}
	first.run = &run{task: first, worker: &worker{runs: map[runKey]*run{}}}
	c.addRun(first.run)
	assert.Assert(t, !s.anyWaiting(0))
	c.removeRun(first.run)
	assert.Assert(t, s.anyWaiting(0))

	first.notBefore = time.Second
	assert.Assert(t, !s.anyWaiting(0))
	assert.Assert(t, s.anyWaiting(time.Second))
}
