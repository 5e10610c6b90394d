package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// repeatedJobInterval is the mean time between two repeated jobs. Those that are due at the same time need a part
// of the capacity of ten workers.
const repeatedJobInterval = 2 * time.Second

// submitRepeatedJobs submits repeated jobs while faults are injected. It has a random source of its own, as
// injectInvalidEntries has.
func (r *run) submitRepeatedJobs(ctx context.Context, group *sync.WaitGroup) {
	rng := r.newRand(10)
	for n := 0; r.world.Since() < r.FaultTime && ctx.Err() == nil; n++ {
		j, c := r.repeatedJob(rng), r.newCaller(uint64(6000+n))
		group.Go(func() { c.submitAndAwait(ctx, j) })
		sleep(ctx, time.Duration(rng.Int64N(2*int64(repeatedJobInterval))))
	}
}

// repeatedJob draws a job of short occurrences, of which some overlap. Some of them have been due for long.
func (r *run) repeatedJob(rng *rand.Rand) pool.Job {
	work := time.Duration(50+rng.IntN(400)) * time.Millisecond
	j := pool.Job{ID: jobID(rng), Queue: queue, Service: machines.Service, Payload: machines.Work(work, false, rng.IntN(8) == 0),
		Repeat: 2 + rng.IntN(150), IntervalMs: int64(rng.IntN(200))}
	j.FirstRunMs = time.Now().UnixMilli() + int64(rng.IntN(3000)-rng.IntN(2)*30_000)
	for i := range 1 + rng.IntN(2) {
		s := pool.StepSpec{Count: 1 + rng.IntN(2), Need: pool.Resources{CPU: 100 + rng.IntN(200), Mem: 50}, EstimateMs: work.Milliseconds()}
		if i > 0 {
			s.After = []int{0}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// removal is what a configuration lacks.
type removal int

const (
	nothingRemoved removal = iota
	queueRemoved
	serviceRemoved
	removals
)

// remove takes out of a configuration what is removed at present.
func (r *run) remove(c *node.Config) {
	other := r.route
	other.Prefix, other.Queue.Name = "/other"+prefix, "other"
	switch r.removal {
	case queueRemoved:
		c.Routes = []node.Route{other}
	case serviceRemoved:
		other.Queue.Service = "another"
		c.Routes, c.Services = []node.Route{other}, []string{"another"}
	}
}

// removeRoutes keeps writing configurations that lack the queue or its service, or have both again. The last one has
// both, so that callers see how their jobs end.
func (r *run) removeRoutes(ctx context.Context) {
	rng := r.newRand(11)
	for r.world.Since() < r.FaultTime && ctx.Err() == nil {
		sleep(ctx, time.Duration(500+rng.IntN(3000))*time.Millisecond)
		r.setRemoval(removal(rng.IntN(int(removals))))
	}
	r.setRemoval(nothingRemoved)
}

func (r *run) setRemoval(what removal) {
	r.changes.Lock()
	r.removal = what
	r.changes.Unlock()
	r.configure()
	r.recordFault("configuration with removal %d", what)
}
