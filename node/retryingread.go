package node

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// overdueMargin is the time after the end of a read's wait at which its answer is overdue. The
	// store answers in 4 ms, and in 240 ms when it is slow.
	overdueMargin = 300 * time.Millisecond
	// readRetryPause is the pause after a failed read, and maxReadRetryPause the longest pause
	// after several failures in a row. Rejected reads are billed too: with a pause of 0.1 s, 30
	// instances made 6,800 calls in an outage of 5.7 s.
	readRetryPause    = 100 * time.Millisecond
	maxReadRetryPause = 400 * time.Millisecond
)

// readFunc makes one read of the store; if there is no record, it waits for one for the given time.
type readFunc func(ctx context.Context, wait time.Duration) batch

// retryingRead is a read of the store that is repeated until it is answered.
//
// A call that reaches an unresponsive store never gets an answer, even if the store recovers the
// moment after, and can't be distinguished from one that waits for a record. When instances waited
// for the timeout of such calls, their copies were out of date for seconds in which the store
// answered everybody else: they told callers that confirmed routes didn't exist. So a read whose
// answer is overdue is repeated concurrently, without waiting for a record, and the first answer
// counts. Whatever was lost, a read that starts after the store's recovery is answered, and starts
// at most overdueMargin after it.
type retryingRead struct {
	read readFunc
	// large is set if an answer may hold megabytes. Such a read is repeated only after a failure:
	// several answers at once would take longer than one.
	large bool
	// maxRetryPause is the longest pause after a failure.
	maxRetryPause time.Duration
	// readersRegained wakes the instance's other readers, whose reads may have been lost; see
	// broadcast.
	readersRegained *broadcast
	// failed is called for each failure.
	failed func(batch)

	replies      chan readReply
	attempts     int           // number of reads that were started
	arriving     int           // number of the read whose answer has begun to arrive; 0: none
	storeSuspect bool          // a read has failed, or its answer is overdue
	repeatAt     time.Time     // when the read is to be repeated; zero: it isn't
	retryPause   time.Duration // the next pause after a failure
}

// readReply is an event of one of the reads.
type readReply struct {
	number  int  // number of the read; the first is 1
	started bool // its answer has begun to arrive; otherwise the read has ended with an answer or an error
	answer  batch
}

// run repeats the read until it is answered, and returns the answer.
func (rr *retryingRead) run(ctx context.Context, wait time.Duration) batch {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the other reads
	rr.replies, rr.retryPause = make(chan readReply), readRetryPause
	wake := rr.readersRegained.next()
	rr.start(ctx, wait)
	if !rr.large {
		rr.repeatAfter(wait + overdueMargin)
	}
	for {
		var repeat <-chan time.Time
		if !rr.repeatAt.IsZero() {
			repeat = after(time.Until(rr.repeatAt))
		}
		select {
		case r := <-rr.replies:
			if rr.handleReply(r) {
				return r.answer
			}
		case <-repeat:
			rr.storeSuspect = true
			rr.repeat(ctx)
		case <-wake:
			wake = rr.readersRegained.next()
			if rr.arriving == 0 && !rr.large {
				rr.repeat(ctx)
			}
		case <-ctx.Done():
			return batch{err: ctx.Err()}
		}
	}
}

// start starts a read, concurrently with those in flight.
func (rr *retryingRead) start(ctx context.Context, wait time.Duration) {
	rr.attempts++
	number := rr.attempts
	send := func(r readReply) {
		select {
		case rr.replies <- r:
		case <-ctx.Done():
		}
	}
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { send(readReply{number: number, started: true}) }}
	go func() { send(readReply{number: number, answer: rr.read(httptrace.WithClientTrace(ctx, trace), wait)}) }()
}

// repeat starts another read. It doesn't wait for a record, so that its own answer is overdue soon.
func (rr *retryingRead) repeat(ctx context.Context) {
	rr.start(ctx, 0)
	rr.repeatAt = time.Time{}
	if !rr.large {
		rr.repeatAfter(overdueMargin)
	}
}

func (rr *retryingRead) repeatAfter(d time.Duration) { rr.repeatAt = time.Now().Add(d) }

// handleReply handles an event of a read, and reports whether it is the answer.
func (rr *retryingRead) handleReply(r readReply) bool {
	switch {
	case r.started:
		// The answer may arrive over a slow link; a concurrent second one would slow it down.
		rr.arriving = r.number
		rr.repeatAt = time.Time{}
		return false
	case r.answer.err != nil && !errors.Is(r.answer.err, ErrTrimmed):
		rr.storeSuspect = true
		rr.failed(r.answer)
		if r.number == rr.arriving || rr.arriving == 0 && r.number == rr.attempts {
			rr.arriving = 0
			rr.repeatAfter(rr.retryPause)
			rr.retryPause = min(2*rr.retryPause, rr.maxRetryPause)
		}
		return false
	}
	if rr.storeSuspect && r.number > 1 {
		rr.readersRegained.notify()
	}
	return true
}

// broadcast wakes all waiting readers of an instance. The first one whose reads are answered again
// wakes the others: their reads may have been lost too, but look as if they waited for a record. A
// read that waits 20 s detects its loss only this way.
type broadcast struct {
	mu   sync.Mutex
	wake chan struct{}
}

// next returns a channel that is closed by the next notify.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wake == nil {
		b.wake = make(chan struct{})
	}
	return b.wake
}

// notify wakes all waiting readers.
func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wake != nil {
		close(b.wake)
		b.wake = nil
	}
}
