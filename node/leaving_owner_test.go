package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a new owner that waits until the votes of its predecessor expire, although that one has handed the pool over
// and still runs: it is only not listed any more.
func TestOwnerThatLeavesIsToldOfItsSuccessorsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSplitCluster(t, 2)
		defer c.close()
		owner := c.owner()
		c.members[owner].node.Stop(c.ctx)
		time.Sleep(time.Second)
		c.kill(owner)
		c.world.Crash("w1")
		time.Sleep(10 * time.Second)
		assert.Equal(t, c.countEvents("pool.predecessor_over"), 1)
		assert.Assert(t, c.countEvents("run.start") > 24, "the tasks of the worker that has crashed aren't started again")
		time.Sleep(30 * time.Second)
		c.check()
	})
}
