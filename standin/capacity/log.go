package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings"
)

// spec returns a job like those in the sample of the workshop's hour.
func spec(i, tasks int) placement.JobSpec {
	return placement.JobSpec{ID: fmt.Sprintf("plan-%08d", i), Team: fmt.Sprintf("team-%03d", i%teams), Name: "grinding-plan",
		Kind: placement.Batch, Tasks: tasks, Need: need, Payload: json.RawMessage(`{"runMillis":2000}`)}
}

const teams = 170

var need = infra.Resources{MilliCPU: 2000, MemoryMiB: 2048}

// record encodes a record as the committer does.
func record(seq uint64, kind logstream.Kind, body any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	rec := logstream.Record{Version: logstream.FormatVersion, Kind: kind, Writer: "sched-001", Incarnation: 1, Sequence: seq, Body: data}
	out, err := rec.Encode()
	if err != nil {
		panic(err)
	}
	return out
}

// teamDocument is the settings document of a medium-sized team.
const teamDocument = `{
  "quota": {"milliCpu": 400000, "memoryMiB": 800000, "accelerators": 64},
  "services": {
    "order-desk": {"worth": 1, "deadline": "2s", "idempotent": true}, // quotes
    "inspection": {"worth": 20, "deadline": "5s", "idempotent": false}
  },
  "policies": {"service": {"priority": 60, "spread": true}, "batch": {"priority": 30}, "gang": {"priority": 40}}
}`

func change(team int, base infra.Offset) settings.Change {
	return settings.Change{Team: fmt.Sprintf("team-%03d", team), Base: base, File: "team.jsonc", Document: teamDocument}
}

// RecordBytes returns the encoded size of each kind of log record.
func RecordBytes() map[logstream.Kind]int {
	return map[logstream.Kind]int{
		placement.KindAccept: len(record(1, placement.KindAccept, spec(1, 1))),
		placement.KindEnd:    len(record(1, placement.KindEnd, placement.End{ID: spec(1, 1).ID, State: placement.JobDone, Reason: "all 1 tasks ran to their end"})),
		settings.KindChange:  len(record(1, settings.KindChange, change(1, 1))),
		ownership.KindClaim:  len(record(1, ownership.KindClaim, ownership.Claim{Unit: "shard/rack-0001", Base: 1, Owner: "sched-001@18a"})),
	}
}

// jobsView returns a view that has accepted n jobs.
func jobsView(n int) *logstream.View {
	v := logstream.NewView(placement.NewRegistry())
	for i := range n {
		v.Apply(infra.Entry{Offset: infra.Offset(i + 1), Data: record(uint64(i+1), placement.KindAccept, spec(i, 1))})
	}
	return v
}

// LogSlopes measures the memory that a view needs and the processor time for applying a
// record.
func LogSlopes() []Slope {
	memory := Slope{Role: "kw-sched", What: "view: memory of open jobs", SizeUnit: "job", CostUnit: "B"}
	for _, n := range []int{1000, 10000, 40000} {
		memory.Points = append(memory.Points, Point{float64(n), heapOf(func() any { return jobsView(n) })})
	}
	cpu := Slope{Role: "kw-sched", What: "view: reducing accepted jobs", SizeUnit: "record", CostUnit: "us"}
	for _, n := range []int{100, 1000, 10000} {
		cpu.Points = append(cpu.Points, Point{float64(n), timeReduce(n, func(i int) []byte {
			return record(uint64(i+1), placement.KindAccept, spec(i, 1))
		}, func() logstream.Reducer { return placement.NewRegistry() })})
	}
	changes := Slope{Role: "kw-sched", What: "view: reducing settings changes", SizeUnit: "record", CostUnit: "us"}
	for _, n := range []int{100, 500, 2000} {
		changes.Points = append(changes.Points, Point{float64(n), timeReduce(n, func(i int) []byte {
			base := infra.Offset(0)
			if i >= teams {
				base = infra.Offset(i + 1 - teams)
			}
			return record(uint64(i+1), settings.KindChange, change(i%teams, base))
		}, func() logstream.Reducer { return settings.NewTree() })})
	}
	return []Slope{memory, cpu, changes}
}

// timeReduce returns the time for applying n records, in microseconds.
func timeReduce(n int, newRecord func(i int) []byte, reducer func() logstream.Reducer) float64 {
	entries := make([]infra.Entry, n)
	for i := range n {
		entries[i] = infra.Entry{Offset: infra.Offset(i + 1), Data: newRecord(i)}
	}
	return perCall(func() {
		v := logstream.NewView(reducer())
		for _, e := range entries {
			v.Apply(e)
		}
	})
}
