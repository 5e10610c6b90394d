package node

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

// considerClaim claims the pool if nobody owns it or its owner is gone.
func (u *unit) considerClaim(ctx context.Context) {
	now := u.node.now()
	if !u.caughtUp || u.healthy == 0 || u.claiming || u.node.stopping.Load() {
		return
	}
	reason := u.vacant(ctx, now)
	if reason == "" {
		u.claimAt = 0
		return
	}
	if u.claimAt == 0 {
		u.claimAt = now + u.claimDelay()
		if u.replica.claim.Node == u.node.set.Name {
			// It knows for certain that the owner is gone, and the others
			// leave the claim to it.
			u.claimAt = now
		}
	}
	if now >= u.claimAt {
		u.claim(ctx, reason, u.rank())
	}
}

// vacant returns why the pool has no owner, or nothing if it may have one. The
// owner's silence counts only while this instance reads the store: after an
// outage all owners have been silent for as long.
func (u *unit) vacant(ctx context.Context, now time.Duration) string {
	c := u.replica.claim
	switch {
	case c.Addr == "":
		return "nobody owns it"
	case c.Node == u.node.set.Name && c.Life != u.node.life:
		return "this instance owned it before its restart"
	case c.Node == u.node.set.Name && c.Epoch != u.dropped:
		return "a claim of this instance took effect late"
	case u.node.isGone(c), u.node.peers.hasRestarted(process{c.Node, c.Life}):
		return "its owner's process is gone"
	case now-max(u.ownerHeard, u.healthy) > u.patience(now):
		return "its owner is silent"
	}
	if now-max(u.ownerHeard, u.healthy) > ownerSilent/2 && now-u.probed > ownerBeat {
		u.probed = now
		go u.node.probe(ctx, u, c)
	}
	return ""
}

// watchOwner keeps a question open at the pool's owner. If its process ends, the
// connection ends with it, and the owner is known to be gone within milliseconds;
// noticed by its silence in the store, that took 0.7 to 1 s.
func (u *unit) watchOwner(ctx context.Context) {
	c := u.replica.claim
	owner := process{c.Node, c.Life}
	if u.watched == owner || c.Addr == "" || c.Addr == u.node.set.PeerAddr || u.node.isGone(c) {
		return
	}
	u.watched = owner
	go func() {
		err := u.node.peers.call(ctx, c.Addr, "Watch", Empty{}, &Empty{}, watchFor+peerTimeout)
		if err != nil && ctx.Err() == nil {
			u.node.probe(ctx, u, c)
			u.send(ctx, func() {
				if u.own == nil {
					u.considerClaim(ctx)
				}
			})
			sleep(ctx, ownerBeat) // it may be reached again only later
		}
		u.send(ctx, func() {
			if u.watched == owner {
				u.watched = process{}
			}
		})
	}()
}

// patience is how long the owner may be silent.
func (u *unit) patience(now time.Duration) time.Duration {
	if u.ownerWorks != 0 && now-u.ownerWorks < worksFor {
		return slowSilent
	}
	return ownerSilent
}

// claimDelay is how long this instance leaves the claim to others: instances that
// come before it in the order in which they should own the pool claim first. One
// step for each leaves the one before time to claim, and everyone else time to
// read it.
//
// Without an order, twenty instances claimed a pool within 0.4 s while the store
// was slow: their appends filled the stream's queue, each claim that got through
// replaced the one before it, and the pool had no owner for 5 s.
func (u *unit) claimDelay() time.Duration {
	jitter := time.Duration(u.lot(u.node.set.Name)%1000) * time.Millisecond
	if u.replica.claim.Addr == "" && u.replica.claim.Generation == 0 {
		// The first owner: the instances don't know of each other yet.
		return jitter*firstSpread/time.Second + time.Duration(u.weakness()*float64(claimWeak)) + time.Duration(u.node.owned())*claimLater
	}
	return jitter*claimSpread/time.Second + time.Duration(u.rank())*claimStep
}

// lot draws an instance's place among equals. It differs by pool and generation.
func (u *unit) lot(name string) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, name, u.topic.Part, u.replica.claim.Generation) // a hash takes everything
	return h.Sum32()
}

