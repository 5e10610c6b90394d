package node_test

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// withOwner returns the owner and other instances, as many as given in all.
func (c *cluster) withOwner(count int) []string {
	list := []string{c.owner()}
	for _, name := range c.names() {
		if !slices.Contains(list, name) && len(list) < count {
			list = append(list, name)
		}
	}
	return list
}

// A partition leaves the owner, a minority of its electors and half of the workers on one side, and the store on the other.
// Guards against an owner that a minority confirms, and against a successor that waits for it although most electors know
// its claim.
func TestOwnerBehindAPartitionWithFewInstances(t *testing.T) {
	for _, few := range []int{2, 4} {
		synctest.Test(t, func(t *testing.T) {
			c := newSplitCluster(t, 9)
			defer c.close()
			inside, workers := c.withOwner(few), c.world.Workers()[:3]
			before := c.countEvents("pool.predecessor_over")
			c.split(inside, workers, true)
			time.Sleep(20 * time.Second)
			assert.Equal(t, c.countEvents("pool.predecessor_over"), before+1)
			assert.Equal(t, c.countEvents("run.start"), 48, "the tasks behind the partition aren't started again")
			c.split(inside, workers, false)
			time.Sleep(60 * time.Second)
			c.check()
			for n := range 24 {
				c.assertState(jobID(n), pool.Completed)
			}
		})
	}
}

// The store is away for all, and the owner reaches only a minority of its electors.
// Guards against an owner that goes on although most of its electors may know of a newer claim.
func TestOwnerWithoutTheStoreAndMostElectorsStops(t *testing.T) {
	for _, few := range []int{1, 4} {
		synctest.Test(t, func(t *testing.T) {
			c := newSplitCluster(t, 9)
			defer c.close()
			inside := c.withOwner(few)
			unconfirmed := func() int { return strings.Count(c.logs.linesContaining(`"pool.unconfirmed"`), `"silent":`) }
			c.setStoreFault(machines.StoreSilent)
			time.Sleep(5 * time.Second)
			assert.Equal(t, unconfirmed(), 0)
			c.split(inside, nil, true)
			c.members[inside[0]].view.SetStore(machines.StoreSilent)
			for _, id := range c.world.Workers() {
				for _, name := range c.names() {
					c.members[name].view.PartitionWorker(id, name != inside[0])
				}
			}
			time.Sleep(9 * time.Second)
			assert.Equal(t, unconfirmed(), 1)
			runs := 0
			for _, id := range c.world.Workers() {
				runs += c.world.Runs(id)
			}
			assert.Equal(t, runs, 0, "leases are renewed")
			c.split(inside, nil, false)
			c.setStoreFault(machines.StoreUp)
			for _, id := range c.world.Workers() {
				for _, name := range c.names() {
					c.members[name].view.PartitionWorker(id, false)
				}
			}
			time.Sleep(60 * time.Second)
			c.check()
			for n := range 24 {
				c.assertState(jobID(n), pool.Completed)
			}
		})
	}
}
