package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

// Verdict is the outcome of a caller's request.
type Verdict int

const (
	// Accepted means that the store holds the record.
	Accepted Verdict = iota
	// NotRun means that the job was not stored and never runs.
	NotRun
	// Unknown means that the record may have been stored; the same request may be repeated.
	Unknown
	// NoSuchJob means that there is no job with this ID.
	NoSuchJob
	// CantTell means that it isn't known at present whether there is such a job.
	CantTell
	// OtherOrganisation means that another organisation has submitted a job with the same ID.
	OtherOrganisation
	// TooLarge means that the job was not stored, as the store can't hold it or its progress.
	TooLarge
)

const (
	// ownerTimeout limits an attempt through the pool's owner, and slowOwnerTimeout one through an
	// owner that answers other calls: the store is slow then, and any other way would only add to
	// its queue. Callers wait for 3 s.
	ownerTimeout     = 700 * time.Millisecond
	slowOwnerTimeout = 2300 * time.Millisecond
	// submitRetryPause is the pause between two rounds of attempts.
	submitRetryPause = 250 * time.Millisecond
	// appendWaitRatio is the share of a caller's time for which its record is held while nothing
	// can be stored. Callers retry up to four times, a second later; held for less than half of the
	// remaining time each time, their records are tried during all but the last tenth of it.
	appendWaitRatio = 0.4
	// minAppendWait is enough for an append, which takes 4 to 20 ms.
	minAppendWait = 50 * time.Millisecond
	// minAppendWaitInDoubt is the minimum for a record that may be stored already, on a slow store.
	// Such a record can't be refused, so giving up early gains nothing; on a store 40 times slower
	// than usual a check and the append in flight take 0.25 s. With minAppendWait, 7 of 400 callers
	// were left in doubt by an owner that lost power (TestPoolKeepsTakingJobsOnASlowStore), with
	// this none. On a store that rejects everything for 4 s it cost 0.007 of the value earned (9
	// paired runs, standard error 0.003).
	minAppendWaitInDoubt = 600 * time.Millisecond
	// refusedRetryPause is the pause between two rounds of attempts if none of them can have stored
	// anything.
	refusedRetryPause = 100 * time.Millisecond
	// maxRedirects is how many times a caller's record follows a pool that moves to another owner.
	maxRedirects = 3
)

// SubmitResult is the answer to a caller that submits a job.
type SubmitResult struct {
	Verdict Verdict
	// RetryAfter is the time until capacity for the job is expected, if it was refused for lack of
	// capacity; its verdict is NotRun then. Otherwise it is 0.
	RetryAfter time.Duration
	// Reason says why the job is too large, if the verdict is TooLarge.
	Reason string
}

// Submit is SubmitJob for callers that don't need to know when to retry.
func (n *Node) Submit(ctx context.Context, j pool.Job) Verdict { return n.SubmitJob(ctx, j).Verdict }

// SubmitJob stores a job. Any instance can do so: the first record of an ID counts.
func (n *Node) SubmitJob(ctx context.Context, j pool.Job) SubmitResult {
	queue := n.queueRef(&j)
	part := partOf(j.Service, n.opts.Parts)
	start := time.Now()
	rec := pool.Record{Key: pool.JobKey(j.ID), Value: pool.Encode(j)}
	v, retryAfter, reason := Accepted, time.Duration(0), ""
	if known, org := n.knownJob(ctx, part, j.ID); known {
		if !mayAccess(j.Organisation, org) {
			v = OtherOrganisation
		}
	} else if err := j.CheckSize(rec.Size(), n.opts.MaxRecord, n.opts.MaxMemory); err != nil {
		v, reason = n.refuseTooLarge(ctx, &j), err.Error()
	} else {
		v, retryAfter = n.persist(ctx, part, rec, queue)
	}
	took := time.Since(start)
	n.metrics.recordSubmission(j.Organisation, v, took)
	n.log.Info().Str("job", j.ID).Str("queue", j.Queue).Str("organisation", j.Organisation).Int("pool", part).Int64("version", n.configVersion()).
		Int64("at_ms", j.AcceptedMs).Dur("took", took).Stringer("verdict", v).Dur("come_back", retryAfter).Str("reason", reason).Msg("job.submitted")
	return SubmitResult{Verdict: v, RetryAfter: retryAfter, Reason: reason}
}

