package node_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// A partition leaves the owner, five of nine electors and half of the workers without the store until their votes have
// expired and the successor takes its predecessor for over. Then the five reach the store again, but not the others.
// Guards against votes that count again after a successor has taken them for expired, and confirm its predecessor.
func TestExpiredVotesOfElectorsThatReachTheStoreAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithCopies(t, 9, 2)
		defer c.close()
		for n := range 12 {
			c.submitJob(jobID(n), machines.Work(600*time.Second, false, false), pool.StepSpec{Count: 1, Need: pool.Resources{CPU: 1000, Mem: 10}, EstimateMs: 600_000})
		}
		time.Sleep(time.Second)
		inside := []string{c.owner()}
		with, without := c.copyHolders()
		for _, m := range slices.Concat(without, with) {
			if m.name != inside[0] && len(inside) < 6 {
				inside = append(inside, m.name)
			}
		}
		former := fmt.Sprintf(`"epoch":%d,`, c.poolOf(c.members[inside[0]]).Epoch)
		workers := c.world.Workers()[:2]
		c.split(inside, workers, true)
		time.Sleep(340 * time.Second)
		assert.Assert(t, c.countEvents("pool.predecessor_over") > 0, "the predecessor isn't over before the votes count again")
		confirmed := func() int {
			return strings.Count(c.logs.linesContaining(`"pool.confirmed"`), former)
		}
		before := confirmed()
		for _, name := range inside[1:] {
			c.members[name].view.SetStore(machines.StoreUp)
		}
		time.Sleep(15 * time.Second)
		c.split(inside, workers, false)
		assert.Equal(t, confirmed(), before, c.logs.linesContaining(`"pool.confirmed"`))
		time.Sleep(900 * time.Second)
		c.check()
	})
}
