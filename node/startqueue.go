package node

import (
	"context"
	"time"

	"github.com/knapweedweir/knapweedweir/node/congestion"
	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// maxStartDelay is the longest time for which starts in flight may occupy the link, and
	// thus delay other traffic such as lease renewals.
	maxStartDelay = 50 * time.Millisecond
	// minStartWindow is the minimum size of the window in bytes: two starts with the largest
	// payload.
	minStartWindow = 8 << 10
	// maxStartWindowRatio is the maximum ratio of the largest to the smallest window. A plan takes
	// milliseconds, so a window of a few starts would leave a fast link idle between plans.
	maxStartWindowRatio = 8
	// unknownRateStartWindow is the maximum size of the window in bytes if the link rate is
	// unknown.
	unknownRateStartWindow = 4 << 20
)

// newStartWindow returns the window for starts over a link with the given rate in bytes per
// second; 0: unknown.
func newStartWindow(linkRate int) *congestion.Window {
	maxSize := unknownRateStartWindow
	if linkRate > 0 {
		maxSize = int(float64(linkRate) * maxStartDelay.Seconds())
	}
	return congestion.NewWindow(congestion.Limits{Min: max(minStartWindow, maxSize/maxStartWindowRatio), Max: maxSize})
}

// startQueue holds the starts that the start window doesn't admit yet. Without it, a burst of
// starts saturates a slow link for seconds: starts and lease renewals time out and are sent
// again, and healthy workers lose their leases.
type startQueue struct {
	own     *ownership
	waiting []pool.Start
}

func (q *startQueue) add(s pool.Start) {
	q.waiting = append(q.waiting, s)
	q.send()
}

// send sends the waiting starts that the window admits, in order.
func (q *startQueue) send() {
	n := q.own.pc.node
	for len(q.waiting) > 0 && n.startWindow.Admit(n.now(), q.waiting[0].Size()) {
		go q.own.sendStart(q.waiting[0])
		q.waiting = q.waiting[1:]
	}
}

// sendStart sends a start to its worker and waits for the answer.
func (o *ownership) sendStart(s pool.Start) {
	n := o.pc.node
	start := n.now()
	if s.NotAfter != 0 && start >= s.NotAfter {
		n.startWindow.Failed(start, s.Size())
		o.send(s.Answered(pool.NotSent, 0))
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, commandTimeout)
	answer := n.workers.Start(ctx, s)
	cancel()
	if now := n.now(); answer.Outcome == pool.NoAnswer || answer.Outcome == pool.NotSent {
		n.startWindow.Failed(now, s.Size())
	} else {
		n.startWindow.Answered(now, now-start, s.Size())
	}
	o.send(answer)
}
