package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// injectFaults injects faults into the instances and their environment, several at a time.
func (r *run) injectFaults(ctx context.Context) {
	rng := r.newRand(3)
	if r.Seed%rollingSeedInterval == 0 {
		r.rollingRestart(ctx, r.newRand(5))
		return
	}
	for r.world.Since() < r.FaultTime && ctx.Err() == nil {
		sleep(ctx, time.Duration(300+rng.IntN(1500))*time.Millisecond)
		for range 1 + rng.IntN(2) {
			r.injectFault(ctx, rng)
		}
	}
}

const (
	// rollingSeedInterval selects the seeds that restart their instances in turn throughout:
	// those divisible by it.
	rollingSeedInterval = 4
	// rollStart is when the restarts begin: by then the store holds several hundred records.
	rollStart = 4 * time.Second
	// rollInterval is the interval between two restarts. With the slow store a starting instance
	// reads for 4 s or longer, so that at any time half of 12 instances have read everything.
	rollInterval = 700 * time.Millisecond
)

// rollingRestart restarts one instance after another with a slow store, every third with
// SIGKILL, with occasional other faults. Pools change owners while several instances read
// the store, so that none of the instances that they ask knows the owner.
func (r *run) rollingRestart(ctx context.Context, rng *rand.Rand) {
	sleep(ctx, rollStart-r.world.Since())
	r.slowStore(storeSlowdown)
	defer r.slowStore(-storeSlowdown)
	r.recordFault("all restarted in turn, each %v, the store slower by %v", rollInterval, storeSlowdown)
	for n := 0; r.world.Since() < r.FaultTime && ctx.Err() == nil; n++ {
		i := r.instances[n%len(r.instances)]
		r.disturbed()
		go func() {
			if n%3 == 0 {
				i.kill()
			}
			i.stop()
			r.restart(i)
		}()
		if rng.IntN(6) == 0 {
			r.injectFault(ctx, rng)
		}
		sleep(ctx, rollInterval)
	}
}

// injectInvalidEntries replaces workers' entries by invalid ones of other writers. It has a
// random source of its own, so that it doesn't change the other faults of a seed.
func (r *run) injectInvalidEntries(ctx context.Context) {
	rng := r.newRand(4)
	for {
		sleep(ctx, time.Duration(500+rng.IntN(3000))*time.Millisecond)
		kind, pick, duration := rng.IntN(machines.InvalidEntryKinds()), rng.IntN(1<<20), time.Duration(100+rng.IntN(6000))*time.Millisecond
		if r.world.Since() >= r.FaultTime || ctx.Err() != nil {
			return
		}
		workers := r.world.Workers()
		if len(workers) == 0 {
			continue
		}
		id := workers[pick%len(workers)]
		if r.ChangedEntries && kind%2 == 0 {
			other := workers[(pick+1)%len(workers)]
			r.world.PutChangedEntry(id, func(info *pool.WorkerInfo) { changeEntry(info, kind/2, r.world.AddrOf(other)) })
		} else {
			r.world.PutInvalidEntry(id, kind)
		}
		r.runAfter(ctx, duration, func() { r.world.Restore(id) })
		r.recordFault("%s: entry %d of another writer, %v", id, kind, duration)
	}
}

// changeEntry makes a worker's entry one that isn't its own.
func changeEntry(info *pool.WorkerInfo, kind int, otherAddr string) {
	if kind%3 != 0 {
		info.Addr = otherAddr
	}
	if kind%3 != 1 {
		info.Born += time.Hour.Milliseconds()
	}
}

// moveQueue keeps writing configurations; each second one moves the queue to another service.
// It has a random source of its own, as injectInvalidEntries has.
func (r *run) moveQueue(ctx context.Context) {
	rng := r.newRand(6)
	for {
		sleep(ctx, time.Duration(100+rng.IntN(1500))*time.Millisecond)
		if r.world.Since() >= r.FaultTime || ctx.Err() != nil {
			return
		}
		r.configure()
		r.recordFault("another configuration")
	}
}

func (r *run) recordFault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%v ", r.world.Since().Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// faultKinds is the number of kinds of single faults; half of the draws start a series of
// faults instead.
const faultKinds = 12

