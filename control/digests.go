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

// Timing and bounds of the news of free room. Told to everybody it would grow
// with the square of the schedulers; so a scheduler with homes samples a few
// shards, and an owner tells at most digestRate schedulers a second, whatever the
// cell's size.
const (
	// sampleSize is how many shards of each class a scheduler follows.
	sampleSize = 8
	// sampleFor is how long a sample stands, so that full shards leave it.
	sampleFor = 30 * time.Second
	// wantEvery is the time between two subscriptions to one owner; wantFor is
	// how long one lasts.
	wantEvery = 10 * time.Second
	wantFor   = 25 * time.Second
	// digestRate is how many envelopes with digests an owner sends a second.
	digestRate = 8
	// digestStale is when a digest that changed little is told all the same.
	digestStale = 5 * time.Second
	// changedPart is the part of the free room last told whose change is news.
	changedPart = 8
)

// subscriber is a scheduler that follows some of this one's shards.
type subscriber struct {
	shards []ownership.Unit
	until  time.Duration
	told   map[ownership.Unit]toldDigest
}

type toldDigest struct {
	digest placement.Digest
	at     time.Duration
}

// digestFlow is the state of both sides of the news of free room.
type digestFlow struct {
	subscribers map[string]*subscriber
	// next is the subscriber to serve first; credit bounds the rate.
	next    string
	credit  float64
	stepAt  time.Duration
	sample  []ownership.Unit
	sampled time.Duration
	// wanted is when each owner was last sent a subscription and for what.
	wanted map[string]wanted
}

type wanted struct {
	at     time.Duration
	shards []ownership.Unit
}

func newDigestFlow() *digestFlow {
	return &digestFlow{subscribers: map[string]*subscriber{}, wanted: map[string]wanted{}}
}

// tellDigests notes this scheduler's own digests and tells subscribers of those
// that changed.
func (c *Core) tellDigests(now time.Duration) {
	own := map[ownership.Unit]placement.Digest{}
	for _, u := range c.ownedShards() {
		own[u] = c.shards[u].Digest()
		c.noteDigest(now, own[u])
	}
	f := c.flow
	f.credit = min(f.credit+digestRate*(now-f.stepAt).Seconds(), digestRate)
	f.stepAt = now
	for _, id := range f.turn() {
		s := f.subscribers[id]
		if now >= s.until {
			delete(f.subscribers, id)
			continue
		}
		if f.credit < 1 {
			f.next = id
			return
		}
		news := s.news(now, own)
		if len(news) == 0 {
			continue
		}
		f.credit--
		env := c.envelope(id)
		env.Digests = append(env.Digests, news...)
	}
}

// turn lists the subscribers, those first that had to wait the last time.
func (f *digestFlow) turn() []string {
	ids := make([]string, 0, len(f.subscribers))
	for id := range f.subscribers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	i, _ := slices.BinarySearch(ids, f.next)
	return append(ids[i:], ids[:i]...)
}

func (s *subscriber) news(now time.Duration, own map[ownership.Unit]placement.Digest) []placement.Digest {
	var news []placement.Digest
	for _, u := range s.shards {
		d, ok := own[u]
		told := s.told[u]
		if !ok || d == told.digest || (now-told.at < digestStale && !isNews(told.digest, d)) {
			continue
		}
		s.told[u] = toldDigest{d, now}
		news = append(news, d)
	}
	return news
}

// isNews reports whether free room has changed by more than a part of what was
// told: in a full shard every task that ends is news, in an empty one few are.
func isNews(told, d placement.Digest) bool {
	if told.Epoch != d.Epoch || told.Total != d.Total || told.Largest != d.Largest {
		return true
	}
	t, f := told.Free, d.Free
	return far(t.MilliCPU, f.MilliCPU) || far(t.MemoryMiB, f.MemoryMiB) || far(t.Accelerators, f.Accelerators)
}

func far(told, is int64) bool {
	change := is - told
	if change < 0 {
		change = -change
	}
	return change*changedPart > told
}

// subscribed takes in another scheduler's subscription.
func (c *Core) subscribed(now time.Duration, from string, shards []ownership.Unit) {
	s, ok := c.flow.subscribers[from]
	if !ok {
		s = &subscriber{told: map[ownership.Unit]toldDigest{}}
		c.flow.subscribers[from] = s
	}
	s.shards, s.until = shards, now+wantFor
	// Its digests of shards that it did not follow meanwhile are old.
	for u := range s.told {
		if !slices.Contains(shards, u) {
			delete(s.told, u)
		}
	}
}

// subscribe asks the owners of the sampled shards for their digests.
func (c *Core) subscribe(now time.Duration) {
	f := c.flow
	if len(c.homes) == 0 {
		return
	}
	if f.sample == nil || now-f.sampled >= sampleFor {
		f.sample, f.sampled = c.sampleShards(now), now
	}
	want := map[string][]ownership.Unit{}
	for _, u := range f.sample {
		if h := c.table.Holder(u); h.Owner != "" && h.Owner != c.self {
			want[h.Owner] = append(want[h.Owner], u)
		}
	}
	for owner := range f.wanted {
		if want[owner] == nil {
			delete(f.wanted, owner)
		}
	}
	for owner, shards := range want {
		last, ok := f.wanted[owner]
		if ok && now-last.at < wantEvery && slices.Equal(last.shards, shards) {
			continue
		}
		f.wanted[owner] = wanted{now, shards}
		c.envelope(membership.ID(owner)).Wants = shards
	}
}

// sampleShards picks some shards with accelerators and some without.
func (c *Core) sampleShards(now time.Duration) []ownership.Unit {
	period := uint64(now / sampleFor)
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

func (c *Core) noteDigest(now time.Duration, d placement.Digest) {
	c.digests[d.Shard] = d
	for _, h := range c.homes {
		h.SetDigest(now, d)
	}
	c.touchHomes()
}

// attachDigest sends a refused home the shard's digest along with the refusal.
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
