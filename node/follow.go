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
	// readTimeout bounds a read that waits; the store answers in 4 ms, and in 240 ms when it is
	// slow.
	readTimeout = readWait + 1200*time.Millisecond
	// waitAfterPause is how long the first read after a pause waits for a record. The owner's next
	// heartbeat record arrives within that time. With no wait at all, an owner that had lost power
	// was replaced 0.1 s later on a slow store.
	waitAfterPause = heartbeatInterval
	// newestTimeout bounds the read of one page of the newest records.
	newestTimeout = 1500 * time.Millisecond
)

// batch is the result of one read of a topic.
type batch struct {
	// reset means that the records are the newest ones of all keys, in any order; keys that are
	// missing among them have been deleted.
	reset   bool
	records []Stored
	next    int64 // the offset after the newest known record
	// asOf is a time such that, with this batch, everything stored before it is known; 0: records
	// stored before the read was sent may be missing. It is the time of the request, since a
	// response needn't include what was stored after that: when batches were dated by their
	// arrival, pages that took 4.4 s over a slow link passed for the store's current state, and
	// jobs accepted meanwhile were reported as nonexistent.
	asOf time.Duration
	// askedAt is when the read that returned this batch was sent.
	askedAt time.Duration
	err     error // the read failed
	// copyNumber identifies the copy of a pool for which the batch was read.
	copyNumber int
}

// follower reads a topic continuously, beginning with the newest record of each key.
type follower struct {
	store Store
	topic Topic
	// now is the clock for the times in batches. It keeps running while the machine is suspended.
	now func() time.Duration
	// pause returns the shortest time between two reads that returned records. Each read is billed,
	// so readers that can tolerate delay read in larger pieces.
	pause func() time.Duration
	// wait is how long a read waits for a record.
	wait time.Duration
	// wake ends a pause early; nil: pauses are never ended early.
	wake chan struct{}
	// largeTopic means that the topic holds megabytes, so that a response to a follower that is
	// behind may be large.
	largeTopic bool
	// readers are all readers of the instance, including this one.
	readers *readers
	log     zerolog.Logger
}

// position is a follower's read position in its topic.
type position struct {
	// next is the offset to read from; noOffset: the newest records of all keys are read first.
	next int64
	// answered is set once the store has answered a read.
	answered bool
	// behind means that records are stored that have not been read. A follower that is behind reads
	// without waiting for a record, since the response to a read that waited says nothing about
	// what was stored during the wait. In a stream without new records, an instance whose pages
	// took 2.4 s never became ready.
	behind bool
	// paused means that there was a pause since the last response.
	paused bool
}

// run delivers batches until the context ends.
func (f *follower) run(ctx context.Context, deliver func(batch)) {
	r := f.readers.add(f)
	defer f.readers.remove(r)
	handle := func(b batch) {
		r.record(b)
		deliver(b)
	}
	at := position{next: noOffset, behind: true}
	for ctx.Err() == nil {
		b := f.readNext(ctx, at, handle)
		if ctx.Err() != nil {
			return
		}
		if b.err != nil { // the records at this offset have been trimmed
			at.next, at.behind = noOffset, true
			continue
		}
		at.next, at.answered = b.next, true
		at.behind = b.reset || b.asOf == 0 // pages take a while, and a backlog arrives in pieces
		handle(b)
		at.paused = f.pauseAfter(ctx, at, b)
	}
}

// readNext reads from a position on, and retries until it succeeds; failed is called for each
// failure.
func (f *follower) readNext(ctx context.Context, at position, failed func(batch)) batch {
	q := retryingRead{read: f.readNewest, large: at.behind && f.largeTopic, maxRetryPause: maxReadRetryPause, readersRegained: &f.readers.readersRegained, failed: failed}
	if at.next != noOffset {
		q.read = func(ctx context.Context, wait time.Duration) batch { return f.read(ctx, at.next, wait) }
	}
	if !at.answered {
		q.maxRetryPause = readRetryPause // until then the instance can't report that it is ready
	}
	switch {
	case at.behind:
		return q.run(ctx, 0)
	case at.paused:
		// Only a read right after a response waits long, since the store was available a moment
		// ago. This one may meet an outage, which shows only when its wait is over.
		return q.run(ctx, min(f.wait, waitAfterPause))
	}
	return q.run(ctx, f.wait)
}

// pauseAfter pauses between two reads if required, and reports whether it did.
func (f *follower) pauseAfter(ctx context.Context, at position, b batch) bool {
	switch {
	case at.behind && (b.reset || len(b.records) > 0):
		return false // not-found answers are impossible until the follower has caught up
	case at.behind:
		sleep(ctx, readRetryPause) // the store reports more records but doesn't return them
		return true
	case len(b.records) > 0 && f.pause() > 0:
		waitFor(ctx, f.pause(), f.wake)
		return true
	}
	return false
}

// readNewest reads the newest records of all keys. It never waits for a record, as there is always
// a response.
func (f *follower) readNewest(ctx context.Context, _ time.Duration) batch {
	asked := f.now()
	b := batch{reset: true, next: -1, askedAt: asked}
	after := ""
	read := map[string]bool{} // the keys after which pages began
	for {
		page, more, end, err := f.store.Newest(withTimeout(ctx, newestTimeout), f.topic, after)
		if err != nil {
			return batch{err: err, askedAt: asked}
		}
		if b.next < 0 {
			// Pages are not a consistent snapshot: reading on from the end that the first page
			// reported returns whatever changed while the others were read.
			b.next = end
		}
		b.records = append(b.records, page...)
		if !more || len(page) == 0 {
			b.asOf = asked
			return b
		}
		if after = page[len(page)-1].Key; read[after] {
			return batch{err: errors.New("the pages of newest records lead back to earlier ones"), askedAt: asked}
		}
		read[after] = true
	}
}

func (f *follower) read(ctx context.Context, from int64, wait time.Duration) batch {
	asked := f.now()
	page, end, err := f.store.Read(withTimeout(ctx, wait+readTimeout-readWait), f.topic, from, wait)
	if err != nil {
		return batch{err: err, askedAt: asked}
	}
	b := batch{records: page, next: from, askedAt: asked}
	if len(page) > 0 {
		b.next = page[len(page)-1].Offset + 1
	}
	if b.next >= end {
		b.asOf = asked
	}
	return b
}

// withTimeout returns a context that needs no cancel call, as it releases its timer when it ends.
// Callers are done with it long before the timeout. For calls that are made
// hundreds of times a second it costs too much: a timer that lasts until the timeout and a goroutine at its end.
func withTimeout(ctx context.Context, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(ctx, d)
	context.AfterFunc(ctx, cancel)
	return ctx
}
