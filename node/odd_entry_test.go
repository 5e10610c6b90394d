package node_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
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
		"another worker's address, and a later incarnation": func(_ *cluster, other string, info *pool.WorkerInfo) {
			info.Addr, info.Born = other, info.Born+time.Second.Milliseconds()
		},
		"an address of nobody":    func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Addr = "nobody" },
		"a later incarnation":     func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Born += time.Hour.Milliseconds() },
		"the largest incarnation": func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Born = 1 << 42 },
		"an earlier incarnation":  func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Born = 1 },
		"no incarnation":          func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Born = 0 },
		"another service":         func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Service = "nobody's" },
		"no capacity":             func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Capacity = pool.Resources{} },
		"draining":                func(_ *cluster, _ string, info *pool.WorkerInfo) { info.Draining = true },
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

// Guards against tasks that are started elsewhere while their worker runs them, because the first entry under
// its ID named another worker's address and the next owner still calls it there.
func TestFirstEntryOfAWorkerNamesAnotherAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		size := pool.Resources{CPU: 4000, Mem: 8000}
		other := c.world.AddWorker(size, "x", "r1")
		time.Sleep(3 * time.Second)
		changed := c.world.AddWorker(size, "x", "r1")
		c.world.PutChangedEntry(changed, func(info *pool.WorkerInfo) { info.Addr = other })
		time.Sleep(2 * time.Second)
		c.world.Restore(changed)
		time.Sleep(8 * time.Second)
		assert.Assert(t, c.submit(jobWithTasks(1, 8, 10*time.Second), func() *member { return c.up()[0] }))
		time.Sleep(time.Second)
		assert.Equal(t, c.world.Running(changed), 4)
		c.world.AddWorker(size, "x", "r1") // has room for tasks that seem to be lost
		time.Sleep(time.Second)
		c.kill(c.owner())
		time.Sleep(35 * time.Second)
		assert.DeepEqual(t, c.world.Referee.Unfinished(), []string(nil))
		c.check()
	})
}

// Guards against a worker whose later reports are ignored, because an entry of another writer under its ID has
// named a later incarnation than its own: tasks would be placed on it while it drains.
func TestReportsAreUsedAfterAnEntryOfALaterIncarnation(t *testing.T) {
	for name, born := range map[string]time.Duration{"a second": time.Second, "an hour": time.Hour, "a century": 100 * 365 * 24 * time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, false, "a", "b")
				defer c.close()
				size := pool.Resources{CPU: 4000, Mem: 8000}
				changed, _ := c.world.AddWorker(size, "x", "r1"), c.world.AddWorker(size, "x", "r1")
				time.Sleep(3 * time.Second)
				c.world.PutChangedEntry(changed, func(info *pool.WorkerInfo) { info.Born += born.Milliseconds() })
				time.Sleep(time.Second)
				c.world.Restore(changed)
				time.Sleep(2 * time.Second)
				any := func() *member { return c.up()[0] }
				assert.Assert(t, c.submit(jobWithTasks(1, 8, 2*time.Second), any))
				time.Sleep(time.Second)
				assert.Check(t, is.Equal(c.world.Running(changed), 4), "its own report is used again")
				time.Sleep(5 * time.Second)
				go c.world.Drain(changed, 30*time.Second)
				time.Sleep(2 * time.Second)
				assert.Assert(t, c.submit(jobWithTasks(2, 8, 2*time.Second), any))
				time.Sleep(time.Second)
				assert.Check(t, is.Equal(c.world.Running(changed), 0), "tasks are placed on a worker that drains")
				time.Sleep(10 * time.Second)
				assert.DeepEqual(t, c.world.Referee.Unfinished(), []string(nil))
				c.check()
			})
		})
	}
}

