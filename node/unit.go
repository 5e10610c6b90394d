package node

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// topicName is the stream that holds the pools' state, one part a pool.
	topicName = "keyed.pools"
	// ownerBeat is how often an owner's word stands in the store, at least.
	ownerBeat = 300 * time.Millisecond
	// ownerSilent is how long an owner may not be heard of in the store, by
	// one that reads it all the while, until another takes over: three beats
	// and the pause between two reads.
	ownerSilent = 1300 * time.Millisecond
	// slowSilent replaces it while the owner says that the store takes what
	// it writes: the store is slow then. Without it, on a store 43 times slower
	// than usual, owners replaced each other 9 times in 5 s, and 13 % of the
	// day's requests failed.
	slowSilent = 6 * time.Second
	// worksFor is how long such a word of the owner counts.
	worksFor = 800 * time.Millisecond
	// claimSpread separates the claims of several instances.
	claimSpread = 300 * time.Millisecond
	// claimLater keeps an instance that owns a pool from claiming another
	// before those that own none.
	claimLater = 250 * time.Millisecond
	// claimWeak is how much later a machine without processor time claims than
	// one with ampleShare of a core: an owner of 252 workers needs 0.16 of a core
	// on a calm day, and the smallest machines have 0.19.
	claimWeak  = 600 * time.Millisecond
	ampleShare = 0.8
	// claimRetry is the pause after a claim that failed.
	claimRetry = 300 * time.Millisecond
	// tickEvery is how often a core sees time pass.
	tickEvery = 50 * time.Millisecond
	// followerPause is how often an instance reads a pool's state: often
	// enough to see an owner's silence. The owner itself reads as seldom: what
	// callers hand in comes to it directly, and through the store only while
	// they couldn't reach it. Each read is paid for; at 5 ms for the owner and
	// 300 ms for the others, reads were most of 207 calls a second.
	followerPause = 350 * time.Millisecond
	// freshFor is how old the last word of the store may be for an answer
	// that a job doesn't exist. The owner's beats bring one each second; a job
	// that another instance stored longer ago than this is known.
	freshFor = 1500 * time.Millisecond
)

// partOf returns the part of the topic that holds a service's pool.
func partOf(service string, parts int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service)) // a hash takes everything
	return int(h.Sum32() % uint32(parts))
}

// unit is one pool's state on this instance, and its core while the instance
// owns it. One goroutine runs it; others put questions through ask.
type unit struct {
	node    *Node
	ctx     context.Context // of its run
	topic   Topic
	log     zerolog.Logger
	events  chan any
	replica *replica

	reads      atomic.Bool // the store answers this instance's reads
	caughtUp   bool
	lastRead   time.Duration // the store last answered a read
	healthy    time.Duration // since when it answers without a failure
	ownerHeard time.Duration
	ownerWorks time.Duration // when the owner last said that it works
	probed     time.Duration
	claimAt    time.Duration // 0: no claim is due
	claiming   bool
	own        *ownership
	// heir is the instance to which this one has handed the pool over, until
	// its claim is read.
	heir string
	// direct holds records that this instance stores without the owner.
	direct     []submission
	directBusy bool // some are on their way
}

func newUnit(ctx context.Context, n *Node, part int) *unit {
	u := &unit{
		node: n, ctx: ctx, topic: Topic{Name: topicName, Part: part},
		log:    n.log.With().Int("pool", part).Logger(),
		events: make(chan any, 1024), replica: newReplica(),
	}
	return u
}

