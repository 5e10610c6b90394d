package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// Guards against a start without an answer that is carried out by its worker's next incarnation, while the task
// runs elsewhere because the lease of the former one has expired.
func TestLateStartFindsNoOtherRunOfItsTask(t *testing.T) {
	for ownerLost, down := range map[bool]time.Duration{false: 7 * time.Second, true: 10 * time.Second} {
		t.Run(fmt.Sprintf("owner lost %t", ownerLost), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCrashCluster(t, false)
				defer c.close()
				c.world.ReuseIDs(1)
				c.world.LateOrdersOutliveWorkers, c.world.LateOrdersAwaitRestarts = true, true
				for round := range 5 {
					c.world.SetLateOrders(0.4)
					c.submitJob(jobID(100+round), machines.Work(20*time.Second, false, false), crashStep(20))
					time.Sleep(time.Second)
					c.world.SetLateOrders(0)
					c.world.Restart(down, c.world.Workers()[:4]...)
					if ownerLost {
						time.Sleep(1500 * time.Millisecond)
						owner := c.owner()
						c.kill(owner)
						c.start(owner)
					}
					time.Sleep(40 * time.Second)
				}
				c.check()
				assert.Equal(t, len(c.world.Referee.Unfinished()), 0)
			})
		})
	}
}
