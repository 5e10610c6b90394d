package node_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// newClusterWithCopies returns a cluster, 15 s after its start, in which the given number of
// instances keep a copy of each pool; 0: the default.
func newClusterWithCopies(t *testing.T, instances, copies int) *cluster {
	c := newCluster(t, 1, false)
	c.copies = copies
	for n := range instances {
		c.join(fmt.Sprintf("m%02d", n), 1)
	}
	for range 4 {
		c.world.AddWorker(pool.Resources{CPU: 8000, Mem: 8000}, "x", "r1")
	}
	time.Sleep(15 * time.Second)
	return c
}

// copyHolders returns the instances with a copy of the workers' pool and those without one.
func (c *cluster) copyHolders() (with, without []*member) {
	for _, m := range c.up() {
		if c.poolOf(m).Copied {
			with = append(with, m)
		} else {
			without = append(without, m)
		}
	}
	return with, without
}

func jobWithPayload(n int, payload string) pool.Job {
	return pool.Job{ID: jobID(n), Payload: machines.Work(300*time.Millisecond, false, false) + payload,
		Steps: []pool.StepSpec{{Count: 1, Need: pool.Resources{CPU: 100, Mem: 10}, EstimateMs: 300}}}
}

// Guards against reads of the store that grow with the number of instances.
func TestReadsForCopiesDoNotGrowWithTheCluster(t *testing.T) {
	const jobs = 50
	read := map[int]int{}
	for _, instances := range []int{12, 24} {
		synctest.Test(t, func(t *testing.T) {
			c := newClusterWithCopies(t, instances, 4)
			defer c.close()
			with, without := c.copyHolders()
			assert.Equal(t, len(with), 4)
			before := c.world.BytesRead()
			for n := range jobs {
				assert.Assert(t, c.submit(jobWithPayload(n, strings.Repeat(" ", 2000)), func() *member { return without[n%len(without)] }))
			}
			time.Sleep(3 * time.Second)
			read[instances] = c.world.BytesRead() - before
			c.check()
		})
	}
	assert.Assert(t, read[24] < read[12]*5/4, "%d bytes at 12 instances, %d at 24", read[12], read[24])
}

// Guards against an instance without a copy that doesn't find an accepted job, or can't tell that a
// job doesn't exist.
func TestInstanceWithoutCopyAnswersForJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithCopies(t, 6, 2)
		defer c.close()
		_, without := c.copyHolders()
		assert.Equal(t, len(without), 4)
		for n := range 20 {
			assert.Assert(t, c.submit(jobWithPayload(n, ""), func() *member { return without[n%4] }))
			state, verdict := c.state(jobID(n), without[(n+1)%4])
			assert.Equal(t, verdict, node.Accepted, state)
			_, verdict = c.state(jobID(1000+n), without[(n+2)%4])
			assert.Equal(t, verdict, node.NoSuchJob)
			count, sure := without[(n+3)%4].node.Pending(c.ctx, pool.Queue{Name: queueName, Service: machines.Service})
			assert.Assert(t, sure && count <= 1, "%d wait, %v", count, sure)
		}
		time.Sleep(2 * time.Second)
		for n := range 20 {
			state, _ := c.state(jobID(n), without[n%4])
			assert.Equal(t, state, pool.Completed)
		}
		c.check()
	})
}

// Guards against an instance without a copy that stores a repeated request as another job.
func TestRequestRepeatedWithoutCopyIsOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithCopies(t, 6, 2)
		defer c.close()
		_, without := c.copyHolders()
		for n := range 20 {
			for try := range 3 {
				assert.Assert(t, c.submit(jobWithPayload(n, ""), func() *member { return without[(n+try)%4] }))
				time.Sleep(200 * time.Millisecond)
			}
		}
		time.Sleep(2 * time.Second)
		c.check()
	})
}

// Guards against a pool that no instance takes over after the loss of all instances with a copy.
func TestPoolIsTakenOverAfterTheLossOfAllCopies(t *testing.T) {
	for name, fail := range map[string]func(c *cluster, name string){
		"killed":     func(c *cluster, name string) { c.kill(name) },
		"lost power": func(c *cluster, name string) { c.cutPower(name) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterWithCopies(t, 7, 2)
				defer c.close()
				with, without := c.copyHolders()
				j := jobWithPayload(1, "")
				j.Payload = machines.Work(20*time.Second, false, false)
				assert.Assert(t, c.submit(j, func() *member { return without[0] }))
				time.Sleep(time.Second)
				for _, m := range with {
					fail(c, m.name)
				}
				time.Sleep(10 * time.Second)
				assert.Assert(t, c.submit(jobWithPayload(2, ""), func() *member { return without[1] }))
				time.Sleep(30 * time.Second)
				for _, m := range without {
					for _, id := range []string{jobID(1), jobID(2)} {
						state, verdict := c.state(id, m)
						assert.Equal(t, state, pool.Completed, "%s answers %v for job %s", m.name, verdict, id)
					}
				}
				c.check()
			})
		})
	}
}

// Guards against a configuration that is applied late because copies of a busy pool use up the read
// bandwidth.
func TestConfigurationIsAppliedUnderReadLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithCopies(t, 30, 0)
		defer c.close()
		c.world.LimitReads(10_000_000)
		up := c.up()
		for n := range 150 { // 0.8 MB/s written; 30 copies would read 24 MB/s
			go c.submit(jobWithPayload(n, strings.Repeat(" ", 40_000)), func() *member { return up[n%len(up)] })
			time.Sleep(50 * time.Millisecond)
		}
		c.configureNext()
		time.Sleep(configDeadline)
		for _, m := range c.up() {
			assert.Check(t, m.node.Dump(c.ctx).Version == c.config.Version, "%s has version %d", m.name, m.node.Dump(c.ctx).Version)
		}
		time.Sleep(5 * time.Second)
		c.check()
	})
}
