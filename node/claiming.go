package node

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// claimJitter is the range of the random delay that separates the claims of several instances.
	claimJitter = 100 * time.Millisecond
	// firstClaimJitter replaces it for the first claims of a pool, for which there is no ranking
	// yet.
	firstClaimJitter = 300 * time.Millisecond
	// claimStagger is the delay per better-ranked instance: a read, an append and the other
	// instances' next read take 12 ms.
	claimStagger = 120 * time.Millisecond
	// slowStoreLatency is the latency of an append, or of a read that doesn't wait for a record,
	// above which the store counts as slow. A read usually takes 4 ms.
	slowStoreLatency = 60 * time.Millisecond
	// claimReadDelay is how long an instance waits to read a claim that has preceded its own. A
	// read takes 0.3 s on a slow store, and there is a pause between two reads.
	claimReadDelay = time.Second
	// ownerClaimDelay is the delay per pool that an instance owns already, so that instances that
	// own none claim first.
	ownerClaimDelay = 500 * time.Millisecond
	// claimRetryPause is the pause after a failed claim.
	claimRetryPause = 300 * time.Millisecond
)

// claimIfVacant claims the pool if it has no owner or its owner is gone.
func (pc *poolController) claimIfVacant(ctx context.Context) {
	now := pc.node.now()
	if !pc.listed.Load() || !pc.copyLoaded || pc.readableSince == 0 || pc.claiming || pc.node.stopping.Load() {
		return
	}
	reason := pc.vacancyReason(ctx, now)
	if reason == "" {
		pc.claimAt = 0
		return
	}
	if pc.claimAt == 0 {
		pc.claimAt = now + pc.claimDelay()
		if pc.replica.claim.Node == pc.node.opts.Name {
			// This instance knows for certain that the owner is gone, and the others let it claim
			// first.
			pc.claimAt = now
		}
	}
	if now >= pc.claimAt {
		pc.claim(ctx, reason, pc.rank())
	}
}

// claimDelay returns the delay before this instance claims the pool. Instances that rank higher as
// owners claim first; the delay per rank leaves each of them time to claim, and the others time to
// read the claim.
//
// Without a ranking, twenty instances claimed a pool within 0.4 s on a slow store: their appends
// filled the stream's queue, each successful claim replaced the previous one, and the pool had no
// owner for 5 s.
func (pc *poolController) claimDelay() time.Duration {
	jitter := time.Duration(pc.tieBreaker(pc.node.opts.Name)%1000) * time.Millisecond
	if pc.replica.claim.Addr == "" && pc.replica.claim.Generation == 0 {
		// This is the first owner: the instances don't know each other yet.
		return jitter*firstClaimJitter/time.Second + time.Duration(pc.coreDeficit()*float64(weakClaimDelay)) +
			time.Duration(pc.node.ownedPoolCount())*ownerClaimDelay
	}
	return jitter*claimJitter/time.Second + time.Duration(pc.rank())*claimStagger
}

// tokensPerEpoch is the number of fencing tokens of an owner, from its epoch on: it raises the token of a
// worker that starts again under its ID.
const tokensPerEpoch = 1 << 8

// epochGenerationShift is the position of the generation in an epoch.
const epochGenerationShift = 16

// newEpoch returns an epoch of the given generation. It is a multiple of tokensPerEpoch, so that all tokens
// of an owner are lower than those of a later claim. The other low bits are random, so that concurrent
// claims rarely have the same epoch.
func newEpoch(generation uint64) uint64 {
	return generation<<epochGenerationShift | uint64(rand.Uint32N(1<<epochGenerationShift/tokensPerEpoch))*tokensPerEpoch
}

// claimResult is the result of a claim.
type claimResult struct {
	claim  ownerRecord
	offset int64
	sentAt time.Duration
	// ranges is what was read from the stream for the claim, in order.
	ranges []streamRange
	err    error
}

// streamRange holds the records of one read of a stream, starting at offset from.
type streamRange struct {
	from int64
	batch
}

