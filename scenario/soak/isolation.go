package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"regexp"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/knapweedweir/knapweedweir/platform/wirestand"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// access is what one instance reaches, each through proxies of its own.
type access struct {
	wire *wirestand.Server
	// store is between the store and instance.store, so that other faults of the store don't end a partition.
	store   *proxy
	workers map[string]*proxy // guarded by run.mu, as is peers
	peers   map[string]*proxy // by the address of the other instance
}

// newAccess returns what an instance reaches whose peers know it at the given address.
func (r *run) newAccess(name, self string) (*access, error) {
	a := &access{wire: r.wire.Access(name), workers: map[string]*proxy{}, peers: map[string]*proxy{}}
	var err error
	if a.store, err = newProxy(a.wire.Store()); err != nil {
		return nil, err
	}
	a.wire.Between = func(worker, addr string) string {
		proxied := r.proxyTo(a.workers, worker, addr)
		r.workersByProxy.Store(proxied, worker)
		return proxied
	}
	a.wire.Rewrite = func(rec pool.Record) pool.Record {
		for _, addr := range r.peerAddrs {
			if addr != self && bytes.Contains(rec.Value, []byte(`"`+addr+`"`)) {
				rec.Value = bytes.ReplaceAll(rec.Value, []byte(`"`+addr+`"`), []byte(`"`+r.proxyTo(a.peers, addr, addr)+`"`))
			}
		}
		rec.Value = r.replaceWorkerAddrs(rec.Value, a)
		return rec
	}
	return a, nil
}

var quotedAddr = regexp.MustCompile(`"127\.0\.0\.1:\d+"`)

// replaceWorkerAddrs replaces the addresses of workers in a record of an owner, which are those of the owner's proxies, by
// those of the reader's. A successor would otherwise reach workers by its predecessor's links.
func (r *run) replaceWorkerAddrs(value []byte, reader *access) []byte {
	return quotedAddr.ReplaceAllFunc(value, func(quoted []byte) []byte {
		worker, known := r.workersByProxy.Load(string(bytes.Trim(quoted, `"`)))
		if !known {
			return quoted
		}
		return []byte(`"` + reader.wire.WorkerAddr(worker.(string)) + `"`)
	})
}

// proxyTo returns the address of the proxy to a target, which it starts if there is none.
func (r *run) proxyTo(list map[string]*proxy, name, target string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := list[name]
	if p == nil {
		var err error
		if p, err = newProxy(target); err != nil {
			panic(err) // no free port
		}
		list[name] = p
	}
	return p.addr()
}

// openLinks starts the proxies between all instances and workers. An instance that owns no pool doesn't read the list of
// workers, so that a partition would find no proxies to cut, and a successor would reach all workers.
func (r *run) openLinks() {
	workers := r.world.Workers()
	for _, i := range r.instances {
		for _, id := range workers {
			i.access.wire.WorkerAddr(id)
		}
		for _, addr := range r.peerAddrs {
			if addr != i.config.Peers {
				r.proxyTo(i.access.peers, addr, addr)
			}
		}
	}
}

// owner returns the instance that last stored something as the owner of a pool.
func (r *run) owner() *instance {
	return slices.MaxFunc(r.instances, func(a, b *instance) int { return a.access.wire.OwnedAt().Compare(b.access.wire.OwnedAt()) })
}

// injectOwnerFaults pauses owners and cuts them off. It has a random source of its own, as injectInvalidEntries has.
func (r *run) injectOwnerFaults(ctx context.Context) {
	rng := r.newRand(14)
	for {
		sleep(ctx, time.Duration(300+rng.IntN(2500))*time.Millisecond)
		if r.world.Since() >= r.FaultTime || ctx.Err() != nil {
			return
		}
		i := r.owner()
		r.disturbed()
		r.openLinks()
		switch rng.IntN(3) {
		case 0:
			sleep(ctx, r.pauseTwice(ctx, i, rng))
		case 1:
			sleep(ctx, r.cutOff(ctx, i, rng))
		case 2:
			sleep(ctx, r.splitZones(i, rng))
		}
		r.heal()
	}
}

// submitLongJobs submits jobs whose tasks run for longer than a lease.
func (r *run) submitLongJobs(ctx context.Context, callers *sync.WaitGroup) {
	rng := r.newRand(15)
	for n := 0; ; n++ {
		sleep(ctx, time.Duration(200+rng.IntN(600))*time.Millisecond)
		if r.world.Since() >= r.FaultTime || ctx.Err() != nil {
			return
		}
		work := r.world.Bounds.MaxLease + time.Duration(2000+rng.IntN(8000))*time.Millisecond
		j := pool.Job{ID: jobID(rng), Queue: queue, Service: machines.Service, Payload: machines.Work(work, false, false),
			Steps: []pool.StepSpec{{Count: 1 + rng.IntN(6), Need: pool.Resources{CPU: 500 + rng.IntN(1000), Mem: 100 + rng.IntN(1000)}, EstimateMs: work.Milliseconds()}}}
		c := r.newCaller(uint64(4000 + n))
		callers.Go(func() { c.submitAndAwait(ctx, j) })
	}
}

