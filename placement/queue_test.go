package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/settings"
)

var huge = infra.Resources{MilliCPU: 1 << 40, MemoryMiB: 1 << 40, Accelerators: 1 << 40}

func jobsOf(places []Place) []string {
	var ids []string
	for _, p := range places {
		ids = append(ids, p.Attempt.Job)
	}
	return ids
}

// One team has filled the queue before another submits a single task. Served in
// order of arrival, the second would wait for the whole flood.
func TestQueueFloodOfOneTeamDoesNotDelayAnother(t *testing.T) {
	b := newBench(t, 1, infra.Resources{})
	for i := range 50 {
		b.submit(JobSpec{ID: fmt.Sprintf("flood-%d", i), Team: "flood", Kind: Batch, Tasks: 10})
	}
	b.submit(JobSpec{ID: "lone", Team: "lone", Kind: Batch, Tasks: 1})
	b.digest(b.units[0], times(small, 3))
	b.step()
	assert.DeepEqual(t, jobsOf(take[Place](b)), []string{"flood-0", "lone", "flood-0"})
}

// A team that holds most of its quota already waits behind one that holds little.
func TestQueueServesTheTeamWithTheSmallestShare(t *testing.T) {
	b := newBench(t, 1, times(small, 4))
	b.submit(JobSpec{ID: "a-runs", Team: "a", Kind: Service, Tasks: 4})
	take[Place](b)
	b.submit(JobSpec{ID: "a-more", Team: "a", Kind: Batch, Tasks: 3})
	b.submit(JobSpec{ID: "b", Team: "b", Kind: Batch, Tasks: 3})
	b.digest(b.units[0], times(small, 3))
	b.step()
	assert.DeepEqual(t, jobsOf(take[Place](b)), []string{"b", "b", "b"})
}

// Room for one task comes free at a time. Urgent work of any team goes first, then
// within a team the higher priority of its policy, then the older job.
func TestQueueOrder(t *testing.T) {
	b := newBench(t, 1, infra.Resources{})
	b.team("z", settings.Team{Policies: map[string]settings.Policy{"service": {Priority: 50}, "batch": {Priority: 10}}})
	b.submit(JobSpec{ID: "old-batch", Team: "z", Kind: Batch, Tasks: 1})
	b.submit(JobSpec{ID: "new-batch", Team: "z", Kind: Batch, Tasks: 1})
	b.submit(JobSpec{ID: "service", Team: "z", Kind: Service, Tasks: 1})
	b.submit(JobSpec{ID: "other", Team: "b", Kind: Batch, Tasks: 1})
	b.submit(JobSpec{ID: "urgent", Team: "z", Kind: Batch, Tasks: 1, Urgent: true})
	// An urgent task asks shards without room too, as it may displace others.
	asked := take[Place](b)
	assert.DeepEqual(t, jobsOf(asked), []string{"urgent"})
	b.refuse(asked[0])
	b.digest(b.units[0], times(small, 5))
	b.step()
	assert.DeepEqual(t, jobsOf(take[Place](b)), []string{"urgent", "other", "service", "old-batch", "new-batch"})
}

// Jobs wait for room. Only a digest that shows room for them may wake them;
// waking all for every digest would cost most when the cell is full.
func TestQueueIsWokenByDigestsThatCouldMatter(t *testing.T) {
	b := newBench(t, 2, infra.Resources{})
	b.submit(JobSpec{ID: "big", Kind: Batch, Tasks: 1, Need: times(small, 4)})
	b.submit(JobSpec{ID: "small", Kind: Batch, Tasks: 1})
	assert.Equal(t, b.status("big").Wait.Reason, WaitRoom)
	b.digest(b.units[0], times(small, 2))
	b.step()
	assert.DeepEqual(t, jobsOf(take[Place](b)), []string{"small"})
	b.digest(b.units[1], times(small, 5))
	b.step()
	assert.DeepEqual(t, jobsOf(take[Place](b)), []string{"big"})
}

// A shard's digest promises room in sum that no single worker has. Without a note
// of the refusal the home would ask the same shard at once again, for ever.
func TestQueueDoesNotAskAShardAgainOnTheSameDigest(t *testing.T) {
	b := newBench(t, 1, times(small, 4))
	b.submit(JobSpec{ID: "j", Kind: Batch, Tasks: 1})
	b.refuse(take[Place](b)[0])
	b.wait(900 * time.Millisecond)
	assert.Equal(t, len(take[Place](b)), 0)
	assert.Equal(t, b.status("j").Wait.Reason, WaitRoom)
	assert.DeepEqual(t, b.status("j").Wait.Removed, []Removed{{FilterRoom, 3}, {FilterSilent, 1}})
	b.digest(b.units[0], times(small, 5))
	b.step()
	assert.Equal(t, len(take[Place](b)), 1)
}

