package node

import (
	"context"
	"io"
	"math"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

// instantWorkers executes each call at once.
type instantWorkers struct{}

func (instantWorkers) Hold(context.Context, pool.Hold) pool.HoldAnswered { return pool.HoldAnswered{} }
func (instantWorkers) Start(_ context.Context, s pool.Start) pool.StartAnswered {
	return s.Answered(pool.OK, 0)
}
func (instantWorkers) Stop(context.Context, pool.Stop) pool.Outcome { return pool.OK }
func (instantWorkers) Pace(context.Context, pool.Pace) pool.Outcome { return pool.OK }
func (instantWorkers) Forget(string)                                {}

// BenchmarkOwnerStart measures what an owner spends on a start and its end outside of the calls: the job's event, the
// pass, log lines, metrics, the goroutine of the call, its answer, the answered hold that lists the end, and the save.
func BenchmarkOwnerStart(b *testing.B) {
	const workers, tasks = 8, 10
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Reporter: tally.NullStatsReporter}, time.Second)
	defer closer.Close()
	now := time.Hour
	log := zerolog.New(io.Discard).With().Timestamp().Logger()
	n := New(Settings{Name: "self", PeerAddr: "self", Parts: 1, Metrics: scope, Now: func() time.Duration { return now }}, log, nil, instantWorkers{}, nil, nil)
	n.config.Store(&Config{Version: 1, Services: []string{"s"}, Routes: []Route{{Queue: pool.Queue{Name: "q", Service: "s", Attempts: 3, Slack: 2, Target: time.Second}}}})
	pc := newPoolController(context.Background(), n, 0)
	o := &ownership{pc: pc, saves: newSaveQueue(), ctx: b.Context(), firstHoldSlots: make(chan struct{}, workers)}
	pc.own, o.starts.own = o, o
	o.core = pool.New(pool.Settings{Token: 1, MaxLease: 6 * time.Second, StopTimeout: 200 * time.Millisecond, EndedRetention: time.Second}, now)
	unixMs := func() int64 { return now.Milliseconds() }
	o.step(pool.Tick{UnixMs: unixMs()})
	o.step(pool.QueuesChanged{Queues: n.Config().Queues()})
	var infos []pool.WorkerInfo
	for i := range workers {
		id := string(rune('a' + i))
		infos = append(infos, pool.WorkerInfo{ID: id, Addr: id, Service: "s", Capacity: pool.Resources{CPU: 27000, Mem: 64000}})
	}
	o.step(pool.WorkersListed{Workers: infos})
	ends, lastEnd := map[string][]pool.EndedRun{}, map[string]uint64{}
	// answer lets all workers answer a hold and the store confirm all saves.
	confirmSaves := func() {
		saves, _ := o.saves.take(math.MaxInt)
		for _, s := range saves {
			o.step(pool.Saved{Seq: s.seq})
		}
	}
	answer := func() {
		for _, w := range infos {
			o.step(pool.HoldAnswered{Worker: w.ID, SentAt: now, ClockMs: unixMs(), Ended: ends[w.ID]})
			delete(ends, w.ID)
		}
		confirmSaves()
	}
	for range 3 {
		now += 100 * time.Millisecond
		answer()
	}
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime(b)
	starts := 0
	for ; starts < b.N; starts += tasks {
		now += 50 * time.Millisecond
		o.step(pool.Tick{UnixMs: unixMs()})
		j := benchJob(jobName("j", starts))
		j.AcceptedMs = unixMs()
		o.step(pool.JobStored{Job: j})
		o.plan()
		confirmSaves() // which records the starts
		for answered := 0; answered < tasks; {
			ev, isStart := (<-pc.events).(ownershipEvent).event.(pool.StartAnswered)
			if !isStart {
				continue // the answers to holds are those below
			}
			answered++
			o.handle(ev)
			lastEnd[ev.Worker]++
			ends[ev.Worker] = append(ends[ev.Worker], pool.EndedRun{Number: lastEnd[ev.Worker], Task: ev.Task, Run: ev.Run, How: pool.Done})
		}
		answer()
	}
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/1000/float64(starts), "cpu-us/start")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
