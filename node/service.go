package node

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

// Arguments and replies of calls between instances.
type (
	// StateArgs asks for a job's state.
	StateArgs struct {
		Part int
		Job  string
	}
	// StateReply is the owner's answer.
	StateReply struct {
		State pool.State
		Found bool
		// Organisation submitted the job; empty: it isn't known.
		Organisation string
		// Owner is the address of the pool's owner, as far as is known, if the replying instance
		// isn't the owner. The other fields are meaningless then.
		Owner string
	}
	// FindArgs asks the pool's owner to look for a job. It reads the store before it answers that
	// there is no such job.
	FindArgs struct {
		Part int
		Job  string
		// AnyCopy lets an instance that isn't the owner answer from its copy of the pool.
		AnyCopy bool
		// KnownOnly limits the search to records that have been read already.
		KnownOnly bool
	}
	// FindReply is the result of the search.
	FindReply struct {
		State   pool.State
		Verdict Verdict
		// Organisation is as in StateReply.
		Organisation string
		// Owner is as in StateReply.
		Owner string
	}
	// PendingArgs asks how many jobs of a queue have not started.
	PendingArgs struct {
		Part  int
		Queue string
	}
	// PendingReply is the owner's answer.
	PendingReply struct {
		Count int
		// Owner is as in StateReply.
		Owner string
	}
	// AdviseArgs asks a peer to send a request to the advice service.
	AdviseArgs struct{ Ask pool.Advise }
	// AdviseReply is the response of the advice service.
	AdviseReply struct {
		Answer pool.Advised
		Busy   bool // the peer is sending another request
	}
	// StoreArgs asks a peer to store a record, for an instance whose appends the store rejects.
	StoreArgs struct {
		Part   int
		Record pool.Record
		// Hold is how long the record may wait for an append.
		Hold time.Duration
		// InDoubt means that the record may already be stored; it is not refused then.
		InDoubt bool
		Queue   QueueRef
		// OwnerEpoch is the epoch of the newest owner that the sender has asked; 0: unknown.
		OwnerEpoch uint64
	}
	// SubmitReply says that a record is stored, or who owns its pool.
	SubmitReply struct {
		Stored bool
		Owner  string // empty if no owner is known
		// ComeBack is the time until free capacity is expected, if the owner refused the job; 0: it
		// didn't refuse it.
		ComeBack time.Duration
		// NotOpen means that the pool doesn't accept jobs of the queue yet.
		NotOpen bool
		// OtherOrganisation means that another organisation has submitted a job with this ID.
		OtherOrganisation bool
		// Moved is set if a newer configuration routes the queue to another service.
		Moved *QueueRef
	}
	// CloseArgs asks a pool's owner to accept no more jobs of queues that newer versions of the
	// configuration route to another pool.
	CloseArgs struct {
		Part   int
		Queues []QueueRef
	}
	// CloseReply contains the address of the pool's owner, as in StateReply.
	CloseReply struct{ Owner string }
	// TakeArgs asks a peer to claim a pool that its owner is leaving.
	TakeArgs struct {
		Part  int
		Epoch uint64
		// Second asks the peer to claim the pool even if it owns another one.
		Second bool
		// Wait delays the reply until the claim is stored.
		Wait bool
	}
	// OwnerArgs asks whether an instance works as a pool's owner.
	OwnerArgs struct{ Part int }
	// ConfirmArgs asks whether a newer claim than that of an epoch is known.
	ConfirmArgs struct {
		Part  int
		Epoch uint64
	}
	// ConfirmReply answers that.
	ConfirmReply struct {
		Newer bool
		// ElectorID identifies the replying process as an elector; 0: it is of an older version, and none.
		ElectorID int64
		// AnnounceAge is how long ago the entry of the instance was sent that the store has accepted last.
		AnnounceAge time.Duration
	}
	// NoteClaimArgs informs an instance of a stored claim.
	NoteClaimArgs struct {
		Part  int
		Epoch uint64
	}
	// NoteClaimReply confirms that the replying process confirms no older claim any more.
	NoteClaimReply struct {
		// Instance, Life and ElectorID identify the replying process, as in its entry among the instances.
		Instance        string
		Life, ElectorID int64
		// NotOwner means that the process doesn't own the pool by an older claim.
		NotOwner bool
	}
	// LifeReply identifies the replying process. Works means that it owns the pool in question and
	// that the store accepts its appends.
	LifeReply struct {
		Life  int64
		Works bool
	}
	// Empty is the type of empty arguments and replies.
	Empty struct{}
)

// Peer is the net/rpc service that an instance provides to its peers.
type Peer struct{ n *Node }

