package node_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// limitHistoriesInterval: for this many plain histories, one with low limits of the store and the workers is
// simulated.
const limitHistoriesInterval = 5

// Guards against records and appends beyond the store's limits, and against acting on the first part of a
// longer answer of a worker: with large jobs, while instances are killed, the store and the workers have
// faults, and in some histories racks are lost and come back.
func TestRandomHistoriesWithLowLimits(t *testing.T) {
	runHistoriesWithLowLimits(t, limitHistoriesInterval, func(c *cluster, rng *rand.Rand, seed uint64) {
		if seed%3 == 1 {
			c.world.ReuseIDs([]float64{1, 0.5}[rng.IntN(2)])
			c.loseRacks(rng)
		}
	})
}

// Guards against the same beside tasks that crash their workers.
func TestRandomHistoriesWithLowLimitsAndCrashingTasks(t *testing.T) {
	runHistoriesWithLowLimits(t, 4*limitHistoriesInterval, func(c *cluster, rng *rand.Rand, seed uint64) {
		c.world.ReuseIDs([]float64{1, 0.5}[rng.IntN(2)])
		c.injectCrashes(rand.New(rand.NewPCG(seed, 10)))
	})
}

// runHistoriesWithLowLimits simulates one history for the given number of plain ones, with further faults.
func runHistoriesWithLowLimits(t *testing.T, interval int, faults func(*cluster, *rand.Rand, uint64)) {
	for n := range *histories / interval {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 9))
				c := newCluster(t, seed, seed%2 == 0)
				c.world.EndsPerAnswer = 1 + rng.IntN(6)
				c.world.MaxRecord = (2 + rng.IntN(30)) << 10
				c.world.MaxAppend = 2 * c.world.MaxRecord
				runHistoryOf(c, seed, 0, func(c *cluster) {
					go faults(c, rand.New(rand.NewPCG(seed, 11)), seed)
					c.submitLargeJobs(rng)
				})
				assert.Equal(t, c.world.SizesRefused(), 0, c.logs.linesContaining(`"append.refused"`))
				assert.Equal(t, c.logs.linesContaining(`"record.unstorable"`), "")
			})
		})
	}
}

// loseRacks crashes all workers of a rack now and then, which start again seconds later.
func (c *cluster) loseRacks(rng *rand.Rand) {
	for c.world.Since() < faultPeriod {
		time.Sleep(time.Duration(2000+rng.IntN(9000)) * time.Millisecond)
		c.world.Restart(time.Duration(200+rng.IntN(5000))*time.Millisecond, c.world.Rack(fmt.Sprintf("r%d", rng.IntN(3)))...)
	}
}

// submitLargeJobs submits jobs of many small tasks.
func (c *cluster) submitLargeJobs(rng *rand.Rand) {
	for n := 0; c.world.Since() < faultPeriod; n++ {
		time.Sleep(time.Duration(1500+rng.IntN(5000)) * time.Millisecond)
		step := pool.StepSpec{Count: 40 + rng.IntN(100), Need: pool.Resources{CPU: 20, Mem: 10}, EstimateMs: 1000, Checkpoints: rng.IntN(2) == 0}
		work := time.Duration(200+rng.IntN(1500)) * time.Millisecond
		j := pool.Job{ID: jobID(10_000 + n), Payload: machines.Work(work, false, rng.IntN(3) == 0), Steps: []pool.StepSpec{step, step}}
		j.Steps[1].After = []int{0}
		go c.runCaller(j, rng.IntN(6) == 0, []int{rng.IntN(3), rng.IntN(3), rng.IntN(3)})
	}
}
