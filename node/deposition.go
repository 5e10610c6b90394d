package node

import (
	"context"
	"slices"
	"time"
)

// electorsLostTimeout is how long a new owner waits for a predecessor none of whose electors can be reached, and none of
// which is known to have ended. It is longer than regions lose each other.
const electorsLostTimeout = 90 * time.Minute

// formerOwnerLogInterval is how often a new owner logs for which electors it waits.
const formerOwnerLogInterval = 5 * time.Second

// deposition finds out when former owners can't be confirmed any more.
type deposition struct {
	peers *peers
	began time.Duration
	// loggedAt is when it was last logged for which electors the owner waits.
	loggedAt time.Duration
	pending  []formerOwner
	// knowing holds the electors that know the new claim, or have been replaced, and gaveUp the former owners'
	// processes that don't own the pool any more.
	knowing map[elector]bool
	gaveUp  map[process]bool
}

// deposeFormer informs the electors of former owners of this instance's claim until none of these owners can be confirmed.
func (o *ownership) deposeFormer(former []formerOwner) {
	now := o.pc.node.now()
	d := deposition{peers: o.pc.node.peers, began: now, loggedAt: now, pending: former, knowing: map[elector]bool{}, gaveUp: map[process]bool{}}
	for {
		d.round(o)
		if len(d.pending) == 0 || o.ctx.Err() != nil {
			return
		}
		d.logPending(o)
		sleep(o.ctx, heartbeatInterval)
	}
}

// logPending logs each formerOwnerLogInterval which former owners may still be confirmed, and by which electors.
func (d *deposition) logPending(o *ownership) {
	now := d.peers.node.now()
	if now-d.loggedAt < formerOwnerLogInterval {
		return
	}
	d.loggedAt = now
	for _, f := range d.pending {
		var missing []string
		for _, e := range f.Electors {
			if !d.knows(e) {
				missing = append(missing, e.Node)
			}
		}
		o.pc.log.Info().Uint64("epoch", o.claim.Epoch).Str("before", f.Node).Uint64("former", f.Epoch).Int("electors", len(f.Electors)).
			Strs("missing", missing).Dur("waited", now-d.began).Msg("pool.former_owner_pending")
	}
}

// round asks each instance once that may matter.
func (d *deposition) round(o *ownership) {
	self := NoteClaimReply{Instance: d.peers.node.opts.Name, Life: d.peers.node.incarnation, Voter: d.peers.voter.Load(), NotOwner: true}
	d.apply(self)
	d.reportOver(o)
	asked := d.unsettled()
	replies := make(chan NoteClaimReply, len(asked))
	for _, name := range asked {
		go func() { replies <- d.inform(o.ctx, o, name) }()
	}
	for range asked {
		if len(d.pending) == 0 {
			return
		}
		d.apply(<-replies)
		d.reportOver(o)
	}
}

// unsettled returns the instances of pending former owners and of their electors that aren't known to know the claim.
func (d *deposition) unsettled() []string {
	var list []string
	for _, f := range d.pending {
		list = append(list, f.Node) // it may still own the pool
		for _, e := range f.Electors {
			if !d.knows(e) {
				list = append(list, e.Node)
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// inform sends the claim to an instance. Without a reply the result names no instance.
func (d *deposition) inform(ctx context.Context, o *ownership, name string) NoteClaimReply {
	r := new(NoteClaimReply) // not shared: a late response is still written to it
	if d.peers.callInstance(ctx, name, "NoteClaim", NoteClaimArgs{Part: o.pc.topic.Part, Epoch: o.claim.Epoch}, r) != nil || r.Instance != name {
		return NoteClaimReply{} // nobody, or another instance that has got the address
	}
	return *r
}

// apply notes the reply of an instance.
func (d *deposition) apply(r NoteClaimReply) {
	for _, f := range d.pending {
		if p := (process{f.Node, f.Life}); r.Instance == f.Node && (r.Life > f.Life || r.Life == f.Life && r.NotOwner) {
			d.gaveUp[p] = true
		}
		for _, e := range f.Electors {
			if r.Instance == e.Node && r.Voter >= e.Voter {
				d.knowing[e] = true
			}
		}
	}
}

// knows reports whether an elector knows the new claim, or has been replaced.
func (d *deposition) knows(e elector) bool { return d.knowing[e] || d.peers.hasReplaced(e) }

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
	if owner := (process{f.Node, f.Life}); d.gaveUp[owner] || d.peers.hasRestarted(owner) {
		return true, "its process has given the pool up"
	}
	knowing, expired, left := 0, 0, 0
	for _, e := range f.Electors {
		switch {
		case d.knows(e):
			knowing++
		case d.peers.voteExpired(e, d.began):
			expired++
			if !d.peers.isListed(e.Node) {
				left++
			}
		}
	}
	switch enough := majority(len(f.Electors)); {
	case knowing >= enough:
		return true, "most of its electors know the new claim"
	case knowing > 0 && knowing+expired >= enough:
		// Without the votes that have expired it needs all electors.
		return true, "its electors know the new claim or are silent"
	case left == len(f.Electors):
		return true, "all its electors have left"
	case knowing == 0 && expired == len(f.Electors) && d.peers.node.now()-d.began > electorsLostTimeout:
		return true, "all its electors are silent"
	}
	return false, ""
}

// formerOwnerOver reports that a former owner can't be confirmed any more.
type formerOwnerOver struct{ epoch uint64 }

// handleFormerOwnerOver lets the core count inherited leases once no former owner is left.
func (o *ownership) handleFormerOwnerOver(e formerOwnerOver) {
	o.recordChanged = true
	if o.electorate.removeFormer(e.epoch) == 0 {
		o.core.EndPredecessors(o.pc.node.now())
	}
}

// startDeposition begins to inform the electors of former owners, as far as these are stored.
func (o *ownership) startDeposition() {
	former := o.pc.replica.formerOwners(o.claim.Epoch)
	o.electorate.setFormer(former, o.claim.Epoch)
	o.recordChanged = true
	if len(former) == 0 {
		o.core.EndPredecessors(o.pc.node.now())
		return
	}
	go o.deposeFormer(slices.Clone(former))
}

// NoteClaim informs this instance of a claim. It ends an older ownership of its own.
func (s Peer) NoteClaim(a NoteClaimArgs, r *NoteClaimReply) error {
	s.n.claims.note(a.Part, a.Epoch)
	r.Instance, r.Life, r.Voter = s.n.opts.Name, s.n.incarnation, s.n.peers.voter.Load()
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