// refuseTooLarge returns the verdict on a job that is too large to be stored. An older version of this program
// may have stored it, and the caller may repeat its request.
func (n *Node) refuseTooLarge(ctx context.Context, j *pool.Job) Verdict {
	switch _, v := n.StateFor(ctx, j.Organisation, j.Service, j.ID); v {
	case NoSuchJob:
		return TooLarge
	case Accepted:
		return Accepted
	}
	return Unknown
}

// knowsJob reports whether a job is known to be stored, in any pool. Callers repeat requests that
// were accepted; these are answered without the store, so also during its outages.
func (n *Node) knowsJob(ctx context.Context, part int, job string) bool {
	known, _ := n.knownJob(ctx, part, job)
	return known
}

// knownJob is like knowsJob, and returns the job's organisation if that is known.
func (n *Node) knownJob(ctx context.Context, part int, job string) (known bool, organisation string) {
	for _, pc := range n.controllersStartingWith(part) {
		found, org := false, ""
		if err := pc.do(ctx, func() { found, org = pc.holds(job), pc.organisationOf(job) }); err == nil && found {
			return true, org
		}
	}
	return false, ""
}

// organisationOfRecord returns the organisation in a job's record.
func organisationOfRecord(rec pool.Record) string {
	var stored struct {
		Organisation string `json:"o"`
	}
	if json.Unmarshal(rec.Value, &stored) != nil {
		return "" // readers skip the record
	}
	return stored.Organisation
}

// errOtherOrganisation means that another organisation has submitted a job with the same ID. Nothing was
// stored.
var errOtherOrganisation = errors.Wrap(ErrRefused, "the ID is that of a job of another organisation")

// errRecordTooLarge means that the store would refuse a record at each attempt, and with it all others in its
// append. Only instances of an older version ask for one to be stored.
var errRecordTooLarge = errors.Wrap(ErrRefused, "the record is too large")

// intake is a record that is to be stored for a caller.
type intake struct {
	part   int
	record pool.Record
	// appendWait is how long the record may wait for an append.
	appendWait time.Duration
	// inDoubt is set if an attempt had no answer, so that the record may be stored already.
	inDoubt bool
	// queue is the job's queue; its name is empty for other records.
	queue QueueRef
	// ownerEpoch is the epoch of the newest owner that has been asked to store the record.
	ownerEpoch uint64
}

// ownerEpoch returns the epoch of a pool's owner as far as this instance knows it; 0: it knows none.
func (n *Node) ownerEpoch(ctx context.Context, part int) uint64 {
	pc := n.controller(part)
	if pc == nil {
		return 0
	}
	var epoch uint64
	if err := pc.do(ctx, func() { epoch = pc.replica.claim.Epoch }); err != nil {
		return 0
	}
	return epoch
}

// submitAndWait stores a record as the pool's owner and waits for the outcome.
func (pc *poolController) submitAndWait(ctx context.Context, r intake) error {
	return pc.storeAndWait(ctx, r, func(_ context.Context, s *submission) { pc.submit(s) })
}

