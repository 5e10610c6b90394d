package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

const (
	// maxLossDelay is the longest time from a start without an answer to the loss of its owner: an owner sends a start again
	// after 0.25 s.
	maxLossDelay = 400 * time.Millisecond
	// lostWorkersPercent is the chance that a worker starts again.
	lostWorkersPercent = 30
	// startCut is how long workers are out of reach that have started again.
	startCut = 5500 * time.Millisecond
	// waitingJobs is the number of jobs that wait for as long as faults are injected.
	waitingJobs = 8
	// laterKind is the kind of worker for which they wait.
	laterKind = "later"
	// countInterval is how often each instance is asked for the number of waiting jobs.
	countInterval = 200 * time.Millisecond
	// countRecovery is how long after a fault of its own an instance may give a wrong number.
	countRecovery = 6 * time.Second
)

// markUnstable records that an instance was killed, paused or started.
func (r *run) markUnstable(i *instance) {
	i.access.wire.View().RecordFault()
	r.unstableAt.Store(i.config.Name, r.world.Since())
}

// isStable reports whether an instance has run without a fault for countRecovery.
func (r *run) isStable(i *instance) bool {
	at, _ := r.unstableAt.LoadOrStore(i.config.Name, time.Duration(0))
	return r.world.Since()-at.(time.Duration) > countRecovery
}

// startAgain starts an instance that was killed.
func (r *run) startAgain(i *instance) {
	r.markUnstable(i)
	if err := i.start(); err != nil {
		r.finding("START: %v", err)
	}
}

// injectForgottenStarts loses owners right after starts that have no answer and are carried out late, and makes some workers
// start again under their IDs, out of reach of the successor.
func (r *run) injectForgottenStarts(ctx context.Context, submit func(pool.Job)) {
	rng := r.newRand(9)
	for range waitingJobs {
		j := r.smallJob(rng)
		j.Steps[0].Label = laterKind
		submit(j)
	}
	for r.world.Since() < r.FaultTime && ctx.Err() == nil {
		j := r.smallJob(rng)
		j.Payload = machines.Work(time.Duration(1000+rng.IntN(7000))*time.Millisecond, false, false)
		j.Steps[0].Count = 4 + rng.IntN(12)
		r.world.SetLateOrders(1)
		submit(j)
		sleep(ctx, 50*time.Millisecond+time.Duration(rng.Int64N(int64(maxLossDelay))))
		what := r.loseOwner(ctx, rng)
		r.world.SetLateOrders(0)
		sleep(ctx, time.Duration(500+rng.IntN(2500))*time.Millisecond)
		workers := r.drawWorkers(rng, lostWorkersPercent)
		delay := time.Duration(150+rng.IntN(1000)) * time.Millisecond
		r.world.Restart(delay, workers...)
		sleep(ctx, delay)
		p := &partition{faults: map[*proxy]fault{}, duration: startCut}
		for _, link := range r.linksTo(workers) {
			p.faults[link] = stalls
		}
		r.begin(ctx, p)
		r.recordFault("%s after a start, then %v started again, out of reach for %v", what, workers, startCut)
		sleep(ctx, startCut)
	}
	r.addLaterWorker()
}

// loseOwner kills or pauses the present owner, or kills all instances.
func (r *run) loseOwner(ctx context.Context, rng *rand.Rand) string {
	owner, away := r.owner(), time.Duration(300+rng.IntN(4000))*time.Millisecond
	r.markUnstable(owner)
	switch rng.IntN(4) {
	case 0:
		for _, i := range r.instances {
			i.kill()
		}
		for _, i := range r.instances {
			r.startAgain(i)
		}
		return "all killed"
	case 1:
		owner.signal(syscall.SIGSTOP)
		r.runAfter(ctx, away, func() { r.markUnstable(owner); owner.signal(syscall.SIGCONT) })
		return fmt.Sprintf("%s, the owner, paused %v", owner.config.Name, away)
	}
	owner.kill()
	r.runAfter(ctx, away, func() { r.startAgain(owner) })
	return fmt.Sprintf("%s, the owner, killed, back after %v", owner.config.Name, away)
}

// addLaterWorker adds a worker that runs the jobs that have waited.
func (r *run) addLaterWorker() {
	r.changes.Lock()
	defer r.changes.Unlock()
	r.world.AddWorker(pool.Resources{CPU: 8000, Mem: 16000}, laterKind, "r0")
}

// watchCount asks an instance for the number of waiting jobs until the run ends.
func (r *run) watchCount(ctx context.Context, i *instance) {
	client := r.newClient()
	defer client.HTTP.CloseIdleConnections()
	for ctx.Err() == nil {
		sleep(ctx, countInterval)
		stable, before := r.isStable(i), r.world.Referee.Waiting()
		try, cancel := context.WithTimeout(ctx, callTimeout)
		count, known := client.Pending(try, i.callers.addr())
		cancel()
		if known && stable && r.isStable(i) {
			r.world.Referee.CountShown(i.config.Name, count, before, r.world.Referee.Waiting())
		}
	}
}