// Guards against entries that are missing because odd ones are read before them, by instances that follow the
// list (log-read) and by those that start or take over later (log-newest), in pages of a few entries.
func TestOddEntriesDontHideOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		c.world.PageSize = 3
		odd := func(prefix string) {
			for kind := range machines.InvalidEntryKinds() {
				c.world.PutInvalidEntry(fmt.Sprint(prefix, kind), kind)
				c.world.PutInvalidEntry(fmt.Sprint(prefix, kind, strings.Repeat("/k", 100)), kind)
			}
		}
		odd("a-")
		time.Sleep(3 * time.Second)
		size := pool.Resources{CPU: 4000, Mem: 8000}
		var workers []string
		runsOnAll := func(job int) {
			t.Helper()
			count := 4 * len(workers)
			assert.Assert(t, c.submit(jobWithTasks(job, count, time.Second), func() *member { return c.up()[0] }))
			time.Sleep(600 * time.Millisecond)
			for _, id := range workers {
				assert.Equal(t, c.world.Running(id), 4, id)
			}
			time.Sleep(3 * time.Second)
		}
		for n := range 2 {
			odd(fmt.Sprint("n", n))
			workers = append(workers, c.world.AddWorker(size, "x", "r1"))
			odd(fmt.Sprint("zz", n))
			time.Sleep(2 * time.Second)
			runsOnAll(n)
		}
		c.kill(c.owner())
		time.Sleep(8 * time.Second)
		runsOnAll(2)
		for _, name := range c.names() {
			c.kill(name)
		}
		time.Sleep(time.Second)
		c.world.DropHistory()
		for _, name := range c.names() {
			c.restart(name)
		}
		time.Sleep(12 * time.Second)
		runsOnAll(3)
		workers = append(workers, c.world.AddWorker(size, "x", "r1"))
		time.Sleep(2 * time.Second)
		runsOnAll(4)
		assert.DeepEqual(t, c.world.Referee.Unfinished(), []string(nil))
		lines := c.countEvents("entry.unreadable")
		assert.Assert(t, lines >= 1 && lines <= 20*6, "%d lines of at most 20 a minute by each process", lines)
		c.check()
	})
}

// Guards against a pool that gets no owner any more, because a record in place of the owner's claim names the
// largest epoch or generation: the next ones would be 0, or lower.
func TestClaimWithTooLargeNumbers(t *testing.T) {
	for _, value := range []string{`{"node":"x","addr":"x","life":1,"epoch":18446744073709551615,"gen":1}`, `{"node":"x","addr":"x","life":1,"epoch":65537,"gen":9223372036854775807}`,
		`{"node":"x","addr":"x","life":1,"epoch":65537,"gen":-9223372036854775808}`, `{"node":"x","addr":"x","life":9223372036854775807,"epoch":9223372036854775807,"gen":281474976710656}`} {
		t.Run(value, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, false, "a", "b")
				defer c.close()
				c.world.AddWorker(pool.Resources{CPU: 4000, Mem: 8000}, "x", "r1")
				time.Sleep(3 * time.Second)
				any := func() *member { return c.up()[0] }
				assert.Assert(t, c.submit(jobWithTasks(1, 2, 8*time.Second), any))
				time.Sleep(time.Second)
				c.putRecord("keyed.pools", "owner", value)
				time.Sleep(2 * time.Second)
				c.kill("a")
				c.kill("b")
				c.restart("a")
				c.restart("b")
				time.Sleep(15 * time.Second)
				assert.Assert(t, c.submit(jobWithTasks(2, 2, time.Second), any))
				time.Sleep(5 * time.Second)
				assert.DeepEqual(t, c.world.Referee.Unfinished(), []string(nil))
				c.check()
			})
		})
	}
}

// Guards against a log that is filled by entries of other writers under many keys that change all the time, or
// by long lines about large ones, and against instances that stop following the list meanwhile.
func TestManyOddEntriesThatChangeDoNotFillTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b")
		defer c.close()
		time.Sleep(3 * time.Second)
		const rounds = 24
		for round := range rounds {
			for key := range 200 {
				id := fmt.Sprint("stranger-", key, strings.Repeat("\xff", key%200))
				c.world.Put(machines.WorkersTopic, id, []byte(`{"ID":`+strings.Repeat("9", 1000*(key%20))+strings.Repeat("[", round)))
				c.world.Put(machines.ConfigTopic, "config", []byte(strings.Repeat("[", key+round)))
			}
			if round == rounds/2 {
				c.world.AddWorker(pool.Resources{CPU: 4000, Mem: 8000}, "x", "r1")
			}
			time.Sleep(5 * time.Second)
		}
		assert.Assert(t, c.submit(jobWithTasks(1, 4, time.Second), func() *member { return c.up()[0] }))
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, c.world.Referee.Unfinished(), []string(nil))
		lines := c.countEvents("entry.unreadable")
		assert.Assert(t, lines >= 1 && lines <= 2*3*20, "%d lines of two instances in two minutes", lines)
		for line := range strings.SplitSeq(c.logs.linesContaining(`"entry.unreadable"`), "\n") {
			assert.Assert(t, len(line) <= 2500, "%d bytes in a line", len(line))
		}
		c.check()
	})
}