// storeAndWait passes a record to one of the pool controller's functions that store it, and waits
// for the outcome. A record that is in no append after appendWait is withdrawn: it was not stored
// and never will be. Otherwise each caller would use up its time in an outage, and none could be
// told for certain that nothing was stored, although nearly all records were not.
func (pc *poolController) storeAndWait(ctx context.Context, r intake, store func(context.Context, *submission)) error {
	if r.record.Size() > pc.node.opts.MaxRecord {
		return errRecordTooLarge
	}
	s := newSubmission(r.record)
	s.inDoubt, s.ownerEpoch = r.inDoubt, r.ownerEpoch
	waiting := withTimeout(ctx, slowOwnerTimeout)
	if r.queue.Name != "" {
		opened, stored, err := pc.checkQueue(waiting, r)
		if err != nil || stored {
			return err
		}
		s.queue, s.openVersion = r.queue.Name, opened
	}
	if err := pc.do(waiting, func() { store(pc.ctx, s) }); err != nil {
		if s.withdraw() {
			return ErrRefused
		}
		return err
	}
	if err, end := waitFor(waiting, r.appendWait, s.stored); end == waitReceived {
		return err
	}
	if s.withdraw() {
		return ErrRefused
	}
	// The record is part of an append, which can't be undone: the append's outcome counts.
	select {
	case err := <-s.stored:
		return err
	case <-waiting.Done():
		return ErrInDoubt
	}
}

// storeViaOwner stores a record through the pool's owner, which combines concurrent records into
// one append.
func (n *Node) storeViaOwner(ctx context.Context, in intake) error {
	pc := n.controller(in.part)
	if pc == nil {
		return errNotOwner
	}
	var addr string
	if err := pc.do(ctx, func() { addr = pc.ownerAddr() }); err != nil {
		// Nothing has been submitted, so the outcome of this attempt is certain.
		return errors.Wrap(ErrRefused, "the owner wasn't looked up in time")
	}
	return n.submitAt(ctx, pc, addr, in)
}

// submitAt submits a record to the presumed owner of the pool, following redirects to the actual
// one.
func (n *Node) submitAt(ctx context.Context, pc *poolController, addr string, in intake) error {
	for range maxRedirects {
		if addr == "" {
			return errNotOwner
		}
		if addr == n.opts.PeerAddr {
			return pc.submitAndWait(ctx, in)
		}
		var r SubmitReply
		args := in.args()
		err := n.peers.callWhileAlive(ctx, addr, "Submit", args, &r, ownerTimeout, slowOwnerTimeout)
		if err != nil || r.Stored {
			return err
		}
		switch {
		case r.ComeBack > 0:
			return &OverloadError{RetryAfter: r.ComeBack}
		case r.OtherOrganisation:
			return errOtherOrganisation
		case r.Moved != nil:
			return &MovedError{To: *r.Moved}
		case r.NotOpen:
			return errQueueNotOpen
		}
		addr = r.Owner
	}
	return errNotOwner
}

// args returns the arguments that ask a peer to store the record.
func (in intake) args() StoreArgs {
	return StoreArgs{Part: in.part, Record: in.record, Hold: in.appendWait, InDoubt: in.inDoubt, Queue: in.queue, OwnerEpoch: in.ownerEpoch}
}

// persist stores a record: through the pool's owner, or else from this instance, or else through a
// peer. While all attempts certainly store nothing it retries for a part of the caller's time, so
// that the record is stored as soon as the store recovers; then it tells the caller that the record
// was not stored, early enough for the caller to retry. Once an attempt had no answer the record
// may be stored at any time, so it retries until the outcome is certain.
//
// A job that the owner refuses for lack of capacity is not stored another way: it would run
// although its caller was told that it never will. The caller is told when to retry, once a read of
// the store has proved that nothing of the job is stored.
func (n *Node) persist(ctx context.Context, part int, rec pool.Record, queue QueueRef) (v Verdict, retryAfter time.Duration) {
	refuseAt := n.now() + maxAppendWait(ctx)
	in := intake{part: part, record: rec, queue: queue}
rounds:
	for {
		in.ownerEpoch = n.ownerEpoch(ctx, in.part)
		for _, store := range []func(context.Context, intake) error{n.storeViaOwner, n.storeWithoutOwner, n.storeViaPeer} {
			if in.inDoubt && n.hasRead(in) {
				return Accepted, 0
			}
			if !in.inDoubt && n.now() >= refuseAt {
				return NotRun, 0
			}
			in.appendWait = max(minAppendWait, refuseAt-n.now())
			if in.inDoubt && n.storeMayBeSlow(part) {
				in.appendWait = max(in.appendWait, minAppendWaitInDoubt)
			}
			err := store(ctx, in)
			if err == nil {
				return Accepted, 0
			}
			switch {
			case errors.Is(err, errOtherOrganisation):
				return OtherOrganisation, 0
			case errors.Is(err, errOwnerChanged) && n.ownerEpoch(ctx, in.part) > in.ownerEpoch:
				continue rounds
			}
			var overload *OverloadError
			if errors.As(err, &overload) && n.isNotStored(ctx, in) {
				return NotRun, overload.RetryAfter
			}
			// The refusal of a record that may be stored already leaves it in doubt; the owner
			// accepts it at the next attempt.
			in.inDoubt = in.inDoubt || !isCertainlyNotStored(err)
			if n.redirect(&in, err) || errors.Is(err, errQueueNotOpen) {
				break // the other ways lead to the same pool
			}
		}
		pause := submitRetryPause
		if !in.inDoubt {
			if n.now()+refusedRetryPause >= refuseAt {
				return NotRun, 0
			}
			pause = refusedRetryPause
		}
		if sleep(ctx, pause); ctx.Err() != nil {
			switch {
			case !in.inDoubt:
				return NotRun, 0
			case n.hasRead(in):
				return Accepted, 0
			}
			return Unknown, 0
		}
	}
}

