package node

import (
	"context"
	"net/rpc"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// electorsLostTimeout is how long a new owner waits for a predecessor none of whose electors can be reached, and none of
// which is known to have ended. It is longer than regions lose each other.
const electorsLostTimeout = 90 * time.Minute

// predecessorLogInterval is how often a new owner logs for which electors it waits.
const predecessorLogInterval = 5 * time.Second

// deposition finds out when predecessors can't be confirmed any more.
type deposition struct {
	peers *peers
	began time.Duration
	// loggedAt is when it was last logged for which electors the owner waits.
	loggedAt time.Duration
	pending  []predecessor
	// informed holds the electors that know the new claim, or have been replaced, and resigned the predecessors'
	// processes that don't own the pool any more.
	informed map[elector]bool
	resigned map[process]bool
}

// deposePredecessors informs the electors of predecessors of this instance's claim until none of these owners can be confirmed.
func (o *ownership) deposePredecessors(list []predecessor) {
	now := o.pc.node.now()
	d := deposition{peers: o.pc.node.peers, began: now, loggedAt: now, pending: list, informed: map[elector]bool{}, resigned: map[process]bool{}}
	for {
		d.round(o)
		if len(d.pending) == 0 || o.ctx.Err() != nil {
			return
		}
		d.logPending(o)
		sleep(o.ctx, heartbeatInterval)
	}
}

// logPending logs each predecessorLogInterval which predecessors may still be confirmed, and by which electors.
func (d *deposition) logPending(o *ownership) {
	now := d.peers.node.now()
	if now-d.loggedAt < predecessorLogInterval {
		return
	}
	d.loggedAt = now
	for _, f := range d.pending {
		var missing []string
		for _, e := range f.Electors {
			if !d.isInformed(e) {
				missing = append(missing, e.Node)
			}
		}
		o.pc.log.Info().Uint64("epoch", o.claim.Epoch).Str("before", f.Node).Uint64("predecessor", f.Epoch).Int("electors", len(f.Electors)).
			Strs("missing", missing).Dur("waited", now-d.began).Msg("pool.predecessor_pending")
	}
}

// round asks each instance once that may matter.
func (d *deposition) round(o *ownership) {
	self := NoteClaimReply{Instance: d.peers.node.opts.Name, Life: d.peers.node.incarnation, ElectorID: d.peers.electorID.Load(), NotOwner: true}
	d.apply(self)
	d.reportOver(o)
	asked, older := d.unsettled(), d.older()
	replies := make(chan NoteClaimReply, len(asked))
	for _, name := range asked {
		go func() { replies <- d.inform(o.ctx, o, name, older[name]) }()
	}
	for range asked {
		if len(d.pending) == 0 {
			return
		}
		d.apply(<-replies)
		d.reportOver(o)
	}
}

// unsettled returns the instances of pending predecessors and of their electors that aren't known to know the claim.
func (d *deposition) unsettled() []string {
	var list []string
	for _, f := range d.pending {
		list = append(list, f.Node) // it may still own the pool
		for _, e := range f.Electors {
			if !d.isInformed(e) {
				list = append(list, e.Node)
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// older returns the claims of pending predecessors of older versions, by instance.
func (d *deposition) older() map[string]claim {
	claims := map[string]claim{}
	for _, f := range d.pending {
		if len(f.Electors) == 0 {
			claims[f.Node] = f.claim
		}
	}
	return claims
}

// inform sends the claim to an instance, which owned the pool by an older claim if it is of an older version. Without a reply
// the result names no instance.
func (d *deposition) inform(ctx context.Context, o *ownership, name string, older claim) NoteClaimReply {
	r := new(NoteClaimReply) // not shared: a late response is still written to it
	err := d.peers.callInstance(ctx, name, "NoteClaim", NoteClaimArgs{Part: o.pc.topic.Part, Epoch: o.claim.Epoch}, r)
	switch {
	case errors.As(err, new(rpc.ServerError)) && older.Epoch != 0:
		return d.askOlder(ctx, o, older)
	case err != nil || r.Instance != name:
		return NoteClaimReply{} // nobody, or another instance that has got the address
	}
	return *r
}

// askOlder asks a predecessor of an older version, which can't be informed, whether it has read a newer claim than its own. It
// gives the pool up then.
func (d *deposition) askOlder(ctx context.Context, o *ownership, older claim) NoteClaimReply {
	c, l := new(ConfirmReply), new(LifeReply)
	if d.peers.callInstance(ctx, older.Node, "Confirm", ConfirmArgs{Part: o.pc.topic.Part, Epoch: older.Epoch}, c) != nil || !c.Newer ||
		d.peers.callInstance(ctx, older.Node, "Life", Empty{}, l) != nil {
		return NoteClaimReply{}
	}
	return NoteClaimReply{Instance: older.Node, Life: l.Life, NotOwner: true}
}

// apply notes the reply of an instance.
func (d *deposition) apply(r NoteClaimReply) {
	for _, f := range d.pending {
		if p := (process{f.Node, f.Life}); r.Instance == f.Node && (r.Life > f.Life || r.Life == f.Life && r.NotOwner) {
			d.resigned[p] = true
		}
		for _, e := range f.Electors {
			if r.Instance == e.Node && r.ElectorID >= e.ID {
				d.informed[e] = true
			}
		}
	}
}

// isInformed reports whether an elector knows the new claim, or has been replaced.
func (d *deposition) isInformed(e elector) bool { return d.informed[e] || d.peers.isReplaced(e) }

// reportOver removes the predecessors that can't be confirmed any more.
func (d *deposition) reportOver(o *ownership) {
	d.pending = slices.DeleteFunc(d.pending, func(f predecessor) bool {
		over, how := d.isOver(f)
		if over {
			o.pc.log.Info().Uint64("epoch", o.claim.Epoch).Str("before", f.Node).Uint64("predecessor", f.Epoch).Str("reason", how).
				Dur("took", d.peers.node.now()-d.began).Msg("pool.predecessor_over")
			o.pc.send(o.ctx, ownershipEvent{own: o, event: predecessorOver{f.Epoch}})
		}
		return over
	})
}

// isOver reports whether a predecessor can't be confirmed any more, and why.
func (d *deposition) isOver(f predecessor) (over bool, reason string) {
	if owner := (process{f.Node, f.Life}); d.resigned[owner] || d.peers.hasRestarted(owner) {
		return true, "its process has given the pool up"
	}
	if len(f.Electors) == 0 {
		return d.isOlderOver(f)
	}
	informed, expired, left := 0, 0, 0
	for _, e := range f.Electors {
		switch {
		case d.isInformed(e):
			informed++
		case d.peers.voteExpired(e, d.began):
			expired++
			if !d.peers.isListed(e.Node) {
				left++
			}
		}
	}
	switch enough := majority(len(f.Electors)); {
	case informed >= enough:
		return true, "most of its electors know the new claim"
	case informed > 0 && informed+expired >= enough:
		// Without the votes that have expired it needs all electors.
		return true, "its electors know the new claim or are silent"
	case left == len(f.Electors):
		return true, "all its electors have left"
	case informed == 0 && expired == len(f.Electors) && d.peers.node.now()-d.began > electorsLostTimeout:
		return true, "all its electors are silent"
	}
	return false, ""
}

// isOlderOver is isOver for a predecessor of an older version that isn't known to have given the pool up. Whichever instances
// it asks may confirm it as long as it runs.
func (d *deposition) isOlderOver(f predecessor) (over bool, reason string) {
	switch {
	case !d.peers.isListed(f.Node):
		return true, "it names no electors, and its instance isn't listed"
	case d.peers.voteExpired(elector{f.Node, f.Life}, d.began):
		return true, "it names no electors, and its instance is silent"
	}
	return false, ""
}

// predecessorOver reports that a predecessor can't be confirmed any more.
type predecessorOver struct{ epoch uint64 }

// handlePredecessorOver lets the core count inherited leases once no predecessor is left.
func (o *ownership) handlePredecessorOver(e predecessorOver) {
	o.recordChanged = true
	if o.electorate.removePredecessor(e.epoch) == 0 {
		o.core.EndPredecessors(o.pc.node.now())
	}
}

// startDeposition begins to inform the electors of predecessors, as far as these are stored.
func (o *ownership) startDeposition() {
	list := o.pc.replica.predecessors(o.claim.Epoch)
	o.electorate.setPredecessors(list, o.claim.Epoch)
	o.recordChanged = true
	if len(list) == 0 {
		o.core.EndPredecessors(o.pc.node.now())
		return
	}
	go o.deposePredecessors(slices.Clone(list))
}

// NoteClaim informs this instance of a claim. It ends an older ownership of its own.
func (s Peer) NoteClaim(a NoteClaimArgs, r *NoteClaimReply) error {
	s.n.claims.note(a.Part, a.Epoch)
	r.Instance, r.Life, r.ElectorID = s.n.opts.Name, s.n.incarnation, s.n.peers.electorID.Load()
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
