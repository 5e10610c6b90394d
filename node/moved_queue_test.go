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

// otherService has part 1 of the topic for its pool, the workers' service grindingPart.
const otherService = "mapping"

// moveQueue sends the queue to another service, as a new configuration does.
func (c *cluster) moveQueue(to string) {
	q := pool.Queue{Name: queueName, Service: to, Attempts: 3, Slack: 2, Target: time.Second}
	c.world.Configure(node.Config{Version: 2, Services: []string{machines.Service, otherService}, Routes: []node.Route{{Queue: q}}})
}

// Callers hand jobs in; then a new configuration sends their queue to another service,
// whose pool is another one. The jobs stay where they were stored. Whoever asks for one,
// or repeats the request that was accepted, comes by the new configuration and is sent to
// the new pool, which has never heard of it: the job must not be denied there, nor stored
// a second time and run twice.
func TestJobsAreKnownAfterTheirQueueWasMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		time.Sleep(3 * time.Second)
		const jobs = 10
		for n := range jobs {
			assert.Assert(t, c.submit(shortJob(jobID(n)), func() *member { return c.members["a"] }))
		}
		c.moveQueue(otherService)
		time.Sleep(5 * time.Second)
		for n := range jobs {
			for _, m := range c.up() {
				state, v := c.stateIn(otherService, jobID(n), m)
				assert.Equal(t, v, node.Accepted, "%s: job %d", m.name, n)
				assert.Equal(t, state, pool.Queued)
				again := shortJob(jobID(n))
				again.Queue, again.Service = queueName, otherService
				assert.Equal(t, m.node.Submit(c.ctx, again), node.Accepted)
			}
		}
		count, known := c.members["a"].node.Pending(c.ctx, pool.Queue{Name: queueName, Service: otherService})
		assert.Assert(t, known)
		assert.Equal(t, count, jobs, "each job waits once")
	})
}

// As above, and a caller cancels its job: the cancellation has to reach the pool in which
// the job waits. Then a worker comes, and nothing may run.
func TestCancelReachesAJobWhoseQueueWasMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		time.Sleep(3 * time.Second)
		assert.Assert(t, c.submit(shortJob(jobID(1)), func() *member { return c.members["a"] }))
		c.moveQueue(otherService)
		time.Sleep(5 * time.Second)
		c.world.Referee.CancelRequested(jobID(1))
		assert.Equal(t, c.members["b"].node.Cancel(c.ctx, otherService, jobID(1)), node.Accepted)
		c.world.Referee.CancelAcknowledged(jobID(1))
		time.Sleep(2 * time.Second)
		c.world.AddWorker(pool.Resources{CPU: 8000, Mem: 8000}, "x", "r1")
		time.Sleep(10 * time.Second)
		assert.Equal(t, c.logs.about("run.start"), "")
		state, v := c.stateIn(otherService, jobID(1), c.members["c"])
		assert.Equal(t, v, node.Accepted)
		assert.Equal(t, state, pool.Cancelled)
		c.check()
	})
}

// A job that nobody has handed in is denied, also after the queue was moved: both pools
// are read for the proof.
func TestUnknownJobIsDeniedAfterItsQueueWasMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		time.Sleep(3 * time.Second)
		c.moveQueue(otherService)
		time.Sleep(5 * time.Second)
		_, v := c.stateIn(otherService, jobID(1), c.members["b"])
		assert.Equal(t, v, node.NoSuchJob)
	})
}

// stateIn asks an instance for a job of a queue that a service serves by now.
func (c *cluster) stateIn(service, job string, m *member) (pool.State, node.Verdict) {
	ctx, cancel := context.WithTimeout(c.ctx, callersPatience)
	defer cancel()
	return m.node.State(ctx, service, job)
}
