package node

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/organisation/quota"
	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// quotaRootTopicName is the topic whose first record names the pool that held all shares of all
	// caps at first. It never changes.
	quotaRootTopicName = "keyed.quota-root"
	quotaRootKey       = "root"
	// quotaExchangeTimeout bounds an exchange of shares with another pool's owner.
	quotaExchangeTimeout = 500 * time.Millisecond
)

type (
	// QuotaArgs is an offer to the owner of a pool.
	QuotaArgs struct {
		Part  int
		Offer quota.Offer
	}
	// QuotaReply is the owner's offer in return.
	QuotaReply struct {
		Offer quota.Offer
		// Owner is as in StateReply.
		Owner string
	}
)

// Quota takes the offer of another pool's owner and answers with an offer if this instance owns the
// pool.
func (s Peer) Quota(a QuotaArgs, r *QuotaReply) error {
	pc := s.n.controller(a.Part)
	if pc == nil {
		return errNotOwner
	}
	var owner bool
	err := pc.do(withTimeout(context.Background(), quotaExchangeTimeout), func() {
		r.Offer, owner = pc.answerOffer(a.Offer)
		r.Owner = pc.ownerAddr()
	})
	return s.replyOwner(err, owner, &r.Owner)
}

// answerOffer handles the offer of another pool's owner and returns one in return, if this instance
// owns the pool.
func (pc *poolController) answerOffer(o quota.Offer) (answer quota.Offer, owner bool) {
	if !pc.owns() {
		return quota.Offer{}, false
	}
	pc.own.step(pool.QuotaOffered{Offer: o})
	return pc.own.core.QuotaOffer(o.From), true
}

// exchangeQuota exchanges offers with the owners of all other pools when that is due.
func (o *ownership) exchangeQuota() {
	pc := o.pc
	if !pc.owns() || !o.core.QuotaExchangeDue(pc.node.now()) {
		return
	}
	for _, other := range pc.node.allControllers() {
		if other != pc {
			offer := o.core.QuotaOffer(other.topic.Part)
			go o.exchangeWith(other, offer)
		}
	}
}

// exchangeWith sends an offer to another pool's owner, and handles the one in return.
func (o *ownership) exchangeWith(other *poolController, offer quota.Offer) {
	ctx := withTimeout(o.ctx, quotaExchangeTimeout)
	var answer quota.Offer
	var owner bool
	if err := other.do(ctx, func() { answer, owner = other.answerOffer(offer) }); err != nil {
		return // the next exchange is soon
	}
	if !owner {
		owner = other.askOwner(other.lastOwnerAddr(ctx), func(at string) (string, error) {
			r := new(QuotaReply) // not shared: a call that has timed out may still write to it
			if err := o.pc.node.peers.call(ctx, at, "Quota", QuotaArgs{Part: other.topic.Part, Offer: offer}, r, quotaExchangeTimeout); err != nil {
				return "", err
			}
			answer = r.Offer
			return r.Owner, nil
		})
	}
	if owner {
		o.send(pool.QuotaOffered{Offer: answer})
	}
}

// setOrganisations passes the organisations of a configuration to the core.
func (o *ownership) setOrganisations(cfg *Config) {
	organisations := cfg.Organisations.All()
	o.step(pool.OrganisationsChanged{Organisations: organisations})
	if len(organisations) > 0 && !o.rootSought {
		o.rootSought = true
		go o.findQuotaRoot()
	}
}

// findQuotaRoot makes the core know the root of the shares, once the store has named it.
func (o *ownership) findQuotaRoot() {
	for o.ctx.Err() == nil {
		root, err := o.pc.node.quotaRoot(o.ctx, o.pc.topic.Part)
		if err == nil {
			o.send(pool.QuotaRootKnown{Pool: root})
			return
		}
		o.pc.log.Warn().Err(err).Msg("quota.root_unknown")
		sleep(o.ctx, readRetryPause)
	}
}

// quotaRoot returns the pool that the store names as the root of the shares. If it names none yet, the
// candidate becomes the root: the stream's first record counts, and only one can be stored at offset 0.
func (n *Node) quotaRoot(ctx context.Context, candidate int) (int, error) {
	topic := Topic{Name: quotaRootTopicName}
	f := &follower{store: n.store, topic: topic, now: n.now}
	q := retryingRead{read: f.readNewest, maxRetryPause: maxReadRetryPause, readersRegained: &n.readers.readersRegained, failed: func(b batch) {
		n.log.Debug().Err(b.err).Msg("quota.root_unread")
	}}
	b := q.run(ctx, 0)
	if b.err != nil {
		return 0, b.err
	}
	for _, rec := range b.records {
		root, err := strconv.Atoi(string(rec.Value))
		if rec.Key == quotaRootKey && err == nil && rec.Unreadable == nil {
			return root, nil
		}
		n.unreadable.report(quotaRootTopicName, rec.Key, rec.Offset, errors.New("no number of a pool"))
	}
	rec := pool.Record{Key: quotaRootKey, Value: []byte(strconv.Itoa(candidate))}
	if _, err := n.store.AppendAt(withTimeout(ctx, appendTimeout), topic, []pool.Record{rec}, 0); err != nil {
		return 0, errors.Wrap(err, "the root of the shares is not stored")
	}
	return candidate, nil
}
