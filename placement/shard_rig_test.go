package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// rig is one shard with its workers, without a network between them.
type rig struct {
	*world
	s      *Shard
	told   []Changed
	number int
}

func newRig(workers ...infra.Worker) *rig {
	w := &world{now: time.Second, workers: map[string]*simWorker{}, done: map[string]bool{}}
	w.plan = func(*simWorker, Attempt) (time.Duration, bool) { return time.Hour, false }
	for _, p := range workers {
		w.workers[p.ID] = &simWorker{Worker: p, booted: -time.Hour, boot: 1, tasks: map[string]*simTask{}}
	}
	r := &rig{world: w, s: NewShard(simShard, 10, DefaultShardConfig)}
	r.s.SetWorkers(w.now, workers)
	r.pass(time.Second)
	return r
}

// pass lets time go by; every request is answered at once.
func (r *rig) pass(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += 50 * time.Millisecond
		r.s.ConfirmOwner(r.now)
		orders, msgs := r.s.Step(r.now)
		r.hear(msgs)
		for _, o := range orders {
			reply := r.obey(r.workers[o.Worker], o.Request, r.now)
			r.hear(r.s.Synced(r.now, o.Worker, o.Request, reply, nil))
		}
	}
}

func (r *rig) hear(msgs []Message) {
	for _, m := range msgs {
		if c, ok := m.(Changed); ok {
			r.told = append(r.told, c)
		}
	}
}

// place asks for one task of a job.
func (r *rig) place(m Place) Placed {
	r.number++
	m.Home, m.HomeEpoch, m.AskedEpoch, m.Sequence = simHomeUnit, 20, 10, uint64(r.number)
	m.Attempt.Epoch, m.Attempt.Number = 20, r.number
	return r.again(m)
}

// again repeats a Place as it is.
func (r *rig) again(m Place) Placed {
	for _, out := range r.s.Handle(r.now, m) {
		if p, ok := out.(Placed); ok {
			return p
		}
	}
	return Placed{}
}

func work(job string, milliCPU, memoryMiB, accelerators int64) Place {
	return Place{Team: "team-" + job, Name: job, Kind: Batch, Attempt: Attempt{Job: job},
		Need: infra.Resources{MilliCPU: milliCPU, MemoryMiB: memoryMiB, Accelerators: accelerators}}
}

func machine(id string, milliCPU, memoryMiB, accelerators int64) infra.Worker {
	return infra.Worker{ID: id, Rack: "r", Zone: "z",
		Capacity: infra.Resources{MilliCPU: milliCPU, MemoryMiB: memoryMiB, Accelerators: accelerators}}
}

// last returns the newest news of a job.
func (r *rig) last(job string) Changed {
	for i := len(r.told) - 1; i >= 0; i-- {
		if r.told[i].Attempt.Job == job {
			return r.told[i]
		}
	}
	return Changed{}
}
