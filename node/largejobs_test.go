package node_test

import (
	"context"
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

// newSmallStoreCluster returns a cluster of three instances whose store accepts only small records and
// appends, with six large workers in one rack, of labelledKind, and two in another.
func newSmallStoreCluster(t *testing.T, maxRecord, maxAppend int) *cluster {
	c := newCluster(t, 1, false)
	c.world.MaxRecord, c.world.MaxAppend = maxRecord, maxAppend
	c.world.ReuseIDs(1)
	for _, name := range []string{"a", "b", "c"} {
		c.join(name, 1)
	}
	for n := range 8 {
		kind, rack := labelledKind, "r0"
		if n >= 6 {
			kind, rack = "b", "r1"
		}
		c.world.AddWorker(pool.Resources{CPU: 16000, Mem: 16000}, kind, rack)
	}
	time.Sleep(3 * time.Second)
	return c
}

// assertAllEnded fails the test if a rule was broken, an accepted job hasn't ended, or the store refused an
// append because of its size.
func (c *cluster) assertAllEnded() {
	c.t.Helper()
	c.check()
	for _, job := range c.world.Referee.Unfinished() {
		c.t.Errorf("LOST: job %s was accepted and never ended", job)
	}
	assert.Equal(c.t, c.world.SizesRefused(), 0, c.logs.linesContaining(`"append.refused"`))
}

// Guards against a large job whose progress outgrows a record once a rack is lost under it, so that
// nothing of its pool is stored any more.
func TestRackLossUnderALargeJobDoesNotStopItsPool(t *testing.T) {
	for _, kill := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner killed %t", kill), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newSmallStoreCluster(t, 16<<10, 128<<10)
				defer c.close()
				large := pool.StepSpec{Count: 500, Need: pool.Resources{CPU: 100, Mem: 10}, EstimateMs: 8000, Label: labelledKind}
				c.submitJob(jobID(1), machines.Work(8*time.Second, false, false), large)
				time.Sleep(4 * time.Second)
				c.world.Restart(4500*time.Millisecond, c.world.Rack("r0")...)
				for n := range 20 {
					c.submitJob(jobID(100+n), machines.Work(time.Second, false, false), crashStep(4))
					time.Sleep(time.Second)
					if kill && n%6 == 5 {
						c.kill("a")
						c.kill("b")
						time.Sleep(500 * time.Millisecond)
						c.restart("a")
						c.restart("b")
					}
				}
				time.Sleep(60 * time.Second)
				c.assertState(jobID(1), pool.Completed)
				c.assertAllEnded()
			})
		})
	}
}

// Guards against jobs that are all refused since together they are too large for an append.
func TestJobsThatArriveTogetherFitIntoAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSmallStoreCluster(t, 4<<10, 4<<10)
		defer c.close()
		c.world.SlowAppends(100 * time.Millisecond)
		payload := machines.Work(time.Second, false, false) + " " + strings.Repeat("x", 1000)
		accepted := make(chan bool, 30)
		for n := range cap(accepted) {
			go func() {
				j := pool.Job{ID: jobID(n), Payload: payload, Steps: []pool.StepSpec{{Count: 2, Need: pool.Resources{CPU: 100, Mem: 10}}}}
				accepted <- c.submit(j, c.anyMember)
			}()
		}
		for range cap(accepted) {
			assert.Assert(t, <-accepted, "a job was not accepted")
		}
		time.Sleep(30 * time.Second)
		c.assertAllEnded()
	})
}

// Guards against a pool with so many workers that the list of those in use outgrows a record, so that
// nothing of the pool is stored any more.
func TestListOfManyWorkersDoesNotStopItsPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSmallStoreCluster(t, 2<<10, 64<<10)
		defer c.close()
		for n := range 120 {
			c.world.AddWorker(pool.Resources{CPU: 4000, Mem: 4000}, "b", fmt.Sprintf("r%d", 2+n%4))
		}
		time.Sleep(3 * time.Second)
		for n := range 10 {
			c.submitJob(jobID(n), machines.Work(2*time.Second, false, false), crashStep(9))
			c.kill("a")
			c.world.Crash(c.world.Workers()[10+n])
			time.Sleep(time.Second)
			c.restart("a")
			time.Sleep(2 * time.Second)
		}
		time.Sleep(30 * time.Second)
		c.assertAllEnded()
	})
}

// Guards against a job that is accepted although the store can't hold it, or its progress.
func TestJobTooLargeToBeStoredIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSmallStoreCluster(t, 4<<10, 64<<10)
		defer c.close()
		n := c.members["a"].node
		for id, j := range map[string]pool.Job{
			jobID(1): {Payload: strings.Repeat("<", 1000), Steps: []pool.StepSpec{{Count: 1}}}, // six bytes each as stored
			jobID(2): {Payload: "1 false false", Steps: []pool.StepSpec{{Count: 3000}, {Count: 1100}}},
		} {
			j.ID, j.Queue, j.Service = id, queueName, machines.Service
			ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
			result := n.SubmitJob(ctx, j)
			cancel()
			assert.Equal(t, result.Verdict, node.TooLarge)
			assert.Assert(t, strings.Contains(result.Reason, "bytes to store"), result.Reason)
			_, verdict := n.State(c.ctx, machines.Service, id)
			assert.Equal(t, verdict, node.NoSuchJob)
		}
		// An older version of this program may have stored such a job, and its caller repeats the request.
		j := pool.Job{ID: jobID(3), Queue: queueName, Service: machines.Service, Payload: strings.Repeat("<", 1000), Steps: []pool.StepSpec{{Count: 1, Need: pool.Resources{CPU: 1}}}}
		c.world.Put(grindingPool, pool.JobKey(j.ID), pool.Encode(j))
		c.world.Referee.Submitted(j, 3)
		assert.Equal(t, n.Submit(c.ctx, j), node.Accepted)
	})
}
