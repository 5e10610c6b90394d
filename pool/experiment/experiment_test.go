package experiment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// busy is the load at which gangs starved: nearly all processors are asked for, and
// for 4 s nearly twice as many gangs come.
func busy() Load {
	load := Wholesaler()
	load.Bursts = []Burst{{Kind: "reconcile", At: 15 * time.Second, For: 4 * time.Second, Multiple: 1.8}}
	return load
}

// An experiment that can't be repeated proves nothing.
func TestEqualSeedsGiveEqualPlays(t *testing.T) {
	load := busy()
	load.Length = 10 * time.Second
	assert.DeepEqual(t, Play(load, 7).Queues, Play(load, 7).Queues)
}

// Gangs of 6 tasks of 18 cores wait for room on the 14 of 48 workers that may run
// them, while wide jobs of small tasks come all the time and fit into every gap. Their
// callers get the answer long after it is worth anything: 0.78 of their worth was
// earned. With workers kept for them and tickets asked ahead it is 0.87, at no cost to
// the others, which have time; the bound leaves the spread of a few plays.
func TestGangsEarnTheirWorthAmongSmallTasks(t *testing.T) {
	const plays = 6
	share := map[string]float64{}
	for seed := range uint64(plays) {
		r := Play(busy(), seed+1)
		assert.Equal(t, r.Overfilled, 0)
		for name, q := range r.Queues {
			share[name] += q.Share() / plays
		}
	}
	for name, least := range map[string]float64{"reconcile": 0.83, "reorder": 0.97, "counter": 0.93} {
		assert.Assert(t, share[name] >= least, "%s earned %.3f", name, share[name])
	}
}

// The same policy has to serve a pool of another shape: small workers, no gangs, and
// one task in three needs half a worker. Nothing in it may know the first load.
func TestLargeTasksEarnTheirWorthOnSmallWorkers(t *testing.T) {
	load := Wholesaler()
	load.Workers = 35
	load.Capacity.CPU, load.Capacity.Mem = 16000, 32768
	load.Kinds = []Kind{
		{Name: "large", Priority: 1, PerSec: 6, Steps: 1, Width: 4, MaxWidth: 12, CPU: 7500, Mem: 9000, Run: 1500 * time.Millisecond,
			Slack: 3, Target: time.Second, Worth: 3, EstimateOff: 0.3, Good: 0.6, Decision: 30 * time.Millisecond, PerWorker: time.Millisecond},
		{Name: "small", Priority: 1, PerSec: 25, Steps: 1.5, Width: 4, MaxWidth: 12, CPU: 1500, Mem: 2000, Run: 800 * time.Millisecond,
			Slack: 3, Target: 500 * time.Millisecond, Worth: 0.5, EstimateOff: 0.5, Good: 0.7, Decision: 10 * time.Millisecond, PerWorker: 200 * time.Microsecond},
	}
	r := Play(load, 1)
	assert.Equal(t, r.Overfilled, 0)
	for name, q := range r.Queues {
		assert.Assert(t, q.Share() >= 0.9, "%s earned %.3f", name, q.Share())
	}
}

// Guards against urgent jobs waiting behind wide ones during a burst on a large pool, and against overfilled workers.
func TestUrgentJobsInABurstOnHundredsOfWorkers(t *testing.T) {
	r := Play(largeDeskBurst(), 1)
	assert.Equal(t, r.Overfilled, 0)
	for name, q := range r.Queues {
		assert.Assert(t, q.Share() >= 0.75, "%s earned %.3f", name, q.Share())
	}
}

func largeDeskBurst() Load {
	load := LargeDesk()
	load.Bursts = []Burst{{Kind: "quote", At: 15 * time.Second, For: 4 * time.Second, Multiple: 2.2}}
	return load
}

// BenchmarkLargeDesk measures the core's time per started task on 792 workers.
func BenchmarkLargeDesk(b *testing.B) {
	starts, deciding := 0, time.Duration(0)
	for n := range b.N {
		r := Play(largeDeskBurst(), uint64(n+1))
		starts += r.Starts
		deciding += r.Deciding
	}
	b.ReportMetric(float64(deciding.Microseconds())/float64(starts), "us/start")
}
