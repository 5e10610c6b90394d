package node

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/organisation/capshare"
	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// capShareRootTopicName is the topic whose first record names the pool that held all shares of all
	// caps at first. It never changes.
	capShareRootTopicName = "keyed.cap-share-root"
	capShareRootKey       = "root"
	// capShareExchangeTimeout bounds an exchange of shares with another pool's owner.
	capShareExchangeTimeout = 500 * time.Millisecond
)

type (
	// CapShareArgs is an offer to the owner of a pool.
	CapShareArgs struct {
		Part  int
		Offer capshare.Offer
	}
	// CapShareReply is the owner's offer in return.
	CapShareReply struct {
		Offer capshare.Offer
		// Owner is as in StateReply.
		Owner string
	}
)

// CapShare takes the offer of another pool's owner and answers with an offer if this instance owns the
// pool.
func (s Peer) CapShare(a CapShareArgs, r *CapShareReply) error {
	pc := s.n.controller(a.Part)
	if pc == nil {
		return errNotOwner
	}
	var owner bool
	err := pc.do(withTimeout(context.Background(), capShareExchangeTimeout), func() {
		r.Offer, owner = pc.answerOffer(a.Offer)
		r.Owner = pc.ownerAddr()
	})
	return s.replyOwner(err, owner, &r.Owner)
}

// answerOffer handles the offer of another pool's owner and returns one in return, if this instance
// owns the pool.
func (pc *poolController) answerOffer(o capshare.Offer) (answer capshare.Offer, owner bool) {
	if !pc.owns() {
		return capshare.Offer{}, false
	}
	pc.own.step(pool.CapShareOffered{Offer: o})
	return pc.own.core.CapShareOffer(o.From), true
}

// exchangeCapShares exchanges offers with the owners of all other pools when that is due.
func (o *ownership) exchangeCapShares() {
	pc := o.pc
	if !pc.owns() || !o.core.CapShareExchangeDue(pc.node.now()) {
		return
	}
	for _, other := range pc.node.allControllers() {
		if other != pc {
			offer := o.core.CapShareOffer(other.topic.Part)
			go o.exchangeWith(other, offer)
		}
	}
}

// exchangeWith sends an offer to another pool's owner, and handles the one in return.
func (o *ownership) exchangeWith(other *poolController, offer capshare.Offer) {
	ctx := withTimeout(o.ctx, capShareExchangeTimeout)
	var answer capshare.Offer
	var owner bool
	if err := other.do(ctx, func() { answer, owner = other.answerOffer(offer) }); err != nil {
		return // the next exchange is soon
	}
	if !owner {
		owner = other.askOwner(other.lastOwnerAddr(ctx), func(at string) (string, error) {
			r := new(CapShareReply) // not shared: a call that has timed out may still write to it
			if err := o.pc.node.peers.call(ctx, at, "CapShare", CapShareArgs{Part: other.topic.Part, Offer: offer}, r, capShareExchangeTimeout); err != nil {
				return "", err
			}
			answer = r.Offer
			return r.Owner, nil
		})
	}
	if owner {
		o.send(pool.CapShareOffered{Offer: answer})
	}
}

// setOrganisations passes the organisations of a configuration to the core.
func (o *ownership) setOrganisations(cfg *Config) {
	organisations := cfg.Organisations.All()
	o.step(pool.OrganisationsChanged{Organisations: organisations})
	if len(organisations) > 0 && !o.rootSought {
		o.rootSought = true
		go o.findCapShareRoot()
	}
}

// findCapShareRoot makes the core know the root of the shares, once the store has named it.
func (o *ownership) findCapShareRoot() {
	for o.ctx.Err() == nil {
		root, err := o.pc.node.capShareRoot(o.ctx, o.pc.topic.Part)
		if err == nil {
			o.send(pool.CapShareRootKnown{Pool: root})
			return
		}
		o.pc.log.Warn().Err(err).Msg("cap_share.root_unknown")
		sleep(o.ctx, readRetryPause)
	}
}

// capShareRoot returns the pool that the store names as the root of the shares. If it names none yet, the
// candidate becomes the root: the stream's first record counts, and only one can be stored at offset 0.
func (n *Node) capShareRoot(ctx context.Context, candidate int) (int, error) {
	topic := Topic{Name: capShareRootTopicName}
	f := &follower{store: n.store, topic: topic, now: n.now}
	q := retryingRead{read: f.readNewest, maxRetryPause: maxReadRetryPause, readersRegained: &n.readers.readersRegained, failed: func(b batch) {
		n.log.Debug().Err(b.err).Msg("cap_share.root_unread")
	}}
	b := q.run(ctx, 0)
	if b.err != nil {
		return 0, b.err
	}
	for _, rec := range b.records {
		root, err := strconv.Atoi(string(rec.Value))
		if rec.Key == capShareRootKey && err == nil && rec.Unreadable == nil {
			return root, nil
		}
		n.unreadable.report(capShareRootTopicName, rec.Key, rec.Offset, errors.New("no number of a pool"))
	}
	rec := pool.Record{Key: capShareRootKey, Value: []byte(strconv.Itoa(candidate))}
	if _, err := n.store.AppendAt(withTimeout(ctx, appendTimeout), topic, []pool.Record{rec}, 0); err != nil {
		return 0, errors.Wrap(err, "the root of the shares is not stored")
	}
	return candidate, nil
}
