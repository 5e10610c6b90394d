package control

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/membership"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
)

// Timing and limits of the digests that announce the free capacity of shards. Sent to every
// scheduler, the traffic would grow with the square of their number. So a scheduler with homes
// follows a sample of the shards, and an owner sends at most digestRate envelopes per second,
// whatever the size of the cell.
const (
	// sampleSize is the number of shards of each class that a scheduler follows.
	sampleSize = 8
	// sampleDuration is how long a sample is used, so that full shards are replaced.
	sampleDuration = 30 * time.Second
	// subscribeInterval is the time between two subscriptions to the same owner;
	// subscriptionDuration is how long one lasts.
	subscribeInterval    = 10 * time.Second
	subscriptionDuration = 25 * time.Second
	// digestRate is the number of envelopes with digests that an owner sends per second.
	digestRate = 8
	// maxDigestAge is when a digest with a small change is sent all the same.
	maxDigestAge = 5 * time.Second
	// changeDivisor sets which changes are sent at once: those of more than 1/changeDivisor of
	// the free capacity last sent.
	changeDivisor = 8
)

// subscriber is a scheduler that follows some of this scheduler's shards.
type subscriber struct {
	shards []ownership.Unit
	until  time.Duration
	sent   map[ownership.Unit]sentDigest
}

type sentDigest struct {
	digest placement.Digest
	at     time.Duration
}

// digestExchange is the state of both sides of the digest exchange: as owner and as subscriber.
type digestExchange struct {
	subscribers map[string]*subscriber
	// next is the subscriber to serve first; tokens is the token bucket that bounds the rate.
	next       string
	tokens     float64
	refilledAt time.Duration
	sample     []ownership.Unit
	sampledAt  time.Duration
	// subscriptions holds the last subscription sent to each owner.
	subscriptions map[string]subscription
}

type subscription struct {
	at     time.Duration
	shards []ownership.Unit
}

func newDigestExchange() *digestExchange {
	return &digestExchange{subscribers: map[string]*subscriber{}, subscriptions: map[string]subscription{}}
}

// publishDigests records the digests of the owned shards and sends those that changed to the
// subscribers.
func (c *Core) publishDigests(now time.Duration) {
	own := map[ownership.Unit]placement.Digest{}
	for _, u := range c.ownedShards() {
		own[u] = c.shards[u].Digest()
		c.recordDigest(now, own[u])
	}
	f := c.digestExchange
	f.tokens = min(f.tokens+digestRate*(now-f.refilledAt).Seconds(), digestRate)
	f.refilledAt = now
	for _, id := range f.subscribersInOrder() {
		s := f.subscribers[id]
		if now >= s.until {
			delete(f.subscribers, id)
			continue
		}
		if f.tokens < 1 {
			f.next = id
			return
		}
		changed := s.changedDigests(now, own)
		if len(changed) == 0 {
			continue
		}
		f.tokens--
		env := c.envelope(id)
		env.Digests = append(env.Digests, changed...)
	}
}

// subscribersInOrder returns the subscribers, starting with those that had to wait the last
// time.
func (f *digestExchange) subscribersInOrder() []string {
	ids := make([]string, 0, len(f.subscribers))
	for id := range f.subscribers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	i, _ := slices.BinarySearch(ids, f.next)
	return append(ids[i:], ids[:i]...)
}

func (s *subscriber) changedDigests(now time.Duration, own map[ownership.Unit]placement.Digest) []placement.Digest {
	var changed []placement.Digest
	for _, u := range s.shards {
		d, ok := own[u]
		last := s.sent[u]
		if !ok || d == last.digest || (now-last.at < maxDigestAge && !changedEnough(last.digest, d)) {
			continue
		}
		s.sent[u] = sentDigest{d, now}
		changed = append(changed, d)
	}
	return changed
}

