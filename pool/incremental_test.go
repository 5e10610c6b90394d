package pool

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// checkIncremental compares what a core updates incrementally with the same computed from scratch. It guards against an
// event that changes which tasks wait or what is free without an update, so that a task is never started.
func checkIncremental(t testing.TB, c *Core) {
	t.Helper()
	checkWaitList(t, c)
	checkFreeCapacity(t, c)
	checkCopies(t, c)
	for _, w := range c.workerList {
		kept := w.sortedRuns()
		w.sorted = nil
		assert.Assert(t, slices.Equal(kept, w.sortedRuns()), "the kept list of the runs on %s is outdated", w.ID)
	}
}

// checkWaitList compares the steps with waiting tasks that a pass finds with those of a scan of all jobs.
func checkWaitList(t testing.TB, c *Core) {
	t.Helper()
	var want, got []*step
	for _, j := range c.activeJobs {
		for _, occ := range j.occurrences {
			for _, s := range occ.steps {
				if c.canPlace(s) && slices.ContainsFunc(s.tasks, func(t *task) bool { return t.isWaiting(c.now) }) {
					want = append(want, s)
				}
			}
		}
	}
	for _, s := range c.waitList.waitingSteps() {
		if c.canPlace(s) && s.anyWaiting(c.now) {
			got = append(got, s)
		}
	}
	assert.Assert(t, slices.Equal(got, want), "at %v %d steps with waiting tasks instead of %d", c.now, len(got), len(want))
}

// checkFreeCapacity compares the measured free capacity with that of a scan of all workers.
func checkFreeCapacity(t testing.TB, c *Core) {
	t.Helper()
	c.measureFreeCapacity()
	got, largest, smallest, draining := slices.Clone(c.availableWorkers), c.largestFree, c.smallestCapacity, slices.Clone(c.capacity.draining)
	c.workersChanged()
	c.measureFreeCapacity()
	assert.Assert(t, slices.Equal(got, c.availableWorkers), "at %v %d available workers, or other capacity on them, instead of %d", c.now, len(got), len(c.availableWorkers))
	assert.Equal(t, largest, c.largestFree)
	assert.Equal(t, smallest, c.smallestCapacity)
	assert.Assert(t, slices.Equal(draining, c.capacity.draining))
	if c.takenOver {
		c.takenOver = false
		assert.Assert(t, c.takeoverComplete(), "the takeover isn't complete")
	}
}

// checkCopies checks that a second run of a task is kept only beside a first one, elsewhere, and where it is permitted.
func checkCopies(t testing.TB, c *Core) {
	t.Helper()
	for _, j := range c.activeJobs {
		for _, occ := range j.occurrences {
			for _, s := range occ.steps {
				for _, x := range s.tasks {
					assert.Assert(t, x.copy == nil || (s.spec.permitsCopies() && x.run != nil && x.run.worker != x.copy.worker), "the copy of %v", x.id())
				}
			}
		}
	}
}
