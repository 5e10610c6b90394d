package node_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// otherQueueName is a queue whose jobs run in the second pool.
const otherQueueName = "scans"

// addOtherWorkers adds workers to the second pool.
func (c *cluster) addOtherWorkers(count int) {
	for n := range count {
		c.world.AddWorkerTo(machines.OtherService, pool.Resources{CPU: 8000, Mem: 16000, GPU: 4}, []string{labelledKind, "b"}[n%2], fmt.Sprintf("r%d", n%3))
	}
}

// addOtherPool adds a second pool with workers and a queue.
func (c *cluster) addOtherPool(workers int) {
	c.addOtherWorkers(workers)
	q := c.config.Routes[0].Queue
	q.Name, q.Service = otherQueueName, machines.OtherService
	c.config.Services = append(c.config.Services, machines.OtherService)
	c.config.Routes = append(c.config.Routes, node.Route{Queue: q})
}

// setCaps configures organisations o0, o1 and so on with caps on CPU, in cores.
func (c *cluster) setCaps(cores ...int64) {
	var list []organisation.Entry
	for n, limit := range cores {
		list = append(list, organisation.Entry{Organisation: organisation.Organisation{Name: fmt.Sprint("o", n), Weight: 1,
			Cap: organisation.Amounts{organisation.CPU: 1000 * limit}}})
	}
	c.world.SetOrganisations(list)
	c.configureNext()
}

// organisationJob returns a job of tasks of two cores that take a second.
func organisationJob(n, tasks int, org, queue, service string) pool.Job {
	return pool.Job{ID: jobID(n), Organisation: org, Queue: queue, Service: service, Payload: machines.Work(time.Second, false, false),
		Steps: []pool.StepSpec{{Count: tasks, Need: pool.Resources{CPU: 2000, Mem: 100}, EstimateMs: 1000}}}
}

func (c *cluster) submitOrganisationJob(j pool.Job) {
	c.t.Helper()
	j.AcceptedMs = time.Now().UnixMilli()
	c.world.Referee.Submitted(j, 3)
	v := c.up()[0].node.Submit(c.ctx, j)
	c.world.Referee.Answered(j.ID, v == node.Accepted, v == node.NotRun)
	assert.Equal(c.t, v, node.Accepted)
}

// Guards against a cap of which only a part can be used, because all demand is in one pool.
func TestAllOfACapIsUsedInOnePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		for n := range 6 {
			c.addWorker(n)
		}
		c.addOtherPool(6)
		c.setCaps(20)
		time.Sleep(5 * time.Second)
		for i, queue := range []struct{ name, service string }{{queueName, machines.Service}, {otherQueueName, machines.OtherService}} {
			c.submitOrganisationJob(organisationJob(10+i, 40, "o0", queue.name, queue.service))
			most := int64(0)
			for range 60 {
				time.Sleep(50 * time.Millisecond)
				most = max(most, c.world.Use("o0")[organisation.CPU])
			}
			assert.Equal(t, most, int64(20_000), queue.name)
			time.Sleep(5 * time.Second)
		}
		c.check()
	})
}

// Guards against an owner that keeps an older version's caps when several versions are read at once.
func TestOwnerUsesTheNewestCapsOfVersionsReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a")
		defer c.close()
		c.addWorker(0)
		time.Sleep(3 * time.Second)
		for range 10 {
			for limit := int64(1); limit <= 20; limit++ {
				c.setCaps(limit)
			}
			time.Sleep(3 * time.Second)
			for _, p := range c.members["a"].node.Dump(c.ctx).Pools {
				for _, r := range p.Caps {
					assert.Equal(t, r.Level[organisation.CPU], int64(20_000), "pool %d, version %d", p.Pool, c.config.Version)
				}
			}
		}
	})
}

// Guards against an organisation that exceeds its cap, or waits for ever, while the owners of two pools
// are killed, paused or cut off, responses of the store are lost, orders are late, and caps change.
func TestRandomHistoriesWithCaps(t *testing.T) {
	for n := range max(1, *histories/3) {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				runHistoryWith(t, seed, 0, func(c *cluster) { c.runOrganisations(rand.New(rand.NewPCG(seed, 8))) })
			})
		})
	}
}

