package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// trouble harms the instances and what is around them, several at a time.
func (r *run) trouble(ctx context.Context) {
	bad := r.luck(3)
	if r.Seed%rollsEvery == 0 {
		r.roll(ctx, r.luck(5))
		return
	}
	for r.world.Since() < r.Trouble && ctx.Err() == nil {
		sleep(ctx, time.Duration(300+bad.IntN(1500))*time.Millisecond)
		for range 1 + bad.IntN(2) {
			r.harm(ctx, bad)
		}
	}
}

const (
	// rollsEvery is which share of the seeds restarts its instances in turn throughout.
	rollsEvery = 4
	// rollFrom is when that begins: by then the store holds several hundred records.
	rollFrom = 4 * time.Second
	// rollPause is the time between two restarts. On the slow store one that starts reads
	// for 4 s or longer, so of 12 half know all that is stored at any time.
	rollPause = 700 * time.Millisecond
)

// roll restarts one instance after the other on a slow store, every third without a
// warning, while there is now and then other trouble. Pools change hands while several
// instances read what is stored, so that nobody they ask knows the owner.
func (r *run) roll(ctx context.Context, bad *rand.Rand) {
	sleep(ctx, rollFrom-r.world.Since())
	r.slowStore(slower)
	defer r.slowStore(-slower)
	r.fault("all restarted in turn, each %v, the store slower by %v", rollPause, slower)
	for n := 0; r.world.Since() < r.Trouble && ctx.Err() == nil; n++ {
		i := r.instances[n%len(r.instances)]
		r.wire.View().Troubled()
		go func() {
			if n%3 == 0 {
				i.kill()
			}
			i.stop()
			r.startAgain(i)
		}()
		if bad.IntN(6) == 0 {
			r.harm(ctx, bad)
		}
		sleep(ctx, rollPause)
	}
}

// strangers puts entries of other writers in place of workers' own. They draw from a
// source of their own, so that the other faults of a seed stay what they were.
func (r *run) strangers(ctx context.Context) {
	odd := r.luck(4)
	for {
		sleep(ctx, time.Duration(500+odd.IntN(3000))*time.Millisecond)
		kind, pick, lasting := odd.IntN(machines.Strangers()), odd.IntN(1<<20), time.Duration(100+odd.IntN(6000))*time.Millisecond
		if r.world.Since() >= r.Trouble || ctx.Err() != nil {
			return
		}
		workers := r.world.Workers()
		id := workers[pick%len(workers)]
		r.world.Spoil(id, kind)
		r.later(ctx, lasting, func() { r.world.Restore(id) })
		r.fault("%s: entry %d of another writer, %v", id, kind, lasting)
	}
}

// move changes the configuration again and again, each second time with another service for the
// queue. It draws from a source of its own, as strangers does.
func (r *run) move(ctx context.Context) {
	luck := r.luck(6)
	for {
		sleep(ctx, time.Duration(100+luck.IntN(1500))*time.Millisecond)
		if r.world.Since() >= r.Trouble || ctx.Err() != nil {
			return
		}
		r.configure()
		r.fault("another configuration")
	}
}

func (r *run) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%v ", r.world.Since().Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// kinds is how many faults of their own there are; every other time a series begins.
const kinds = 12

