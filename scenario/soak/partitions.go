package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Shapes of the partitions that Options.Partitions selects. One side holds the owner, a share of the other instances and
// a share of the workers, the other side the store and the rest.
const (
	// SplitPartitions cut all links between the sides.
	SplitPartitions = "split"
	// MajorityPartitions are SplitPartitions with two thirds of the other instances beside the owner.
	MajorityPartitions = "majority"
	// MinorityPartitions are SplitPartitions with a third of the other instances beside the owner.
	MinorityPartitions = "minority"
	// StorePartitions cut the owner's side off from the store, and the other instances from its workers. The instances
	// still reach each other.
	StorePartitions = "store"
	// OneWayPartitions lose what one side sends to the other, on some kinds of links.
	OneWayPartitions = "oneway"
	// OneWayStorePartitions are OneWayPartitions that always cut the links to the store and between instances.
	OneWayStorePartitions = "oneway-store"
	// SeriesPartitions begin a second partition around the owner at that time before the first ends.
	SeriesPartitions = "series"
	// AllPartitions draws the shape of each partition.
	AllPartitions = "all"
)

// singleShapes are the shapes that aren't made of others, and drawnShapes those of AllPartitions.
var (
	singleShapes = []string{SplitPartitions, StorePartitions, OneWayPartitions}
	drawnShapes  = append(slices.Clone(singleShapes), SeriesPartitions)
)

// PartitionShapes are the valid values of Options.Partitions other than the empty one.
var PartitionShapes = append(slices.Clone(drawnShapes), OneWayStorePartitions, MajorityPartitions, MinorityPartitions, AllPartitions)

// partition is a fault of some links, which ends by itself.
type partition struct {
	faults   map[*proxy]fault
	duration time.Duration
}

// injectPartitions injects one partition, or two that overlap, after another. It has a random source of its own, as
// injectInvalidEntries has.
func (r *run) injectPartitions(ctx context.Context) {
	rng := r.newRand(16)
	for {
		sleep(ctx, time.Duration(300+rng.IntN(2500))*time.Millisecond)
		if r.world.Since() >= r.FaultTime || ctx.Err() != nil {
			return
		}
		shape := r.Partitions
		if shape == AllPartitions {
			shape = drawnShapes[rng.IntN(len(drawnShapes))]
		}
		if shape == SeriesPartitions {
			r.series(ctx, rng)
		} else {
			sleep(ctx, r.beginPartition(ctx, rng, shape))
		}
		r.endPartitions()
		r.heal()
	}
}

// series begins a partition, a second one before the first ends, and waits until both have ended.
func (r *run) series(ctx context.Context, rng *rand.Rand) {
	first := r.beginPartition(ctx, rng, singleShapes[rng.IntN(len(singleShapes))])
	begun := first * time.Duration(20+rng.IntN(75)) / 100
	sleep(ctx, begun)
	second := r.beginPartition(ctx, rng, singleShapes[rng.IntN(len(singleShapes))])
	sleep(ctx, max(first-begun, second))
}

// beginPartition draws a partition of a shape around the present owner, begins it and returns its duration.
func (r *run) beginPartition(ctx context.Context, rng *rand.Rand, shape string) time.Duration {
	p := &partition{duration: time.Duration(3000+rng.IntN(11000)) * time.Millisecond}
	r.openLinks()
	s := r.drawSide(rng, shape)
	var what string
	p.faults, what = r.drawFaults(rng, shape, s)
	r.begin(ctx, p)
	r.recordFault("%s: %v, %s, %v", shape, s, what, p.duration)
	return p.duration
}

// begin begins a partition, which ends by itself.
func (r *run) begin(ctx context.Context, p *partition) {
	r.disturbed()
	r.mu.Lock()
	r.partitions = append(r.partitions, p)
	r.applyPartitions(p)
	r.mu.Unlock()
	r.runAfter(ctx, p.duration, func() { r.endPartition(p) })
}

// endPartition ends one partition. Links that are in another one have that one's fault from then on.
func (r *run) endPartition(p *partition) {
	r.disturbed()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.partitions, p) {
		return
	}
	r.partitions = slices.DeleteFunc(r.partitions, func(other *partition) bool { return other == p })
	r.applyPartitions(p)
}