// claim makes this instance the owner unless the store has seen a newer epoch.
//
// Rank is the number of other instances that may be claiming the pool at the same time.
func (pc *poolController) claim(ctx context.Context, reason string, rank int) {
	old := pc.replica.claim
	generation := pc.nextGeneration()
	c := ownerRecord{claim: claim{
		Node: pc.node.opts.Name, Addr: pc.node.opts.PeerAddr, Life: pc.node.incarnation,
		Epoch: newEpoch(generation), Generation: int(generation),
	}, Electors: pc.chooseElectors(nil)}
	known := &replica{owners: maps.Clone(pc.replica.owners)}
	pc.claiming = true
	next := pc.replica.next
	pc.log.Info().Str("reason", reason).Str("before", old.Node).Uint64("epoch", c.Epoch).Msg("pool.claim")
	go func() {
		result := claimResult{claim: c}
		if result.ranges, result.err = pc.checkBeforeClaim(ctx, next, old, rank); result.err == nil {
			known.keepOwners(result.ranges)
			c.Predecessors, c.PredecessorsAsOf = known.predecessors(c.Epoch), known.newestOwner(c.Epoch)
			c.RecordsStarts = known.recordsStarts(c.Epoch, pc.node.peers.isListed)
			result.claim = c
			var own streamRange
			result.sentAt = pc.node.now()
			own, result.err = pc.storeClaim(ctx, c)
			result.offset, result.ranges = own.from, append(result.ranges, own)
		}
		pc.send(ctx, result)
	}()
}

// storeClaim stores a claim and reads it back. If two instances draw the same epoch (one pair in
// 256), the store takes the second append for a repetition of the first, and acknowledges both.
// It did the same with all later appends of the two owners: it kept one of each two and
// acknowledged both, so jobs were accepted that were not stored. The record that is read back shows
// whose claim was stored.
func (pc *poolController) storeClaim(ctx context.Context, c ownerRecord) (streamRange, error) {
	offset, err := pc.node.store.Append(withTimeout(ctx, appendTimeout), pc.topic,
		[]pool.Record{{Key: pool.OwnerKey, Value: pool.Encode(c)}}, &Writer{Name: "owner", Epoch: c.Epoch})
	if err != nil {
		return streamRange{}, err
	}
	pc.send(ctx, func() {
		pc.claimOffset = offset
		pc.appendDirect(ctx)
	})
	own, err := pc.readRange(ctx, offset)
	if err != nil || len(own.records) == 0 {
		return streamRange{}, ErrInDoubt // if it is read later, it is handled as a claim that took effect late
	}
	kept, err := checkRecord(own.records[0])
	switch {
	case err != nil || kept == nil || kept.claim != c.claim:
		return streamRange{}, errClaimedByOther
	case !bytes.Equal(own.records[0].Value, pool.Encode(c)):
		return streamRange{}, errOtherElectors
	}
	return own, nil
}

// readRange reads the records from an offset on.
func (pc *poolController) readRange(ctx context.Context, from int64) (streamRange, error) {
	f := &follower{store: pc.node.store, topic: pc.topic, now: pc.node.now}
	b := f.read(ctx, from, 0)
	return streamRange{from: from, batch: b}, b.err
}

// nextGeneration returns the generation of the newest known claim plus one. If that claim can't be
// read because another writer's entry has replaced it, the store rejects the claim as fenced.
// Incrementing by one would then need as many attempts as the pool has had owners, so each attempt
// doubles the rejected generation: ten attempts are enough for a thousand owners.
func (pc *poolController) nextGeneration() uint64 {
	known := pc.replica.claim.Epoch >> epochGenerationShift
	if fenced := pc.fencedEpoch >> epochGenerationShift; fenced > known {
		return 2 * fenced
	}
	return known + 1
}

// errClaimedByOther means that another instance has claimed the pool first.
var errClaimedByOther = errors.New("another instance has just claimed the pool")

// errOtherElectors means that the store holds an earlier attempt of this claim, which names other electors or predecessors.
var errOtherElectors = errors.New("the store holds an earlier attempt of this claim, with other electors")

// errIncompleteRead means that one read didn't return all stored records. A newer claim may be
// among the rest: an instance that had just started took the pool from an owner whose claim it had
// not read yet.
var errIncompleteRead = errors.New("not all that is stored has been read")