// injectFault starts one fault, which ends by itself.
func (r *run) injectFault(ctx context.Context, rng *rand.Rand) {
	i := r.instances[rng.IntN(len(r.instances))]
	duration := time.Duration(300+rng.IntN(4500)) * time.Millisecond
	f := fault(1 + rng.IntN(int(faultCount)-1))
	kind, worker := rng.IntN(2*faultKinds), rng.IntN(1<<20)
	// The guarantees with a time limit hold only for instances without faults.
	r.disturbed()
	what := i.config.Name
	switch kind {
	case 0, 1:
		what += " killed"
		i.kill()
		r.runAfter(ctx, duration/8, func() { r.restart(i) })
	case 2:
		what = "all killed"
		for _, each := range r.instances {
			each.kill()
		}
		r.runAfter(ctx, duration/8, func() {
			for _, each := range r.instances {
				r.restart(each)
			}
		})
	case 3, 4:
		what += " stopped"
		r.runAfter(ctx, 0, func() { i.stop(); r.restart(i) })
	case 5:
		what += " paused"
		i.signal(syscall.SIGSTOP)
		r.runAfter(ctx, duration, func() { i.signal(syscall.SIGCONT) })
	case 6:
		what += " told to read its settings"
		i.sighup()
	case 7:
		what += fmt.Sprintf(" and the store: fault %d", f)
		i.store.set(f)
		r.runAfter(ctx, duration, func() { i.store.set(noFault) })
	case 8:
		what = fmt.Sprintf("the store and all: fault %d", f)
		for _, each := range r.instances {
			each.store.set(f)
		}
		r.runAfter(ctx, duration, func() {
			for _, each := range r.instances {
				each.store.set(noFault)
			}
		})
	case 9:
		what += fmt.Sprintf(" and its callers: fault %d", f)
		i.callers.set(f)
		r.runAfter(ctx, duration, func() { i.callers.set(noFault) })
	case 10:
		what = r.injectWorkerFault(ctx, f, worker, duration)
	case 11:
		what = "the store's history dropped, orders late"
		r.world.DropHistory()
		r.world.SetLateOrders(0.05)
		r.runAfter(ctx, duration, func() { r.world.SetLateOrders(0) })
	default:
		what = r.injectInTurn(ctx, rng)
	}
	r.recordFault("%s, %v", what, duration)
}

// injectInTurn applies the same action to one instance after another, while other faults are
// active.
func (r *run) injectInTurn(ctx context.Context, rng *rand.Rand) string {
	count := 2 + rng.IntN(2*len(r.instances))
	interval := time.Duration(20+rng.IntN(1000)) * time.Millisecond
	slowdown := time.Duration(rng.IntN(3)) * storeSlowdown
	what, do := r.drawAction(ctx, rng, interval)
	first := rng.IntN(len(r.instances))
	go func() {
		r.slowStore(slowdown)
		defer r.slowStore(-slowdown)
		for n := 0; n < count && r.world.Since() < r.FaultTime && ctx.Err() == nil; n++ {
			r.disturbed()
			go do(r.instances[(first+n)%len(r.instances)])
			sleep(ctx, interval)
		}
	}()
	return fmt.Sprintf("%d in turn, each %v, %s, the store slower by %v", count, interval, what, slowdown)
}

// storeSlowdown is the added delay of a slow store; some are twice as slow.
const storeSlowdown = 60 * time.Millisecond

// slowStore adds a delay to the store's answers, in addition to the current one.
func (r *run) slowStore(by time.Duration) {
	r.changes.Lock()
	defer r.changes.Unlock()
	r.storeDelay += by
	for _, i := range r.instances {
		i.access.wire.View().SlowStore(r.storeDelay)
	}
}

// drawAction draws the action for injectInTurn.
func (r *run) drawAction(ctx context.Context, rng *rand.Rand, interval time.Duration) (what string, do func(*instance)) {
	restart := func(i *instance) { i.stop(); r.restart(i) }
	switch rng.IntN(6) {
	default:
		return "stopped", restart
	case 1:
		return "killed", func(i *instance) { i.kill(); r.restart(i) }
	case 2:
		return "told to read their settings", func(i *instance) { i.sighup() }
	case 3:
		return "paused", func(i *instance) {
			i.signal(syscall.SIGSTOP)
			r.runAfter(ctx, interval, func() { i.signal(syscall.SIGCONT) })
		}
	case 4:
		return "configured, told to read their settings and stopped", func(i *instance) {
			r.configure()
			i.sighup()
			restart(i)
		}
	}
}

// injectWorkerFault crashes a worker and adds another, or injects a fault into its
// connections.
func (r *run) injectWorkerFault(ctx context.Context, f fault, pick int, duration time.Duration) string {
	workers := r.world.Workers()
	slices.Sort(workers)
	id := workers[pick%len(workers)]
	if f == resets {
		r.world.Crash(id)
		r.addWorker(pick)
		return id + " crashed"
	}
	set := func(f fault) {
		for _, i := range r.instances {
			r.setFaults(i.access.workers, []string{id}, f)
		}
	}
	set(f)
	r.runAfter(ctx, duration, func() { set(noFault) })
	return fmt.Sprintf("%s: fault %d", id, f)
}

func (r *run) restart(i *instance) {
	r.disturbed()
	if err := i.start(); err != nil {
		r.finding("START: %v", err)
	}
}

// runAfter runs a function after a delay, unless the context ends first.
func (r *run) runAfter(ctx context.Context, d time.Duration, do func()) {
	go func() {
		sleep(ctx, d)
		if ctx.Err() == nil {
			do()
		}
	}()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
