package node

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// poolsTopicName is the stream that holds the state of the pools, one pool per partition.
	poolsTopicName = "keyed.pools"
	// heartbeatInterval is the maximum time between two records that an owner writes to the store.
	heartbeatInterval = 300 * time.Millisecond
	// poolReadWait is how long a read of a pool's state waits for a record. It is longer than the
	// interval of the owner's heartbeats, so it causes no additional reads, and an outage of the
	// store is detected sooner.
	poolReadWait = 2 * heartbeatInterval
	// tickInterval is the interval of the ticks that drive a pool's core.
	tickInterval = 50 * time.Millisecond
	// readPause is the pause between two reads of a pool's state. It is short enough to detect that
	// the owner has stopped writing. The owner itself reads no more often: callers' records reach
	// it directly, and through the store only if a caller couldn't reach it. Each read is billed:
	// with a pause of 5 ms for the owner and 300 ms for the others, reads were most of 207 calls a
	// second.
	readPause = 350 * time.Millisecond
	// infrequentReadPause replaces readPause for instances that are not among the first
	// standbyCount candidates for ownership. Only those candidates take over, so only they must
	// detect quickly that the owner has stopped writing. The other instances together make most of
	// the reads.
	infrequentReadPause = time.Second
	standbyCount        = 2
	// maxReadGap is the maximum time between two answers of an available store: a read that times
	// out without a record, and a pause.
	maxReadGap = readWait + infrequentReadPause/2
	// rankInterval is the interval at which an instance computes its rank among the candidates for
	// ownership.
	rankInterval = time.Second
	// ageRatio, multiplied by Settings.Visibility, is the maximum age of a copy that is used to
	// count waiting jobs and that makes an instance ready. Two reads with their pauses take 1.4 s,
	// so the 2 s that result from the default of 3 s are enough.
	ageRatio = 2.0 / 3
	// defaultVisibility applies if Settings.Visibility is not set.
	defaultVisibility = 3 * time.Second
)

// partOf returns the partition of the topic that holds the pool of a service.
func partOf(service string, parts int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service)) // a hash never returns an error
	return int(h.Sum32() % uint32(parts))
}

// poolController manages one pool on this instance: its copy of the stored state, and the pool's
// core while this instance owns the pool. One goroutine accesses its fields, except for the atomic
// ones and check; others run functions on it through do.
type poolController struct {
	node    *Node
	ctx     context.Context // context of run
	topic   Topic
	log     zerolog.Logger
	events  chan any
	replica *replica
	// readNow makes the follower read without a pause.
	readNow chan struct{}
	// watchedOwner is the owner to which a Watch call is open.
	watchedOwner process

	storeReadable       atomic.Bool // the store answers this instance's reads
	followed            atomic.Bool // this instance reads the pool's stream
	listed              atomic.Bool // the pool is in the list of pools in use
	readsInfrequently   atomic.Bool // other instances would take over before this one
	rankedAt            time.Duration
	copyLoaded          bool // the copy has been read once; it may be behind
	caughtUp            bool // the copy has been fresh once
	initialReadReported bool // Node.initialReadDone has been called for this pool
	copyState           copyState
	completeAsOf        time.Duration // the copy holds all that was stored before; 0: it has never been complete
	lastReadAt          time.Duration // the store last answered a read
	readableSince       time.Duration // since when no read has failed; 0: the last one failed
	ownerSeenAt         time.Duration // when a record of the owner was last read
	ownerWorkingAt      time.Duration // when the owner last reported that its appends succeed
	ownerAliveAt        time.Duration // when the owner last answered this instance
	// pingedOwner is the owner to which this instance sends pings, the last one at pingedAt.
	pingedOwner       process
	pingedEpoch       uint64
	pingedAt          time.Duration
	pingLatency       time.Duration // maximum of the recent ping latencies, decaying by pingLatencyDecay
	storeProbeLatency time.Duration // latency of the newest probe of the store
	// storeProvenSince is since when the store has answered probes while no record of the owner has
	// been read; 0: the newest probe failed, or a record of the owner has been read.
	storeProvenSince time.Duration
	readsSteadySince time.Duration // since when no gap between answered reads exceeded maxReadGap
	ownerProbedAt    time.Duration
	claimAt          time.Duration  // 0: no claim is scheduled
	claimWaiters     []chan<- error // receive the result of the claim in progress
	droppedEpoch     uint64         // epoch of the last ownership that ended on this instance
	// fencedEpoch is the highest epoch of a claim that the store has rejected as fenced.
	fencedEpoch uint64
	claiming    bool
	// closeRequestedAt is when the owner was last asked to store again that the pool is closed for
	// a queue, because this instance can't read that it is.
	closeRequestedAt time.Duration
	// claimOffset is the offset of this instance's newest claim; -1: it has made none.
	claimOffset int64
	own         *ownership
	// successor is the address of the instance to which this one has handed the pool over, until
	// that instance's claim is read.
	successor         string
	successorSince    time.Duration
	successorSoughtAt time.Duration // when a better owner was last looked for
	// answeredAsOwner is the address of an instance that has answered as the owner since the store
	// was last read; empty: none.
	answeredAsOwner string
	check           storeCheck
	// directPending holds records that this instance is to store without the owner.
	directPending  []*submission
	directInFlight bool // an append of such records is in flight
	// directMinOffset is the end of the stream reported by an append that was rejected because the
	// stream had grown. This instance must read up to it before the next append.
	directMinOffset int64
}

