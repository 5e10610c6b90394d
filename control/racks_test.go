package control

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// The platform takes the only worker of a rack off its list, and the rack's owner
// is replaced. The worker may run its tasks for a lease more: the new owner must
// count it, or homes would be told that nothing runs there and place it again.
func TestNewOwnerCountsWorkersThatHaveJustLeftTheList(t *testing.T) {
	room := infra.Resources{MilliCPU: 1000, MemoryMiB: 1000}
	gone := infra.Worker{ID: "w-1", Rack: "a", Capacity: room}
	stays := infra.Worker{ID: "w-2", Rack: "b", Capacity: room}
	c, unit, now := New(DefaultConfig("sched-1", 1)), ownership.ShardUnit("a"), time.Second
	c.Step(now, WorkersListed{infra.WorkerList{Version: 1, Workers: []infra.Worker{gone, stays}}})
	c.Step(now, WorkersListed{infra.WorkerList{Version: 2, Workers: []infra.Worker{stays}}})

	c.takeShard(now, unit, 10, c.workers[unit])
	assert.Equal(t, len(c.shards[unit].Status()), 1)
	assert.Assert(t, slices.Contains(c.units, unit))

	// Once its leases are over the rack is forgotten.
	c.Step(now+rememberLeases*c.cfg.Shard.Lease, Tick{})
	assert.Assert(t, !slices.Contains(c.units, unit))
	assert.Equal(t, len(c.shards), 0)
}