// rank is how many instances should rather own the pool than this one.
func (u *unit) rank() int {
	before := 0
	self := u.candidate(u.node.peers.self())
	owner := u.replica.claim
	for _, p := range u.node.peers.alive() {
		if p.name == owner.Node && p.Life != owner.Life {
			before++ // it has been started again, and claims at once
		} else if p.Addr != owner.Addr && u.candidate(p).before(self) {
			before++
		}
	}
	return before
}

// candidate is an instance that could own a pool.
type candidate struct {
	weak bool // no machine for a pool while there are stronger ones
	owns int  // other pools
	lot  uint32
	name string
}

func (u *unit) candidate(p peerEntry) candidate {
	return candidate{
		weak: p.Power < weakShare*u.node.peers.mostPower(), owns: u.node.ownedBy(p.Addr),
		lot: u.lot(p.name), name: p.name,
	}
}

// before orders candidates. Two pools are much for one machine, yet a strong one
// carries them rather than a weak one carries the one.
func (c candidate) before(o candidate) bool {
	switch {
	case c.weak != o.weak:
		return !c.weak
	case c.owns != o.owns:
		return c.owns < o.owns
	case c.lot != o.lot:
		return c.lot < o.lot
	}
	return c.name < o.name
}

// heirs returns the other instances in the order in which they should own the pool.
func (u *unit) heirs() []heir {
	var list []heir
	for _, p := range u.node.peers.alive() {
		list = append(list, heir{addr: p.Addr, candidate: u.candidate(p)})
	}
	slices.SortFunc(list, func(a, b heir) int {
		if a.before(b.candidate) {
			return -1
		}
		return 1 // no two have one name
	})
	return list
}

// heir is an instance that a pool may be handed over to.
type heir struct {
	addr string
	candidate
}

// considerHeir hands the pool over to a strong instance that owns none, if this one
// is weak or owns another pool. After many losses at once a pool falls to whoever
// is left: one of 252 workers that fell to a machine of 0.19 core stayed there for
// 16 s, in which callers waited 30 s for what takes one.
func (u *unit) considerHeir(ctx context.Context) {
	now := u.node.now()
	if u.heir != "" && now-u.heirSince > heirClaims && !u.node.stopping.Load() {
		u.heir = "" // it has not claimed the pool
	}
	if !u.own.loaded || u.heir != "" || now-u.heirSought < heirEvery || u.node.stopping.Load() {
		return
	}
	u.heirSought = now
	self := u.candidate(u.node.peers.self())
	if !self.weak && self.owns < 2 {
		return
	}
	list := u.heirs()
	if len(list) == 0 || list[0].weak || list[0].owns > 0 {
		return
	}
	epoch := u.own.claim.Epoch
	go func() {
		if to := u.node.peers.handOver(ctx, u.topic.Part, epoch, list[:1]); to != "" {
			u.send(ctx, func() { u.handedOver(to, epoch) })
		}
	}()
}

// escapeStore hands the pool over while the store turns this instance away: it can
// neither take in what callers hand in elsewhere nor store what ends. Noticed by
// its silence only, an owner was replaced after 1.9 s, in which such jobs waited.
// An instance that the store turns away too finds out when it claims the pool, and
// nothing is lost but a question to the store.
func (u *unit) escapeStore(ctx context.Context) {
	now := u.node.now()
	o := u.own
	if !o.turnedAway {
		o.awaySince = now
		return
	}
	if now-o.awaySince < turnedAwayFor || now-u.heirSought < escapeEvery || u.heir != "" {
		return
	}
	u.heirSought = now
	epoch, list := o.claim.Epoch, u.heirs()
	go func() {
		for _, to := range list[:min(len(list), escapeTries)] {
			args := TakeArgs{Part: u.topic.Part, Epoch: epoch, Second: true, Wait: true}
			if err := u.node.peers.call(ctx, to.addr, "Take", args, &Empty{}, peerTimeout); err != nil {
				u.log.Debug().Err(err).Str("to", to.addr).Msg("pool.not_handed_over")
				continue
			}
			u.send(ctx, func() {
				if u.own == o {
					u.dropOwnership("handed over to " + to.addr + ", since the store turns this instance away")
					u.heir, u.heirSince = to.addr, u.node.now()
				}
			})
			return
		}
	}()
}

