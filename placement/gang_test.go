package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

var roomy = infra.Resources{MilliCPU: 8000, MemoryMiB: 8000, Accelerators: 8}

// startGang submits a gang of three and has all its tasks held.
func startGang(b *bench) []Place {
	b.submit(JobSpec{ID: "g", Kind: Gang, Tasks: 3})
	places := take[Place](b)
	for _, p := range places {
		b.hold(p, "w")
	}
	return places
}

// A gang whose tasks start one by one wastes the workers of the first ones until
// the last has room. Nothing may be confirmed before everything is held.
func TestGangStartsOnlyWhenAllTasksAreHeld(t *testing.T) {
	b := newBench(t, 3, roomy)
	b.submit(JobSpec{ID: "g", Kind: Gang, Tasks: 3})
	places := take[Place](b)
	assert.Equal(t, len(places), 3)
	b.hold(places[0], "w")
	b.hold(places[1], "w")
	b.wait(3 * time.Second)
	assert.Equal(t, len(take[Confirm](b)), 0)
	b.hold(take[Place](b)[0], "w")
	b.hold(places[2], "w")
	assert.Equal(t, len(take[Confirm](b)), 3)
}

// One task finds no room anywhere. The other two must be given back at once:
// held on, they would block another gang that holds the missing part.
func TestGangThatFindsNoRoomGivesBackAll(t *testing.T) {
	b := newBench(t, 1, roomy)
	b.submit(JobSpec{ID: "g", Kind: Gang, Tasks: 3})
	places := take[Place](b)
	b.hold(places[0], "w")
	b.hold(places[1], "w")
	b.refuse(places[2])
	assert.Equal(t, len(take[Release](b)), 2)
	assert.Equal(t, len(take[Confirm](b)), 0)
	assert.DeepEqual(t, b.states("g"), []string{"queued", "queued", "queued"})
}

// The gang is confirmed, and then one task's hold has expired, its worker is lost
// or it fails. The other two must be stopped, and no task may be placed again
// before all three are known to have ended.
func TestGangThatLosesATaskComesBackWhole(t *testing.T) {
	for _, c := range []struct {
		name  string
		state AttemptState
		cause Cause
	}{
		{"hold expired before the confirm came", AttemptLost, CauseHoldExpired},
		{"worker lost between confirm and start", AttemptLost, CauseWorkerLost},
		{"task failed", AttemptFailed, CauseExit},
		{"task gave way to other work", AttemptFailed, CausePreempted},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, 3, roomy)
			places := startGang(b)
			take[Confirm](b)
			b.news(places[0].Shard, places[0].Attempt, AttemptRunning, "")
			b.news(places[1].Shard, places[1].Attempt, AttemptDone, "")
			b.news(places[2].Shard, places[2].Attempt, c.state, c.cause)
			assert.Equal(t, len(take[Stop](b)), 1)
			assert.DeepEqual(t, b.states("g"), []string{"stopping", "queued", "queued"})
			b.wait(2 * time.Second)
			assert.Equal(t, len(take[Place](b)), 0)
			assert.Assert(t, len(take[Stop](b)) > 0, "an unanswered Stop is repeated")

			b.news(places[0].Shard, places[0].Attempt, AttemptLost, CauseStopped)
			b.wait(time.Second)
			again := take[Place](b)
			assert.Equal(t, len(again), 3)
			for _, p := range again {
				assert.Assert(t, p.Attempt.Number > places[2].Attempt.Number)
				b.hold(p, "w")
			}
			assert.Equal(t, len(take[Confirm](b)), 3)
		})
	}
}

// A hold expires before the rest of the gang is held, or an older gang takes it.
// The gang has not started: an expired task is asked for again, and to an older
// gang all is given back.
func TestGangThatLosesAHoldBeforeItStarts(t *testing.T) {
	b := newBench(t, 3, roomy)
	b.submit(JobSpec{ID: "g", Kind: Gang, Tasks: 3})
	places := take[Place](b)
	b.hold(places[0], "w")
	b.hold(places[1], "w")
	b.news(places[0].Shard, places[0].Attempt, AttemptLost, CauseHoldExpired)
	again := take[Place](b)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Attempt.Index, 0)
	b.news(places[1].Shard, places[1].Attempt, AttemptLost, CauseHoldTaken)
	assert.Equal(t, len(take[Release](b)), 2)
	assert.Equal(t, len(take[Confirm](b)), 0)
	assert.DeepEqual(t, b.states("g"), []string{"queued", "queued", "queued"})
}