// runOrganisations submits jobs of organisations with caps to two pools, and changes the caps.
func (c *cluster) runOrganisations(rng *rand.Rand) {
	caps := []int64{6, 12, 20}
	c.addOtherPool(6)
	c.setCaps(caps...)
	for n := 0; c.world.Since() < faultPeriod; n++ {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		j := c.organisationJob(rng, n, caps)
		go c.runOrganisationCaller(j, rng.IntN(8) == 0, []int{rng.IntN(3), rng.IntN(3), rng.IntN(3)})
		if rng.IntN(12) == 0 {
			// What can never run any more because of a lower cap would count as lost.
			for i, limit := range []int64{6, 12, 20} {
				caps[i] = limit + int64(rng.IntN(2))*limit
			}
			c.setCaps(caps...)
		}
	}
	c.setCaps(6, 12, 20)
	// Workers that crash are replaced in the first pool only. Without these, the advice could leave a gang
	// of this pool too few workers for ever.
	c.addOtherWorkers(6)
}

func (c *cluster) organisationJob(rng *rand.Rand, n int, caps []int64) pool.Job {
	i := rng.IntN(len(caps))
	queue, service := queueName, machines.Service
	if rng.IntN(2) == 0 {
		queue, service = otherQueueName, machines.OtherService
	}
	j := pool.Job{ID: jobID(2_000_000 + n), Organisation: fmt.Sprint("o", i), Queue: queue, Service: service,
		Payload: machines.Work(time.Duration(200+rng.IntN(2500))*time.Millisecond, false, rng.IntN(6) == 0)}
	for range 1 + rng.IntN(2) {
		s := pool.StepSpec{Count: 1 + rng.IntN(6), Need: pool.Resources{CPU: 500 + rng.IntN(1500), Mem: 100 + rng.IntN(2000)}, EstimateMs: int64(200 + rng.IntN(3000))}
		switch rng.IntN(4) {
		case 0:
			s.Gang, s.Count = true, 2
		case 1:
			s.Fills = true
		}
		s.Speculative = c.stragglers && len(j.Steps) == 0
		j.Steps = append(j.Steps, s)
	}
	return j
}

// checkShares fails the test if pools hold more than all of a cap together.
func (c *cluster) checkShares() {
	sums, holders := map[string]float64{}, map[string][]string{}
	for _, m := range c.up() {
		for _, p := range m.node.Dump(c.ctx).Pools {
			for _, r := range p.Caps {
				sums[r.Organisation] += r.Share[organisation.CPU]
				holders[r.Organisation] = append(holders[r.Organisation], fmt.Sprintf("%s, pool %d: %.4f, level %v, used %v and %v, waiting %s", m.name, p.Pool, r.Share[organisation.CPU], r.Level, r.Used, r.MayBeUsed, r.WaitingJob))
			}
		}
	}
	for org, sum := range sums {
		c.t.Logf("%s: %v", org, holders[org])
		if sum > 1 {
			c.t.Errorf("QUOTA: the pools hold %.4f of the cap of %s: %v", sum, org, holders[org])
		}
		if sum < 0.999 {
			c.t.Errorf("QUOTA: %.4f of the cap of %s is in no pool: %v", 1-sum, org, holders[org])
		}
	}
}

// runOrganisationCaller submits a job at any instance, as long as it isn't accepted, and cancels it.
func (c *cluster) runOrganisationCaller(j pool.Job, cancelled bool, choices []int) {
	for n := 0; n < 6; n++ {
		up := c.up()
		if len(up) == 0 {
			time.Sleep(time.Second)
			continue
		}
		m := up[choices[n%len(choices)]%len(up)]
		j.AcceptedMs = time.Now().UnixMilli()
		c.world.Referee.Submitted(j, 3)
		v := m.node.Submit(c.ctx, j)
		c.world.Referee.Answered(j.ID, v == node.Accepted, v == node.NotRun)
		if v != node.Accepted {
			time.Sleep(time.Second)
			continue
		}
		if cancelled {
			time.Sleep(time.Duration(n+1) * 700 * time.Millisecond)
			c.world.Referee.CancelRequested(j.ID)
			if m.node.CancelFor(c.ctx, j.Organisation, j.Service, j.ID) == node.Accepted {
				c.world.Referee.CancelAcknowledged(j.ID)
			}
		}
		return
	}
}
