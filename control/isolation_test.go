package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
)

// busyCell is a cell that runs as many service tasks as it has workers.
func busyCell(t *testing.T) *sim {
	t.Helper()
	s := cell(t, 1, 5, 6, 2)
	for i := range len(s.list) {
		s.submit(s.nodes[0], fmt.Sprintf("svc-%d", i), placement.Service, 1)
	}
	s.until(t, 5*time.Second, "all run", func() bool { return s.running() == len(s.list) })
	return s
}

// One owner loses the log, and only the log. Its peers read on and may replace
// it unseen, so it has to stop renewing leases soon, and its peers have to take
// over before the leases lapse: the tasks run on.
func TestOwnerCutFromLogStopsRenewing(t *testing.T) {
	s := busyCell(t)
	n := s.busiest()
	s.cutBoth(n.id, "log")
	cutAt := s.now
	s.run(30 * time.Second)
	stopped := s.synced[n.id] - cutAt
	assert.Assert(t, stopped <= panelTrust+time.Second, "renewed until %s after the cut", stopped)
	assert.Equal(t, s.running(), len(s.list))
	assert.Equal(t, len(s.starts), len(s.list))
	s.check(t)
}

// The log is down for everybody. Nobody can be replaced, so all owners go on
// renewing, also while one of them is dead, and no task stops but at the workers
// of the dead one.
func TestOwnersGoOnInOutage(t *testing.T) {
	s := busyCell(t)
	s.logDown = true
	s.run(time.Minute)
	assert.Equal(t, s.running(), len(s.list))
	dead := s.busiest()
	lost := 2 * len(dead.core.shards)
	s.kill(dead)
	s.run(time.Minute)
	assert.Assert(t, s.running() >= len(s.list)-lost, "%d run", s.running())
	for _, n := range s.nodes {
		assert.Assert(t, n == dead || len(n.core.shards) == 0 || s.now-s.synced[n.id] < time.Second, "%s stopped renewing", n.id)
	}
	s.logDown = false
	s.until(t, time.Minute, "all run again", func() bool { return s.running() == len(s.list) })
	s.check(t)
}

// Only the old owner reaches a worker, and the old owner has lost the log. Its
// successor never hears from the worker: it may place the worker's task elsewhere
// only when the old owner has stopped renewing and the lease has lapsed.
func TestWorkerThatOnlyTheOldOwnerReaches(t *testing.T) {
	s := busyCell(t)
	old := s.busiest()
	worker, tasks := "", 0
	for _, w := range s.list {
		_, owned := old.core.shards[ownership.ShardUnit(w.Rack)]
		if count := len(s.workers[w.ID].tasks); owned && count > tasks {
			worker, tasks = w.ID, count
		}
	}
	for _, n := range s.nodes {
		if n != old {
			s.cutBoth(n.id, worker)
		}
	}
	s.cutBoth(old.id, "log")
	s.until(t, 25*time.Second, "the worker stops its tasks", func() bool { return s.running() == len(s.list)-tasks })
	s.run(time.Minute)
	s.check(t)
	for _, n := range s.nodes {
		for _, shard := range n.core.shards {
			collected := shard.Handle(s.now, placement.Collect{Shard: shard.Unit(), Home: ownership.HomeUnit(0), HomeEpoch: 1 << 40})
			assert.Assert(t, n == old || len(collected) == 1, "%s does not answer collects", shard.Unit())
		}
	}
}
