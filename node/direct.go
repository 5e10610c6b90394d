package node

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

// directRetryTimeout is how long an append is retried after another writer has extended the stream.
// An attempt with its read takes 10 ms, and 0.4 s on a slow store. Afterwards it is better to ask
// the owner, which evidently can append.
const directRetryTimeout = 300 * time.Millisecond

// errStreamGrew means that other writers kept appending to the stream.
var errStreamGrew = errors.Wrap(ErrRefused, "the stream grew at each attempt")

// errOwnerChanged means that the pool has another owner than the one that was asked to store the record.
var errOwnerChanged = errors.Wrap(ErrRefused, "another instance has taken over the pool")

// directResult is the outcome of an append without the owner.
type directResult struct {
	submissions []*submission
	records     []Stored
	err         error
}

// storeDirect stores a record without the owner. One append runs at a time and carries all records
// that have arrived meanwhile: with one append for each record, the queue of a slow store grew
// beyond all timeouts, and retries kept it there.
func (pc *poolController) storeDirect(ctx context.Context, s *submission) {
	pc.directPending = append(pc.directPending, s)
	pc.leaveDirectToOwner()
	pc.appendDirect(ctx)
}

// appendDirect appends the waiting records on condition that nothing was stored in the pool that
// this instance has not read, since the owner may have closed it for a queue. An append that takes
// effect late, behind other records, then stores nothing.
func (pc *poolController) appendDirect(ctx context.Context) {
	if pc.own != nil && pc.own.loaded {
		pc.submitDirect()
		return
	}
	if pc.directInFlight || len(pc.directPending) == 0 || pc.replica.next < pc.directMinOffset && pc.replica.next != pc.claimOffset {
		return
	}
	var done directResult
	var records []pool.Record
	at := pc.replica.next
	if at == pc.claimOffset {
		at++
	}
	room := pc.node.appendLimit()
	for len(pc.directPending) > 0 {
		s := pc.directPending[0]
		if room -= pool.RecordOverhead + s.record.Size(); room < 0 && len(records) > 0 {
			break // the others follow in the next append
		}
		pc.directPending = pc.directPending[1:]
		if !pc.acceptsDirect(s) {
			s.stored <- errQueueNotOpen
			continue
		}
		if s.take() {
			done.submissions = append(done.submissions, s)
			done.records = append(done.records, Stored{Offset: at + int64(len(records)), Record: s.record})
			records = append(records, s.record)
		}
	}
	if len(records) == 0 {
		return
	}
	pc.directInFlight = true
	go func() {
		_, done.err = pc.node.store.AppendAt(withTimeout(ctx, appendTimeout), pc.topic, records, at)
		pc.send(ctx, done)
	}()
}

// submitDirect stores the waiting records as the owner, which this instance has become.
func (pc *poolController) submitDirect() {
	for _, s := range pc.directPending {
		pc.own.submit(s)
	}
	pc.directPending = nil
}

// acceptsDirect reports whether the pool is open for a job's queue by the same version as when the
// job was looked up in the former pools.
func (pc *poolController) acceptsDirect(s *submission) bool {
	if s.queue == "" {
		return true
	}
	state, known := pc.replica.queueState(s.queue)
	return known && state.Open && state.Version == s.openVersion
}

// handleDirectResult handles the outcome of an append without the owner. If the append failed
// because the stream had grown, it is retried once this instance has read the new records.
func (pc *poolController) handleDirectResult(ctx context.Context, e directResult) {
	pc.directInFlight = false
	var grown EndError
	switch {
	case errors.As(e.err, &grown):
		pc.retryDirect(e, grown)
	case e.err == nil:
		first, last := e.records[0].Offset, e.records[len(e.records)-1].Offset
		pc.applyRange(streamRange{from: first, batch: batch{records: e.records, next: last + 1}})
		answerAll(e.submissions, nil)
	default:
		answerAll(e.submissions, e.err)
	}
	pc.appendDirect(ctx)
}

func (pc *poolController) retryDirect(e directResult, grown EndError) {
	for _, s := range e.submissions {
		s.release()
		if s.firstFailedAt == 0 {
			s.firstFailedAt = pc.node.now()
		}
		pc.directPending = append(pc.directPending, s)
	}
	pc.leaveDirectToOwner()
	pc.directMinOffset = grown.End
	if pc.replica.next < pc.directMinOffset {
		pc.wakeReader()
	}
}

// leaveDirectToOwner gives up the records that the pool's owner may store sooner.
func (pc *poolController) leaveDirectToOwner() {
	pc.directPending = slices.DeleteFunc(pc.directPending, func(s *submission) bool {
		err := pc.directRefusal(s)
		if err != nil {
			s.stored <- err
		}
		return err != nil
	})
}

// directRefusal returns why this instance doesn't append a record without the owner; nil: it does. An
// instance that is taking over the pool keeps the record and will store it as the owner.
func (pc *poolController) directRefusal(s *submission) error {
	switch {
	case pc.claiming || pc.own != nil:
		return nil
	case pc.replica.claim.Epoch > s.ownerEpoch:
		return errOwnerChanged
	case s.firstFailedAt != 0 && pc.node.now()-s.firstFailedAt > directRetryTimeout:
		return errStreamGrew
	}
	return nil
}

// refuseDirect refuses the records that wait for the store to be read.
func (pc *poolController) refuseDirect() {
	for _, s := range pc.directPending {
		s.stored <- ErrRefused
	}
	pc.directPending = nil
}
