package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// appendTimeout limits an append. The store answers in 4 ms, and in 240 ms when it is slow.
	appendTimeout = 1200 * time.Millisecond
	// appendRetry is the pause after a failed append.
	appendRetry = 60 * time.Millisecond
	// maxAppendsInFlight is the maximum number of concurrent appends of an owner while the store is
	// slow. A slow stream accepts the next append 80 ms after the last, but the answer arrives
	// after 240 ms: with one at a time callers waited for 365 ms on average at 40 jobs a second,
	// and with three for 282 ms (TestAppendsOverlapOnASlowStore). The store answers repetitions of
	// a writer's last five appends. While the store is fast one append at a time is enough, since
	// each is billed.
	maxAppendsInFlight = 3
	// maxUrgentAppends replaces the limit of one append in flight while the store is fast and starts wait for the next:
	// the room that they are meant for is empty meanwhile.
	maxUrgentAppends = 2
	// minAppendGap is the minimum time between two appends. Each takes processor time, and a busy owner would make one
	// for each few starts.
	minAppendGap = 8 * time.Millisecond
)

type pendingSave struct {
	kind    saveKind
	seq     uint64 // sequence number of a core's save
	records []pool.Record
	waiting []*submission
	// isUrgent is set if starts wait for it.
	isUrgent bool
	// electors is the version of the electors in a heartbeat.
	electors int
}

type saveKind int

const (
	coreSave saveKind = iota
	heartbeat
	intakeSave
	queueSave
	// partialSave is the beginning of a save that is too large for one append. The rest, of the save's own
	// kind, follows in later appends.
	partialSave
)

// saveDone reports that the store holds a save, or why it never will. The field certain is set if
// every attempt was answered.
type saveDone struct {
	pendingSave
	err     error
	certain bool
}

// saveQueue holds the saves that wait for the next append.
type saveQueue struct {
	mu      sync.Mutex
	waiting []pendingSave
	added   chan struct{}
}

func newSaveQueue() *saveQueue { return &saveQueue{added: make(chan struct{}, 1)} }

func (q *saveQueue) add(s pendingSave) {
	q.mu.Lock()
	q.waiting = append(q.waiting, s)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// isUrgent reports whether starts wait for one of the waiting saves.
func (q *saveQueue) isUrgent() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.waiting, func(s pendingSave) bool { return s.isUrgent })
}

// take removes and returns the oldest waiting saves, as many as fit into an append of maxBytes, and reports
// whether there are more. A save that doesn't fit is cut: a part of its records is returned, the rest
// remains the oldest save. At least one record is returned whatever its size. Records that their callers
// have withdrawn are dropped.
func (q *saveQueue) take(maxBytes int) (batch []pendingSave, more bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	room := maxBytes
	for len(q.waiting) > 0 {
		s := &q.waiting[0]
		fitting := s.recordsWithin(room)
		if fitting == 0 && len(batch) == 0 && len(s.records) > 0 {
			fitting = 1
		}
		if fitting == 0 && len(s.records) > 0 {
			return batch, true
		}
		if s.kind == intakeSave && !s.waiting[0].take() {
			q.waiting = q.waiting[1:]
			continue
		}
		taken := s.records[:fitting]
		room -= sizeOf(taken).bytes
		if fitting < len(s.records) {
			s.records = s.records[fitting:]
			return append(batch, pendingSave{kind: partialSave, records: taken}), true
		}
		batch = append(batch, *s)
		q.waiting = q.waiting[1:]
	}
	q.waiting = nil
	return batch, false
}

// recordsWithin returns how many of the save's records, from the first on, fit into maxBytes.
func (s *pendingSave) recordsWithin(maxBytes int) int {
	for i := range s.records {
		if maxBytes -= pool.RecordOverhead + s.records[i].Size(); maxBytes < 0 {
			return i
		}
	}
	return len(s.records)
}

