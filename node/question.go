package node

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// overdueAfter is how much later than its wait an answer is overdue. The store answers
	// in 4 ms, and in 240 ms on slow days.
	overdueAfter = 300 * time.Millisecond
	// followRetry is the pause after a question that failed, and followRetryMost the
	// longest after several in a row. Refused reads are paid for too: at 0.1 s each,
	// 30 instances made 6,800 calls in an outage of 5.7 s.
	followRetry     = 100 * time.Millisecond
	followRetryMost = 400 * time.Millisecond
)

// question reads the store once; it waits so long for a record if there is none.
type question func(ctx context.Context, wait time.Duration) batch

// inquiry is one question and all that is done to have it answered.
//
// A call that reaches a silent store never has an answer, also if the store is back the
// moment after, and from outside it looks like one that waits for a record. Waited out, such
// calls kept instances blind for seconds in which the store answered everybody else: they
// denied callers routes that had been confirmed. So a question whose answer is overdue is
// put once more beside the first, without waiting for a record, and the first answer
// counts. Whatever was lost, one put after the store's return is answered, and that is
// overdueAfter behind it at most.
type inquiry struct {
	question question
	// large tells that an answer may hold megabytes. Such a question is put again only
	// when it has failed: several answers at once would take longer than one.
	large bool
	// retryMost is the longest pause after a failure.
	retryMost time.Duration
	// regained wakes those whose questions may have been lost, see broadcast.
	regained *broadcast
	// failed is told of each failure.
	failed func(batch)

	replies chan reply
	asked   int  // how often the question was put
	coming  int  // the number of the one whose answer has begun to arrive; 0: none
	lost    bool // one has failed, or its answer is overdue
	// putAgain is due when the question has to be put again.
	putAgain *time.Timer
	retry    time.Duration // the next pause after a failure
}

// reply is what becomes known of a question that was put.
type reply struct {
	number int  // which one; the first is 1
	begun  bool // its answer has begun to arrive; otherwise it has an answer or an error
	answer batch
}

// run puts the question until it is answered, and returns the answer.
func (q *inquiry) run(ctx context.Context, wait time.Duration) batch {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // of those whose answers nobody needs any more
	q.replies, q.retry = make(chan reply), followRetry
	regained := q.regained.next()
	q.put(ctx, wait)
	q.putAgain = time.NewTimer(wait + overdueAfter)
	defer q.putAgain.Stop()
	if q.large {
		q.putAgain.Stop()
	}
	for {
		select {
		case r := <-q.replies:
			if q.settles(r) {
				return r.answer
			}
		case <-q.putAgain.C:
			q.lost = true
			q.repeat(ctx)
		case <-regained:
			regained = q.regained.next()
			if q.coming == 0 && !q.large {
				q.repeat(ctx)
			}
		case <-ctx.Done():
			return batch{err: ctx.Err()}
		}
	}
}

// put puts the question, beside those that are under way.
func (q *inquiry) put(ctx context.Context, wait time.Duration) {
	q.asked++
	number := q.asked
	tell := func(r reply) {
		select {
		case q.replies <- r:
		case <-ctx.Done():
		}
	}
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { tell(reply{number: number, begun: true}) }}
	go func() { tell(reply{number: number, answer: q.question(httptrace.WithClientTrace(ctx, trace), wait)}) }()
}

// repeat puts the question once more. It doesn't wait for a record, so that its own answer
// is overdue soon.
func (q *inquiry) repeat(ctx context.Context) {
	q.put(ctx, 0)
	if !q.large {
		q.putAgain.Reset(overdueAfter)
	}
}

// settles takes in what became of a question, and reports whether it is the answer.
func (q *inquiry) settles(r reply) bool {
	switch {
	case r.begun:
		// It may come over a slow link; the same answer beside it would slow it down.
		q.coming = r.number
		q.putAgain.Stop()
		return false
	case r.answer.err != nil && !errors.Is(r.answer.err, ErrTrimmed):
		q.lost = true
		q.failed(r.answer)
		if r.number == q.coming || q.coming == 0 && r.number == q.asked {
			q.coming = 0
			q.putAgain.Reset(q.retry)
			q.retry = min(2*q.retry, q.retryMost)
		}
		return false
	}
	if q.lost && r.number > 1 {
		q.regained.give()
	}
	return true
}

// broadcast wakes all that wait for it. The readers of an instance share one: the first to
// be answered again wakes the others, whose questions may have been lost as well and look
// as if they waited for a record. One that waits 20 s learns of its loss by this.
type broadcast struct {
	mu   sync.Mutex
	wake chan struct{}
}

// next returns what is closed the next time.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wake == nil {
		b.wake = make(chan struct{})
	}
	return b.wake
}

// give wakes them.
func (b *broadcast) give() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wake != nil {
		close(b.wake)
		b.wake = nil
	}
}
