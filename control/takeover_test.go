package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/placement"
)

// An owner of shards and homes dies. Its peers miss its heartbeats, claim what
// it owned, ask workers and shards what runs, and go on: callers see that new
// work starts again, and that nothing that ran is run twice.
func TestDeathIsTakenOver(t *testing.T) {
	s := cell(t, 1, 5, 6, 2)
	for i := range 20 {
		s.submit(s.nodes[0], fmt.Sprintf("svc-%d", i), placement.Service, 1)
	}
	s.until(t, 5*time.Second, "all run", func() bool { return s.running() == 20 })
	s.kill(s.busiest())
	gap := s.until(t, 5*time.Second, "all units owned", s.settled)
	assert.Assert(t, gap <= 3*time.Second, "took %s", gap)
	s.run(5 * time.Second)
	assert.Equal(t, s.running(), 20)
	assert.Equal(t, len(s.starts), 20)
	s.check(t)
}

// An instance that owns shards is paused for longer than a lease, and wakes. A
// successor renewed the leases meanwhile, so the workers run on. On waking, the
// old owner sees workers that were silent for a whole lease by its own count;
// if it told their homes that the tasks are lost, they would run twice.
func TestPausedOwnerWakesAfterLease(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(seed, 5, 6, 2)
		s.configure = func(cfg *Config) { cfg.Shard.Lease = 4 * time.Second }
		s.startAll()
		s.until(t, 20*time.Second, "all units owned", s.settled)
		s.publishTeam(s.nodes[0])
		s.run(time.Second)
		for i := range 20 {
			s.submit(s.nodes[0], fmt.Sprintf("svc-%d", i), placement.Service, 1)
		}
		s.until(t, 5*time.Second, "all run", func() bool { return s.running() == 20 })
		busy := s.busiest()
		busy.paused = true
		s.run(10 * time.Second)
		s.wake(busy)
		s.run(10 * time.Second)
		assert.Equal(t, len(s.starts), 20)
		s.check(t)
	}
}

// An instance dies while jobs keep coming, so that some append is always in
// flight. Callers whose jobs' homes it owned wait until a peer has claimed them;
// a peer that waited for an idle moment to claim would let them wait for as
// long as the load lasts.
func TestDeathUnderLoadIsTakenOver(t *testing.T) {
	s := cell(t, 3, 7, 6, 2)
	victim := s.busiest()
	number := 0
	load := func() {
		for _, n := range s.nodes {
			if n != victim {
				s.submit(n, fmt.Sprintf("job-%d", number), placement.Batch, 1)
				number++
			}
		}
		s.run(10 * time.Millisecond)
	}
	for range 50 {
		load()
	}
	s.kill(victim)
	died := s.now
	for !s.settled() && s.now-died < 5*time.Second {
		load()
	}
	assert.Assert(t, s.now-died <= 3*time.Second, "took %s", s.now-died)
	s.check(t)
}

// An instance is stopped as planned and hands over what it owns. Its peers read the
// hand-over from the log at slightly different times; what one sends to the new
// owner before that one has read it must not cost the caller a second.
func TestHandOverLosesNoTime(t *testing.T) {
	for seed := uint64(7); seed < 10; seed++ {
		_, longest := takeover(t, seed, true)
		assert.Assert(t, longest <= 200*time.Millisecond, "seed %d: a start waited %s", seed, longest)
	}
}
