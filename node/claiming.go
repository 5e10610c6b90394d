package node

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
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
	}
	if now >= u.claimAt {
		u.claim(ctx, reason)
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
	case u.node.isGone(c):
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

// patience is how long the owner may be silent.
func (u *unit) patience(now time.Duration) time.Duration {
	if u.ownerWorks != 0 && now-u.ownerWorks < worksFor {
		return slowSilent
	}
	return ownerSilent
}

// claimDelay spreads the claims: instances without a pool first, the others in
// an order that differs by pool and generation.
func (u *unit) claimDelay() time.Duration {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, u.node.set.Name, u.topic.Part, u.replica.claim.Generation) // a hash takes everything
	d := claimSpread * time.Duration(h.Sum32()%1000) / 1000
	return d + time.Duration(u.node.owned())*claimLater + time.Duration(u.weakness()*float64(claimWeak))
}

// weakness is how much weaker this machine is than the strongest known: 0 is as
// strong. Before the first owner, instances may not know of each other yet.
func (u *unit) weakness() float64 {
	strongest := u.node.peers.mostPower()
	if u.replica.claim.Addr == "" {
		strongest = max(strongest, ampleShare)
	}
	return max(0, 1-u.node.set.Power/strongest)
}

// claimed is the answer to a claim.
type claimed struct {
	claim  claim
	offset int64
	err    error
}

// claim makes this instance the owner, if the store has seen no newer epoch. The
// low bits differ between instances, so two claims never carry the same epoch.
func (u *unit) claim(ctx context.Context, reason string) {
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
		if result.err = u.lookBeforeClaim(ctx, next, old); result.err == nil {
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
func (u *unit) lookBeforeClaim(ctx context.Context, next int64, old claim) error {
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
	u.claimAt = u.node.now() + claimRetry
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
	u.node.setOwned(u.topic.Part, true)
	u.log.Info().Uint64("epoch", e.claim.Epoch).Int64("offset", e.offset).Msg("pool.owned")
}
