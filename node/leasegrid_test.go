package node_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// leaseCase is who reaches what in a partition that divides five instances, all of them electors, in two.
type leaseCase struct {
	store   string // the side that reaches the store: "owner", "others", "both" or "none"
	inside  int    // the instances on the owner's side
	workers string // whom the workers answer: "owner", "others", "both", or "split": half of them each side
}

func (l leaseCase) String() string {
	return fmt.Sprintf("store %s, %d of 5, workers %s", l.store, l.inside, l.workers)
}

// hasSuccessor reports whether another instance claims the pool: it reaches the store, and the owner doesn't.
func (l leaseCase) hasSuccessor() bool { return l.store == "others" }

// isOwnerConfirmed reports whether the owner may grant leases 1.5 s after the partition.
func (l leaseCase) isOwnerConfirmed() bool {
	return l.store == "owner" || l.store == "both" || l.inside > 2
}

// reaches reports whether a side reaches the worker with the given index.
func (l leaseCase) reaches(side string, index int) bool {
	return l.workers == "both" || l.workers == side || l.workers == "split" && (index < 3) == (side == "owner")
}

// Guards against an owner that grants leases although its successor may count them as over, and against one that grants none
// although nobody else may, for each combination of who reaches the store, the instances and the workers.
func TestWhoGrantsLeases(t *testing.T) {
	for _, store := range []string{"owner", "others", "both", "none"} {
		for _, inside := range []int{1, 2, 3, 5} {
			for _, workers := range []string{"owner", "others", "both", "split"} {
				l := leaseCase{store, inside, workers}
				t.Run(l.String(), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { l.run(t) })
				})
			}
		}
	}
}

func (l leaseCase) run(t *testing.T) {
	c := newCluster(t, 1, false, "a", "b", "c", "d", "e")
	defer c.close()
	for range 6 {
		c.world.AddWorker(pool.Resources{CPU: 4000, Mem: 8000}, "x", "r1")
	}
	time.Sleep(5 * time.Second)
	for n := range 24 {
		c.submitJob(jobID(n), machines.Work(time.Minute, false, false), pool.StepSpec{Count: 1, Need: pool.Resources{CPU: 1000, Mem: 10}, EstimateMs: 60_000})
	}
	time.Sleep(time.Second)
	owned, inside := c.countEvents("pool.owned"), c.withOwner(l.inside)
	l.apply(c, inside, true)
	time.Sleep(20 * time.Second)

	successor := l.hasSuccessor() && l.inside < 5
	assert.Equal(t, c.countEvents("pool.owned")-owned, map[bool]int{true: 1}[successor], "new owners")
	for i, id := range c.world.Workers() {
		byOwner := l.isOwnerConfirmed() && l.reaches("owner", i)
		bySuccessor := successor && l.reaches("others", i)
		assert.Equal(t, c.world.Runs(id) > 0, byOwner || bySuccessor, "runs on %s, %s", id, c.logs.linesContaining(`"pool.`))
	}
	// With workers that both reach, the owner learns of its successor from them.
	if successor && l.workers != "both" {
		assert.Equal(t, c.countEvents("pool.predecessor_over") > owned-1, !l.isOwnerConfirmed(), "the predecessor counts as over")
	}

	l.apply(c, inside, false)
	time.Sleep(3 * time.Minute)
	c.check()
	assert.DeepEqual(t, c.world.Referee.Unfinished(), []string(nil))
}

// apply cuts the links that the case says, or ends that.
func (l leaseCase) apply(c *cluster, inside []string, cut bool) {
	for _, name := range c.names() {
		side := map[bool]string{true: "owner", false: "others"}[slices.Contains(inside, name)]
		for _, other := range c.names() {
			c.world.CutLink(name, other, cut && slices.Contains(inside, name) != slices.Contains(inside, other))
		}
		for i, id := range c.world.Workers() {
			c.members[name].view.PartitionWorker(id, cut && !l.reaches(side, i))
		}
		if l.store != "both" && l.store != side {
			c.members[name].view.SetStore(map[bool]machines.StoreFault{true: machines.StoreSilent, false: machines.StoreUp}[cut])
		}
	}
}
