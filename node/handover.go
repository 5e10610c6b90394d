package node

import (
	"context"
	"time"
)

const (
	// successorCheckInterval is how often an owner that is weak or owns several pools looks for a
	// better one.
	successorCheckInterval = time.Second
	// successorClaimTimeout limits the time that a successor may take to claim the pool. A claim
	// takes 12 ms, and 1.5 s on a slow store.
	successorClaimTimeout = 3 * time.Second
	// appendFailureTimeout is how long the appends of an owner must have failed before it hands the
	// pool over: long enough for several attempts, so that one append that is rejected by the rate
	// limit shared by all calls doesn't cause a hand-over.
	appendFailureTimeout = 250 * time.Millisecond
	// failureHandOverInterval and failureHandOverTries limit how often an owner whose appends fail
	// tries to hand over, and how many instances it asks each time. Usually two of seven instances
	// are rejected by the store at the same time.
	failureHandOverInterval = 500 * time.Millisecond
	failureHandOverTries    = 4
)

// handOverIfUnsuitable hands the pool over to a strong instance that owns no pool, if this instance
// is weak or owns another pool. After the loss of many instances any of the rest may become the
// owner: a pool of 252 workers stayed on a machine with 0.19 of a core for 16 s, and callers waited
// 30 s for what usually takes one second.
func (pc *poolController) handOverIfUnsuitable(ctx context.Context) {
	now := pc.node.now()
	if pc.successor != "" && now-pc.successorSince > successorClaimTimeout && !pc.node.stopping.Load() {
		pc.successor = "" // it has not claimed the pool
	}
	if !pc.own.loaded || pc.successor != "" || now-pc.successorSoughtAt < successorCheckInterval || pc.node.stopping.Load() {
		return
	}
	pc.successorSoughtAt = now
	self := pc.candidate(pc.node.peers.self())
	if !self.weak && self.ownedPools < 2 {
		return
	}
	list := pc.successors()
	if len(list) == 0 || list[0].weak || list[0].ownedPools > 0 {
		return
	}
	epoch := pc.own.claim.Epoch
	go func() {
		if to := pc.node.peers.handOver(ctx, pc.topic.Part, epoch, list[:1]); to != "" {
			pc.send(ctx, func() { pc.recordHandOver(to, epoch) })
		}
	}()
}

// handOverOnAppendFailure hands the pool over while the store rejects this instance's appends: it
// can store neither the records that callers submit through other instances nor the ends of tasks.
// Detected by the lack of heartbeats only, such an owner was replaced after 1.9 s, in which these
// jobs waited. A successor that the store rejects too finds out when it claims the pool, which
// costs only one call to the store.
func (pc *poolController) handOverOnAppendFailure(ctx context.Context) {
	now := pc.node.now()
	o := pc.own
	if !o.appendsFailing {
		o.appendsOKAt = now
		return
	}
	if now-o.appendsOKAt < appendFailureTimeout || now-pc.successorSoughtAt < failureHandOverInterval || pc.successor != "" {
		return
	}
	pc.successorSoughtAt = now
	epoch, list := o.claim.Epoch, pc.successors()
	go func() {
		for _, to := range list[:min(len(list), failureHandOverTries)] {
			args := TakeArgs{Part: pc.topic.Part, Epoch: epoch, Second: true, Wait: true}
			if err := pc.node.peers.call(ctx, to.addr, "Take", args, &Empty{}, peerTimeout); err != nil {
				pc.log.Debug().Err(err).Str("to", to.addr).Msg("pool.not_handed_over")
				continue
			}
			pc.send(ctx, func() {
				if pc.own == o {
					pc.dropOwnership("handed over to " + to.addr + ", since the store rejects this instance's appends")
					pc.successor, pc.successorSince = to.addr, pc.node.now()
				}
			})
			return
		}
	}()
}

// storeServesReads reports whether the store has answered this instance's reads for the whole time
// in which it rejected an owner that now wants to hand over. After an outage that affected all
// instances, owners that still wait for an append need no successor.
func (pc *poolController) storeServesReads() bool {
	now := pc.node.now()
	return pc.readableSince != 0 && now-pc.lastReadAt < maxReadGap && now-pc.readsSteadySince > appendTimeout+appendFailureTimeout
}

// recordHandOver records that another instance is claiming the pool. Callers that still come here
// are redirected to it.
func (pc *poolController) recordHandOver(to string, epoch uint64) {
	if pc.own != nil && pc.own.claim.Epoch == epoch {
		pc.successor, pc.successorSince = to, pc.node.now()
	}
}