// hasRead reports whether a record that may be stored has been read from the store, even after its
// caller's time is over.
func (n *Node) hasRead(in intake) bool {
	kind, id := pool.ParseKey(in.record.Key)
	if kind == pool.JobRecord && n.knowsJob(n.runCtx, in.part, id) {
		return true
	}
	pc := n.controller(in.part)
	if pc == nil {
		return false
	}
	read := false
	copied := false
	err := pc.do(n.runCtx, func() { _, read = pc.replica.records[in.record.Key]; copied = pc.copyLoaded })
	if err != nil || kind == pool.JobRecord && copied {
		return false
	}
	return read || !copied && pc.isStoredRemotely(withTimeout(n.runCtx, peerTimeout), kind, id)
}

// maxAppendWait returns how long a caller's record is held at most while nothing can be stored.
func maxAppendWait(ctx context.Context) time.Duration {
	until, limited := ctx.Deadline()
	if !limited {
		return slowOwnerTimeout
	}
	return time.Duration(appendWaitRatio * float64(time.Until(until)))
}

// isCertainlyNotStored reports whether an error means that nothing was or will be stored. An error
// of a peer arrives as its text.
func isCertainlyNotStored(err error) bool {
	if errors.Is(err, errPeerUnreachable) || errors.Is(err, ErrRefused) {
		return true
	}
	text := err.Error()
	return text == errNotOwner.Error() || strings.HasSuffix(text, ErrRefused.Error())
}

// storeWithoutOwner stores a record from this instance if the store currently answers it. An append
// to a store that doesn't would leave the caller in doubt.
//
// While the store is slow only the pool's next owner stores records without the owner. A stream
// accepts one append after the other, 80 ms each where it usually takes 2 ms, and rejects appends
// once the queue exceeds 2 s: when an owner had left, 39 instances filled the queue by themselves,
// and neither the next owner's claim nor its appends got through until the store was fast again.
// 106 of 400 callers were accepted instead of 400 (TestPoolKeepsTakingJobsOnASlowStore). With one
// instance appending the stream's queue stays short.
func (n *Node) storeWithoutOwner(ctx context.Context, in intake) error {
	pc := n.controller(in.part)
	if pc == nil || !pc.storeReadable.Load() || !pc.listed.Load() {
		return ErrRefused
	}
	switch pc.checkStoreState(withTimeout(ctx, in.appendWait)) {
	case storeUnavailable:
		return ErrRefused
	case storeSlow:
		if next, err := pc.nextOwner(ctx); err != nil || next != n.opts.PeerAddr {
			return ErrRefused
		}
	}
	return pc.storeAndWait(ctx, in, pc.storeDirect)
}