// endPartitions ends all partitions.
func (r *run) endPartitions() {
	r.mu.Lock()
	left := slices.Clone(r.partitions)
	r.mu.Unlock()
	for _, p := range left {
		r.endPartition(p)
	}
}

// applyPartitions sets the faults of the links of a partition that has begun or ended, with r.mu held: each has that of the
// newest partition that it is in.
func (r *run) applyPartitions(changed *partition) {
	for link := range changed.faults {
		f := noFault
		for _, p := range r.partitions {
			if later, ok := p.faults[link]; ok {
				f = later
			}
		}
		link.set(f)
	}
}

// side is the side of a partition that doesn't have the store.
type side struct {
	owner     *instance
	instances []*instance // with the owner
	workers   []string
}

func (s side) String() string {
	var names []string
	for _, i := range s.instances {
		names = append(names, i.config.Name)
	}
	return fmt.Sprintf("%s, the owner, in %v with %d workers %v", s.owner.config.Name, names, len(s.workers), s.workers)
}

// drawSide draws the owner's side: none, a third, two thirds or all of the other instances, and 20 to 80 % of the workers.
func (r *run) drawSide(rng *rand.Rand, shape string) side {
	owner := r.owner()
	others := slices.DeleteFunc(slices.Clone(r.instances), func(i *instance) bool { return i == owner })
	rng.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	thirds := rng.IntN(4)
	switch shape {
	case MajorityPartitions:
		thirds = 2
	case MinorityPartitions:
		thirds = 1
	case StorePartitions:
		thirds %= 3 // an instance that reaches the store has to be left to claim the pool
	}
	return side{owner, append([]*instance{owner}, others[:(len(others)*thirds+1)/3]...), r.drawWorkers(rng, 20+rng.IntN(61))}
}

// linkKind is what a link leads to.
type linkKind int

const (
	toStore linkKind = iota
	toInstance
	toWorker
	linkKinds
)

// link is a link between the sides. Connections over it are opened by instances on the owner's side, or else by the others.
type link struct {
	*proxy
	kind      linkKind
	fromOwner bool
}

// linksAcross returns the links between a side and the other one.
func (r *run) linksAcross(s side) []link {
	r.mu.Lock()
	defer r.mu.Unlock()
	inside := map[string]bool{}
	for _, i := range s.instances {
		inside[i.config.Peers] = true
	}
	var list []link
	for _, i := range r.instances {
		from := inside[i.config.Peers]
		if from {
			list = append(list, link{i.access.store, toStore, true})
		}
		for id, p := range i.access.workers {
			if slices.Contains(s.workers, id) != from {
				list = append(list, link{p, toWorker, from})
			}
		}
		for addr, p := range i.access.peers {
			if inside[addr] != from {
				list = append(list, link{p, toInstance, from})
			}
		}
	}
	return list
}

// drawFaults draws the faults of the links between the sides, and describes them.
func (r *run) drawFaults(rng *rand.Rand, shape string, s side) (map[*proxy]fault, string) {
	links := r.linksAcross(s)
	switch shape {
	case OneWayPartitions:
		return oneWay(rng, links, 0)
	case OneWayStorePartitions:
		return oneWay(rng, links, 1<<toStore|1<<toInstance)
	}
	f := []fault{stalls, resets}[rng.IntN(2)]
	faults := map[*proxy]fault{}
	for _, l := range links {
		if shape != StorePartitions || l.kind == toStore || l.kind == toWorker && !l.fromOwner {
			faults[l.proxy] = f
		}
	}
	return faults, fmt.Sprintf("fault %d", f)
}

// oneWay draws kinds of links beside the given ones, and for each whether what the owner's side sends is lost or what it is
// sent. Kinds are a set of bits.
func oneWay(rng *rand.Rand, links []link, always int) (faults map[*proxy]fault, what string) {
	kinds := (1 + rng.IntN(1<<linkKinds-1)) | always
	lostFromOwner := rng.IntN(1 << linkKinds)
	faults = map[*proxy]fault{}
	for _, l := range links {
		if kinds>>l.kind&1 == 0 {
			continue
		}
		faults[l.proxy] = stallsAnswers
		if lost := lostFromOwner>>l.kind&1 == 1; lost == l.fromOwner {
			faults[l.proxy] = stallsRequests
		}
	}
	return faults, fmt.Sprintf("kinds %03b, from the owner's side %03b", kinds, lostFromOwner&kinds)
}
