package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// storeCheckTTL is how long the result of a check is valid.
	storeCheckTTL = 100 * time.Millisecond
	// storeCheckTimeout limits a check; the store answers in 4 ms, and in 0.24 s when it is slow.
	storeCheckTimeout = 400 * time.Millisecond
)

// maxAppendQueueDelay is half of the queueing delay above which a stream rejects appends.
const maxAppendQueueDelay = time.Second

// appendQueueDelay estimates how long appends wait at a stream to which each instance sends one,
// given the current latency of an answer. An append takes half of that latency: 80 of 160 ms, or 2
// of 4.
func (pc *poolController) appendQueueDelay(answer time.Duration) time.Duration {
	return answer / 2 * time.Duration(1+len(pc.node.peers.addrs()))
}

// storeCheck finds out whether the store answers this instance. Concurrent callers share one check.
type storeCheck struct {
	mu         sync.Mutex
	inProgress chan struct{} // closed when the check in progress has ended
	checkedAt  time.Duration
	state      storeState
}

// storeState is how the store currently serves an instance.
type storeState int

const (
	storeUnavailable storeState = iota // it doesn't answer
	storeSlow                          // too slow for all instances to append, see appendQueueDelay
	storeFast
)

// checkStoreState finds out how the store currently serves this instance. The follower's reads wait
// for seconds, so they don't show it.
func (pc *poolController) checkStoreState(ctx context.Context) storeState {
	for {
		done, state := pc.startCheck()
		if done == nil {
			return state
		}
		select {
		case <-done:
		case <-ctx.Done():
			return storeUnavailable
		}
	}
}

// startCheck returns a recent result, or a channel that is closed at the end of the check to wait
// for.
func (pc *poolController) startCheck() (done <-chan struct{}, state storeState) {
	c := &pc.check
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress != nil {
		return c.inProgress, storeUnavailable
	}
	if c.checkedAt != 0 && pc.node.now()-c.checkedAt < storeCheckTTL {
		return nil, c.state
	}
	c.inProgress = make(chan struct{})
	go pc.runCheck()
	return c.inProgress, storeUnavailable
}

func (pc *poolController) runCheck() {
	next, copied := int64(0), false
	err := pc.do(pc.ctx, func() { next, copied = pc.replica.next, pc.copyLoaded })
	if err == nil && !copied {
		// A check from the beginning of the stream returns up to a megabyte. The checks of 39
		// instances that had just started used up the read bandwidth that the store shares among
		// readers, and each instance waited 1.2 to 2 s longer for its copy than without them.
		err = errIncompleteRead
	}
	asked := pc.node.now()
	if err == nil {
		_, _, err = pc.node.store.Read(withTimeout(pc.ctx, storeCheckTimeout), pc.topic, next, 0)
	}
	c := &pc.check
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkedAt = pc.node.now()
	switch {
	case err != nil && !errors.Is(err, ErrTrimmed):
		c.state = storeUnavailable
	case pc.appendQueueDelay(c.checkedAt-asked) >= maxAppendQueueDelay:
		c.state = storeSlow
	default:
		c.state = storeFast
	}
	close(c.inProgress)
	c.inProgress = nil
}

// storeMayBeSlow reports whether the store was slow when it was last checked here. It returns true
// on an instance without a copy, which doesn't check the store.
func (n *Node) storeMayBeSlow(part int) bool {
	pc := n.controller(part)
	if pc == nil {
		return false
	}
	if !pc.followed.Load() {
		return true
	}
	pc.check.mu.Lock()
	defer pc.check.mu.Unlock()
	return pc.check.state == storeSlow
}