// harm begins one fault, which ends by itself.
func (r *run) harm(ctx context.Context, bad *rand.Rand) {
	i := r.instances[bad.IntN(len(r.instances))]
	lasting := time.Duration(300+bad.IntN(4500)) * time.Millisecond
	f := fault(1 + bad.IntN(int(faults)-1))
	kind, worker := bad.IntN(2*kinds), bad.IntN(1<<20)
	// The promises with a bound in time hold only for instances without trouble.
	r.wire.View().Troubled()
	what := i.set.Name
	switch kind {
	case 0, 1:
		what += " killed"
		i.kill()
		r.later(ctx, lasting/8, func() { r.startAgain(i) })
	case 2:
		what = "all killed"
		for _, each := range r.instances {
			each.kill()
		}
		r.later(ctx, lasting/8, func() {
			for _, each := range r.instances {
				r.startAgain(each)
			}
		})
	case 3, 4:
		what += " stopped"
		r.later(ctx, 0, func() { i.stop(); r.startAgain(i) })
	case 5:
		what += " paused"
		i.signal(syscall.SIGSTOP)
		r.later(ctx, lasting, func() { i.signal(syscall.SIGCONT) })
	case 6:
		what += " told to read its settings"
		i.hangUp()
	case 7:
		what += fmt.Sprintf(" and the store: fault %d", f)
		i.store.set(f)
		r.later(ctx, lasting, func() { i.store.set(passes) })
	case 8:
		what = fmt.Sprintf("the store and all: fault %d", f)
		for _, each := range r.instances {
			each.store.set(f)
		}
		r.later(ctx, lasting, func() {
			for _, each := range r.instances {
				each.store.set(passes)
			}
		})
	case 9:
		what += fmt.Sprintf(" and its callers: fault %d", f)
		i.callers.set(f)
		r.later(ctx, lasting, func() { i.callers.set(passes) })
	case 10:
		what = r.harmWorker(ctx, f, worker, lasting)
	case 11:
		what = "the store's history dropped, orders late"
		r.world.Forget()
		r.world.SetLateOrders(0.05)
		r.later(ctx, lasting, func() { r.world.SetLateOrders(0) })
	default:
		what = r.harmInTurn(ctx, bad)
	}
	r.fault("%s, %v", what, lasting)
}

// harmInTurn does the same to one instance after the other, while other trouble goes on.
func (r *run) harmInTurn(ctx context.Context, bad *rand.Rand) string {
	times := 2 + bad.IntN(2*len(r.instances))
	every := time.Duration(20+bad.IntN(1000)) * time.Millisecond
	late := time.Duration(bad.IntN(3)) * slower
	what, do := r.drawChange(ctx, bad, every)
	first := bad.IntN(len(r.instances))
	go func() {
		r.slowStore(late)
		defer r.slowStore(-late)
		for n := 0; n < times && r.world.Since() < r.Trouble && ctx.Err() == nil; n++ {
			r.wire.View().Troubled()
			go do(r.instances[(first+n)%len(r.instances)])
			sleep(ctx, every)
		}
	}()
	return fmt.Sprintf("%d in turn, each %v, %s, the store slower by %v", times, every, what, late)
}

// slower is how much later a slow store answers than another; some are twice as slow.
const slower = 60 * time.Millisecond

// slowStore has the store answer later by so much, on top of how late it is.
func (r *run) slowStore(by time.Duration) {
	r.changes.Lock()
	defer r.changes.Unlock()
	r.storeLate += by
	r.wire.View().SlowStore(r.storeLate)
}

// drawChange returns what is done to instances in turn.
func (r *run) drawChange(ctx context.Context, bad *rand.Rand, every time.Duration) (what string, do func(*instance)) {
	restart := func(i *instance) { i.stop(); r.startAgain(i) }
	switch bad.IntN(6) {
	default:
		return "stopped", restart
	case 1:
		return "killed", func(i *instance) { i.kill(); r.startAgain(i) }
	case 2:
		return "told to read their settings", func(i *instance) { i.hangUp() }
	case 3:
		return "paused", func(i *instance) {
			i.signal(syscall.SIGSTOP)
			r.later(ctx, every, func() { i.signal(syscall.SIGCONT) })
		}
	case 4:
		return "configured, told to read their settings and stopped", func(i *instance) {
			r.configure()
			i.hangUp()
			restart(i)
		}
	}
}

// harmWorker crashes a worker, for which another comes, or harms its connections.
func (r *run) harmWorker(ctx context.Context, f fault, pick int, lasting time.Duration) string {
	workers := r.world.Workers()
	slices.Sort(workers)
	id := workers[pick%len(workers)]
	if f == resets {
		r.world.Crash(id)
		r.addWorker(pick)
		return id + " crashed"
	}
	r.mu.Lock()
	p := r.workers[id]
	r.mu.Unlock()
	p.set(f)
	r.later(ctx, lasting, func() { p.set(passes) })
	return fmt.Sprintf("%s: fault %d", id, f)
}

func (r *run) startAgain(i *instance) {
	r.wire.View().Troubled()
	if err := i.start(); err != nil {
		r.finding("START: %v", err)
	}
}

// later does something after a while, at the end of the trouble at the latest.
func (r *run) later(ctx context.Context, d time.Duration, do func()) {
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
