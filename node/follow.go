package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

const (
	// readWait is how long a read of the store waits for a record.
	readWait = 2 * time.Second
	// readTimeout bounds a read that waits; the store answers in 4 ms, and in
	// 240 ms on slow days.
	readTimeout = readWait + 1200*time.Millisecond
	// newestTimeout bounds one page of the newest records.
	newestTimeout = 1500 * time.Millisecond
	// followRetry is the pause after a read that failed, and followRetryMost the
	// longest after several in a row. Refused reads are paid for too: at 0.1 s each,
	// 30 instances made 6,800 calls in an outage of 5.7 s.
	followRetry     = 100 * time.Millisecond
	followRetryMost = 400 * time.Millisecond
)

// batch is what a follower hands on.
type batch struct {
	// reset tells that the records are the newest of all keys, in any order;
	// what is missing among them is gone.
	reset   bool
	records []Stored
	next    int64 // the offset after the newest record known
	// asOf is the moment up to which all that was stored is known with this batch; 0: not
	// all that was stored before its question. No answer says anything of what was stored
	// after its question: dated by their arrival, pages that took 4.4 s over a slow link
	// passed for the store's state, and jobs that were accepted meanwhile were denied.
	asOf time.Duration
	// asked is when the question was put that brought this.
	asked time.Duration
	err   error // the store could not be read
}

// follower reads a topic from its newest records on.
type follower struct {
	store Store
	topic Topic
	// now is the clock that dates batches; it runs on while the machine sleeps.
	now func() time.Duration
	// pause is the shortest time between two reads that brought records.
	// Each read is paid for, so those that can wait read in larger pieces.
	pause func() time.Duration
	wait  time.Duration
	// wake ends a pause early; nil: nothing does.
	wake chan struct{}
	log  zerolog.Logger
	sight
}

// sight is what a follower knows of its own blindness.
type sight struct {
	failed     int           // questions in a row
	blindSince time.Duration // when the first of them was put
}

// note logs that the follower has become blind, or sees again.
func (f *follower) note(b batch) {
	s := &f.sight
	switch {
	case b.err != nil:
		if s.failed == 0 {
			s.blindSince = b.asked
			f.log.Warn().Str("topic", f.topic.Name).Int("part", f.topic.Part).Dur("waited", f.now()-b.asked).Err(b.err).Msg("reader.lost")
		}
		s.failed++
	case s.failed > 0:
		f.log.Info().Str("topic", f.topic.Name).Int("part", f.topic.Part).Dur("blind", f.now()-s.blindSince).Dur("asked", f.now()-b.asked).
			Int("failed", s.failed).Int("records", len(b.records)).Msg("reader.regained")
		s.failed = 0
	}
}

// run hands on batches until the context ends.
func (f *follower) run(ctx context.Context, deliver func(batch)) {
	next := int64(-1)
	retry := followRetry
	// One that is behind reads without waiting for a record, since an answer that waited
	// says nothing of the time in which it did. In a stream to which nothing comes, an
	// instance whose pages took 2.4 s was never ready.
	behind := true
	for ctx.Err() == nil {
		var b batch
		switch {
		case next < 0:
			b = f.newest(ctx)
		case behind:
			b = f.read(ctx, next, 0)
		default:
			b = f.read(ctx, next, f.wait)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(b.err, ErrTrimmed) {
			next = -1
			continue
		}
		if b.err == nil {
			next = b.next
			retry = followRetry
			behind = b.reset || b.asOf == 0 // pages take a while, and a backlog comes in pieces
		}
		f.note(b)
		deliver(b)
		switch {
		case b.err != nil:
			sleep(ctx, retry)
			if next >= 0 { // before the first answer an instance can't say that it is ready
				retry = min(2*retry, followRetryMost)
			}
		case behind && (b.reset || len(b.records) > 0):
			// It reads on at once: nobody can be told what is missing until it has caught up.
		case behind:
			sleep(ctx, retry) // the store says that there is more, and doesn't give it
		case len(b.records) > 0:
			f.rest(ctx)
		}
	}
}

// rest pauses between two reads.
func (f *follower) rest(ctx context.Context) {
	waitFor(ctx, f.pause(), f.wake)
}

func (f *follower) newest(ctx context.Context) batch {
	asked := f.now()
	b := batch{reset: true, next: -1, asked: asked}
	after := ""
	for {
		page, more, end, err := f.store.Newest(withTimeout(ctx, newestTimeout), f.topic, after)
		if err != nil {
			return batch{err: err, asked: asked}
		}
		if b.next < 0 {
			// Pages are no snapshot: reading on from the first page's end
			// brings whatever changed while the others were read.
			b.next = end
		}
		b.records = append(b.records, page...)
		if !more || len(page) == 0 {
			b.asOf = asked
			return b
		}
		after = page[len(page)-1].Key
	}
}

func (f *follower) read(ctx context.Context, from int64, wait time.Duration) batch {
	asked := f.now()
	page, end, err := f.store.Read(withTimeout(ctx, wait+readTimeout-readWait), f.topic, from, wait)
	if err != nil {
		return batch{err: err, asked: asked}
	}
	b := batch{records: page, next: from, asked: asked}
	if len(page) > 0 {
		b.next = page[len(page)-1].Offset + 1
	}
	if b.next >= end {
		b.asOf = asked
	}
	return b
}

// withTimeout returns a context that ends by itself; the caller's use of it is
// over long before its timer matters.
func withTimeout(ctx context.Context, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(ctx, d)
	context.AfterFunc(ctx, cancel)
	return ctx
}
