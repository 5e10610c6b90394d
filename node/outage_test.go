package node_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// callersPatience is how long callers of these tests wait for an answer.
const callersPatience = 2850 * time.Millisecond

// answered is what one caller was told.
type answered struct {
	verdict  node.Verdict
	at, took time.Duration
}

// handIn hands jobs in, one each 50 ms at each instance in turn, and returns what the
// callers were told, in that order. A caller tries once.
func (c *cluster) handIn(jobs int) []answered {
	list := make([]answered, jobs)
	var callers sync.WaitGroup
	up := c.up()
	for n := range jobs {
		callers.Go(func() {
			j := pool.Job{ID: jobID(n), Queue: queueName, Service: machines.Service, AcceptedMs: time.Now().UnixMilli(),
				Payload: machines.Work(100*time.Millisecond, false, false),
				Steps:   []pool.StepSpec{{Count: 1, Need: pool.Resources{CPU: 100, Mem: 10}, EstimateMs: 100}}}
			began := c.world.Since()
			ctx, cancel := context.WithTimeout(c.ctx, callersPatience)
			defer cancel()
			c.world.Referee.Submitted(j, 3)
			v := up[n%len(up)].node.Submit(ctx, j)
			c.world.Referee.Answered(j.ID, v == node.Accepted, v == node.NotRun)
			list[n] = answered{verdict: v, at: c.world.Since(), took: c.world.Since() - began}
		})
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	return list
}

// The store answers nobody for 4 s, and callers hand jobs in all the while. A caller
// that is left in doubt can't hand its job in again elsewhere, and waits in vain. Only
// what was in the append under way is in doubt; all others are told for certain, with
// half of their time left, that nothing was stored. Once the store is back, what waits
// is stored at once: the append that hung is not waited for.
func TestOutageLeavesFewCallersInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c", "d")
		defer c.close()
		c.world.AddWorker(pool.Resources{CPU: 8000, Mem: 8000}, "x", "r1")
		time.Sleep(3 * time.Second)
		c.owner()
		c.setStores(machines.StoreSilent)
		returned := make(chan time.Duration, 1)
		time.AfterFunc(4*time.Second, func() {
			c.setStores(machines.StoreUp)
			returned <- c.world.Since()
		})
		list := c.handIn(100)
		first := time.Hour
		inDoubt := 0
		for n, a := range list {
			switch a.verdict {
			case node.Accepted:
				first = min(first, a.at)
			case node.Unknown:
				inDoubt++
			default:
				assert.Assert(t, a.took < callersPatience/2, "caller %d was held for %v", n, a.took)
			}
		}
		assert.Assert(t, inDoubt <= 2, "%d callers are in doubt", inDoubt)
		waited := first - <-returned
		assert.Assert(t, waited < 300*time.Millisecond, "nothing was stored for %v after the store's return", waited)
		time.Sleep(10 * time.Second)
		c.check()
	})
}

func (c *cluster) setStores(f machines.StoreFault) {
	for _, m := range c.members {
		m.view.SetStore(f)
	}
}

// The store loses a third of its answers. An append whose answer was lost has no other
// way to end than its timeout, and all that callers hand in waits behind it for 1.2 s.
// The store answers reads meanwhile, so the append is sent again at once.
func TestLostAnswersDontHoldUpCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c", "d")
		defer c.close()
		c.world.AddWorker(pool.Resources{CPU: 8000, Mem: 8000}, "x", "r1")
		time.Sleep(3 * time.Second)
		c.members[c.owner()].view.SetStore(machines.StoreLossy)
		late := 0
		for _, a := range c.handIn(60) {
			assert.Equal(t, a.verdict, node.Accepted)
			if a.took > time.Second {
				late++
			}
		}
		assert.Assert(t, late <= 3, "%d of 60 callers waited for more than a second", late)
		c.check()
	})
}

// A job is accepted, the store goes away, and the caller's request comes once more, as
// it does after a broken connection. The job is stored, so the caller must not be told
// to come back, nor wait.
func TestRepeatedRequestIsAcceptedWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		time.Sleep(3 * time.Second)
		for _, a := range c.handIn(1) {
			assert.Equal(t, a.verdict, node.Accepted)
		}
		time.Sleep(2 * time.Second)
		c.setStores(machines.StoreSilent)
		time.Sleep(2 * time.Second)
		for range 3 {
			for _, a := range c.handIn(1) {
				assert.Equal(t, a.verdict, node.Accepted)
				assert.Assert(t, a.took < 100*time.Millisecond, "after %v", a.took)
			}
		}
	})
}
