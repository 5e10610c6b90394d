package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

// playChangedEntry plays two workers with four tasks each, of which another writer replaces the entry of one
// for some time; the owner may be replaced meanwhile.
func playChangedEntry(t *testing.T, takeover bool, change func(c *cluster, other string, info *pool.WorkerInfo)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		size := pool.Resources{CPU: 8000, Mem: 8000}
		changed, other := c.world.AddWorker(size, "x", "r1"), c.world.AddWorker(size, "x", "r1")
		time.Sleep(3 * time.Second)
		long := jobWithTasks(1, 8, 15*time.Second)
		long.Steps[0].PerWorker = 4
		assert.Assert(t, c.submit(long, func() *member { return c.up()[0] }))
		time.Sleep(time.Second)
		assert.Equal(t, c.world.Running(changed), 4)
		c.world.AddWorker(size, "x", "r1") // has room for tasks that seem to be lost
		time.Sleep(time.Second)
		c.world.PutChangedEntry(changed, func(info *pool.WorkerInfo) { change(c, other, info) })
		time.Sleep(1500 * time.Millisecond)
		if takeover {
			c.kill(c.owner())
			time.Sleep(1500 * time.Millisecond)
		}
		c.world.Restore(changed)
		time.Sleep(35 * time.Second)
		assert.DeepEqual(t, c.world.Referee.Unfinished(), []string(nil))
		c.check()
	})
}

// Guards against tasks that are started elsewhere while their worker runs them, because another writer's entry
// under the worker's ID names an address, an incarnation, a service or a capacity that isn't its own.
func TestChangedEntryOfAWorkerWithTasks(t *testing.T) {
	for name, change := range map[string]func(c *cluster, other string, info *pool.WorkerInfo){
		"another worker's address": func(_ *cluster, other string, info *pool.WorkerInfo) { info.Addr = other },
		"an address of nobody":     func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Addr = "nobody" },
		"a later incarnation":      func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Born += time.Hour.Milliseconds() },
		"the largest incarnation":  func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Born = 1 << 42 },
		"an earlier incarnation":   func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Born = 1 },
		"no incarnation":           func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Born = 0 },
		"another service":          func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Service = "nobody's" },
		"no capacity":              func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Capacity = pool.Resources{} },
		"draining":                 func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Draining = true },
	} {
		for _, takeover := range []bool{false, true} {
			title := name
			if takeover {
				title += ", and a takeover"
			}
			t.Run(title, func(t *testing.T) { playChangedEntry(t, takeover, change) })
		}
	}
}
