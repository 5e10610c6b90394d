package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// awaitStart waits until the owner has sent a start.
func (c *cluster) awaitStart() {
	before := c.countEvents("run.start")
	for c.countEvents("run.start") == before {
		time.Sleep(time.Millisecond / 2)
	}
}

// Guards against a successor that starts a task elsewhere although its predecessor, killed or frozen right after it has sent the
// task's start, may still bring it to life on the next incarnation of a worker that the successor doesn't reach.
func TestStartsOfAnOwnerThatIsGoneAreNotForgotten(t *testing.T) {
	faults := map[string]func(c *cluster, owner string){
		"killed": func(c *cluster, owner string) { c.kill(owner) },
		"frozen": func(c *cluster, owner string) { c.pause(owner, 4*time.Second) },
		"all are killed": func(c *cluster, _ string) {
			for _, name := range c.names() {
				c.kill(name)
				c.start(name)
			}
		},
		"two takeovers": func(c *cluster, owner string) {
			c.kill(owner)
			time.Sleep(1200 * time.Millisecond)
			c.kill(c.owner())
			c.start(owner)
		},
	}
	for name, fault := range faults {
		for _, after := range []time.Duration{time.Millisecond, 180 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(name+" after "+after.String(), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					c := newCrashCluster(t, false)
					defer c.close()
					c.world.ReuseIDs(1)
					c.world.LateOrdersOutliveWorkers, c.world.LateOrdersAwaitRestarts = true, true
					for round := range 3 {
						c.world.SetLateOrders(1)
						owner := c.owner()
						go c.submitJob(jobID(100+round), machines.Work(20*time.Second, false, false), crashStep(12))
						c.awaitStart()
						time.Sleep(after)
						fault(c, owner)
						c.world.SetLateOrders(0)
						// A new job needn't wait for the takeover, and takes the room that the others were started in.
						go c.submitJob(jobID(200+round), machines.Work(3*time.Second, false, false), crashStep(20))
						time.Sleep(1500 * time.Millisecond)
						lost := c.world.Workers()[:4]
						c.world.Restart(300*time.Millisecond, lost...)
						time.Sleep(305 * time.Millisecond)
						for _, w := range lost {
							c.world.CutOff(w, 5500*time.Millisecond)
						}
						time.Sleep(20 * time.Second)
						for _, name := range c.names() {
							c.restart(name)
						}
						time.Sleep(30 * time.Second)
					}
					c.check()
					assert.Equal(t, len(c.world.Referee.Unfinished()), 0, c.logs.linesContaining(`"steps.waiting"`))
				})
			})
		}
	}
}
