package node_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// checkPending asks each other instance than the owner for the number of waiting jobs, and for the state of one that runs.
func (c *cluster) checkPending(owner string, waiting int, running string) (answered int) {
	for _, m := range c.up() {
		if m.name == owner {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
		count, known := m.node.Pending(ctx, pool.Queue{Name: queueName, Service: machines.Service})
		if known {
			answered++
			assert.Equal(c.t, count, waiting, "given by %s", m.name)
		}
		if state, v := m.node.State(ctx, machines.Service, running); v == node.Accepted {
			assert.Equal(c.t, state, pool.Running, "given by %s", m.name)
		}
		cancel()
	}
	return answered
}

// The owner is killed as a worker crashes, and the next one stores which waiting tasks may have run there. Then that one
// doesn't answer.
// Guards against instances that leave out waiting jobs, or count running ones, while the owner doesn't answer.
func TestWaitingJobsAreCountedWhileTheOwnerIsSilent(t *testing.T) {
	for name, silence := range map[string]func(*cluster, string){
		"frozen":  func(c *cluster, owner string) { c.pause(owner, 3*time.Second) },
		"killed":  func(c *cluster, owner string) { c.kill(owner) },
		"cut off": func(c *cluster, owner string) { c.isolate(owner, true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, false, "a", "b", "c", "d", "e")
				defer c.close()
				for range 8 {
					c.world.AddWorker(pool.Resources{CPU: 16000, Mem: 32768}, "a", "")
				}
				time.Sleep(3 * time.Second)
				long := machines.Work(time.Hour, false, false)
				for n := range 8 {
					c.submitJob(jobID(n), long, pool.StepSpec{Count: 1, Need: pool.Resources{CPU: 12000, Mem: 10}, EstimateMs: 2000, LongRunning: true})
				}
				time.Sleep(2 * time.Second)
				for n := range 8 {
					c.submitJob(jobID(100+n), long, pool.StepSpec{Count: 1, Need: pool.Resources{CPU: 8000, Mem: 10}, EstimateMs: 2000, LongRunning: true})
				}
				time.Sleep(5 * time.Second)
				first := c.owner()
				c.kill(first)
				c.world.Crash("w1")
				time.Sleep(1500 * time.Millisecond)
				c.start(first)
				time.Sleep(15 * time.Second)
				second := c.owner()
				assert.Assert(t, c.checkPending("", 8, jobID(1)) > 0)
				silence(c, second)
				answered := 0
				for range 20 {
					answered += c.checkPending(second, 8, jobID(1))
					time.Sleep(100 * time.Millisecond)
				}
				assert.Assert(t, answered > 0, "nobody has given a count")
			})
		})
	}
}