// checkBeforeClaim reads what was stored since the last read. Regular reads are a third of a second
// apart; without this check three instances claimed a pool within 0.1 s of each other, and each had
// to ask all workers again before it could continue.
//
// A slow read shows that the store is slow. A claim then takes about as long, so instances that
// don't rank first leave the others more time and check once more.
func (pc *poolController) checkBeforeClaim(ctx context.Context, next int64, old claim, rank int) ([]streamRange, error) {
	if !pc.listed.Load() {
		return nil, errNotListed // a claim for a hand-over doesn't go through claimIfVacant
	}
	start := pc.node.now()
	first, err := pc.checkForNewerClaim(ctx, next, old)
	if err != nil {
		return nil, err
	}
	took := pc.node.now() - start
	if rank == 0 || took < slowStoreLatency {
		return []streamRange{first}, nil
	}
	sleep(ctx, time.Duration(min(rank, 3))*2*took)
	second, err := pc.checkForNewerClaim(ctx, first.next, old)
	return []streamRange{first, second}, err
}

func (pc *poolController) checkForNewerClaim(ctx context.Context, next int64, old claim) (streamRange, error) {
	s, err := pc.readRange(ctx, next)
	if err != nil {
		return s, err
	}
	if s.asOf == 0 {
		return s, errIncompleteRead
	}
	for _, rec := range s.records {
		var c claim
		if rec.Key == pool.OwnerKey && json.Unmarshal(rec.Value, &c) == nil && c.Epoch > old.Epoch {
			return s, errClaimedByOther
		}
	}
	return s, nil
}

func (pc *poolController) handleClaimResult(ctx context.Context, e claimResult) {
	pc.claiming = false
	defer pc.appendDirect(ctx)
	for _, waiter := range pc.claimWaiters {
		waiter <- e.err
	}
	pc.claimWaiters = nil
	pc.claimAt = pc.node.now() + claimRetryPause
	if errors.Is(e.err, ErrFenced) {
		pc.fencedEpoch = max(pc.fencedEpoch, e.claim.Epoch)
	}
	if errors.Is(e.err, ErrFenced) || errors.Is(e.err, errClaimedByOther) {
		// Another instance has claimed the pool. Its claim has yet to be read here.
		pc.claimAt += claimReadDelay
	}
	if e.err != nil {
		pc.log.Warn().Err(e.err).Uint64("epoch", e.claim.Epoch).Msg("pool.claim_failed")
		pc.leaveDirectToOwner()
		return
	}
	if max(pc.replica.claim.Epoch, pc.node.claims.epoch(pc.topic.Part)) > e.claim.Epoch {
		return // another instance was faster
	}
	// A new owner that knows the stream up to its claim starts without another read of the store.
	for _, s := range e.ranges {
		pc.applyRange(s)
	}
	pc.claimAt = 0
	pc.successor = ""
	pc.ownerSeenAt = pc.node.now()
	pc.replica.claim = e.claim.claim
	pc.node.claims.note(pc.topic.Part, e.claim.Epoch)
	pc.readsInfrequently.Store(false)
	pc.own = newOwnership(ctx, pc, e.claim, e.offset, e.sentAt)
	pc.wakeReader() // read up to the claim; the core is loaded then
	pc.node.setOwned(pc.topic.Part, e.claim.claim)
	pc.log.Info().Uint64("epoch", e.claim.Epoch).Int64("offset", e.offset).Int("generation", e.claim.Generation).
		Int("electors", len(e.claim.Electors)).Int("predecessors", len(e.claim.Predecessors)).Msg("pool.owned")
}

// applyRange applies records that were read or stored outside the follower, if there is no gap
// before them.
func (pc *poolController) applyRange(s streamRange) {
	if s.from > pc.replica.next || s.next <= pc.replica.next {
		return
	}
	fresh := pc.replica.apply(s.batch, pc.reportBadRecord)
	if pc.own != nil {
		pc.own.applyRecords(fresh) // the follower reads them again, and they are ignored then
	}
}
