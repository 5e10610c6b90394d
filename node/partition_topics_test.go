package node_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// partlySilentStore answers only for the topics of configuration and workers while silent is set.
type partlySilentStore struct {
	*machines.View
	silent *atomic.Bool
}

func (s partlySilentStore) isSilent(t node.Topic) bool {
	return s.silent.Load() && t != machines.WorkersTopic && t != machines.ConfigTopic
}

func (s partlySilentStore) Append(ctx context.Context, to node.Topic, records []pool.Record, w *node.Writer) (int64, error) {
	if s.isSilent(to) {
		<-ctx.Done()
		return 0, node.ErrInDoubt
	}
	return s.View.Append(ctx, to, records, w)
}

func (s partlySilentStore) AppendAt(ctx context.Context, to node.Topic, records []pool.Record, at int64) (int64, error) {
	if s.isSilent(to) {
		<-ctx.Done()
		return 0, node.ErrInDoubt
	}
	return s.View.AppendAt(ctx, to, records, at)
}

func (s partlySilentStore) Newest(ctx context.Context, from node.Topic, after string) ([]node.Stored, bool, int64, error) {
	if s.isSilent(from) {
		<-ctx.Done()
		return nil, false, 0, node.ErrInDoubt
	}
	return s.View.Newest(ctx, from, after)
}

func (s partlySilentStore) Read(ctx context.Context, from node.Topic, offset int64, wait time.Duration) ([]node.Stored, int64, error) {
	if s.isSilent(from) {
		<-ctx.Done()
		return nil, 0, node.ErrInDoubt
	}
	return s.View.Read(ctx, from, offset, wait)
}

// A partition leaves the owner, most instances and half of the workers on one side, and the store on the other, of which the
// owner's side still or again reads the list of workers, but not the pool.
// Guards against an owner that only its electors confirm, and that starts the tasks of the workers it doesn't reach elsewhere
// once the leases are over that it has granted there, although a successor that reaches these workers renews them.
func TestOwnerConfirmedByElectorsStartsNoTasksOfWorkersItDoesNotReach(t *testing.T) {
	for _, instances := range []int{3, 9} {
		for _, readsAfter := range []time.Duration{0, 20 * time.Second} {
			t.Run(fmt.Sprint(instances, "/", readsAfter), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, 1, false)
					defer c.close()
					silent := map[string]*atomic.Bool{}
					c.storeAndDialer = func(m *member) (node.Store, node.Dialer) {
						silent[m.name] = new(atomic.Bool)
						return partlySilentStore{m.view, silent[m.name]}, c.world.DialFrom(m.name)
					}
					for n := range instances {
						c.join(fmt.Sprintf("m%02d", n), 1)
					}
					for range 6 {
						c.world.AddWorker(pool.Resources{CPU: 8000, Mem: 8000}, "x", "r1")
					}
					time.Sleep(5 * time.Second)
					for n := range 24 {
						c.submitJob(jobID(n), machines.Work(45*time.Second, false, false), pool.StepSpec{Count: 1, Need: pool.Resources{CPU: 1000, Mem: 10}, EstimateMs: 45000})
					}
					time.Sleep(time.Second)
					inside := []string{c.owner()}
					for _, name := range c.names() {
						if !slices.Contains(inside, name) && len(inside) < (2*instances+2)/3 {
							inside = append(inside, name)
						}
					}
					workers := c.world.Workers()[3:] // all tasks run on the others
					c.split(inside, workers, true)
					time.Sleep(readsAfter)
					for _, name := range inside {
						silent[name].Store(true)
						c.members[name].view.SetStore(machines.StoreUp)
					}
					time.Sleep(30*time.Second - readsAfter)
					for _, name := range inside {
						silent[name].Store(false)
					}
					c.split(inside, workers, false)
					time.Sleep(90 * time.Second)
					c.check()
					assert.DeepEqual(t, c.world.Referee.Unfinished(), []string(nil))
					if t.Failed() {
						t.Log(c.logs.linesContaining(`"pool.owned"`) + "\n" + c.logs.linesContaining(`confirmed"`))
					}
				})
			})
		}
	}
}
