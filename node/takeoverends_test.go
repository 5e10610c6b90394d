package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// Guards against a takeover that acts on a part of a worker's ends, and starts tasks again that are done:
// while workers list more ends than fit into an answer, restart, can't be reached or get more ends, and the
// new owner is replaced before it has read them all.
func TestTakeoverWithMoreEndsThanAnAnswerHolds(t *testing.T) {
	for name, between := range map[string]func(*cluster){
		"undisturbed":     func(*cluster) {},
		"worker restarts": func(c *cluster) { c.world.Restart(restartDelay, c.world.Workers()[0]) },
		"worker silent":   func(c *cluster) { c.world.CutOff(c.world.Workers()[0], 9*time.Second) },
		"briefly silent":  func(c *cluster) { c.world.CutOff(c.world.Workers()[0], 2*time.Second) },
		"second takeover": func(c *cluster) { c.kill(c.owner()) },
		"owner freezes":   func(c *cluster) { c.members[c.owner()].view.SetStore(machines.StoreSilent) },
		"further ends": func(c *cluster) {
			c.submitJob(jobID(2), machines.Work(50*time.Millisecond, false, false), crashStep(90))
		},
	} {
		for _, killAll := range []bool{false, true} {
			for _, storeDelay := range []time.Duration{0, 150 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, all killed %t, store delay %v", name, killAll, storeDelay), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { takeOverBetweenEnds(t, killAll, storeDelay, between) })
				})
			}
		}
	}
}

// takeOverBetweenEnds loses the pool's owner, or all instances, while the tasks of a job end, and calls a
// function while the next owner reads these ends.
func takeOverBetweenEnds(t *testing.T, killAll bool, storeDelay time.Duration, between func(*cluster)) {
	c := newCluster(t, 1, false, "a", "b", "c", "d")
	defer c.close()
	c.world.ReuseIDs(1)
	c.world.EndsPerAnswer = 7
	for range 3 {
		c.world.AddWorker(pool.Resources{CPU: 32000, Mem: 32000}, labelledKind, "r0")
	}
	time.Sleep(3 * time.Second)
	step := pool.StepSpec{Count: 300, Need: pool.Resources{CPU: 250, Mem: 10}, EstimateMs: 1500}
	c.submitJob(jobID(1), machines.Work(1500*time.Millisecond, false, false), step)
	time.Sleep(1200 * time.Millisecond)
	c.world.SlowAppends(storeDelay)
	lost := []string{c.owner()}
	if killAll {
		lost = c.names()
	}
	for _, name := range lost {
		c.kill(name)
	}
	time.Sleep(2 * time.Second)
	for _, name := range lost {
		c.restart(name)
	}
	time.Sleep(700 * time.Millisecond)
	between(c)
	time.Sleep(5 * time.Second)
	for _, m := range c.up() {
		m.view.SetStore(machines.StoreUp)
	}
	c.world.SlowAppends(0)
	time.Sleep(50 * time.Second)
	c.assertAllEnded()
}
