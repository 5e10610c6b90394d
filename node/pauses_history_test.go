package node_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against two owners of a pool that act at the same time: while instances are stopped and go on later, and reach
// other workers than their peers do, and the workers' clocks are wrong.
func TestRandomHistoriesWithPauses(t *testing.T) {
	for n := range *histories / pauseHistoriesInterval {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, seed%2 == 0)
				c.world.ClockError = []float64{0, maxClockError}[seed/2%2]
				runHistoryOf(c, seed, 0, func(c *cluster) { c.injectPauses(rand.New(rand.NewPCG(seed, 9))) })
			})
		})
	}
}

// pauseRegressionSeeds are seeds whose history with pauses and workers that restart under their IDs once violated a guarantee,
// each with the cause.
var pauseRegressionSeeds = map[uint64]string{
	874: "an owner that went on after a stop acknowledged ends to the next incarnation of a worker",
}

// Guards against anything that an owner takes for new after it was stopped, while the worker has started again.
func TestRandomHistoriesWithPausesAndRestarts(t *testing.T) {
	for seed := range pauseRegressionSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runHistoryWithPausesAndRestarts(t, seed) })
		})
	}
}

func runHistoryWithPausesAndRestarts(t *testing.T, seed uint64) {
	c := newCluster(t, seed, seed%2 == 0)
	c.world.ClockError = []float64{0, maxClockError}[seed/2%2]
	runHistoryOf(c, seed, 0, func(c *cluster) {
		c.world.ReuseIDs([]float64{1, 0.5}[seed%2])
		c.world.LateOrdersOutliveWorkers, c.world.LateOrdersAwaitHolds = true, true
		c.world.SetLateOrders(0.06)
		go c.injectCrashes(rand.New(rand.NewPCG(seed, 7)))
		c.injectPauses(rand.New(rand.NewPCG(seed, 9)))
	})
}

const (
	// pauseHistoriesInterval: for this many plain histories, one with pauses is simulated.
	pauseHistoriesInterval = 10
	// maxClockError is by how much the clocks of workers may be too slow, as a share.
	maxClockError = 0.02
)

// injectPauses stops instances for a while and cuts single links between instances and workers.
func (c *cluster) injectPauses(rng *rand.Rand) {
	for c.world.Since() < faultPeriod {
		time.Sleep(time.Duration(100+rng.IntN(2000)) * time.Millisecond)
		name, duration := c.names()[rng.IntN(3)], time.Duration(300+rng.IntN(9700))*time.Millisecond
		kind, draw := rng.IntN(4), rng.IntN(1<<20)
		workers := c.world.Workers()
		if len(workers) == 0 {
			continue
		}
		switch kind {
		case 0:
			c.pause(name, duration)
		case 1: // a successor of the first is stopped right after its claim
			c.pause(name, duration)
			next := c.names()[draw%3]
			time.AfterFunc(time.Duration(1300+draw%1500)*time.Millisecond, func() { c.pause(next, duration) })
		case 2:
			c.cutWorkers([]string{name}, workers[draw%len(workers):], duration)
		case 3:
			c.cutWorkers(c.names(), workers[draw%len(workers):][:1], duration)
		}
	}
}

// cutWorkers cuts the links between instances and workers for a while.
func (c *cluster) cutWorkers(instances, workers []string, duration time.Duration) {
	set := func(cut bool) {
		for _, name := range instances {
			for _, id := range workers {
				c.members[name].view.PartitionWorker(id, cut)
			}
		}
	}
	set(true)
	time.AfterFunc(duration, func() { set(false) })
}
