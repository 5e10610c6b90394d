package node_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// The store takes 150 ms for an append to a stream, one after the other. Callers
// hand jobs in all the while, and tasks end. If what callers hand in and what ends
// is appended in turns, a caller waits for up to four appends: the one under way,
// its own kind's, the other kind's, and its own.
func TestCallersWaitForTwoAppendsAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a")
		defer c.close()
		for range 4 {
			c.world.AddWorker(pool.Resources{CPU: 8000, Mem: 8000}, "x", "r1")
		}
		c.owner()
		time.Sleep(2 * time.Second)
		const each = 150 * time.Millisecond
		c.world.SlowAppends(each)
		longest := time.Duration(0)
		var callers sync.WaitGroup
		var mu sync.Mutex
		for n := range 60 {
			callers.Go(func() {
				began := time.Now()
				c.submit(pool.Job{ID: jobID(n), Payload: machines.Work(100*time.Millisecond, false, false),
					Steps: []pool.StepSpec{{Count: 1, Need: pool.Resources{CPU: 100, Mem: 10}, EstimateMs: 100}}},
					func() *member { return c.up()[0] })
				mu.Lock()
				defer mu.Unlock()
				longest = max(longest, time.Since(began))
			})
			time.Sleep(35 * time.Millisecond)
		}
		callers.Wait()
		assert.Assert(t, longest < 2*each+50*time.Millisecond, "a caller waited %v", longest)
		c.check()
	})
}
