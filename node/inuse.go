package node

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

// inUseTopicName is the topic that lists the pools in which something may be stored, by their
// parts.
//
// Jobs stay in the pool in which they were stored. A configuration may move their queue to another
// service and no longer mention the former one, so an instance that follows only the pools of its
// configuration can miss some if it has started since, or has not read the configuration yet. Such
// an instance reported waiting jobs as nonexistent although it had read every pool that it knew of.
// So each pool is listed in the store before anything is stored in it, and before an instance
// reports that a job doesn't exist it reads the list: whatever was accepted before the request is
// in a pool of that list. This depends neither on any configuration nor on how often a queue moves.
// An append to the list without an answer is repeated until it has one, and so is a read of the
// list.
const inUseTopicName = "keyed.pools-in-use"

// errNotListed means that nothing may be stored in a pool yet.
var errNotListed = errors.New("the pool is not listed as in use yet")

// ensureListed retries until this pool is listed as in use. It reads the list before it appends to
// it: on a slow store, the appends of all instances that start at the same time would fill the
// topic's append queue.
func (pc *poolController) ensureListed(ctx context.Context) {
	for ctx.Err() == nil {
		if pc.isListed(ctx) || pc.addToList(ctx) {
			pc.listed.Store(true)
			return
		}
		sleep(ctx, readRetryPause)
	}
}

// isListed reports whether the stored list contains this pool.
func (pc *poolController) isListed(ctx context.Context) bool {
	parts, err := pc.node.poolsInUse(ctx)
	return err == nil && slices.Contains(parts, pc.topic.Part)
}

// addToList appends this pool to the list, and reports whether the store has confirmed it.
func (pc *poolController) addToList(ctx context.Context) bool {
	rec := pool.Record{Key: strconv.Itoa(pc.topic.Part), Value: []byte("1")}
	_, err := pc.node.store.Append(withTimeout(ctx, appendTimeout), Topic{Name: inUseTopicName}, []pool.Record{rec}, nil)
	return err == nil
}

// poolsInUse reads the current list, and retries until it succeeds or the context ends.
func (n *Node) poolsInUse(ctx context.Context) ([]int, error) {
	f := &follower{store: n.store, topic: Topic{Name: inUseTopicName}, now: n.now}
	q := retryingRead{read: f.readNewest, maxRetryPause: maxReadRetryPause, readersRegained: &n.readers.readersRegained, failed: func(b batch) {
		n.log.Debug().Err(b.err).Msg("pools.unread")
	}}
	b := q.run(ctx, 0)
	if b.err != nil {
		return nil, b.err
	}
	var parts []int
	for _, rec := range b.records {
		part, err := strconv.Atoi(rec.Key)
		if err != nil || part < 0 || part >= n.opts.Parts {
			n.unreadable.report(inUseTopicName, rec.Key, rec.Offset, errors.New("invalid part of a pool"))
			continue
		}
		parts = append(parts, part) // the value doesn't matter: the key says that the pool was listed
	}
	return parts, nil
}

// followInUse follows the pools in use when the instance starts. The instance isn't ready until it
// knows them.
func (n *Node) followInUse(ctx context.Context) {
	parts, err := n.poolsInUse(ctx)
	if err != nil {
		return // the instance is shutting down
	}
	for _, part := range parts {
		n.ensureController(ctx, part)
	}
	n.initialReadDone()
}

// coversPoolsInUse reports whether controllers include all pools that are in use now, and starts
// following those that they lack. Callers pass the pools in which a job was looked for: a pool that
// this instance has followed only since then has not been searched.
func (n *Node) coversPoolsInUse(ctx context.Context, controllers []*poolController) bool {
	parts, err := n.poolsInUse(withTimeout(ctx, absenceTimeout))
	return err == nil && n.followMissing(parts, controllers)
}

// coversCachedPoolsInUse is coversPoolsInUse with a list that may be as old as a copy of a pool
// that still counts as fresh. The list is read at most once in that time.
func (n *Node) coversCachedPoolsInUse(ctx context.Context, controllers []*poolController) bool {
	n.mu.Lock()
	list := n.inUse
	n.mu.Unlock()
	if asked := n.now(); list.askedAt == 0 || asked-list.askedAt > n.maxAge() {
		parts, err := n.poolsInUse(withTimeout(ctx, absenceTimeout))
		if err != nil {
			return false
		}
		list = inUseList{parts: parts, askedAt: asked}
		n.mu.Lock()
		n.inUse = list
		n.mu.Unlock()
	}
	return n.followMissing(list.parts, controllers)
}

// inUseList is the list of pools in use as of askedAt.
type inUseList struct {
	parts   []int
	askedAt time.Duration // 0: never
}

// followMissing reports whether controllers include all parts, and starts following those that they
// lack.
func (n *Node) followMissing(parts []int, controllers []*poolController) bool {
	all := true
	for _, part := range parts {
		if slices.ContainsFunc(controllers, func(pc *poolController) bool { return pc.topic.Part == part }) {
			continue
		}
		all = false
		n.log.Info().Int("pool", part).Msg("pool.found")
		n.ensureController(n.runCtx, part)
	}
	return all
}
