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

// A caller hands a job in. A new configuration sends its queue to another service and doesn't
// name the former one any more. Then an instance is restarted: it follows the pools of the
// services that the configuration names, and says that it is ready. Asked for the job, which
// waits in the former pool, it denies it, since it has read every pool that it knows of.
func TestJobsOfAFormerServiceAreKnownAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		time.Sleep(3 * time.Second)
		assert.Assert(t, c.submit(shortJob(jobID(1)), func() *member { return c.members["a"] }))
		c.configureOnly(otherService)
		time.Sleep(5 * time.Second)
		c.restartGracefully("b")
		time.Sleep(5 * time.Second)
		m := c.member("b")
		assert.Assert(t, m.node.Ready())
		_, v := c.stateIn(otherService, jobID(1), m)
		assert.Check(t, v != node.NoSuchJob, "a job that waits in the former service's pool is denied")
		assert.Check(t, m.node.Cancel(c.ctx, otherService, jobID(1)) != node.NoSuchJob, "so is its cancel")
	})
}

// configureOnly sends the queue to a service, and names no other.
func (c *cluster) configureOnly(service string) {
	q := pool.Queue{Name: queueName, Service: service, Attempts: 3, Slack: 2, Target: time.Second}
	c.world.Configure(node.Config{Version: 2, Services: []string{service}, Routes: []node.Route{{Queue: q}}})
}

// oldConfig is a store that shows an instance no configuration after the first.
type oldConfig struct {
	node.Store
	config node.Topic
}

// Read implements node.Store.
func (s oldConfig) Read(ctx context.Context, from node.Topic, offset int64, wait time.Duration) ([]node.Stored, int64, error) {
	if from == s.config {
		<-ctx.Done()
		return nil, 0, node.ErrInDoubt
	}
	return s.Store.Read(ctx, from, offset, wait)
}

// A new configuration sends a queue to a new service, whose pool is another one. One instance
// has yet to read it, while it reads all else: the answers about the configuration are lost. A
// job that was handed in elsewhere since is in a pool of which it has never heard. Asked for
// the job 4 s later, it denies it, though it hasn't read the stream in which the job is.
func TestJobsOfANewServiceAreNotDeniedByTheOldConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b")
		defer c.close()
		c.reach = func(m *member) (node.Store, node.Dialer) {
			return oldConfig{m.view, m.view.ConfigTopic()}, c.world.Dial
		}
		c.join("behind", 1)
		time.Sleep(3 * time.Second)
		c.moveQueue(otherService)
		time.Sleep(time.Second)
		j := shortJob(jobID(1))
		j.Queue, j.Service = queueName, otherService
		assert.Equal(t, c.members["a"].node.Submit(c.ctx, j), node.Accepted)
		time.Sleep(4 * time.Second)
		m := c.member("behind")
		assert.Assert(t, m.node.Ready())
		_, v := c.stateIn(machines.Service, jobID(1), m)
		assert.Check(t, v != node.NoSuchJob, "a job that was accepted 4 s ago is denied")
	})
}

// A queue goes to another service and back, and each configuration names one service only. The
// store loses a third of its answers all the while, those to the listing of the second pool too.
// Then all instances are killed and start anew: by their configuration nobody knows of the
// second pool, in which one of the jobs waits.
func TestJobsAreKnownAfterTheirQueueMovedTwiceWhileAnswersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		time.Sleep(3 * time.Second)
		c.setStores(machines.StoreLossy)
		for n, service := range []string{machines.Service, otherService, machines.Service} {
			q := pool.Queue{Name: queueName, Service: service, Attempts: 3, Slack: 2, Target: time.Second}
			c.world.Configure(node.Config{Version: int64(2 + n), Services: []string{service}, Routes: []node.Route{{Queue: q}}})
			time.Sleep(5 * time.Second)
			j := shortJob(jobID(n))
			j.Queue, j.Service = queueName, service
			for c.members["a"].node.Submit(c.ctx, j) != node.Accepted {
				time.Sleep(time.Second)
			}
		}
		for _, name := range c.names() {
			c.kill(name)
		}
		time.Sleep(time.Second)
		for _, name := range c.names() {
			c.start(name)
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, m := range c.up() {
				for n := range 3 {
					_, v := c.stateIn(machines.Service, jobID(n), m)
					assert.Assert(t, v != node.NoSuchJob, "%s denies job %d", m.name, n)
				}
			}
		}
		c.setStores(machines.StoreUp)
		time.Sleep(5 * time.Second)
		for _, m := range c.up() {
			for n := range 3 {
				_, v := c.stateIn(machines.Service, jobID(n), m)
				assert.Equal(t, v, node.Accepted, "%s: job %d", m.name, n)
			}
		}
	})
}

// A caller hands a job in; the answer is lost on its way. A new configuration sends the queue
// to another service at that moment, and the caller repeats its request at an instance that has
// read it, while its copy of the former pool is a second old. That copy lacks the job, and no
// read of the store is asked for, so the job is stored in the second pool too: it counts twice among
// what waits, each pool starts its tasks, and a cancel reaches one of the two.
func TestRequestRepeatedWhileItsQueueIsMovedIsStoredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c", "d", "e")
		defer c.close()
		time.Sleep(10 * time.Second)
		const jobs = 10
		for n := range jobs {
			c.world.Configure(node.Config{Version: int64(10 + 2*n), Services: []string{machines.Service, otherService},
				Routes: []node.Route{{Queue: pool.Queue{Name: queueName, Service: machines.Service, Attempts: 3, Slack: 2, Target: time.Second}}}})
			time.Sleep(5 * time.Second)
			first := shortJob(jobID(n))
			first.Queue, first.Service = queueName, machines.Service
			assert.Equal(t, c.members["a"].node.Submit(c.ctx, first), node.Accepted)
			c.world.Configure(node.Config{Version: int64(11 + 2*n), Services: []string{machines.Service, otherService},
				Routes: []node.Route{{Queue: pool.Queue{Name: queueName, Service: otherService, Attempts: 3, Slack: 2, Target: time.Second}}}})
			time.Sleep(100 * time.Millisecond)
			again := first
			again.Service = otherService
			for _, m := range c.up() {
				assert.Equal(t, m.node.Submit(c.ctx, again), node.Accepted)
			}
		}
		time.Sleep(5 * time.Second)
		count, known := c.members["a"].node.Pending(c.ctx, pool.Queue{Name: queueName, Service: otherService})
		assert.Assert(t, known)
		assert.Equal(t, count, jobs, "each job waits once")
	})
}
