package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

const (
	// workerRestartDelay is how long a worker that a task has crashed is away.
	workerRestartDelay = 1500 * time.Millisecond
	// reusedIDShare is the share of the workers that start again under the ID that they had.
	reusedIDShare = 0.5
	// outlivingOrdersShare is the share of the orders that are late while Options.LateOrdersOutliveWorkers is set.
	outlivingOrdersShare = 0.055
)

// injectCrashes submits jobs with a task that crashes its workers, restarts single workers and racks,
// and changes the capacity of workers. It has a random source of its own, so that it doesn't change
// the other faults of a seed.
func (r *run) injectCrashes(ctx context.Context, callers *sync.WaitGroup) {
	rng := r.newRand(7)
	r.world.SetRestartDelay(workerRestartDelay)
	if !r.RestartedWorkers {
		r.world.ReuseIDs(reusedIDShare)
	}
	if r.LateOrdersOutliveWorkers {
		r.world.ReuseIDs(1)
		go r.restartWorkers(ctx)
	}
	for n := 0; ; n++ {
		sleep(ctx, time.Duration(200+rng.IntN(2500))*time.Millisecond)
		if r.world.Since() >= r.FaultTime || ctx.Err() != nil {
			return
		}
		workers := r.world.Workers()
		if len(workers) == 0 {
			continue
		}
		id, delay := workers[rng.IntN(len(workers))], time.Duration(500+rng.IntN(3000))*time.Millisecond
		switch rng.IntN(8) {
		case 0:
			j, c := r.crashingJob(rng), r.newCaller(uint64(2000+n))
			callers.Go(func() { c.submitAndAwait(ctx, j) })
			r.recordFault("a job that crashes its workers: %s", j.ID)
		case 1:
			r.world.Restart(delay, id)
			r.recordFault("%s crashed, back after %v", id, delay)
		case 2:
			rack := fmt.Sprintf("r%d", rng.IntN(3))
			r.world.Restart(delay, r.world.Rack(rack)...)
			r.recordFault("rack %s lost power, back after %v", rack, delay)
		default:
			r.shrink(ctx, rng, id)
		}
	}
}

// restartWorkers keeps crashing workers that start again under their IDs. It has a random source of its own.
func (r *run) restartWorkers(ctx context.Context) {
	rng := r.newRand(12)
	for r.world.Since() < r.FaultTime && ctx.Err() == nil {
		r.world.SetLateOrders(outlivingOrdersShare)
		sleep(ctx, time.Duration(100+rng.IntN(500))*time.Millisecond)
		if workers := r.world.Workers(); len(workers) > 0 {
			r.world.Restart(time.Duration(500+rng.IntN(3000))*time.Millisecond, workers[rng.IntN(len(workers))])
		}
	}
}

// crashingJob draws a job with a task that crashes its workers.
func (r *run) crashingJob(rng *rand.Rand) pool.Job {
	step := pool.StepSpec{Count: 1 + rng.IntN(4), Need: pool.Resources{CPU: 500 + rng.IntN(2500), Mem: 100 + rng.IntN(3000)}, EstimateMs: 1000}
	if rng.IntN(4) == 0 {
		step.Gang, step.Count = true, 2
	}
	return pool.Job{ID: jobID(rng), Queue: queue, Service: machines.Service, Steps: []pool.StepSpec{step},
		Payload: machines.CrashingWork(2*time.Second, rng.IntN(step.Count), time.Duration(10+rng.IntN(2)*rng.IntN(1500))*time.Millisecond)}
}

// shrink makes a worker's capacity shrink for a while.
func (r *run) shrink(ctx context.Context, rng *rand.Rand, id string) {
	full := r.world.FullCapacity(id)
	less := full
	less.CPU, less.Mem = full.CPU*(20+rng.IntN(80))/100, full.Mem*(20+rng.IntN(80))/100
	report, duration := time.Duration(rng.IntN(1500))*time.Millisecond, time.Duration(1000+rng.IntN(9000))*time.Millisecond
	r.world.SetCapacity(id, less, report)
	r.runAfter(ctx, duration, func() { r.world.SetCapacity(id, r.world.FullCapacity(id), report) })
	r.recordFault("%s shrinks to %+v for %v", id, less, duration)
}