// submit stores a caller's record, in one append together with all others that arrive while the
// previous append is in flight. A partition of the store accepts one append after the other; with
// one append per job, 40 jobs a second were more than a slow store accepted (26 times its usual
// latency of 2 ms), and callers got no answer.
//
// While the store rejects this instance's appends, the record is rejected at once: nothing of it
// was sent, so the caller may retry, and another instance may store it.
func (o *ownership) submit(s *submission) {
	switch {
	case o.pc.successor != "":
		s.stored <- errNotOwner
	case o.appendsFailing:
		s.stored <- ErrRefused
	case !o.queues.accepts(s):
		s.stored <- errQueueNotOpen
	default:
		if err := o.admit(s); err != nil {
			s.stored <- err
			return
		}
		o.saves.add(pendingSave{kind: intakeSave, records: []pool.Record{s.record}, waiting: []*submission{s}})
	}
}

// answerAll sends callers the outcome of their submissions. If an ownership ends while an append is
// in flight, both the append and the pool controller may report its outcome; the first report
// counts.
func answerAll(waiting []*submission, err error) {
	for _, s := range waiting {
		select {
		case s.stored <- err:
		default:
		}
	}
}

// intakeStored answers the callers and passes the records to the core.
func (o *ownership) intakeStored(save pendingSave) {
	answerAll(save.waiting, nil)
	// Before the core knows what a predecessor did, a repeated request would look like a new job,
	// and its tasks would be started a second time. In that case the record is read back from the
	// store later.
	if o.loaded {
		for _, rec := range save.records {
			from := fromCaller
			if kind, id := pool.ParseKey(rec.Key); kind == pool.JobRecord && o.pc.replica.mayContain(id) {
				from = fromStore // a predecessor may have started it
			}
			o.applyRecord(Stored{Record: rec, Offset: noOffset}, from)
		}
	}
}

// refuseIntake rejects callers' records that are not part of an append yet, so that they are stored
// another way.
func (q *saveQueue) refuseIntake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(s pendingSave) bool {
		if s.kind != intakeSave {
			return false
		}
		if s.waiting[0].withdraw() {
			answerAll(s.waiting, ErrRefused)
		}
		return true
	})
}

func (o *ownership) handleSaveDone(e saveDone) {
	if errors.Is(e.err, ErrRefused) {
		answerAll(e.waiting, ErrRefused)
		return
	}
	if e.err != nil {
		answerAll(e.waiting, e.callerError())
		o.pc.dropOwnership(e.err.Error())
		return
	}
	o.lastHeartbeat = o.pc.node.now()
	switch e.kind {
	case heartbeat:
		o.heartbeatPending = false
		if !o.electorate.markStored(e.electors, o.pc.node.now()) {
			o.recordChanged = true
		}
	case intakeSave:
		o.intakeStored(e.pendingSave)
	case queueSave, partialSave:
	default:
		o.step(pool.Saved{Seq: e.seq})
	}
}

// inFlightAppend is an append that has been sent and whose outcome is not known yet.
type inFlightAppend struct {
	batch    []pendingSave
	sequence uint64
	prev     <-chan struct{} // closed when the previous append has its outcome
	done     chan struct{}   // closed when this append has its outcome
	certain  bool            // every attempt was answered
	// unansweredFrom is when the first attempt was sent that had no answer; 0: there is none. The store answers a
	// repetition as it answered that one, though it may have accepted a newer claim since.
	unansweredFrom time.Duration
	latency        time.Duration // of the newest attempt
	// refusalLoggedAt is when a refusal of this append was last logged; 0: never.
	refusalLoggedAt time.Duration
}