// connectedPeer is the service on one connection. Its context ends with the connection.
type connectedPeer struct {
	Peer
	conn context.Context
}

// State returns a job's state if this instance owns its pool.
func (s Peer) State(a StateArgs, r *StateReply) error {
	pc := s.n.controller(a.Part)
	if pc == nil {
		return errNotOwner
	}
	var owner bool
	err := pc.do(withTimeout(context.Background(), peerTimeout), func() {
		r.State, r.Found, owner = pc.jobState(a.Job)
		r.Organisation = pc.organisationOf(a.Job)
		r.Owner = pc.ownerAddr()
	})
	return s.replyOwner(err, owner, &r.Owner)
}

// Find looks for a job in a pool that this instance owns or has a copy of.
func (s Peer) Find(a FindArgs, r *FindReply) error {
	pc := s.n.controller(a.Part)
	if pc == nil {
		return errNotOwner
	}
	ctx := withTimeout(context.Background(), absenceTimeout)
	l, err := pc.lookUp(ctx, a.Job)
	switch {
	case err != nil:
		return err
	case !l.owner && !a.AnyCopy:
		r.Owner = l.addr
		return s.replyOwner(nil, false, &r.Owner)
	case !l.copied:
		return errNotOwner
	case l.found:
		r.State, r.Verdict, r.Organisation = l.state, Accepted, l.organisation
		return nil
	case a.KnownOnly:
		r.Verdict = CantTell
		return nil
	}
	r.State, r.Verdict = pc.readState(ctx, &l)
	r.Organisation = l.organisation
	return nil
}

// Pending counts a queue's jobs that have not started if this instance owns the pool.
func (s Peer) Pending(a PendingArgs, r *PendingReply) error {
	pc := s.n.controller(a.Part)
	if pc == nil {
		return errNotOwner
	}
	var owner, sure bool
	err := pc.do(withTimeout(context.Background(), peerTimeout), func() {
		r.Count, owner, sure = pc.pending(a.Queue)
		r.Owner = pc.ownerAddr()
	})
	if err == nil && owner && !sure {
		return errNotOwner // it may have been replaced
	}
	return s.replyOwner(err, owner, &r.Owner)
}

// replyOwner keeps the owner's address in a reply only if it is another instance's. It returns
// errNotOwner if this instance knows of no other owner.
func (s Peer) replyOwner(err error, owner bool, name *string) error {
	switch {
	case err != nil:
		return err
	case owner:
		*name = ""
	case *name == "" || *name == s.n.opts.PeerAddr:
		return errNotOwner
	}
	return nil
}

// Advise sends a request to the advice service, unless another one is being sent.
func (s Peer) Advise(a AdviseArgs, r *AdviseReply) error {
	select {
	case s.n.adviceSlot <- struct{}{}:
		defer func() { <-s.n.adviceSlot }()
	default:
		r.Busy = true
		return nil
	}
	r.Answer = s.n.callAdvisor(context.Background(), a.Ask)
	return nil
}

// Store stores a record.
func (s Peer) Store(a StoreArgs, _ *Empty) error {
	ctx := withTimeout(context.Background(), slowOwnerTimeout)
	if pc := s.n.controller(a.Part); pc != nil && s.n.owns(a.Part) {
		return pc.submitAndWait(ctx, a.intake()) // the sender hasn't read this instance's claim yet
	}
	in := a.intake()
	if in.ownerEpoch == 0 { // the sender knows no owner, or is of an older version
		in.ownerEpoch = s.n.ownerEpoch(ctx, a.Part)
	}
	err := s.n.storeWithoutOwner(ctx, in)
	if errors.Is(err, errOwnerChanged) || errors.Is(err, errStreamGrew) && s.n.otherOwnerIsActive(ctx, a.Part) {
		return s.n.storeViaOwner(ctx, in)
	}
	return err
}

func (a StoreArgs) intake() intake {
	in := intake{part: a.Part, record: a.Record, appendWait: a.Hold, inDoubt: a.InDoubt, queue: a.Queue, ownerEpoch: a.OwnerEpoch}
	if kind, _ := pool.ParseKey(a.Record.Key); kind == pool.JobRecord && in.queue.Name == "" {
		var j pool.Job
		if json.Unmarshal(a.Record.Value, &j) == nil { // otherwise readers skip the record
			in.queue = QueueRef{Name: j.Queue, Service: j.Service}
		}
	}
	return in
}

