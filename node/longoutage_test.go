package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// newLongRunningCluster returns a cluster with four tasks that run for ten minutes.
func newLongRunningCluster(t *testing.T, instances int) *cluster {
	c := newSplitCluster(t, instances)
	for n := range 4 {
		c.submitJob(jobID(100+n), machines.Work(10*time.Minute, false, false), pool.StepSpec{Count: 1, Need: pool.Resources{CPU: 1000, Mem: 10}, EstimateMs: 600_000})
	}
	time.Sleep(time.Second)
	return c
}

// The store is away for all for longer than votes count alone.
// Guards against an owner that stops although all its electors confirm it, and against one that goes on beside an elector that
// doesn't answer, whose successor may have counted the others' votes as expired.
func TestOwnersInALongOutageOfTheStore(t *testing.T) {
	for _, instances := range []int{3, 9} {
		for _, dead := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d, one dead %t", instances, dead), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newLongRunningCluster(t, instances)
					defer c.close()
					starts := c.countEvents("run.start")
					c.setStoreFault(machines.StoreSilent)
					if dead {
						for _, name := range c.names() {
							if name != c.owner() {
								c.kill(name)
								break
							}
						}
					}
					time.Sleep(90 * time.Second)
					assert.Equal(t, c.countEvents("pool.unconfirmed"), 0)
					time.Sleep(150 * time.Second)
					unconfirmed := c.countEvents("pool.unconfirmed") > 0
					assert.Equal(t, unconfirmed, dead, c.logs.linesContaining(`confirmed"`))
					c.setStoreFault(machines.StoreUp)
					time.Sleep(12 * time.Minute)
					c.check()
					assert.DeepEqual(t, c.world.Referee.Unfinished(), []string(nil))
					assert.Equal(t, c.countEvents("run.start") > starts, dead, "tasks are started again")
				})
			})
		}
	}
}

// All instances lose power for good, and one of another name takes over and doesn't reach a worker.
// Guards against tasks that it starts elsewhere while all former electors may only be cut off, and against tasks that it never
// starts again.
func TestInstancesOfAnotherNameAfterTheLossOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSplitCluster(t, 1)
		defer c.close()
		c.kill(c.owner())
		c.world.Crash("w1")
		time.Sleep(time.Second)
		c.join("z00", 1)
		time.Sleep(time.Hour)
		assert.Assert(t, len(c.world.Referee.Unfinished()) > 0, "the tasks of the worker that doesn't answer are started again")
		time.Sleep(31 * time.Minute)
		c.check()
		assert.DeepEqual(t, c.world.Referee.Unfinished(), []string(nil))
	})
}
