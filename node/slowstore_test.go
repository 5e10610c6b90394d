package node_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

const (
	// slowAnswer and slowAppend are an answer of a store 40 times as slow as usual, and
	// how long a stream of it takes for one append.
	slowAnswer = 160 * time.Millisecond
	slowAppend = 80 * time.Millisecond
)

// slowStore makes the store 40 times as slow as usual for all instances.
func (c *cluster) slowStore() {
	c.slowAnswers(slowAnswer)
	c.world.SlowAppends(slowAppend)
}

// handInEvery hands jobs in at the given instances in turn, and returns what the callers
// were told, in the order in which they came. A caller tries once.
func (c *cluster) handInEvery(pause time.Duration, jobs int, at []*member) []answered {
	list := make([]answered, jobs)
	var callers sync.WaitGroup
	for n := range jobs {
		callers.Go(func() {
			j := pool.Job{ID: jobID(n), Queue: queueName, Service: machines.Service, AcceptedMs: time.Now().UnixMilli(),
				Payload: machines.Work(100*time.Millisecond, false, false),
				Steps:   []pool.StepSpec{{Count: 1, Need: pool.Resources{CPU: 100, Mem: 10}, EstimateMs: 100}}}
			began := c.world.Since()
			ctx, cancel := context.WithTimeout(c.ctx, callersPatience)
			defer cancel()
			c.world.Referee.Submitted(j, 3)
			v := at[n%len(at)].node.Submit(ctx, j)
			c.world.Referee.Answered(j.ID, v == node.Accepted, v == node.NotRun)
			list[n] = answered{verdict: v, at: c.world.Since(), took: c.world.Since() - began}
		})
		time.Sleep(pause)
	}
	callers.Wait()
	return list
}

// The store is 40 times as slow as usual, forty callers a second hand jobs in at 24
// instances, and the pool's owner leaves as planned, is killed, or loses power. Until its
// heir has claimed the pool, each instance that stores by itself takes 80 ms of the stream's
// time: 24 appends at once are the two seconds after which the stream refuses what comes.
// Neither the claim nor the heir's appends get through then, so all go on storing by
// themselves, and callers hear that their jobs never run, or nothing, beside free workers,
// until the store is quick again.
func TestPoolKeepsTakingJobsOnASlowStore(t *testing.T) {
	for name, lose := range map[string]func(c *cluster, owner string){
		"leaves": func(c *cluster, owner string) {
			c.members[owner].node.Stop(c.ctx)
			time.Sleep(2500 * time.Millisecond)
			c.kill(owner)
		},
		"killed":      func(c *cluster, owner string) { c.kill(owner) },
		"loses power": func(c *cluster, owner string) { c.darken(owner) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFleet(t, 24)
				defer c.close()
				c.slowStore()
				time.Sleep(time.Second)
				first := c.owner()
				var others []*member
				for _, m := range c.up() {
					if m.name != first {
						others = append(others, m)
					}
				}
				time.AfterFunc(2*time.Second, func() { lose(c, first) })
				told := map[node.Verdict]int{}
				for _, a := range c.handInEvery(25*time.Millisecond, 400, others) {
					told[a.verdict]++
				}
				assert.Equal(t, told[node.Accepted], 400, "callers were told %v\n%s", told, c.logs.about(`"pool.`))
				assert.Assert(t, c.owner() != first)
				c.check()
			})
		})
	}
}

// The store is 40 times as slow as usual, and a job takes 0.1 s. Forty callers a second
// hand jobs in. An append has its answer after 0.24 s, but the stream takes the next one
// after 0.08 s: sent one after the other's answer, a caller waits for the append under way
// and its own, 0.36 s in the mean, and so does an end of its task until it is shown.
func TestAppendsOverlapOnASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFleet(t, 3)
		defer c.close()
		c.slowStore()
		time.Sleep(time.Second)
		sum := time.Duration(0)
		const jobs = 200
		for _, a := range c.handInEvery(25*time.Millisecond, jobs, c.up()) {
			assert.Equal(t, a.verdict, node.Accepted)
			sum += a.took
		}
		mean := sum / jobs
		assert.Assert(t, mean < slowAnswer+slowAppend+slowAppend/2+20*time.Millisecond, "callers waited for %v in the mean", mean)
		c.check()
	})
}

// fromStart is a store that counts the reads of a pool's stream from its beginning, and
// keeps back the newest records.
type fromStart struct {
	*machines.View
	reads atomic.Int32
}

func (s *fromStart) Read(ctx context.Context, from node.Topic, offset int64, wait time.Duration) ([]node.Stored, int64, error) {
	if from.Name == "keyed.pools" && offset == 0 {
		s.reads.Add(1)
	}
	return s.View.Read(ctx, from, offset, wait)
}

func (s *fromStart) Newest(ctx context.Context, from node.Topic, after string) ([]node.Stored, bool, int64, error) {
	if from.Name == "keyed.pools" {
		<-ctx.Done()
		return nil, false, 0, node.ErrInDoubt
	}
	return s.View.Newest(ctx, from, after)
}

// An instance has just started and has no copy of the pool yet, and callers hand jobs in
// there. To find out whether the store answers, it would read the stream from its
// beginning, a megabyte for each of ten checks a second. After a loss of all instances the
// reads of all of them came before what they wait for, and callers waited 2 s longer.
func TestNothingIsReadFromTheBeginningToCheckTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b")
		defer c.close()
		time.Sleep(3 * time.Second)
		var store *fromStart
		late, end := c.startLate(0, func(v *machines.View) node.Store {
			store = &fromStart{View: v}
			return store
		})
		defer end()
		time.Sleep(time.Second)
		c.handInEvery(50*time.Millisecond, 20, []*member{{name: "late", node: late}})
		assert.Equal(t, store.reads.Load(), int32(0))
	})
}