// ask runs a question on the unit's goroutine.
func (u *unit) ask(ctx context.Context, question func()) error {
	done := make(chan struct{})
	select {
	case u.events <- func() { question(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (u *unit) run(ctx context.Context) {
	f := &follower{store: u.node.store, topic: u.topic, wait: readWait, pause: func() time.Duration { return followerPause }}
	go f.run(ctx, func(b batch) { u.send(ctx, b) })
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case ev := <-u.events:
			u.handle(ctx, ev)
			u.handleWaiting(ctx)
		case <-ticker.C:
			u.tick(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// eventsAtOnce bounds how many events come before the next plan, so that room is
// used within milliseconds also while events never cease.
const eventsAtOnce = 64

// handleWaiting handles the events that have come meanwhile, and plans once for
// all of them.
func (u *unit) handleWaiting(ctx context.Context) {
	for range eventsAtOnce {
		select {
		case ev := <-u.events:
			u.handle(ctx, ev)
			continue
		default:
		}
		break
	}
	if u.own != nil {
		u.own.plan()
	}
}

func (u *unit) send(ctx context.Context, ev any) {
	select {
	case u.events <- ev:
	case <-ctx.Done():
	}
}

func (u *unit) handle(ctx context.Context, ev any) {
	switch e := ev.(type) {
	case batch:
		u.take(ctx, e)
	case claimed:
		u.claimAnswered(ctx, e)
	case directDone:
		u.directBusy = false
		answerAll(e.waiting, e.err)
		u.appendDirect(ctx)
	case fromOwner:
		if u.own == e.own {
			u.own.handle(e.event)
		}
	case func():
		e()
	}
}

// take takes in what the store holds.
func (u *unit) take(ctx context.Context, b batch) {
	now := u.node.now()
	if b.err != nil {
		if u.healthy != 0 {
			u.log.Warn().Err(b.err).Msg("store.lost")
		}
		u.healthy = 0
		u.reads.Store(false)
		return
	}
	if u.healthy == 0 {
		u.healthy = now
		u.log.Info().Int64("next", b.next).Msg("store.regained")
	}
	u.reads.Store(true)
	u.lastRead = now
	fresh, err := u.replica.apply(b)
	if err != nil {
		u.log.Error().Err(err).Msg("record.unreadable")
	}
	heard := false
	for _, rec := range fresh {
		switch kind, _ := pool.ParseKey(rec.Key); kind {
		case pool.OwnerRecord, pool.ProgressRecord, pool.HeldRecord:
			heard = true
		}
	}
	if heard {
		u.ownerHeard = now
	}
	if !u.caughtUp {
		u.caughtUp = true
		u.node.caughtUp()
	}
	u.followClaim()
	if u.own != nil {
		u.own.take(fresh)
	}
}

// followClaim ends an ownership that another claim has replaced, and begins
// one whose own claim has come back from the store.
func (u *unit) followClaim() {
	c := u.replica.claim
	if c.Addr != u.node.set.PeerAddr {
		u.heir = ""
	}
	if u.own != nil && c.Epoch > u.own.claim.Epoch {
		u.dropOwnership("another instance has claimed the pool")
	}
}

func (u *unit) tick(ctx context.Context) {
	if u.own != nil {
		u.own.tick()
		u.own.plan()
		u.own.asks.send()
		return
	}
	u.considerClaim(ctx)
}

// considerClaim claims the pool if nobody owns it or its owner is gone.
func (u *unit) considerClaim(ctx context.Context) {
	now := u.node.now()
	if !u.caughtUp || u.healthy == 0 || u.claiming || u.node.stopping.Load() {
		return
	}
	reason := u.vacant(ctx, now)
	if reason == "" {
		u.claimAt = 0
		return
	}
	if u.claimAt == 0 {
		u.claimAt = now + u.claimDelay()
	}
	if now >= u.claimAt {
		u.claim(ctx, reason)
	}
}

// vacant returns why the pool has no owner, or nothing if it may have one. The
// owner's silence counts only while this instance reads the store: after an
// outage all owners have been silent for as long.
func (u *unit) vacant(ctx context.Context, now time.Duration) string {
	c := u.replica.claim
	switch {
	case c.Addr == "":
		return "nobody owns it"
	case c.Node == u.node.set.Name && c.Life != u.node.life:
		return "this instance owned it before its restart"
	case u.node.isGone(c):
		return "its owner's process is gone"
	case now-max(u.ownerHeard, u.healthy) > u.patience(now):
		return "its owner is silent"
	}
	if now-max(u.ownerHeard, u.healthy) > ownerSilent/2 && now-u.probed > ownerBeat {
		u.probed = now
		go u.node.probe(ctx, u, c)
	}
	return ""
}

// patience is how long the owner may be silent.
func (u *unit) patience(now time.Duration) time.Duration {
	if u.ownerWorks != 0 && now-u.ownerWorks < worksFor {
		return slowSilent
	}
	return ownerSilent
}

// claimDelay spreads the claims: instances without a pool first, the others in
// an order that differs by pool and generation.
func (u *unit) claimDelay() time.Duration {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, u.node.set.Name, u.topic.Part, u.replica.claim.Generation) // a hash takes everything
	d := claimSpread * time.Duration(h.Sum32()%1000) / 1000
	weak := max(0, 1-u.node.set.Power/ampleShare)
	return d + time.Duration(u.node.owned())*claimLater + time.Duration(weak*float64(claimWeak))
}

// claimed is the answer to a claim.
type claimed struct {
	claim  claim
	offset int64
	err    error
}

// claim makes this instance the owner, if the store has seen no newer epoch. The
// low bits differ between instances, so two claims never carry the same epoch.
func (u *unit) claim(ctx context.Context, reason string) {
	old := u.replica.claim
	c := claim{
		Node: u.node.set.Name, Addr: u.node.set.PeerAddr, Life: u.node.life,
		Epoch: (old.Epoch>>16+1)<<16 | uint64(rand.Uint32N(1<<16)), Generation: old.Generation + 1,
	}
	u.claiming = true
	next := u.replica.next
	u.log.Info().Str("reason", reason).Str("before", old.Node).Uint64("epoch", c.Epoch).Msg("pool.claim")
	go func() {
		result := claimed{claim: c}
		if result.err = u.lookBeforeClaim(ctx, next, old); result.err == nil {
			result.offset, result.err = u.node.store.Append(withTimeout(ctx, appendTimeout), u.topic,
				[]pool.Record{{Key: pool.OwnerKey, Value: pool.Encode(c)}}, &Writer{Name: "owner", Epoch: c.Epoch})
		}
		u.send(ctx, result)
	}()
}

// errBeaten means that another instance has claimed the pool first.
var errBeaten = errors.New("another instance has just claimed the pool")

// lookBeforeClaim reads what was stored since the last read. Reads come every
// third of a second; without this look three instances claimed a pool within
// 0.1 s of each other, and each had to ask all workers again before it could go on.
func (u *unit) lookBeforeClaim(ctx context.Context, next int64, old claim) error {
	page, _, err := u.node.store.Read(withTimeout(ctx, appendTimeout), u.topic, next, 0)
	if err != nil {
		return err
	}
	for _, rec := range page {
		var c claim
		if rec.Key == pool.OwnerKey && json.Unmarshal(rec.Value, &c) == nil && c.Epoch > old.Epoch {
			return errBeaten
		}
	}
	return nil
}

func (u *unit) claimAnswered(ctx context.Context, e claimed) {
	u.claiming = false
	u.claimAt = u.node.now() + claimRetry
	if e.err != nil {
		u.log.Warn().Err(e.err).Uint64("epoch", e.claim.Epoch).Msg("pool.claim_failed")
		return
	}
	if u.replica.claim.Epoch > e.claim.Epoch {
		return // another instance was faster
	}
	u.claimAt = 0
	u.heir = ""
	u.ownerHeard = u.node.now()
	u.replica.claim = e.claim
	u.own = newOwnership(ctx, u, e.claim, e.offset)
	u.node.setOwned(u.topic.Part, true)
	u.log.Info().Uint64("epoch", e.claim.Epoch).Int64("offset", e.offset).Msg("pool.owned")
}

func (u *unit) dropOwnership(reason string) {
	if u.own == nil {
		return
	}
	u.own.close()
	u.log.Info().Uint64("epoch", u.own.claim.Epoch).Str("reason", reason).Msg("pool.lost")
	u.own = nil
	u.ownerHeard = u.node.now()
	u.node.setOwned(u.topic.Part, false)
}

// jobState answers from the core if this instance owns the pool, else from
// the copy. Sure tells that a job which isn't found doesn't exist.
func (u *unit) jobState(job string) (state pool.State, found, owner, sure bool) {
	if u.own != nil && u.own.settledReplica() {
		s, ok := u.own.core.JobState(job)
		return s, ok, true, u.fresh()
	}
	s, ok := u.replica.state(job)
	return s, ok, false, u.fresh()
}

func (u *unit) fresh() bool { return u.healthy != 0 && u.node.now()-u.lastRead < freshFor }

func (u *unit) pending(queue string) (int, bool) {
	if u.own != nil && u.own.settledReplica() {
		return u.own.core.Pending(queue), true
	}
	return u.replica.pending(queue), false
}

// submit stores a record as the pool's owner.
func (u *unit) submit(s submission) {
	if u.own == nil {
		s.stored <- errNotOwner
		return
	}
	u.own.submit(s)
}

// ownerAddr is where the pool's owner is, as far as is known here.
func (u *unit) ownerAddr() string {
	if u.heir != "" {
		return u.heir
	}
	return u.replica.claim.Addr
}

// directDone tells what came of an append without the owner.
type directDone struct {
	waiting []submission
	err     error
}

// storeDirect stores a record without the owner, one append at a time with all
// that have come meanwhile. One append for each of them let a slow store's queue
// grow past all timeouts, and the repeats kept it there.
func (u *unit) storeDirect(ctx context.Context, s submission) {
	u.direct = append(u.direct, s)
	u.appendDirect(ctx)
}

func (u *unit) appendDirect(ctx context.Context) {
	if u.directBusy || len(u.direct) == 0 {
		return
	}
	done := directDone{waiting: u.direct}
	records := make([]pool.Record, 0, len(u.direct))
	for _, s := range u.direct {
		records = append(records, s.record)
	}
	u.direct = nil
	u.directBusy = true
	go func() {
		_, done.err = u.node.store.Append(withTimeout(ctx, appendTimeout), u.topic, records, nil)
		u.send(ctx, done)
	}()
}

var errNotOwner = errors.New("this instance doesn't own the pool")