// saveLoop appends the queued saves, each time all that have been added since the last append, up to
// the limit of an append. With fewer of them in an append, callers' records and ends of tasks would be
// stored alternately, and each would wait twice as long on a slow store, where an append takes 156 ms.
func (o *ownership) saveLoop() {
	a := appender{own: o, completed: make(chan *inFlightAppend, maxAppendsInFlight), probes: make(chan time.Duration, 1)}
	first := make(chan struct{})
	close(first)
	a.prev = first
	for {
		var due <-chan time.Time
		wait := a.wait()
		if a.waiting && wait == 0 {
			a.send()
			continue
		}
		var t *time.Timer
		if a.waiting && wait > 0 {
			t = time.NewTimer(wait)
			due = t.C
		}
		select {
		case <-o.saves.added:
			a.waiting = true
		case f := <-a.completed:
			a.inFlight--
			a.appendLatency = f.latency
		case a.probeLatency = <-a.probes:
		case <-due:
		case <-o.ctx.Done():
		}
		if t != nil {
			t.Stop()
		}
		if o.ctx.Err() != nil {
			return
		}
	}
}

// appender is the state of saveLoop.
type appender struct {
	own           *ownership
	waiting       bool // there are saves to be stored
	inFlight      int  // number of appends in flight
	lastSentAt    time.Duration
	appendLatency time.Duration // of the newest append that has ended
	prev          <-chan struct{}
	completed     chan *inFlightAppend
	// probeLatency is the recent latency of a read that doesn't wait for other appends, last
	// measured at probedAt; 0: unknown.
	probeLatency time.Duration
	probedAt     time.Duration
	probes       chan time.Duration
}

// untilCompleted means: until an append has completed.
const untilCompleted = time.Duration(-1)

// wait returns how long the next append has to wait.
func (a *appender) wait() time.Duration {
	switch {
	case a.inFlight == 0, a.appendLatency < slowStoreLatency && a.inFlight < maxUrgentAppends && a.own.saves.isUrgent():
		if a.lastSentAt == 0 {
			return 0
		}
		return max(0, a.lastSentAt+minAppendGap-a.own.pc.node.now())
	case a.appendLatency < slowStoreLatency || a.probeLatency == 0 || a.inFlight >= maxAppendsInFlight:
		return untilCompleted
	}
	gap := max(a.appendLatency/maxAppendsInFlight, a.appendLatency-a.probeLatency)
	return max(0, a.lastSentAt+gap-a.own.pc.node.now())
}

// probeIfSlow measures the latency of a read while appends are slow. The difference to an append's
// latency is the time in which the append waits for its turn and is processed: appends sent at
// shorter intervals would only wait for each other.
func (a *appender) probeIfSlow() {
	now := a.own.pc.node.now()
	if a.appendLatency < slowStoreLatency || now-a.probedAt < heartbeatInterval {
		return
	}
	a.probedAt = now
	go func() {
		answered := make(chan time.Duration, 1)
		a.own.probeStore(answered)
		took := time.Duration(0) // there was no answer
		select {
		case took = <-answered:
		default:
		}
		select {
		case a.probes <- took:
		case <-a.own.ctx.Done():
		}
	}()
}

func (a *appender) send() {
	var batch []pendingSave
	batch, a.waiting = a.own.saves.take(a.own.pc.node.appendLimit())
	if len(batch) == 0 {
		return
	}
	a.own.sequence++
	f := &inFlightAppend{batch: batch, sequence: a.own.sequence, prev: a.prev, done: make(chan struct{}), certain: true}
	a.prev, a.lastSentAt = f.done, a.own.pc.node.now()
	a.inFlight++
	a.probeIfSlow()
	go func() {
		a.own.appendUntilDone(f)
		close(f.done)
		a.completed <- f
	}()
}

