package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// All instances are replaced by one of another name, after they have left as planned, and a worker crashes meanwhile.
// Guards against a new owner that waits for hours for instances that have left: nobody else knows their claims.
func TestInstancesThatHaveLeftAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSplitCluster(t, 1)
		defer c.close()
		owner := c.owner()
		c.members[owner].node.Stop(c.ctx)
		c.kill(owner)
		c.world.Crash("w1")
		time.Sleep(time.Second)
		c.join("z00", 1)
		began := c.world.Since()
		for len(c.world.Referee.Unfinished()) > 0 && c.world.Since() < began+5*time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		t.Log(c.world.Since()-began, c.logs.linesContaining(`"pool.owned"`), c.logs.linesContaining(`"pool.predecessor_over"`))
		c.check()
		assert.DeepEqual(t, c.world.Referee.Unfinished(), []string(nil))
	})
}
