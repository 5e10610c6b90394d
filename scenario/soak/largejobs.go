package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

const (
	// largeJobsMaxRecord and largeJobsMaxAppend are the store's limits beside large jobs, in bytes. The
	// progress of such a job exceeds a record once a worker has crashed under its tasks.
	largeJobsMaxRecord = 24 << 10
	largeJobsMaxAppend = 128 << 10
	// largeJobsMaxFiles limits the connections to workers, which pass through this process twice.
	largeJobsMaxFiles = 400
	// largeJobTasks is the number of tasks of a large job. They run on the workers of one rack, a third of
	// all, so that with ten workers more than 500 end on each.
	largeJobTasks    = 1800
	largeJobInterval = 7 * time.Second
)

// submitLargeJobs submits a large job now and then while faults are injected.
func (r *run) submitLargeJobs(ctx context.Context, group *sync.WaitGroup) {
	rng := r.newRand(9)
	for n := 0; r.world.Since() < r.FaultTime && ctx.Err() == nil; n++ {
		j, c := r.largeJob(rng), r.newCaller(uint64(5000+n))
		group.Go(func() { c.submitAndAwait(ctx, j) })
		sleep(ctx, largeJobInterval)
	}
}

func (r *run) largeJob(rng *rand.Rand) pool.Job {
	work := time.Duration(400+rng.IntN(1200)) * time.Millisecond
	step := pool.StepSpec{Count: largeJobTasks, Need: pool.Resources{CPU: 3, Mem: 1}, EstimateMs: work.Milliseconds(), DataRack: "r1"}
	return pool.Job{ID: jobID(rng), Queue: queue, Service: machines.Service, Payload: machines.Work(work, false, false), Steps: []pool.StepSpec{step}}
}
