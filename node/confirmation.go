package node

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// A network partition may leave an owner with some workers, but without the store and the other instances. Another
// instance then claims the pool, and starts the tasks of workers that it doesn't reach elsewhere once their leases
// must have expired. So an owner renews leases and starts tasks only while its ownership is confirmed: the store has
// just accepted an append of its epoch, or, as the store may be unavailable to all, most other instances answer
// that they know of no newer claim.

const (
	// confirmDelay is the time without an accepted append after which the other instances are asked.
	confirmDelay = 2 * heartbeatInterval
	// maxConfirmingPeers limits how many instances are asked at a time, in a random selection.
	maxConfirmingPeers = 9
)

// confirmation is when an ownership was last confirmed.
type confirmation struct {
	at     atomic.Int64 // when the call was sent that confirmed it
	asking atomic.Bool
}

func (c *confirmation) time() time.Duration { return time.Duration(c.at.Load()) }

// confirm records that a call which was sent at the given time has confirmed the ownership.
func (c *confirmation) confirm(sent time.Duration) {
	for {
		known := c.at.Load()
		if int64(sent) <= known || c.at.CompareAndSwap(known, int64(sent)) {
			return
		}
	}
}

// seekConfirmation asks the other instances if the store hasn't confirmed the ownership for a while.
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

// logConfirmation logs when the ownership ceases to be confirmed, and when it is again.
func (o *ownership) logConfirmation() {
	unconfirmed := !o.core.IsConfirmed()
	if unconfirmed == o.unconfirmed {
		return
	}
	o.unconfirmed = unconfirmed
	entry := o.pc.log.Info().Uint64("epoch", o.claim.Epoch).Dur("age", o.pc.node.now()-o.confirmed.time())
	if unconfirmed {
		entry.Msg("pool.unconfirmed")
	} else {
		entry.Msg("pool.confirmed")
	}
}

// askForConfirmation asks the other instances once. One that knows of a newer claim ends the ownership.
func (o *ownership) askForConfirmation(ctx context.Context) {
	sent := o.pc.node.now()
	list := o.pc.node.peers.others()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(len(list), maxConfirmingPeers)]
	replies := make(chan confirmReply, len(list))
	for _, p := range list {
		go func() { replies <- o.askPeer(ctx, p) }()
	}
	confirming := 1 // this instance
	withoutCopy, oldestRead := 0, time.Duration(0)
	for n := 0; ; n++ {
		if 2*confirming > len(list)+1 {
			o.confirmed.confirm(sent)
		}
		if n == len(list) {
			o.pc.log.Info().Uint64("epoch", o.claim.Epoch).Int("asked", len(list)).Int("confirming", confirming).Int("without_copy", withoutCopy).
				Dur("oldest_read", oldestRead).Msg("pool.confirmation")
			return
		}
		r := <-replies
		switch r.result {
		case noNewerClaim:
			confirming++
			if r.readAge < 0 {
				withoutCopy++
			}
			oldestRead = max(oldestRead, r.readAge)
		case newerClaim:
			o.pc.send(ctx, func() {
				if o.pc.own == o {
					o.pc.dropOwnership("another instance knows a newer claim")
				}
			})
			return
		}
	}
}

type confirmResult int

const (
	noReply confirmResult = iota
	noNewerClaim
	newerClaim
)

type confirmReply struct {
	result  confirmResult
	readAge time.Duration // as in ConfirmReply
}

func (o *ownership) askPeer(ctx context.Context, p peerEntry) confirmReply {
	r := new(ConfirmReply) // not shared: a late response is still written to it
	err := o.pc.node.peers.call(ctx, p.Addr, "Confirm", ConfirmArgs{Part: o.pc.topic.Part, Epoch: o.claim.Epoch}, r, peerTimeout)
	switch {
	case err == nil && r.Newer:
		return confirmReply{newerClaim, r.ReadAge}
	case err == nil:
		return confirmReply{noNewerClaim, r.ReadAge}
	case errors.As(err, new(rpc.ServerError)): // a busy instance, or one of an older version, is there too
		return confirmReply{noNewerClaim, noCopyAge}
	}
	return confirmReply{result: noReply}
}

// noCopyAge is the ConfirmReply.ReadAge of an instance without a copy of the pool.
const noCopyAge = time.Duration(-1)

// Confirm replies whether this instance knows of a newer claim of a pool.
func (s Peer) Confirm(a ConfirmArgs, r *ConfirmReply) error {
	r.ReadAge = noCopyAge
	pc := s.n.controller(a.Part)
	if pc == nil {
		return nil
	}
	return pc.do(withTimeout(context.Background(), aliveTimeout), func() {
		r.Newer = pc.replica.claim.Epoch > a.Epoch
		if pc.copyLoaded {
			r.ReadAge = s.n.now() - pc.lastReadAt
		}
	})
}

// others returns the entries of the other instances whose processes aren't known to have ended.
func (p *peers) others() []peerEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []peerEntry
	for _, e := range p.byKey {
		if e.name != p.node.opts.Name && e.Addr != p.node.opts.PeerAddr && !p.gone[process{e.name, e.Life}] {
			list = append(list, e)
		}
	}
	return list
}
