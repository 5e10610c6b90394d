package node

import (
	"context"
	"slices"
	"time"
)

// electorsLostTimeout is how long a new owner waits for a predecessor none of whose electors can be reached, and none of
// which is known to have ended.
const electorsLostTimeout = 5 * time.Minute

// deposition finds out when former owners can't be confirmed any more.
type deposition struct {
	peers   *peers
	began   time.Duration
	pending []formerOwner
	// knowing holds the processes that know the new claim, or have ended; noLongerOwners those that in addition
	// don't own the pool by an older claim.
	knowing, noLongerOwners map[elector]bool
}

// deposeFormer informs the electors of former owners of this instance's claim until none of these owners can be confirmed.
func (o *ownership) deposeFormer(former []formerOwner) {
	d := deposition{peers: o.pc.node.peers, began: o.pc.node.now(), pending: former, knowing: map[elector]bool{}, noLongerOwners: map[elector]bool{}}
	for {
		d.round(o)
		if len(d.pending) == 0 || o.ctx.Err() != nil {
			return
		}
		sleep(o.ctx, heartbeatInterval)
	}
}

// round asks each process once that may matter.
func (d *deposition) round(o *ownership) {
	d.reportOver(o)
	asked := d.unasked()
	replies := make(chan func(), len(asked))
	for _, e := range asked {
		go func() { replies <- d.inform(o.ctx, o, e) }()
	}
	for range asked {
		if len(d.pending) == 0 {
			return
		}
		(<-replies)()
		d.reportOver(o)
	}
}

// unasked returns the processes of pending former owners and of their electors that aren't known to know the claim.
func (d *deposition) unasked() []elector {
	var list []elector
	add := func(e elector, settled map[elector]bool) {
		if !settled[e] && !slices.Contains(list, e) {
			list = append(list, e)
		}
	}
	for _, f := range d.pending {
		add(elector{f.Node, f.Life}, d.noLongerOwners)
		for _, e := range f.Electors {
			add(e, d.knowing)
		}
	}
	return list
}

// inform sends the claim to a process and returns how its reply changes d.
func (d *deposition) inform(ctx context.Context, o *ownership, e elector) func() {
	noteAs := func(knows, notOwner bool) func() {
		return func() { d.knowing[e], d.noLongerOwners[e] = d.knowing[e] || knows, d.noLongerOwners[e] || notOwner }
	}
	if e.Node == d.peers.node.opts.Name || d.peers.hasRestarted(process{e.Node, e.Life}) {
		return noteAs(true, true) // this process, or one that has ended
	}
	r := new(NoteClaimReply) // not shared: a late response is still written to it
	if err := d.peers.callInstance(ctx, e.Node, "NoteClaim", NoteClaimArgs{Part: o.pc.topic.Part, Epoch: o.claim.Epoch}, r); err != nil {
		return noteAs(false, false)
	}
	ended := r.Life != e.Life // another process has its address
	return noteAs(true, r.NotOwner || ended)
}

// reportOver removes the former owners that can't be confirmed any more.
func (d *deposition) reportOver(o *ownership) {
	d.pending = slices.DeleteFunc(d.pending, func(f formerOwner) bool {
		over, how := d.isOver(f)
		if over {
			o.pc.log.Info().Uint64("epoch", o.claim.Epoch).Str("before", f.Node).Uint64("former", f.Epoch).Str("reason", how).
				Dur("took", d.peers.node.now()-d.began).Msg("pool.former_owner_over")
			o.pc.send(o.ctx, ownershipEvent{own: o, event: formerOwnerOver{f.Epoch}})
		}
		return over
	})
}

// isOver reports whether a former owner can't be confirmed any more, and why.
func (d *deposition) isOver(f formerOwner) (over bool, reason string) {
	if d.noLongerOwners[elector{f.Node, f.Life}] {
		return true, "its process has given the pool up"
	}
	knowing, expired := 0, 0
	for _, e := range f.Electors {
		switch {
		case d.knowing[e]:
			knowing++
		case d.peers.voteExpired(e, d.began):
			expired++
		}
	}
	switch enough := majority(len(f.Electors)); {
	case knowing >= enough:
		return true, "most of its electors know the new claim"
	case knowing > 0 && knowing+expired >= enough:
		// Without the votes that have expired it needs all electors.
		return true, "its electors know the new claim or are silent"
	case knowing == 0 && expired == len(f.Electors) && d.peers.node.now()-d.began > electorsLostTimeout:
		return true, "all its electors are silent"
	}
	return false, ""
}

// formerOwnerOver reports that a former owner can't be confirmed any more.
type formerOwnerOver struct{ epoch uint64 }

// handleFormerOwnerOver lets the core count inherited leases once no former owner is left.
func (o *ownership) handleFormerOwnerOver(e formerOwnerOver) {
	o.lastHeartbeat = 0 // the next tick stores that it is over
	if o.electorate.removeFormer(e.epoch) == 0 {
		o.core.EndPredecessors(o.pc.node.now())
	}
}

// startDeposition begins to inform the electors of former owners, as far as these are stored.
func (o *ownership) startDeposition() {
	former := o.pc.replica.formerOwners(o.claim.Epoch)
	o.electorate.setFormer(former)
	if len(former) == 0 {
		o.core.EndPredecessors(o.pc.node.now())
		return
	}
	go o.deposeFormer(slices.Clone(former))
}

// NoteClaim informs this instance of a claim. It ends an older ownership of its own.
func (s Peer) NoteClaim(a NoteClaimArgs, r *NoteClaimReply) error {
	s.n.claims.note(a.Part, a.Epoch)
	r.Life = s.n.incarnation
	pc := s.n.controller(a.Part)
	if pc == nil {
		r.NotOwner = true
		return nil
	}
	r.NotOwner = pc.do(withTimeout(context.Background(), aliveTimeout), func() {
		if pc.own != nil && pc.own.claim.Epoch < a.Epoch {
			pc.dropOwnership("another instance has claimed the pool")
		}
	}) == nil
	return nil
}