func newPoolController(ctx context.Context, n *Node, part int) *poolController {
	pc := &poolController{
		node: n, ctx: ctx, topic: Topic{Name: poolsTopicName, Part: part},
		log:    n.log.With().Int("pool", part).Logger(),
		events: make(chan any, 1024), replica: newReplica(), readNow: make(chan struct{}, 1), claimOffset: -1,
	}
	return pc
}

// do runs f on the pool's goroutine and waits for it. If the context ends first, f isn't run; if f
// is running by then, do waits for its end, since the caller reads what f writes.
func (pc *poolController) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	var decided atomic.Bool // f has begun, or the caller has given up
	run := func() {
		if decided.CompareAndSwap(false, true) {
			f()
			close(done)
		}
	}
	select {
	case pc.events <- run:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	if decided.CompareAndSwap(false, true) {
		return ctx.Err()
	}
	<-done
	return nil
}

func (pc *poolController) run(ctx context.Context) {
	go pc.ensureListed(ctx)
	pc.replica.claim = pc.node.peers.ownerOf(pc.topic.Part)
	pc.applyClaim()
	pc.updateCopy(ctx)
	ticks := startTicks(ctx, tickInterval)
	for {
		select {
		case ev := <-pc.events:
			pc.handle(ctx, ev)
			pc.handlePending(ctx)
		case <-ticks:
			pc.tick(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// maxEventsPerPlan limits the number of events that are handled before the next plan, so that free
// capacity is used within milliseconds even under a constant stream of events.
const maxEventsPerPlan = 64

// handlePending handles the queued events, and plans once for all of them.
func (pc *poolController) handlePending(ctx context.Context) {
	behind := true
	for range maxEventsPerPlan {
		select {
		case ev := <-pc.events:
			pc.handle(ctx, ev)
			continue
		default:
		}
		behind = false
		break
	}
	if pc.own != nil {
		if behind {
			pc.own.core.ReportLag(pc.node.now())
		}
		pc.own.plan()
	}
}

func (pc *poolController) send(ctx context.Context, ev any) {
	select {
	case pc.events <- ev:
	case <-ctx.Done():
	}
}

func (pc *poolController) handle(ctx context.Context, ev any) {
	switch e := ev.(type) {
	case batch:
		if e.copyNumber == pc.copyState.number { // otherwise it was read for a dropped copy
			pc.handleBatch(e)
			pc.appendDirect(ctx)
		}
	case claimResult:
		pc.handleClaimResult(ctx, e)
	case directResult:
		pc.handleDirectResult(ctx, e)
	case ownershipEvent:
		if pc.own == e.own {
			pc.own.handle(e.event)
		} else if done, saved := e.event.(saveDone); saved {
			answerAll(done.waiting, done.callerError())
		}
	case func():
		e()
	}
}

// handleBatch applies records read from the store.
func (pc *poolController) handleBatch(b batch) {
	now := pc.node.now()
	if b.err != nil {
		if pc.readableSince != 0 {
			pc.log.Warn().Err(b.err).Msg("store.lost")
		}
		pc.readableSince = 0
		pc.storeReadable.Store(false)
		pc.refuseDirect()
		return
	}
	if pc.readableSince == 0 {
		pc.readableSince = now
		pc.log.Info().Int64("next", b.next).Msg("store.regained")
	}
	pc.storeReadable.Store(true)
	if now-pc.lastReadAt > maxReadGap {
		pc.readsSteadySince = now
	}
	pc.lastReadAt = now
	pc.answeredAsOwner = ""
	pc.completeAsOf = max(pc.completeAsOf, b.asOf)
	if !pc.copyLoaded {
		pc.copyLoaded = true
		pc.replica.claim = claim{} // drops the claim from the list of instances, which may be outdated
	}
	if b.reset {
		pc.reportReset(b)
	}
	fresh := pc.replica.apply(b, pc.reportBadRecord)
	ownerSeen := false
	for _, rec := range fresh {
		switch kind, _ := pool.ParseKey(rec.Key); kind {
		case pool.OwnerRecord, pool.ProgressRecord, pool.ProgressPartRecord, pool.TrackedWorkersRecord, pool.SilentRecord, pool.StartsRecord:
			ownerSeen = true
		}
	}
	if ownerSeen {
		pc.ownerSeenAt = now
		pc.storeProvenSince = 0
	}
	if !pc.caughtUp && pc.fresh() {
		pc.caughtUp = true
		pc.markCaughtUp()
	}
	pc.applyClaim()
	if pc.own != nil {
		pc.own.applyRecords(fresh)
	}
}

// reportReset logs and counts newest records that are about to replace the copy's state. A stored
// job that is reported as nonexistent afterwards may be among the missing ones.
func (pc *poolController) reportReset(b batch) {
	stale := pc.replica.isStale(b)
	pc.node.metrics.recordReset(stale)
	pc.log.Info().Int64("next", b.next).Int64("copy_next", pc.replica.next).Int("records", len(b.records)).
		Int("missing", len(pc.replica.missingFrom(b.records))).Dur("took", pc.node.now()-b.askedAt).Bool("stale", stale).Msg("copy.reset")
}

// reportBadRecord logs a record of the pool's topic that can't be decoded or is invalid.
func (pc *poolController) reportBadRecord(rec Stored, err error) {
	pc.node.unreadable.report(source(pc.topic.Name), rec.Key, rec.Offset, err)
}

// applyClaim notes the pool's owner, and ends this instance's ownership if a newer claim has
// replaced it.
func (pc *poolController) applyClaim() {
	c := pc.replica.claim
	pc.node.setOwner(pc.topic.Part, c.Addr)
	if pc.copyLoaded { // before, it is only a hint
		pc.node.claims.note(pc.topic.Part, c.Epoch)
	}
	if c.Addr != pc.node.opts.PeerAddr {
		pc.successor = ""
	}
	if pc.own != nil && c.Epoch > pc.own.claim.Epoch {
		pc.dropOwnership("another instance has claimed the pool")
	}
}

func (pc *poolController) tick(ctx context.Context) {
	if pc.own != nil {
		pc.own.tick()
		pc.own.plan()
		pc.own.adviceQueue.send()
		pc.handOverIfUnsuitable(ctx)
		pc.handOverOnAppendFailure(ctx)
		return
	}
	pc.updateCopy(ctx)
	if !pc.follows() {
		pc.checkOwner(ctx)
		return
	}
	pc.watchOwner(ctx)
	pc.pingOwner(ctx)
	pc.claimIfVacant(ctx)
}

// pause is the follower's pause between two reads.
func (pc *poolController) pause() time.Duration {
	if pc.readsInfrequently.Load() {
		return infrequentReadPause
	}
	return readPause
}

func (pc *poolController) dropOwnership(reason string) {
	if pc.own == nil {
		return
	}
	pc.own.close()
	pc.log.Info().Uint64("epoch", pc.own.claim.Epoch).Str("reason", reason).Str("confirmed_by", string(pc.own.confirmed.source())).
		Dur("confirmed_age", pc.node.now()-pc.own.confirmed.time()).Msg("pool.lost")
	pc.droppedEpoch = pc.own.claim.Epoch
	pc.own = nil
	pc.ownerSeenAt = pc.node.now()
	pc.node.clearOwned(pc.topic.Part)
}

// submit stores a record as the pool's owner.
func (pc *poolController) submit(s *submission) {
	switch {
	case pc.own != nil:
		pc.own.submit(s)
	case pc.claiming && pc.replica.claim.Life == pc.node.incarnation:
		pc.storeDirect(pc.ctx, s) // others have read the claim before its append was answered here
	default:
		s.stored <- errNotOwner
	}
}

// ownerAddr returns the address of the pool's owner, as far as is known here.
func (pc *poolController) ownerAddr() string {
	switch {
	case pc.successor != "":
		return pc.successor
	case pc.answeredAsOwner != "":
		return pc.answeredAsOwner
	}
	return pc.replica.claim.Addr
}

var errNotOwner = errors.New("this instance doesn't own the pool")