// handedOver notes that another instance is claiming the pool; who still comes
// here is sent there.
func (u *unit) handedOver(to string, epoch uint64) {
	if u.own != nil && u.own.claim.Epoch == epoch {
		u.heir, u.heirSince = to, u.node.now()
	}
}

// weakness is how much weaker this machine is than the strongest known: 0 is as
// strong. Before the first owner, instances may not know of each other yet.
func (u *unit) weakness() float64 {
	return max(0, 1-u.node.set.Power/max(u.node.peers.mostPower(), ampleShare))
}

// claimed is the answer to a claim.
type claimed struct {
	claim  claim
	offset int64
	err    error
}

// claim makes this instance the owner, if the store has seen no newer epoch. The
// low bits differ between instances, so two claims never carry the same epoch.
//
// Rank is how many others may be claiming it too.
func (u *unit) claim(ctx context.Context, reason string, rank int) {
	old := u.replica.claim
	c := claim{
		Node: u.node.set.Name, Addr: u.node.set.PeerAddr, Life: u.node.life,
		Epoch: (old.Epoch>>16+1)<<16 | uint64(rand.Uint32N(1<<16)), Generation: old.Generation + 1,
	}
	u.claiming = true
	next := u.replica.next
	u.log.Info().Str("reason", reason).Str("before", old.Node).Uint64("epoch", c.Epoch).Msg("pool.claim")
	go func() {
		result := claimed{claim: c}
		if result.err = u.lookBeforeClaim(ctx, next, old, rank); result.err == nil {
			result.offset, result.err = u.node.store.Append(withTimeout(ctx, appendTimeout), u.topic,
				[]pool.Record{{Key: pool.OwnerKey, Value: pool.Encode(c)}}, &Writer{Name: "owner", Epoch: c.Epoch})
		}
		u.send(ctx, result)
	}()
}

// errBeaten means that another instance has claimed the pool first.
var errBeaten = errors.New("another instance has just claimed the pool")

// lookBeforeClaim reads what was stored since the last read. Reads come every
// third of a second; without this look three instances claimed a pool within
// 0.1 s of each other, and each had to ask all workers again before it could go on.
//
// A look that takes long shows that the store is slow. A claim then takes as long
// again, so those that aren't first in the order leave the others more time, and
// look once more.
func (u *unit) lookBeforeClaim(ctx context.Context, next int64, old claim, rank int) error {
	began := u.node.now()
	if err := u.look(ctx, next, old); err != nil {
		return err
	}
	took := u.node.now() - began
	if rank == 0 || took < slowLook {
		return nil
	}
	sleep(ctx, time.Duration(min(rank, 3))*2*took)
	return u.look(ctx, next, old)
}

func (u *unit) look(ctx context.Context, next int64, old claim) error {
	page, _, err := u.node.store.Read(withTimeout(ctx, appendTimeout), u.topic, next, 0)
	if err != nil {
		return err
	}
	for _, rec := range page {
		var c claim
		if rec.Key == pool.OwnerKey && json.Unmarshal(rec.Value, &c) == nil && c.Epoch > old.Epoch {
			return errBeaten
		}
	}
	return nil
}

func (u *unit) claimAnswered(ctx context.Context, e claimed) {
	u.claiming = false
	for _, tell := range u.claimEnds {
		tell <- e.err
	}
	u.claimEnds = nil
	u.claimAt = u.node.now() + claimRetry
	if errors.Is(e.err, ErrFenced) || errors.Is(e.err, errBeaten) {
		// Somebody has claimed it. The claim is still to be read here.
		u.claimAt += slowestRead
	}
	if e.err != nil {
		u.log.Warn().Err(e.err).Uint64("epoch", e.claim.Epoch).Msg("pool.claim_failed")
		return
	}
	if u.replica.claim.Epoch > e.claim.Epoch {
		return // another instance was faster
	}
	u.claimAt = 0
	u.heir = ""
	u.ownerHeard = u.node.now()
	u.replica.claim = e.claim
	u.own = newOwnership(ctx, u, e.claim, e.offset)
	select {
	case u.readNow <- struct{}{}: // up to the claim, after which the work begins
	default:
	}
	u.node.setOwned(u.topic.Part, true)
	u.log.Info().Uint64("epoch", e.claim.Epoch).Int64("offset", e.offset).Msg("pool.owned")
}