// CloseQueues makes the pool accept no more jobs of queues. The caller sees in the store whether it
// has taken effect.
func (s Peer) CloseQueues(a CloseArgs, r *CloseReply) error {
	pc := s.n.controller(a.Part)
	if pc == nil {
		return errNotOwner
	}
	var owner bool
	err := pc.do(withTimeout(context.Background(), peerTimeout), func() {
		owner = pc.closeQueues(a.Queues)
		r.Owner = pc.ownerAddr()
	})
	return s.replyOwner(err, owner, &r.Owner)
}

// Submit stores a record as the owner of its pool, or replies who owns it.
func (s Peer) Submit(a StoreArgs, r *SubmitReply) error {
	pc := s.n.controller(a.Part)
	if pc == nil {
		return nil
	}
	if kind, id := pool.ParseKey(a.Record.Key); kind == pool.JobRecord {
		if known, org := s.n.knownJob(withTimeout(context.Background(), peerTimeout), a.Part, id); known {
			// A sender without a copy can't detect a repeated request.
			r.OtherOrganisation = !mayAccess(organisationOfRecord(a.Record), org)
			r.Stored = !r.OtherOrganisation
			return nil
		}
	}
	err := pc.submitAndWait(context.Background(), a.intake())
	var overload *OverloadError
	var moved *MovedError
	switch {
	case errors.As(err, &overload):
		r.ComeBack = overload.RetryAfter
		return nil
	case errors.As(err, &moved):
		r.Moved = &moved.To
		return nil
	case errors.Is(err, errQueueNotOpen):
		r.NotOpen = true
		return nil
	}
	if errors.Is(err, errNotOwner) {
		return pc.do(withTimeout(context.Background(), aliveTimeout), func() {
			if addr := pc.ownerAddr(); addr != s.n.opts.PeerAddr {
				r.Owner = addr
			}
		})
	}
	r.Stored = err == nil
	return err
}

// Take claims a pool that its owner is leaving.
func (s Peer) Take(a TakeArgs, _ *Empty) error {
	pc := s.n.controller(a.Part)
	if pc == nil || s.n.stopping.Load() || !pc.storeReadable.Load() || (s.n.ownedPoolCount() > 0 && !a.Second) {
		return errNotOwner
	}
	// An owner whose appends a slow store refuses is not being rejected as an instance: the
	// stream's append queue is full for all instances. The claims of successors would only lengthen
	// that queue.
	if a.Wait && pc.checkStoreState(pc.ctx) != storeFast {
		return errNotOwner
	}
	taken := false
	ended := make(chan error, 1)
	err := pc.do(withTimeout(context.Background(), peerTimeout), func() {
		if a.Wait && !pc.storeServesReads() {
			return
		}
		// An instance whose copy is behind would accept jobs but start none of them until it has
		// read the rest.
		if taken = pc.own == nil && pc.caughtUp && !pc.claiming && pc.replica.claim.Epoch <= a.Epoch; taken {
			pc.replica.claim.Epoch = a.Epoch
			pc.claimWaiters = append(pc.claimWaiters, ended)
			pc.claim(pc.ctx, "its owner is handing it over", 0)
		}
	})
	switch {
	case err == nil && !taken:
		return errNotOwner
	case err != nil || !a.Wait:
		return err
	}
	select {
	case err = <-ended:
		return err
	case <-withTimeout(pc.ctx, slowOwnerTimeout).Done():
		return errNotOwner
	}
}

// Owner identifies the replying process, and reports whether it works as the pool's owner.
func (s Peer) Owner(a OwnerArgs, r *LifeReply) error {
	r.Life = s.n.incarnation
	pc := s.n.controller(a.Part)
	if pc == nil {
		return nil
	}
	return pc.do(withTimeout(context.Background(), aliveTimeout), func() {
		r.Works = pc.own != nil && !pc.own.appendsFailing
	})
}

// Watch replies after watchDuration. If the connection ends earlier, the caller knows that this
// process has ended.
func (s connectedPeer) Watch(_ Empty, _ *Empty) error {
	sleep(s.conn, watchDuration)
	return nil
}

// Life identifies the replying process.
func (s Peer) Life(_ Empty, r *LifeReply) error {
	r.Life = s.n.incarnation
	return nil
}

// acceptRetryPause is how long Serve waits after an error of the listener.
const acceptRetryPause = 20 * time.Millisecond

// Serve serves peers until the listener is closed. Other errors of the listener may pass, such as a
// lack of file descriptors.
func (n *Node) Serve(l net.Listener) error {
	server := newPeerServer(n)
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			n.log.Warn().Err(err).Dur("retry", acceptRetryPause).Msg("peers.accept_failed")
			time.Sleep(acceptRetryPause)
		default:
			if err = server.Serve(conn, nil); err != nil {
				return err
			}
		}
	}
}