// storeViaPeer makes a peer store a record: the pool's next owner if the store is slow, or else a
// random one, since the store may reject any of them, and each attempt takes time.
func (n *Node) storeViaPeer(ctx context.Context, in intake) error {
	peers := n.peers.addrs()
	if len(peers) == 0 {
		return errors.Wrap(errPeerUnreachable, "no other instance is known")
	}
	pc := n.controller(in.part)
	if pc != nil && !pc.followed.Load() {
		return n.storeViaCopyHolder(ctx, pc, in)
	}
	addr := peers[rand.IntN(len(peers))]
	if pc != nil && pc.storeReadable.Load() && pc.checkStoreState(withTimeout(ctx, in.appendWait)) == storeSlow {
		if n.ownerEpoch(ctx, in.part) > in.ownerEpoch {
			return errOwnerChanged
		}
		next, err := pc.nextOwner(ctx)
		if err != nil || next == n.opts.PeerAddr {
			return ErrRefused // this instance has tried already
		}
		addr = next
	}
	return n.storeAt(ctx, addr, in)
}

// storeViaCopyHolder makes an instance with a copy of the pool store a record. It tries the next
// owner first, which can store it even if the store is slow, then another one if the store rejects
// the next owner's append.
func (n *Node) storeViaCopyHolder(ctx context.Context, pc *poolController, in intake) error {
	holders := pc.copyHolders(withTimeout(ctx, aliveTimeout))
	if len(holders) == 0 {
		return errors.Wrap(errPeerUnreachable, "no other instance has a copy of the pool")
	}
	err := n.submitAt(ctx, pc, holders[0], in) // it is the first to learn of a new owner, or is the new owner
	if err == nil || !isCertainlyNotStored(err) {
		return err
	}
	err = n.storeAt(ctx, holders[0], in)
	if err == nil || !isCertainlyNotStored(err) || len(holders) == 1 {
		return err
	}
	return n.storeAt(ctx, holders[1+rand.IntN(len(holders)-1)], in)
}

// storeAt asks a peer to store a record.
func (n *Node) storeAt(ctx context.Context, addr string, in intake) error {
	args := in.args()
	args.Hold = min(in.appendWait, peerTimeout/2)
	return n.peers.call(ctx, addr, "Store", args, &Empty{}, peerTimeout)
}

// otherOwnerIsActive reports whether another instance owns a pool and its records have been read
// from the store just now. An append that requires a given end of the stream rarely succeeds on a
// slow store while an owner appends too.
func (n *Node) otherOwnerIsActive(ctx context.Context, part int) bool {
	pc := n.controller(part)
	if pc == nil {
		return false
	}
	active := false
	err := pc.do(ctx, func() {
		addr := pc.replica.claim.Addr
		active = addr != "" && addr != n.opts.PeerAddr && n.now()-pc.ownerSeenAt < ownerWorkingTTL
	})
	return err == nil && active
}

// Cancel stores a job's cancellation.
func (n *Node) Cancel(ctx context.Context, service, job string) Verdict {
	f, v := n.find(ctx, service, job)
	return n.cancelFound(ctx, f, v, job)
}

// CancelFor stores the cancellation of a job for a caller of an organisation, as in StateFor.
func (n *Node) CancelFor(ctx context.Context, organisation, service, job string) Verdict {
	f, v := n.find(ctx, service, job)
	if v == Accepted && !mayAccess(organisation, f.organisation) {
		v = NoSuchJob
	}
	return n.cancelFound(ctx, f, v, job)
}

func (n *Node) cancelFound(ctx context.Context, f foundJob, v Verdict, job string) Verdict {
	if v != Accepted {
		return v
	}
	if !f.state.Ended() {
		v, _ = n.persist(ctx, f.part, pool.Record{Key: pool.CancelKey(job), Value: []byte("1")}, QueueRef{})
	}
	n.log.Info().Str("job", job).Str("state", string(f.state)).Stringer("verdict", v).Msg("job.cancel_asked")
	return v
}

// String names a verdict in logs.
func (v Verdict) String() string {
	return [...]string{"accepted", "not run", "unknown", "no such job", "can't tell", "other organisation", "too large"}[v]
}
