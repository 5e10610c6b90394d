package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// answerFresh is how long the outcome of a check counts.
	answerFresh = 100 * time.Millisecond
	// answerTimeout bounds a check; the store answers in 4 ms, and in 0.24 s on slow
	// days.
	answerTimeout = 400 * time.Millisecond
)

// crowded is half of what may wait at a stream before it refuses appends.
const crowded = time.Second

// crowd is how long appends wait at a stream to which each instance sends one, by how long
// an answer takes now: an append takes half of that, 80 of 160 ms or 2 of 4.
func (u *unit) crowd(answer time.Duration) time.Duration {
	return answer / 2 * time.Duration(1+len(u.node.peers.addrs()))
}

// storeCheck finds out whether the store answers this instance, for all that want to
// know at the same time.
type storeCheck struct {
	mu      sync.Mutex
	running chan struct{} // closed when the check that is under way has ended
	at      time.Duration
	outcome storeState
}

// storeState is how the store treats an instance.
type storeState int

const (
	storeAway storeState = iota // it gives no answer
	storeSlow                   // too slow for all instances to store by themselves, see crowd
	storeQuick
)

// storeAnswers finds out how the store treats this instance now. Reads of streams
// wait for seconds, so they don't show it.
func (u *unit) storeAnswers(ctx context.Context) storeState {
	for {
		done, outcome := u.startCheck()
		if done == nil {
			return outcome
		}
		select {
		case <-done:
		case <-ctx.Done():
			return storeAway
		}
	}
}

// startCheck returns a fresh outcome, or the end of the check to wait for.
func (u *unit) startCheck() (done <-chan struct{}, outcome storeState) {
	c := &u.check
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running != nil {
		return c.running, storeAway
	}
	if c.at != 0 && u.node.now()-c.at < answerFresh {
		return nil, c.outcome
	}
	c.running = make(chan struct{})
	go u.runCheck()
	return c.running, storeAway
}

func (u *unit) runCheck() {
	next, copied := int64(0), false
	err := u.ask(u.ctx, func() { next, copied = u.replica.next, u.copied })
	if err == nil && !copied {
		// A check from the stream's beginning brings up to a megabyte. Those of 39 instances
		// that had just started took all that the store's readers share, and each waited
		// 1.2 to 2 s longer for its copy than without.
		err = errBehind
	}
	asked := u.node.now()
	if err == nil {
		_, _, err = u.node.store.Read(withTimeout(u.ctx, answerTimeout), u.topic, next, 0)
	}
	c := &u.check
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = u.node.now()
	switch {
	case err != nil && !errors.Is(err, ErrTrimmed):
		c.outcome = storeAway
	case u.crowd(c.at-asked) >= crowded:
		c.outcome = storeSlow
	default:
		c.outcome = storeQuick
	}
	close(c.running)
	c.running = nil
}

// storeMayBeSlow reports whether the store was slow when it was last checked here. It returns true
// on an instance without a copy, which doesn't check the store.
func (n *Node) storeMayBeSlow(part int) bool {
	u := n.unit(part)
	if u == nil {
		return false
	}
	if !u.followed.Load() {
		return true
	}
	u.check.mu.Lock()
	defer u.check.mu.Unlock()
	return u.check.outcome == storeSlow
}