// A shard holds for a bounded time, and the last task of a large gang is found
// late. Without renewal the first holds would run out again and again.
func TestGangRenewsItsHolds(t *testing.T) {
	b := newBench(t, 3, roomy)
	b.submit(JobSpec{ID: "g", Kind: Gang, Tasks: 2})
	places := take[Place](b)
	b.hold(places[0], "w")
	b.wait(DefaultShardConfig.HoldFor)
	renewals := 0
	for _, p := range take[Place](b) {
		if p.Attempt == places[0].Attempt {
			renewals++
		}
	}
	assert.Assert(t, renewals >= 2, "%d renewals", renewals)
}

// Small work fits any gap and always goes before a gang that needs all shards.
// After a while the home has room kept for it, and after a bounded time gives it
// back, as what is kept stands idle.
func TestGangHasRoomKeptForABoundedTime(t *testing.T) {
	b := newBench(t, 2, infra.Resources{})
	b.submit(JobSpec{ID: "g", Kind: Gang, Tasks: 2})
	b.wait(time.Second)
	assert.Equal(t, len(take[Place](b)), 0)
	b.wait(DefaultHomeConfig.ReserveAfter + time.Second)
	places := take[Place](b)
	assert.Assert(t, len(places) >= 2)
	places = places[len(places)-2:]
	assert.Assert(t, places[0].Reserve && places[0].Hold)
	b.hold(places[0], "w")
	b.handle(Placed{Home: b.home.unit, Shard: places[1].Shard, Attempt: places[1].Attempt, Sequence: places[1].Sequence, Reserved: true})
	assert.Equal(t, b.status("g").Wait.Reason, WaitReserved)
	// Shards tell of their room at least every five seconds.
	for range 5 {
		b.wait(DefaultHomeConfig.ReserveFor/5 + 400*time.Millisecond)
		b.digest(b.units[0], nothing)
		b.digest(b.units[1], nothing)
	}
	assert.Assert(t, len(take[Release](b)) >= 2)
	assert.DeepEqual(t, b.states("g"), []string{"queued", "queued"})
	b.wait(3 * time.Second)
	take[Place](b)
	b.wait(2 * time.Second)
	assert.Equal(t, len(take[Place](b)), 0, "no new reservation right after one that ran out")
}

// The home dies while it confirms a gang. Its successor finds some tasks running,
// some held and some missing, and must end up with all or none.
func TestGangFoundAtTakeover(t *testing.T) {
	old := func(i int) Attempt { return Attempt{Job: "g", Index: i, Epoch: benchEpoch - 10, Number: i + 1} }
	for _, c := range []struct {
		name               string
		found              []AttemptState
		confirms, releases int
		stops              int
		states             []string
	}{
		{"all held", []AttemptState{AttemptHeld, AttemptHeld}, 2, 0, 0, []string{"starting", "starting"}},
		{"one confirmed, one held", []AttemptState{AttemptRunning, AttemptHeld}, 1, 0, 0, []string{"running", "starting"}},
		{"all running", []AttemptState{AttemptRunning, AttemptRunning}, 0, 0, 0, []string{"running", "running"}},
		{"one running, one nowhere", []AttemptState{AttemptRunning}, 0, 0, 1, []string{"stopping", "queued"}},
		{"one held, one nowhere", []AttemptState{AttemptHeld}, 0, 1, 0, []string{"queued", "queued"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &bench{t: t, home: NewHome("home/001", benchEpoch, DefaultHomeConfig), now: time.Second}
			b.home.SetShards([]ownership.Unit{"shard/a"})
			b.home.AddJob(b.now, Job{Spec: JobSpec{ID: "g", Team: "workshop", Kind: Gang, Tasks: 2, Need: small}, Accepted: benchEpoch - 20, State: JobOpen})
			b.step()
			assert.Equal(t, len(take[Collect](b)), 1)
			m := Collected{Home: "home/001", Shard: "shard/a", HomeEpoch: benchEpoch}
			for i, s := range c.found {
				m.Attempts = append(m.Attempts, Changed{Home: m.Home, Shard: m.Shard, Attempt: old(i), State: s})
			}
			b.handle(m)
			assert.Equal(t, len(take[Confirm](b)), c.confirms)
			assert.Equal(t, len(take[Release](b)), c.releases)
			assert.Equal(t, len(take[Stop](b)), c.stops)
			assert.DeepEqual(t, b.states("g"), c.states)
		})
	}
}
