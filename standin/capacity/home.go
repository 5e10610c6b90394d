package capacity

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"time"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings"
)

// simulatedHome is a job home whose shards accept every placement.
type simulatedHome struct {
	home  *placement.Home
	now   time.Duration
	tasks int
}

const homeEpoch = infra.Offset(100)

func newSimulatedHome() *simulatedHome {
	const shards = 20
	p := &simulatedHome{home: placement.NewHome(ownership.HomeUnit(1), homeEpoch, placement.DefaultHomeConfig), now: time.Second}
	units := make([]ownership.Unit, shards)
	for i := range units {
		units[i] = ownership.ShardUnit(fmt.Sprintf("rack-%04d", i))
	}
	p.home.SetShards(units)
	p.home.Step(p.now)
	capacity := infra.Resources{MilliCPU: 1 << 40, MemoryMiB: 1 << 40, Accelerators: 1 << 20}
	for _, u := range units {
		p.home.SetDigest(p.now, placement.Digest{Shard: u, Epoch: 50, Workers: 30, Total: capacity, Free: capacity, Largest: capacity})
		p.home.Handle(p.now, placement.Collected{Home: ownership.HomeUnit(1), Shard: u, HomeEpoch: homeEpoch})
	}
	p.home.Step(p.now)
	return p
}

// start accepts one job and runs the protocol until its task is running.
func (p *simulatedHome) start() placement.Place {
	p.tasks++
	p.now += time.Millisecond
	p.home.AddJob(p.now, placement.Job{Spec: spec(p.tasks, 1), Accepted: homeEpoch + infra.Offset(p.tasks), State: placement.JobOpen})
	msgs, _ := p.home.Step(p.now)
	var asked placement.Place
	for _, m := range msgs {
		if place, ok := m.(placement.Place); ok {
			asked = place
			p.home.Handle(p.now, placement.Placed{Home: place.Home, Shard: place.Shard, Attempt: place.Attempt, Sequence: place.Sequence, OK: true, Worker: "rack-0001-01"})
		}
	}
	return asked
}

// end completes a running task and its job.
func (p *simulatedHome) end(place placement.Place) {
	p.home.Handle(p.now, placement.Changed{Home: place.Home, Shard: place.Shard, ShardEpoch: 50, Attempt: place.Attempt, State: placement.AttemptDone, Worker: "rack-0001-01", RunTime: time.Second})
	p.home.Step(p.now)
	p.home.JobEnded(p.now, place.Attempt.Job)
}

func filledHome(tasks int) *simulatedHome {
	p := newSimulatedHome()
	for range tasks {
		p.start()
	}
	return p
}

// HomeSlopes measures the memory that a home needs for its tasks, and the processor time
// of one start and end by the number of tasks that are running.
func HomeSlopes() []Slope {
	memory := Slope{Role: "kw-sched", What: "home: memory of running one-task jobs", SizeUnit: "task", CostUnit: "B"}
	cpu := Slope{Role: "kw-sched", What: "home: one start and end, by tasks that run beside", SizeUnit: "running task", CostUnit: "us"}
	for _, tasks := range []int{500, 2000, 8000} {
		memory.Points = append(memory.Points, Point{float64(tasks), heapOf(func() any { return filledHome(tasks) })})
		home := filledHome(tasks)
		cpu.Points = append(cpu.Points, Point{float64(tasks), perCall(func() { home.end(home.start()) })})
	}
	return []Slope{memory, cpu}
}

// MessageSlopes measures the messages that schedulers exchange for task starts, as
// net/rpc encodes them with gob on a connection that has already sent the types.
func MessageSlopes() []Slope {
	size := Slope{Role: "kw-sched", What: "messages of starts in one envelope: Place, Placed, Changed twice, Noted", SizeUnit: "start", CostUnit: "B"}
	cpu := Slope{Role: "kw-sched", What: "the same: encoding and decoding", SizeUnit: "start", CostUnit: "us"}
	for _, starts := range []int{1, 4, 16} {
		env := envelope(starts)
		size.Points = append(size.Points, Point{float64(starts), float64(gobBytes(env))})
		cpu.Points = append(cpu.Points, Point{float64(starts), gobTime(env)})
	}
	return []Slope{size, cpu}
}

func envelope(starts int) api.Envelope {
	env := api.Envelope{From: "sched-001"}
	home := newSimulatedHome()
	for range starts {
		place := home.start()
		running := placement.Changed{Home: place.Home, Shard: place.Shard, ShardEpoch: 50, Attempt: place.Attempt, State: placement.AttemptRunning, Worker: "rack-0001-01"}
		done := running
		done.State, done.RunTime = placement.AttemptDone, time.Minute
		env.Messages = append(env.Messages, place, placement.Placed{Home: place.Home, Shard: place.Shard, Attempt: place.Attempt, Sequence: place.Sequence, OK: true, Worker: "rack-0001-01"},
			running, done, placement.Noted{Home: place.Home, Shard: place.Shard, HomeEpoch: homeEpoch, Attempt: place.Attempt})
	}
	return env
}

// gobBytes returns the encoded size of a value on a stream that has already sent its types.
func gobBytes(v api.Envelope) int {
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	_ = enc.Encode(v)
	buf.Reset()
	_ = enc.Encode(v)
	return buf.Len()
}

func gobTime(v api.Envelope) float64 {
	var buf bytes.Buffer
	enc, dec := gob.NewEncoder(&buf), gob.NewDecoder(&buf)
	return perCall(func() {
		_ = enc.Encode(v)
		var got api.Envelope
		_ = dec.Decode(&got)
	})
}

// StateSlopes measures the state that a scheduler sends to its entry on each change of
// settings, owners or the instance list.
func StateSlopes() []Slope {
	size := Slope{Role: "kw-sched to kw-entry", What: "state: gob bytes, 634 units", SizeUnit: "team", CostUnit: "B"}
	cpu := Slope{Role: "kw-sched to kw-entry", What: "state: encoding and decoding", SizeUnit: "team", CostUnit: "us"}
	for _, n := range []int{10, 50, teams} {
		st := stateOf(n)
		var buf bytes.Buffer
		enc := gob.NewEncoder(&buf)
		_ = enc.Encode(st)
		types := buf.Len()
		_ = enc.Encode(st)
		size.Points = append(size.Points, Point{float64(n), float64(buf.Len() - types)})
		buf.Reset()
		enc = gob.NewEncoder(&buf)
		dec := gob.NewDecoder(&buf)
		cpu.Points = append(cpu.Points, Point{float64(n), perCall(func() {
			_ = enc.Encode(st)
			var got api.State
			_ = dec.Decode(&got)
		})})
	}
	return []Slope{size, cpu}
}

func stateOf(teams int) api.State {
	st := api.State{Version: 1, Scheduler: "sched-001", Offset: 1, Holders: map[ownership.Unit]ownership.Holder{}}
	for i := range teams {
		c := change(i, 1)
		team, _ := c.Check()
		st.Teams = append(st.Teams, api.TeamVersion{Name: c.Team, Version: settings.Version{Offset: 1, File: c.File, Document: c.Document, Team: team}})
	}
	for i := range 570 {
		st.Holders[ownership.ShardUnit(fmt.Sprintf("rack-%04d", i))] = ownership.Holder{Owner: "sched-001@18a", Epoch: 123456}
	}
	for i := range ownership.HomeSlots {
		st.Holders[ownership.HomeUnit(i)] = ownership.Holder{Owner: "sched-001@18a", Epoch: 123456}
	}
	return st
}
