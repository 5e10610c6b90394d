package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"
)

// A network partition may leave an owner with some workers, but without the store. Another instance then claims the pool,
// and starts the tasks of workers that it doesn't reach elsewhere once their leases must have expired. So an owner renews
// leases and starts tasks only while its ownership is confirmed: the store has just accepted an append of its epoch, or,
// as the store may be unavailable to all, most electors answer that they know of no newer claim.

// confirmDelay is the time without an accepted append after which the electors are asked.
const confirmDelay = 2 * heartbeatInterval

// confirmation is when an ownership was last confirmed.
type confirmation struct {
	// byStore is when the append was sent that the store has accepted last.
	byStore atomic.Int64
	// byElectors is when the calls were last sent by which the electors confirmed it.
	byElectors atomic.Int64
	asking     atomic.Bool
	// last is the result of the newest round of calls to the electors; nil: there was none.
	last atomic.Pointer[confirmRound]
}

// time is when the call was sent that has confirmed the ownership last.
func (c *confirmation) time() time.Duration {
	return time.Duration(max(c.byStore.Load(), c.byElectors.Load()))
}

// acceptedAt is when the append was sent that the store has accepted last.
func (c *confirmation) acceptedAt() time.Duration { return time.Duration(c.byStore.Load()) }

// raise sets a time unless it is later already.
func raise(t *atomic.Int64, to time.Duration) {
	for {
		known := t.Load()
		if int64(to) <= known || t.CompareAndSwap(known, int64(to)) {
			return
		}
	}
}

// seekConfirmation asks the electors if the store hasn't confirmed the ownership for a while.
func (o *ownership) seekConfirmation() {
	if o.pc.node.now()-o.confirmed.time() < confirmDelay || o.confirmed.asking.Swap(true) {
		return
	}
	go func() {
		defer o.confirmed.asking.Store(false)
		o.askForConfirmation(o.ctx)
		sleep(o.ctx, heartbeatInterval)
	}()
}

// confirmedBy is what an ownership is confirmed by.
type confirmedBy string

const (
	byStore    confirmedBy = "store"
	byElectors confirmedBy = "electors"
	byNothing  confirmedBy = "nothing"
)

// source returns what has confirmed the ownership last.
func (c *confirmation) source() confirmedBy {
	if c.byElectors.Load() > c.byStore.Load() {
		return byElectors
	}
	return byStore
}

// logConfirmation logs when the ownership ceases to be confirmed, and when it is confirmed again or by something else.
func (o *ownership) logConfirmation() {
	by := o.confirmed.source()
	if !o.core.IsConfirmed() {
		by = byNothing
	}
	if by == o.confirmedBy {
		return
	}
	o.confirmedBy = by
	entry := o.pc.log.Info().Uint64("epoch", o.claim.Epoch).Str("by", string(by)).Dur("age", o.pc.node.now()-o.confirmed.time())
	if r := o.confirmed.last.Load(); r != nil && by != byStore {
		entry = entry.Int("electors", r.electors).Int("voted", r.voted).Int("expired", r.expired).Int("silent", r.silent)
	}
	if by == byNothing {
		entry.Msg("pool.unconfirmed")
	} else {
		entry.Msg("pool.confirmed")
	}
}

// vote is an elector's answer.
type vote struct {
	// expired is set if the elector's entry hasn't been renewed for voteDuration. Its vote counts only with those of all
	// other electors.
	expired bool
}

// isConfirmedBy reports whether the votes of electors confirm an ownership.
func isConfirmedBy(electors []elector, votes map[elector]vote) bool {
	valid, all := 0, true
	for _, e := range electors {
		v, voted := votes[e]
		all = all && voted
		if voted && !v.expired {
			valid++
		}
	}
	return all || valid >= majority(len(electors))
}

// confirmRound counts the replies to a round of calls to the electors.
type confirmRound struct{ electors, voted, expired, silent int }

// askForConfirmation asks the electors once. One that knows of a newer claim ends the ownership.
func (o *ownership) askForConfirmation(ctx context.Context) {
	n := o.pc.node
	sent := n.now() // before the own vote: this process may be told of a newer claim right after it
	if n.claims.epoch(o.pc.topic.Part) > o.claim.Epoch {
		o.giveUp(ctx, "this instance was told of a newer claim")
		return
	}
	lists := o.electorate.inForce(o.confirmed.acceptedAt())
	id, age := n.peers.ownVote()
	self := elector{n.opts.Name, id}
	votes := map[elector]vote{self: {expired: age >= voteDuration}}
	electors := slices.Concat(lists...)
	slices.SortFunc(electors, compareElectors)
	electors = slices.DeleteFunc(slices.Compact(electors), func(e elector) bool { return e == self })
	replies := make(chan confirmReply, len(electors))
	for _, e := range electors {
		go func() { replies <- o.askElector(ctx, e) }()
	}
	for asked := 0; ; asked++ {
		if !slices.ContainsFunc(lists, func(l []elector) bool { return !isConfirmedBy(l, votes) }) {
			raise(&o.confirmed.byElectors, sent)
		}
		if asked == len(electors) {
			break
		}
		r := <-replies
		switch {
		case r.newer:
			o.giveUp(ctx, "another instance knows a newer claim")
			return
		case r.voted:
			votes[r.elector] = r.vote
		}
	}
	o.confirmed.last.Store(countVotes(votes, len(electors)+1))
}

// giveUp ends the ownership.
func (o *ownership) giveUp(ctx context.Context, reason string) {
	o.pc.send(ctx, func() {
		if o.pc.own == o {
			o.pc.dropOwnership(reason)
		}
	})
}

func countVotes(votes map[elector]vote, electors int) *confirmRound {
	r := confirmRound{electors: electors, voted: len(votes), silent: electors - len(votes)}
	for _, v := range votes {
		if v.expired {
			r.expired++
		}
	}
	return &r
}

type confirmReply struct {
	elector elector
	vote
	voted, newer bool
}

// askElector asks an elector. The answer of another process in its place is no vote.
func (o *ownership) askElector(ctx context.Context, e elector) confirmReply {
	r := new(ConfirmReply) // not shared: a late response is still written to it
	if err := o.pc.node.peers.callInstance(ctx, e.Node, "Confirm", ConfirmArgs{Part: o.pc.topic.Part, Epoch: o.claim.Epoch}, r); err != nil {
		return confirmReply{elector: e}
	}
	return confirmReply{elector: e, voted: r.ElectorID == e.ID && !r.Newer, newer: r.Newer, vote: vote{expired: r.AnnounceAge >= voteDuration}}
}

// Confirm replies whether this instance knows of a newer claim of a pool.
func (s Peer) Confirm(a ConfirmArgs, r *ConfirmReply) error {
	r.ElectorID, r.AnnounceAge = s.n.peers.ownVote()
	r.Newer = s.n.claims.epoch(a.Part) > a.Epoch
	return nil
}
