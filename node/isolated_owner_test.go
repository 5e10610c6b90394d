package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// A network partition leaves the owner alone with one of the workers, without the store and the other instances.
// Guards against an isolated owner that renews the leases of tasks which its successor starts elsewhere, once the
// leases that it knows of have expired.
func TestIsolatedOwnerStopsRenewing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		for range 2 {
			c.world.AddWorker(pool.Resources{CPU: 8000, Mem: 8000}, "x", "r1")
		}
		time.Sleep(3 * time.Second)
		for n := range 8 { // so that both workers have some
			c.submitJob(jobID(n), machines.Work(25*time.Second, false, false), pool.StepSpec{Count: 1, Need: pool.Resources{CPU: 1000, Mem: 10}, EstimateMs: 25000})
		}
		time.Sleep(time.Second)
		isolated := c.owner()
		for _, name := range c.names() {
			if name != isolated {
				c.members[name].view.PartitionWorker("w1", true)
			}
			c.world.DropIncoming(name) // nor does it reach the others
		}
		c.members[isolated].view.PartitionWorker("w2", true)
		c.members[isolated].view.SetStore(machines.StoreSilent)
		time.Sleep(20 * time.Second)
		for _, name := range c.names() {
			c.members[name].view.PartitionWorker("w1", false)
			c.members[name].view.PartitionWorker("w2", false)
		}
		c.members[isolated].view.SetStore(machines.StoreUp)
		time.Sleep(40 * time.Second)
		assert.DeepEqual(t, c.world.Referee.Findings, []string(nil))
	})
}

// Guards against tasks whose leases lapse in an outage of the store that affects all instances, in which nobody can
// claim the pool.
func TestLeasesAreRenewedThroughAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		c.world.AddWorker(pool.Resources{CPU: 8000, Mem: 8000}, "x", "r1")
		time.Sleep(3 * time.Second)
		c.submitJob(jobID(1), machines.Work(25*time.Second, false, false), crashStep(4))
		time.Sleep(time.Second)
		setStores := func(f machines.StoreFault) {
			for _, name := range c.names() {
				c.members[name].view.SetStore(f)
			}
		}
		setStores(machines.StoreSilent)
		time.Sleep(15 * time.Second)
		setStores(machines.StoreUp)
		time.Sleep(20 * time.Second)
		c.assertState(jobID(1), pool.Completed)
		assert.Equal(t, c.countEvents("run.start"), 4, "tasks are started again")
		c.check()
	})
}

// Guards against an owner that isn't confirmed by the store and goes on although another instance knows its successor.
func TestOwnerIsDeposedByAnInstanceThatKnowsANewerClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		time.Sleep(3 * time.Second)
		owner := c.owner()
		c.world.DropIncoming(owner) // so that nobody can ask it to hand the pool over, or knows that it lives
		c.members[owner].view.SetStore(machines.StoreSilent)
		time.Sleep(5 * time.Second)
		assert.Assert(t, !c.members[owner].node.OwnsAny())
	})
}