// A refusal is answered late, after the home has repeated its question. The
// repeat may still be accepted: asked elsewhere now, the task could run twice.
func TestRefusalOfAnOlderQuestionIsLeftAside(t *testing.T) {
	b := newBench(t, 2, times(small, 4))
	b.submit(JobSpec{ID: "j", Kind: Batch, Tasks: 1})
	first := take[Place](b)[0]
	b.wait(1200 * time.Millisecond)
	repeat := take[Place](b)[0]
	assert.Equal(t, repeat.Attempt, first.Attempt)
	b.refuse(first)
	assert.Equal(t, len(take[Place](b)), 0)
	b.hold(repeat, "w")
	assert.DeepEqual(t, b.states("j"), []string{"running"})
}

// A job is cancelled while its Place is under way. The shard's late answer must
// lead to a Stop, and until the end is known the task counts against its quota.
func TestCancelledJobIsStoppedAndCountsUntilItsEnd(t *testing.T) {
	b := newBench(t, 1, times(small, 4))
	b.team("workshop", settings.Team{Quota: times(small, 2)})
	b.home.teams["workshop"].level = times(small, 2)
	b.submit(JobSpec{ID: "j", Kind: Batch, Tasks: 2})
	places := take[Place](b)
	b.home.JobEnded(b.now, "j")
	b.submit(JobSpec{ID: "next", Kind: Batch, Tasks: 1})
	b.wait(time.Second)
	assert.Equal(t, len(take[Place](b)), 0, "the cancelled tasks may still run")
	b.hold(places[0], "w")
	assert.Equal(t, len(take[Stop](b)), 1)
	b.news(places[0].Shard, places[0].Attempt, AttemptLost, CauseStopped)
	assert.DeepEqual(t, jobsOf(take[Place](b)), []string{"next"})
}

// fullHome has running tasks and jobs that wait for room.
func fullHome(running, waiting int) (*Home, time.Duration) {
	b := newBench(&testing.T{}, benchShards, huge)
	for i := range running {
		b.submit(JobSpec{ID: fmt.Sprintf("r%d", i), Team: fmt.Sprintf("team%d", i%170), Kind: Service, Tasks: 1})
		p := take[Place](b)[0]
		b.hold(p, "w")
	}
	for _, u := range b.units {
		b.digest(u, infra.Resources{})
	}
	for i := range waiting {
		b.submit(JobSpec{ID: fmt.Sprintf("w%d", i), Team: fmt.Sprintf("team%d", i%170), Kind: Batch, Tasks: 1})
	}
	return b.home, b.now
}

// benchShards is how many shards a full home knows.
const benchShards = 40

// tellFull tells a home that none of its shards has room.
func tellFull(h *Home, now time.Duration) {
	total := infra.Resources{MilliCPU: 64000, MemoryMiB: 64000, Accelerators: 8}
	for i := range benchShards {
		u := ownership.ShardUnit(fmt.Sprintf("r%d", i))
		h.SetDigest(now, Digest{Shard: u, Epoch: 50, Workers: 4, Total: times(total, 4), Largest: total})
	}
}

// homeTasks is the letter's running tasks over all homes.
const homeTasks = 62000 / 64

func BenchmarkStepOfAQuietHome(b *testing.B) {
	for _, n := range []int{homeTasks, 10 * homeTasks} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			h, now := fullHome(n, n)
			b.ReportAllocs()
			for b.Loop() {
				now += 50 * time.Millisecond
				// A shard that stays silent for 10 s is asked whether it has room;
				// in a cell the full ones go on saying that they have none.
				if now%(5*time.Second) == 0 {
					tellFull(h, now)
				}
				h.Step(now)
			}
		})
	}
}

// BenchmarkCancellationWave ends 10,000 waiting jobs and steps once.
func BenchmarkCancellationWave(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		h, now := fullHome(homeTasks, 10000)
		b.StartTimer()
		for i := range 10000 {
			h.JobEnded(now, fmt.Sprintf("w%d", i))
		}
		h.Step(now)
	}
}

// BenchmarkMemoryOfAHome measures what a home keeps for each running task.
func BenchmarkMemoryOfAHome(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		h, _ := fullHome(10*homeTasks, 0)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(10*homeTasks), "B/task")
		runtime.KeepAlive(h)
	}
}

// BenchmarkDigest is one digest of a shard of 3,400 to a home with blocked jobs.
func BenchmarkDigest(b *testing.B) {
	bench := newBench(&testing.T{}, 3400, infra.Resources{})
	for i := range 1000 {
		bench.submit(JobSpec{ID: fmt.Sprintf("w%d", i), Team: fmt.Sprintf("team%d", i%170), Kind: Batch, Tasks: 1})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		bench.digest(bench.units[i%3400], infra.Resources{MilliCPU: int64(i % 900)})
	}
}