// pauseTwice pauses an instance, and again shortly after it has resumed.
func (r *run) pauseTwice(ctx context.Context, i *instance, rng *rand.Rand) time.Duration {
	first, between, second := time.Duration(300+rng.IntN(7700))*time.Millisecond, time.Duration(20+rng.IntN(600))*time.Millisecond, time.Duration(300+rng.IntN(3000))*time.Millisecond
	r.recordFault("%s, an owner, paused %v, and after %v again %v", i.config.Name, first, between, second)
	i.signal(syscall.SIGSTOP)
	r.runAfter(ctx, first, func() { i.signal(syscall.SIGCONT) })
	r.runAfter(ctx, first+between, func() { i.signal(syscall.SIGSTOP) })
	r.runAfter(ctx, first+between+second, func() { i.signal(syscall.SIGCONT) })
	return first + between + second
}

// cutOff cuts an owner off from the store, but not from the workers, and the other instances from some of these. In
// half of the cases the owner is also paused, so that another instance claims the pool.
func (r *run) cutOff(ctx context.Context, owner *instance, rng *rand.Rand) time.Duration {
	f, duration := []fault{stalls, resets}[rng.IntN(2)], time.Duration(3000+rng.IntN(11000))*time.Millisecond
	cut := r.drawWorkers(rng, 30)
	pause := time.Duration(0)
	if rng.IntN(2) == 0 {
		pause = time.Duration(1000+rng.IntN(2000)) * time.Millisecond
		owner.signal(syscall.SIGSTOP)
		r.runAfter(ctx, pause, func() { owner.signal(syscall.SIGCONT) })
	}
	owner.access.store.set(f)
	for _, i := range r.instances {
		if i != owner {
			r.setFaults(i.access.workers, cut, f)
		}
	}
	r.recordFault("%s, an owner, paused %v and cut off from the store (fault %d), all others from %v, %v", owner.config.Name, pause, f, cut, duration)
	return duration
}

// splitZones cuts the owner and some workers off from all other instances, the other workers and the store.
func (r *run) splitZones(owner *instance, rng *rand.Rand) time.Duration {
	f, duration := []fault{stalls, resets}[rng.IntN(2)], time.Duration(3000+rng.IntN(11000))*time.Millisecond
	inside := r.drawWorkers(rng, 50)
	var outside []string
	for _, id := range r.world.Workers() {
		if !slices.Contains(inside, id) {
			outside = append(outside, id)
		}
	}
	owner.access.store.set(f)
	r.setFaults(owner.access.workers, outside, f)
	r.setPeerFaults(owner, f)
	for _, i := range r.instances {
		if i != owner {
			r.setFaults(i.access.workers, inside, f)
		}
	}
	r.recordFault("%s, an owner, alone with %v (fault %d), %v", owner.config.Name, inside, f, duration)
	return duration
}

// drawWorkers draws a share of the workers, in percent.
func (r *run) drawWorkers(rng *rand.Rand, share int) []string {
	ids := r.world.Workers()
	slices.Sort(ids)
	return slices.DeleteFunc(ids, func(string) bool { return rng.IntN(100) >= share })
}

func (r *run) setFaults(proxies map[string]*proxy, names []string, f fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		if p := proxies[name]; p != nil {
			p.set(f)
		}
	}
}

// setPeerFaults injects a fault into all connections between an instance and the others.
func (r *run) setPeerFaults(i *instance, f fault) {
	for _, p := range r.linksBetween(i) {
		p.set(f)
	}
}

// linksBetween returns the links between an instance and the others.
func (r *run) linksBetween(i *instance) []*proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*proxy
	for _, other := range r.instances {
		for addr, p := range other.access.peers {
			if other == i || addr == i.config.Peers {
				list = append(list, p)
			}
		}
	}
	return list
}

// heal ends all faults between instances, workers and the store.
func (r *run) heal() {
	r.disturbed()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.instances {
		i.access.store.set(noFault)
		for _, list := range []map[string]*proxy{i.access.workers, i.access.peers} {
			for _, p := range list {
				p.set(noFault)
			}
		}
	}
}

// disturbed records that instances have just had a fault: guarantees with a time limit don't hold for a while.
func (r *run) disturbed() {
	for _, i := range r.instances {
		i.access.wire.View().RecordFault()
	}
}
