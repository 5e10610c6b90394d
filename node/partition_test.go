package node_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// split cuts the instances and workers of one side off from the store and the other side, or ends that.
func (c *cluster) split(instances, workers []string, cut bool) {
	for _, name := range c.names() {
		inside := slices.Contains(instances, name)
		for _, id := range c.world.Workers() {
			c.members[name].view.PartitionWorker(id, cut && inside != slices.Contains(workers, id))
		}
		for _, other := range c.names() {
			c.world.CutLink(name, other, cut && inside != slices.Contains(instances, other))
		}
		if inside {
			c.members[name].view.SetStore(map[bool]machines.StoreFault{true: machines.StoreSilent, false: machines.StoreUp}[cut])
		}
	}
}

// newSplitCluster returns a cluster with 24 tasks that run on six workers for 25 s.
func newSplitCluster(t *testing.T, instances int) *cluster {
	var names []string
	for n := range instances {
		names = append(names, fmt.Sprintf("m%02d", n))
	}
	c := newCluster(t, 1, false, names...)
	for range 6 {
		c.world.AddWorker(pool.Resources{CPU: 8000, Mem: 8000}, "x", "r1")
	}
	time.Sleep(5 * time.Second)
	for n := range 24 {
		c.submitJob(jobID(n), machines.Work(25*time.Second, false, false), pool.StepSpec{Count: 1, Need: pool.Resources{CPU: 1000, Mem: 10}, EstimateMs: 25000})
	}
	time.Sleep(time.Second)
	return c
}

// A partition leaves the owner, most instances and half of the workers on one side, and the store on the other.
// Guards against an owner that the instances of its side confirm, none of which can know its successor's claim, while the
// successor starts the tasks of the workers that it doesn't reach elsewhere.
func TestOwnerBehindAPartitionWithMostInstances(t *testing.T) {
	for _, instances := range []int{3, 9, 40} {
		for _, duration := range []time.Duration{6 * time.Second, 14 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprint(instances, duration), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newSplitCluster(t, instances)
					defer c.close()
					owner := c.owner()
					inside := []string{owner}
					for _, name := range c.names() {
						if name != owner && len(inside) < (2*instances+2)/3 {
							inside = append(inside, name)
						}
					}
					c.split(inside, c.world.Workers()[:3], true)
					time.Sleep(duration)
					c.split(inside, c.world.Workers()[:3], false)
					time.Sleep(60 * time.Second)
					c.check()
					for n := range 24 {
						c.assertState(jobID(n), pool.Completed)
					}
					if t.Failed() {
						t.Log(c.logs.linesContaining(`"pool.owned"`) + "\n" + c.logs.linesContaining(`"pool.confirmation"`))
					}
				})
			})
		}
	}
}
