package node_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// newRunningTask returns a cluster of three instances, of which the owner's successor learns nothing from the others,
// three workers and a task that runs. The third instance reaches neither the store nor the successor, and so confirms the
// owner for good. It returns the owner, its successor, the worker on which the task runs and another one.
func newRunningTask(t *testing.T) (c *cluster, owner, successor, busy, idle string) {
	c = newCluster(t, 1, false, "a", "b", "c")
	for range 3 {
		c.world.AddWorker(pool.Resources{CPU: 8000, Mem: 8000}, "x", "r1")
	}
	time.Sleep(3 * time.Second)
	owner, successor = c.owner(), "a"
	if owner == "a" {
		successor = "b"
	}
	step := pool.StepSpec{Count: 1, Need: pool.Resources{CPU: 1000, Mem: 10}, EstimateMs: 30_000}
	assert.Assert(t, c.submit(pool.Job{ID: jobID(1), Payload: machines.Work(30*time.Second, false, false), Steps: []pool.StepSpec{step}},
		func() *member { return c.members[owner] }))
	time.Sleep(time.Second)
	for _, id := range c.world.Workers() {
		if c.world.Runs(id) > 0 {
			busy = id
		} else {
			idle = id
		}
	}
	assert.Assert(t, busy != "", "the task isn't started")
	for _, name := range c.names() {
		if name != owner && name != successor {
			c.members[name].view.SetStore(machines.StoreSilent)
			c.world.CutLink(successor, name, true)
		}
	}
	c.world.DropIncoming(owner)
	c.world.DropIncoming(successor)
	return c, owner, successor, busy, idle
}

// checkRunsOnce checks that the task of newRunningTask is done after one run.
func (c *cluster) checkRunsOnce(successor string) {
	c.t.Helper()
	time.Sleep(40 * time.Second)
	c.check()
	state, _ := c.state(jobID(1), c.members[successor])
	assert.Equal(c.t, state, pool.Completed)
	assert.Equal(c.t, len(strings.Split(c.logs.linesContaining(`"run.start"`), "\n")), 1, "the task is started again")
	if c.t.Failed() {
		c.t.Log(c.logs.linesContaining(`"pool.`))
		c.t.Log(c.logs.linesContaining(jobID(1)))
	}
}

// Guards against a new owner that is cut off from all workers for longer than the leases of its predecessor, which renews
// them meanwhile, and that starts tasks again once the first worker answers.
func TestTasksOfAPredecessorRunOnceIfItsSuccessorReachesNoWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, owner, successor, busy, idle := newRunningTask(t)
		defer c.close()
		v := c.members[successor].view
		for _, id := range c.world.Workers() {
			v.PartitionWorker(id, true)
		}
		c.members[owner].view.SetStore(machines.StoreSilent)
		time.Sleep(15 * time.Second)
		assert.Assert(t, c.members[successor].node.OwnsAny())
		assert.Assert(t, c.members[owner].node.OwnsAny(), "the predecessor is deposed before a worker has seen its successor")
		v.PartitionWorker(idle, false)
		time.Sleep(300 * time.Millisecond)
		v.PartitionWorker(busy, false)
		c.members[owner].view.SetStore(machines.StoreUp)
		c.checkRunsOnce(successor)
	})
}

// Guards against an owner that is stopped, goes on after another instance has taken over, and renews the leases of a worker
// that its successor doesn't reach for longer than the successor waits.
func TestTasksOfAStoppedPredecessorRunOnce(t *testing.T) {
	for _, stopped := range []time.Duration{2500 * time.Millisecond, 3500 * time.Millisecond, 4500 * time.Millisecond, 4900 * time.Millisecond} {
		t.Run(stopped.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, owner, successor, busy, _ := newRunningTask(t)
				defer c.close()
				c.members[successor].view.PartitionWorker(busy, true)
				c.pause(owner, stopped)
				time.Sleep(12 * time.Second)
				assert.Assert(t, c.members[successor].node.OwnsAny())
				c.members[successor].view.PartitionWorker(busy, false)
				time.Sleep(30 * time.Second)
				c.check()
				if t.Failed() {
					t.Log(c.logs.linesContaining(`"pool.`))
					t.Log(c.logs.linesContaining(jobID(1)))
				}
			})
		})
	}
}

// Guards against a new owner that starts tasks elsewhere while they run on a worker that only its predecessor reaches,
// which nothing else reaches: no worker that both reach deposes that one.
func TestTasksOfAPredecessorRunOnceIfTheOwnersReachDifferentWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, owner, successor, busy, _ := newRunningTask(t)
		defer c.close()
		for _, name := range c.names() {
			c.world.DropIncoming(name)
		}
		for _, id := range c.world.Workers() {
			if id == busy {
				c.members[successor].view.PartitionWorker(id, true)
			} else {
				c.members[owner].view.PartitionWorker(id, true)
			}
		}
		c.members[owner].view.SetStore(machines.StoreSilent)
		time.Sleep(15 * time.Second)
		assert.Assert(t, c.members[successor].node.OwnsAny())
		c.members[successor].view.PartitionWorker(busy, false)
		c.members[owner].view.SetStore(machines.StoreUp)
		time.Sleep(40 * time.Second)
		c.check()
		state, _ := c.state(jobID(1), c.members[successor])
		assert.Equal(t, state, pool.Completed)
	})
}
