package node

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// weakClaimDelay is how much later a machine without processor share claims than one with
	// ampleCores: an owner of 252 workers needs 0.16 of a core on a day without faults, and the
	// smallest machines have 0.19.
	weakClaimDelay = 600 * time.Millisecond
	ampleCores     = 0.8
	// weakThreshold is the fraction of the highest processor share or link rate below which a
	// machine is too weak for a pool.
	weakThreshold = 0.5
)

// tieBreaker orders instances that rank equally. It differs by pool and by generation of the claim.
func (pc *poolController) tieBreaker(name string) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, name, pc.topic.Part, pc.replica.claim.Generation) // a hash's Write never fails
	return h.Sum32()
}

// rank returns how many instances should own the pool rather than this one.
func (pc *poolController) rank() int {
	before := 0
	self := pc.candidate(pc.node.peers.self())
	owner := pc.replica.claim
	for _, p := range pc.node.peers.alive() {
		if p.name == owner.Node && p.Life != owner.Life {
			before++ // it has restarted, and claims its pool at once
		} else if p.Addr != owner.Addr && pc.candidate(p).before(self) {
			before++
		}
	}
	return before
}

// nextOwner returns the address of the instance that should own the pool if its owner leaves, which
// may be this one.
func (pc *poolController) nextOwner(ctx context.Context) (addr string, err error) {
	err = pc.do(withTimeout(ctx, aliveTimeout), func() {
		if addr = pc.node.opts.PeerAddr; pc.rank() == 0 {
			return
		}
		for _, h := range pc.successors() {
			if h.addr != pc.replica.claim.Addr {
				addr = h.addr
				return
			}
		}
	})
	return addr, err
}

// candidate is an instance that could own a pool.
type candidate struct {
	weak       bool // too weak for a pool while there are stronger machines
	ownedPools int  // other than the one in question
	tieBreaker uint32
	name       string
}

func (pc *poolController) candidate(p peerEntry) candidate {
	return candidate{
		weak: pc.node.peers.isWeak(p), ownedPools: pc.node.ownedPoolCountOf(p.Addr),
		tieBreaker: pc.tieBreaker(p.name), name: p.name,
	}
}

// isWeak reports whether a machine's processor share or link rate is below weakThreshold of the
// highest known one. An unknown link rate is ignored.
func (p *peers) isWeak(e peerEntry) bool {
	slowLink := e.LinkRate > 0 && float64(e.LinkRate) < weakThreshold*float64(p.maxLinkRate())
	return slowLink || e.Cores < weakThreshold*p.maxCores()
}

// before orders candidates. Two pools are a high load for one machine, but a strong machine with
// two is better than a weak one with one.
func (c candidate) before(o candidate) bool {
	switch {
	case c.weak != o.weak:
		return !c.weak
	case c.ownedPools != o.ownedPools:
		return c.ownedPools < o.ownedPools
	case c.tieBreaker != o.tieBreaker:
		return c.tieBreaker < o.tieBreaker
	}
	return c.name < o.name
}

// successors returns the other instances in the order in which they should own the pool.
func (pc *poolController) successors() []successor {
	var list []successor
	for _, p := range pc.node.peers.alive() {
		list = append(list, successor{addr: p.Addr, candidate: pc.candidate(p)})
	}
	slices.SortFunc(list, func(a, b successor) int {
		if a.before(b.candidate) {
			return -1
		}
		return 1 // names are unique
	})
	return list
}

// successor is an instance that a pool may be handed over to.
type successor struct {
	addr string
	candidate
}

// coreDeficit is how much weaker this machine is than the strongest known one, as a fraction; 0:
// it is as strong. Before the first owner, instances may not know of each other yet.
func (pc *poolController) coreDeficit() float64 {
	return max(0, 1-pc.node.opts.Cores/max(pc.node.peers.maxCores(), ampleCores))
}
