package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// racks is the number of racks of the workers.
	racks = 3
	// formerClockLead is how long workers run before the first series: a deadline by the clock of a former incarnation is
	// then further ahead than a lease that owners grant.
	formerClockLead = 6 * time.Second
	// takeoverTimeout limits the wait for a successor of an owner that is paused or cut off.
	takeoverTimeout = 6 * time.Second
	// pollInterval is the interval between two checks who owns the pool.
	pollInterval = 20 * time.Millisecond
)

// injectRestarts begins one series after another, of which some overlap, and waits until all have ended. It has a random
// source of its own, as injectInvalidEntries has.
func (r *run) injectRestarts(ctx context.Context) {
	rng := r.newRand(17)
	r.world.ReuseIDs(1)
	r.openLinks()
	sleep(ctx, formerClockLead)
	var all sync.WaitGroup
	for n := uint64(0); r.world.Since() < r.FaultTime && ctx.Err() == nil; n++ {
		own := r.newRand(5000 + n)
		all.Go(func() { r.restartSeries(ctx, own) })
		sleep(ctx, time.Duration(2000+rng.IntN(7000))*time.Millisecond)
	}
	all.Wait()
	r.endPartitions()
	for _, i := range r.instances {
		r.acceptAgain(i)
	}
}

// restartSeries restarts the workers of a rack under their IDs, replaces the owner 1 to 2 s later, and then cuts these
// workers off from all instances. In a quarter of the series the workers start again twice, in a quarter the pool changes
// hands twice.
func (r *run) restartSeries(ctx context.Context, rng *rand.Rand) {
	rack := fmt.Sprintf("r%d", rng.IntN(racks))
	workers := r.restartRack(ctx, rng, rack)
	if rng.IntN(4) == 0 {
		sleep(ctx, time.Duration(200+rng.IntN(1500))*time.Millisecond)
		r.restartRack(ctx, rng, rack)
	}
	sleep(ctx, time.Duration(1000+rng.IntN(1000))*time.Millisecond)
	r.replaceOwner(ctx, rng)
	sleep(ctx, time.Duration(300+rng.IntN(400))*time.Millisecond)
	if rng.IntN(4) == 0 {
		r.replaceOwner(ctx, rng)
		sleep(ctx, time.Duration(300+rng.IntN(400))*time.Millisecond)
	}
	if ctx.Err() != nil {
		return
	}
	p := &partition{faults: map[*proxy]fault{}, duration: time.Duration(5000+rng.IntN(7000)) * time.Millisecond}
	f := []fault{stalls, resets}[rng.IntN(2)]
	r.openLinks()
	for _, link := range r.linksTo(workers) {
		p.faults[link] = f
	}
	r.begin(ctx, p)
	r.recordFault("%v cut off from all instances (fault %d), %v", workers, f, p.duration)
	sleep(ctx, p.duration)
}

// restartRack restarts the workers of a rack, waits until they have started again and returns their IDs.
func (r *run) restartRack(ctx context.Context, rng *rand.Rand, rack string) []string {
	delay, workers := time.Duration(200+rng.IntN(1300))*time.Millisecond, r.world.Rack(rack)
	r.world.Restart(delay, workers...)
	r.recordFault("rack %s restarted, back after %v under the IDs %v", rack, delay, workers)
	sleep(ctx, delay)
	return workers
}

// replaceOwner kills or pauses the present owner, or cuts it off from the store and the other instances. An owner that
// still runs is replaced only later, so it waits for the successor.
func (r *run) replaceOwner(ctx context.Context, rng *rand.Rand) {
	owner, away := r.owner(), time.Duration(500+rng.IntN(6000))*time.Millisecond
	r.disturbed()
	switch rng.IntN(4) {
	default:
		owner.kill()
		for _, link := range r.linksOf(owner) {
			link.refuse()
		}
		r.runAfter(ctx, away, func() { r.restart(owner); r.acceptAgain(owner) })
		r.recordFault("%s, the owner, killed, back after %v", owner.config.Name, away)
		return
	case 1:
		owner.signal(syscall.SIGSTOP)
		r.runAfter(ctx, away, func() { r.disturbed(); owner.signal(syscall.SIGCONT) })
		r.recordFault("%s, the owner, paused %v", owner.config.Name, away)
	case 2:
		f := []fault{stalls, resets}[rng.IntN(2)]
		r.openLinks()
		p := &partition{faults: map[*proxy]fault{owner.access.store: f}, duration: away}
		for _, link := range r.linksBetween(owner) {
			p.faults[link] = f
		}
		r.begin(ctx, p)
		r.recordFault("%s, the owner, cut off from the store and all others (fault %d), %v", owner.config.Name, f, away)
	}
	for began := time.Now(); r.owner() == owner && time.Since(began) < min(away, takeoverTimeout) && ctx.Err() == nil; {
		sleep(ctx, pollInterval)
	}
}

// acceptAgain makes the links to an instance accept connections after they have refused them.
func (r *run) acceptAgain(i *instance) {
	for _, link := range r.linksOf(i) {
		if err := link.listen(); err != nil {
			r.finding("LINK: %v", err)
		}
	}
}

// linksOf returns the links over which others reach an instance.
func (r *run) linksOf(i *instance) []*proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []*proxy{i.callers}
	for _, other := range r.instances {
		if p := other.access.peers[i.config.Peers]; p != nil {
			list = append(list, p)
		}
	}
	return list
}

// linksTo returns the links of all instances to workers.
func (r *run) linksTo(workers []string) []*proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*proxy
	for _, i := range r.instances {
		for _, id := range workers {
			if p := i.access.workers[id]; p != nil {
				list = append(list, p)
			}
		}
	}
	return list
}