// appendUntilDone repeats an append until its outcome is certain. An append without an answer is
// repeated with the same sequence number, so the store applies it once. Callers' records are
// rejected if the store has certainly not stored them.
//
// If the ownership ends meanwhile, nothing is repeated, but callers are told the outcome of the
// append in flight. When it was canceled, each of them remained in doubt until its time was over.
func (o *ownership) appendUntilDone(f *inFlightAppend) {
	for {
		first := isDone(f.prev)
		err := o.append(f)
		var seqErr SequenceError
		overtook := errors.As(err, &seqErr) && seqErr.Expected < f.sequence && !first
		switch {
		case err == nil, errors.As(err, &seqErr) && seqErr.Expected > f.sequence: // an earlier attempt took effect
			for _, s := range f.batch {
				o.reportSave(saveDone{pendingSave: s})
			}
			return
		case o.ctx.Err() != nil, errors.As(err, &seqErr) && !overtook, errors.Is(err, ErrFenced):
			failedSave := pendingSave{}
			for _, s := range f.batch {
				failedSave.waiting = append(failedSave.waiting, s.waiting...)
			}
			certain := f.certain && (err == nil || errors.As(err, &seqErr) || errors.Is(err, ErrFenced) || errors.Is(err, ErrRefused))
			o.reportSave(saveDone{pendingSave: failedSave, err: err, certain: certain})
			return
		case overtook:
			// It has overtaken the previous append, and the store did nothing.
			waitFor(o.ctx, appendTimeout, f.prev)
			continue
		case !errors.Is(err, ErrRefused):
			f.certain = false
		case f.certain:
			f.batch = o.refuseCallers(f.batch, err)
		}
		sleep(o.ctx, appendRetry)
	}
}

func isDone(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// reportSave reports an outcome to the pool controller, or directly to the callers if the ownership
// has ended, since its events are no longer handled.
func (o *ownership) reportSave(done saveDone) {
	if o.ctx.Err() == nil {
		o.send(done)
	}
	if o.ctx.Err() != nil {
		answerAll(done.waiting, done.callerError())
	}
}

// callerError is the error that callers get for a save.
func (e saveDone) callerError() error {
	switch {
	case e.err == nil:
		return nil
	case e.certain:
		return errNotOwner
	}
	return ErrInDoubt
}

// append makes one attempt, and tells the pool controller when appends begin or cease to fail.
func (o *ownership) append(f *inFlightAppend) error {
	var records []pool.Record
	for _, s := range f.batch {
		records = append(records, s.records...)
	}
	ctx, cancel := context.WithTimeout(o.pc.ctx, appendTimeout)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go o.watchAppend(done, cancel)
	start := o.pc.node.now()
	offset, err := o.pc.node.store.Append(ctx, o.pc.topic, records,
		&Writer{Name: "owner", Epoch: o.claim.Epoch, Sequence: f.sequence})
	f.latency = o.pc.node.now() - start
	o.logRefusedAppend(f, records, err)
	if !errors.As(err, new(SequenceError)) { // which doesn't show whether the store accepts appends
		o.setAppendsFailing(err != nil)
		if err != nil && !errors.Is(err, ErrRefused) && f.unansweredFrom == 0 {
			f.unansweredFrom = start
		}
	}
	if err == nil {
		o.recordStreamEnd(offset + int64(len(records)))
		raise(&o.confirmed.byStore, cmp.Or(f.unansweredFrom, start))
	}
	return err
}

// recordStreamEnd records the end of the stream. The answers of two appends may arrive out of
// order.
func (o *ownership) recordStreamEnd(end int64) {
	for {
		known := o.streamEnd.Load()
		if end <= known || o.streamEnd.CompareAndSwap(known, end) {
			return
		}
	}
}

// refuseCallers rejects the callers' records of a batch and returns the other saves. If none are
// left, a heartbeat replaces them, since the sequence numbers of later appends follow this one's.
func (o *ownership) refuseCallers(batch []pendingSave, err error) []pendingSave {
	var rest []pendingSave
	for _, s := range batch {
		if s.kind == intakeSave {
			o.reportSave(saveDone{pendingSave: s, err: err, certain: true})
		} else {
			rest = append(rest, s)
		}
	}
	if len(rest) == 0 {
		rest = []pendingSave{o.heartbeatSave()}
	}
	return rest
}

// heartbeatSave is a record that shows that the owner is alive.
func (o *ownership) heartbeatSave() pendingSave {
	rec, electors := o.electorate.record(o.claim)
	return pendingSave{kind: heartbeat, records: []pool.Record{{Key: pool.OwnerKey, Value: pool.Encode(rec)}}, electors: electors}
}
