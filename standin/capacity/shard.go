package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
)

// Workers per rack and tasks per worker in the largest supported cell.
const (
	workersPerRack = 30
	tasksPerWorker = 4
)

// rack is a shard with simulated workers.
type rack struct {
	shard   *placement.Shard
	now     time.Duration
	reports map[string][]infra.TaskReport
}

func newRack(i int) *rack { return newRackWith(i, placement.DefaultShardConfig) }

func newRackWith(i int, cfg placement.ShardConfig) *rack {
	unit := ownership.ShardUnit(fmt.Sprintf("rack-%04d", i))
	r := &rack{shard: placement.NewShard(unit, 10, cfg), now: time.Second, reports: map[string][]infra.TaskReport{}}
	list := make([]infra.Worker, workersPerRack)
	for k := range list {
		list[k] = infra.Worker{ID: fmt.Sprintf("rack-%04d-%02d", i, k), Zone: "zone-1", Rack: fmt.Sprintf("rack-%04d", i),
			Capacity: infra.Resources{MilliCPU: 64000, MemoryMiB: 256 << 10, Accelerators: 2}}
	}
	for _, w := range list {
		r.reports[w.ID] = nil
	}
	r.shard.SetWorkers(r.now, list)
	r.syncRound()
	r.syncRound()
	return r
}

// syncRound advances the clock by one sync interval, in which every worker is polled once.
func (r *rack) syncRound() int {
	r.now += placement.DefaultShardConfig.SyncInterval
	orders, _ := r.shard.Step(r.now)
	for _, o := range orders {
		r.answer(o)
	}
	return len(orders)
}

func (r *rack) answer(o placement.SyncOrder) {
	for _, t := range o.Request.Starts {
		r.reports[o.Worker] = append(r.reports[o.Worker], infra.TaskReport{Task: t, State: infra.TaskRunning, Usage: t.Need})
	}
	r.shard.Synced(r.now, o.Worker, o.Request, infra.SyncReply{Token: o.Request.Token, Reading: int64(r.now / time.Millisecond), Tasks: r.reports[o.Worker]}, nil)
}

// fill starts tasks until each worker runs tasksPerWorker of them.
func (r *rack) fill(first int) {
	for i := range workersPerRack * tasksPerWorker {
		job := spec(first+i, 1)
		r.shard.Handle(r.now, placement.Place{Shard: "", Home: ownership.HomeOf(job.ID), HomeEpoch: 5, Attempt: placement.Attempt{Job: job.ID, Epoch: 5, Number: 1},
			Team: job.Team, Kind: job.Kind, Need: job.Need, Payload: job.Payload})
	}
	r.syncRound()
	r.syncRound()
}

func fullRack(i int) *rack {
	r := newRack(i)
	r.fill(i * workersPerRack * tasksPerWorker)
	return r
}

// ShardSlopes measures the memory and processor time that owning workers needs.
func ShardSlopes() []Slope {
	memory := Slope{Role: "kw-sched", What: "shards: memory, 4 tasks on each worker", SizeUnit: "worker", CostUnit: "B"}
	cpu := Slope{Role: "kw-sched", What: "shards: core's time for one sync of each worker", SizeUnit: "worker", CostUnit: "us"}
	for _, racks := range []int{1, 3, 10, 30} {
		workers := float64(racks * workersPerRack)
		memory.Points = append(memory.Points, Point{workers, heapOf(func() any { return makeRacks(racks) })})
		all := makeRacks(racks)
		cpu.Points = append(cpu.Points, Point{workers, perCall(func() {
			for _, r := range all {
				r.syncRound()
			}
		})})
	}
	return []Slope{memory, cpu}
}

func makeRacks(n int) []*rack {
	all := make([]*rack, n)
	for i := range all {
		all[i] = fullRack(i)
	}
	return all
}

// SyncSlopes measures the messages of a sync by the number of tasks on the worker: their
// size, and the processor time for encoding the request and decoding the reply.
func SyncSlopes() []Slope {
	size := Slope{Role: "kw-sched", What: "sync: JSON bytes, request and reply", SizeUnit: "task on the worker", CostUnit: "B"}
	cpu := Slope{Role: "kw-sched", What: "sync: encoding and decoding", SizeUnit: "task on the worker", CostUnit: "us"}
	for _, tasks := range []int{0, 4, 16} {
		req := infra.SyncRequest{Token: 123456, Sequence: 1234, AsOf: 123456789, LeaseMillis: 15000}
		reply := infra.SyncReply{Token: 123456, Reading: 123456789}
		for i := range tasks {
			job := spec(i, 1)
			t := infra.Task{ID: placement.Attempt{Job: job.ID, Epoch: 123456, Number: 12}.TaskID(), Need: job.Need, Payload: job.Payload,
				Labels: map[string]string{"team": job.Team, "kind": string(job.Kind)}}
			reply.Tasks = append(reply.Tasks, infra.TaskReport{Task: t, State: infra.TaskRunning, Usage: t.Need, RunTime: 123456})
		}
		out, _ := json.Marshal(req)
		in, _ := json.Marshal(reply)
		size.Points = append(size.Points, Point{float64(tasks), float64(len(out) + len(in))})
		cpu.Points = append(cpu.Points, Point{float64(tasks), perCall(func() {
			_, _ = json.Marshal(req)
			var got infra.SyncReply
			_ = json.Unmarshal(in, &got)
		})})
	}
	return []Slope{size, cpu}
}