// changedEnough reports whether the free capacity changed by more than a fraction of the value
// last sent. In a full shard every task that ends is worth sending, in an empty one few are.
func changedEnough(sent, d placement.Digest) bool {
	if sent.Epoch != d.Epoch || sent.Total != d.Total || sent.Largest != d.Largest {
		return true
	}
	t, f := sent.Free, d.Free
	return differsMuch(t.MilliCPU, f.MilliCPU) || differsMuch(t.MemoryMiB, f.MemoryMiB) || differsMuch(t.Accelerators, f.Accelerators)
}

func differsMuch(sent, current int64) bool {
	change := current - sent
	if change < 0 {
		change = -change
	}
	return change*changeDivisor > sent
}

// handleSubscription handles another scheduler's subscription.
func (c *Core) handleSubscription(now time.Duration, from string, shards []ownership.Unit) {
	s, ok := c.digestExchange.subscribers[from]
	if !ok {
		s = &subscriber{sent: map[ownership.Unit]sentDigest{}}
		c.digestExchange.subscribers[from] = s
	}
	s.shards, s.until = shards, now+subscriptionDuration
	// Digests of shards that it no longer follows may be out of date when it follows them again.
	for u := range s.sent {
		if !slices.Contains(shards, u) {
			delete(s.sent, u)
		}
	}
}

// subscribe subscribes to the sampled shards at their owners.
func (c *Core) subscribe(now time.Duration) {
	f := c.digestExchange
	if len(c.homes) == 0 {
		return
	}
	if f.sample == nil || now-f.sampledAt >= sampleDuration {
		f.sample, f.sampledAt = c.sampleShards(now), now
	}
	want := map[string][]ownership.Unit{}
	for _, u := range f.sample {
		if h := c.table.Holder(u); h.Owner != "" && h.Owner != c.self {
			want[h.Owner] = append(want[h.Owner], u)
		}
	}
	for owner := range f.subscriptions {
		if want[owner] == nil {
			delete(f.subscriptions, owner)
		}
	}
	for owner, shards := range want {
		last, ok := f.subscriptions[owner]
		if ok && now-last.at < subscribeInterval && slices.Equal(last.shards, shards) {
			continue
		}
		f.subscriptions[owner] = subscription{now, shards}
		c.envelope(membership.ID(owner)).Wants = shards
	}
}

// sampleShards returns some shards with accelerators and some without.
func (c *Core) sampleShards(now time.Duration) []ownership.Unit {
	period := uint64(now / sampleDuration)
	rank := func(u ownership.Unit) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", c.cfg.ID, period, u))
	}
	classes := map[bool][]ownership.Unit{}
	for _, u := range c.shardIDs {
		accelerated := slices.ContainsFunc(c.workers[u], func(w infra.Worker) bool { return w.Capacity.Accelerators > 0 })
		classes[accelerated] = append(classes[accelerated], u)
	}
	var sample []ownership.Unit
	for _, class := range []bool{false, true} {
		list := classes[class]
		if len(list) > 2*sampleSize {
			sort.Slice(list, func(i, j int) bool { return rank(list[i]) < rank(list[j]) })
			list = list[:sampleSize]
		}
		sample = append(sample, list...)
	}
	return sample
}

func (c *Core) recordDigest(now time.Duration, d placement.Digest) {
	c.digests[d.Shard] = d
	for _, h := range c.homes {
		h.SetDigest(now, d)
	}
	c.markAllHomes()
}

// attachDigest adds the shard's digest to a message that refuses a placement, so that the home's
// data is up to date.
func (c *Core) attachDigest(env []placement.Digest, m placement.Message) []placement.Digest {
	p, ok := m.(placement.Placed)
	if !ok || p.OK || c.shards[p.Shard] == nil {
		return env
	}
	if slices.ContainsFunc(env, func(d placement.Digest) bool { return d.Shard == p.Shard }) {
		return env
	}
	return append(env, c.shards[p.Shard].Digest())
}
