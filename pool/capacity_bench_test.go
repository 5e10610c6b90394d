package pool

import (
	"fmt"
	"testing"
	"time"
)

// The size that the design is for, see docs/CAPACITY.md.
const (
	capacityWorkers       = 17_000
	capacityStartsPerTick = 45 // 890 a second
)

// capacityPool is a core with as many workers as one cell may have.
type capacityPool struct {
	core   *Core
	now    time.Duration
	starts []Start
	holds  []Hold
	saves  []Save
	bytes  int // of all saved records
}

func (p *capacityPool) step(ev Event) { p.take(p.core.Step(p.now, ev)) }

func (p *capacityPool) take(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			p.starts = append(p.starts, a)
		case Hold:
			p.holds = append(p.holds, a)
		case Save:
			p.saves = append(p.saves, a)
			for _, r := range a.Records {
				p.bytes += 4 + 1 + len(r.Key) + len(r.Value)
			}
		}
	}
}

// answer answers the oldest pending holds with the ends, and confirms all saves.
func (p *capacityPool) answer(holds int, ends map[string][]EndedRun) {
	answered := p.holds[:min(holds, len(p.holds))]
	p.holds = append([]Hold(nil), p.holds[len(answered):]...)
	for _, h := range answered {
		p.step(HoldAnswered{Worker: h.Worker, SentAt: h.SentAt, ClockMs: p.now.Milliseconds(), Ended: ends[h.Worker]})
		delete(ends, h.Worker)
	}
	p.confirmSaves()
}

func (p *capacityPool) confirmSaves() {
	for len(p.saves) > 0 {
		s := p.saves[0]
		p.saves = p.saves[1:]
		p.step(Saved{Seq: s.Seq})
	}
}

// BenchmarkCapacity measures what an owner of 17,000 workers saves for a start, for the list of workers and for a
// change of that list by one worker, and the time from the list to the first start of an inherited task.
func BenchmarkCapacity(b *testing.B) {
	var perStart, list, change, first float64
	for b.Loop() {
		p := &capacityPool{now: time.Hour}
		p.core = New(Settings{Token: 1, Generation: 2, MaxLease: 6 * time.Second, StopTimeout: 200 * time.Millisecond, EndedRetention: time.Second, MaxRecord: 256 << 10}, p.now)
		p.step(Tick{UnixMs: p.now.Milliseconds()})
		p.step(QueuesChanged{Queues: map[string]Queue{"q": {Name: "q", Service: "s", Attempts: 3, Slack: 2, Target: time.Second}}})
		spec := []StepSpec{{Count: 15, Need: Resources{CPU: 2700, Mem: 100}, EstimateMs: 900}}
		p.step(JobStored{Inherited: true, Job: Job{ID: "inherited", Queue: "q", Service: "s", AcceptedMs: p.now.Milliseconds(), Steps: spec}})
		began := time.Now()
		p.step(WorkersListed{Workers: benchWorkers(capacityWorkers)})
		p.answer(len(p.holds), nil)
		p.now += 50 * time.Millisecond
		p.step(Tick{UnixMs: p.now.Milliseconds()})
		p.answer(0, nil)
		p.take(p.core.Plan(p.now))
		p.confirmSaves() // which records the starts
		if len(p.starts) == 0 {
			b.Fatal("nothing was started")
		}
		first += time.Since(began).Seconds() * 1000
		list += float64(p.bytes)
		before, started := p.bytes, 0
		ends, lastEnd := map[string][]EndedRun{}, map[string]uint64{}
		for tick := range 60 {
			p.now += 50 * time.Millisecond
			p.step(Tick{UnixMs: p.now.Milliseconds()})
			for n := range capacityStartsPerTick / 15 {
				p.step(JobStored{Job: Job{ID: fmt.Sprintf("j%d-%d", tick, n), Queue: "q", Service: "s", AcceptedMs: p.now.Milliseconds(), Steps: spec}})
			}
			p.take(p.core.Plan(p.now))
			p.confirmSaves()
			for _, s := range p.starts {
				started++
				p.step(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run})
				lastEnd[s.Worker]++
				ends[s.Worker] = append(ends[s.Worker], EndedRun{Number: lastEnd[s.Worker], Task: s.Task, Run: s.Run, How: Done})
			}
			p.starts = nil
			p.answer(len(p.holds), ends)
		}
		perStart += float64(p.bytes-before) / float64(started)
		before = p.bytes
		p.step(WorkersListed{Workers: benchWorkers(capacityWorkers + 1)})
		p.now += 50 * time.Millisecond
		p.step(Tick{UnixMs: p.now.Milliseconds()})
		change += float64(p.bytes - before)
	}
	n := float64(b.N)
	b.ReportMetric(perStart/n, "bytes/start")
	b.ReportMetric(list/n, "list-bytes")
	b.ReportMetric(change/n, "list-change-bytes")
	b.ReportMetric(first/n, "first-start-ms")
}