// BenchmarkStart is one task from its acceptance until it runs.
func BenchmarkStart(b *testing.B) {
	h, now := fullHome(homeTasks, 0)
	for _, u := range sortedKeys(h.rooms.index) {
		h.SetDigest(now, Digest{Shard: u, Epoch: 50, Workers: 4, Total: huge, Free: huge, Largest: huge})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprintf("s%d", i)
		h.AddJob(now, Job{Spec: JobSpec{ID: id, Team: "team1", Kind: Batch, Tasks: 1, Need: small}, Accepted: benchEpoch + 1, State: JobOpen})
		out, _ := h.Step(now)
		p := out[0].(Place)
		h.Handle(now, Placed{Home: p.Home, Shard: p.Shard, Attempt: p.Attempt, Sequence: p.Sequence, OK: true, Worker: "w"})
		h.Handle(now, Changed{Home: p.Home, Shard: p.Shard, Attempt: p.Attempt, State: AttemptDone, Worker: "w"})
		h.JobEnded(now, id)
		now += time.Millisecond
	}
}

// A service is spread so that one rack's loss takes few of its tasks. Without a
// count by shard they would all go where most room is.
func TestTasksAreSpreadOverShards(t *testing.T) {
	b := newBench(t, 4, times(small, 10))
	b.digest(b.units[2], times(small, 60))
	b.team("workshop", settings.Team{Policies: map[string]settings.Policy{"service": {Spread: true}}})
	b.submit(JobSpec{ID: "s", Kind: Service, Tasks: 8})
	count := map[ownership.Unit]int{}
	for _, p := range take[Place](b) {
		assert.Assert(t, p.Spread)
		count[p.Shard]++
	}
	for _, u := range b.units {
		assert.Equal(t, count[u], 2, "%v", count)
	}
}

// An urgent job is refused by the first shards it asks: their room is in pieces.
// It must go on to others at once, not with the look each second; it has 1.6 s.
func TestUrgentWorkDoesNotWaitForTheNextLook(t *testing.T) {
	b := newBench(t, 12, nothing)
	b.submit(JobSpec{ID: "u", Kind: Batch, Tasks: 1, Urgent: true})
	start, asks := b.now, 0
	for ; asks < 12; asks++ {
		b.refuse(b.nextPlaces()[0])
	}
	assert.Assert(t, b.now-start <= 600*time.Millisecond, "%d shards asked in %s", asks, b.now-start)
}

// A home hears of a few shards only, and those are full. Without asking others it
// would wait while they stand empty; without a bound it would ask them all.
func TestShardsThatWereNotHeardAreAskedToo(t *testing.T) {
	b := &bench{t: t, home: NewHome(ownership.HomeUnit(1), benchEpoch, DefaultHomeConfig), now: time.Second}
	for i := range 100 {
		b.units = append(b.units, ownership.ShardUnit(fmt.Sprintf("r%03d", i)))
	}
	b.home.SetShards(b.units)
	for _, u := range b.units {
		b.home.SetCapacity(u, times(small, 10))
	}
	b.digest(b.units[0], nothing)
	b.submit(JobSpec{ID: "j", Kind: Batch, Tasks: 1})
	asked := map[ownership.Unit]bool{}
	for range 8 {
		p := b.nextPlaces()
		assert.Equal(t, len(p), 1)
		assert.Assert(t, !asked[p[0].Shard] && p[0].Shard != b.units[0], "asked twice: %s", p[0].Shard)
		asked[p[0].Shard] = true
		b.refuse(p[0])
	}
	assert.Assert(t, b.now < time.Second+DefaultHomeConfig.ReserveAfter, "asked only after %s", b.now)
	assert.Assert(t, b.now >= time.Second+anywhereEvery, "at most %d asks in %s", anywhereAsks, anywhereEvery)
	b.submit(JobSpec{ID: "large", Kind: Batch, Tasks: 1, Need: times(small, 11)})
	assert.Equal(t, b.status("large").Wait.Reason, WaitRoom)
}

// BenchmarkStartAmongManyShards is a start in a home that hears of 16 of the
// letter's 3,400 racks.
func BenchmarkStartAmongManyShards(b *testing.B) {
	h := NewHome(ownership.HomeUnit(1), benchEpoch, DefaultHomeConfig)
	var units []ownership.Unit
	for i := range 3400 {
		units = append(units, ownership.ShardUnit(fmt.Sprintf("r%d", i)))
	}
	h.SetShards(units)
	now := time.Second
	h.toCollect, h.complete = nil, true
	for _, u := range units[:16] {
		h.SetDigest(now, Digest{Shard: u, Epoch: 50, Workers: 5, Total: huge, Free: huge, Largest: huge})
	}
	h.Step(now)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprintf("s%d", i)
		h.AddJob(now, Job{Spec: JobSpec{ID: id, Team: "team1", Kind: Batch, Tasks: 1, Need: small}, Accepted: benchEpoch + 1, State: JobOpen})
		out, _ := h.Step(now)
		p := out[0].(Place)
		h.Handle(now, Placed{Home: p.Home, Shard: p.Shard, Attempt: p.Attempt, Sequence: p.Sequence, OK: true, Worker: "w"})
		h.Handle(now, Changed{Home: p.Home, Shard: p.Shard, Attempt: p.Attempt, State: AttemptDone, Worker: "w"})
		h.JobEnded(now, id)
	}
}
