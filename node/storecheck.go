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

// storeCheck finds out whether the store answers this instance, for all that want to
// know at the same time.
type storeCheck struct {
	mu      sync.Mutex
	running chan struct{} // closed when the check that is under way has ended
	at      time.Duration
	answers bool
}

// storeAnswers reports whether the store answers this instance now. Reads of streams
// wait for seconds, so they don't show it.
func (u *unit) storeAnswers(ctx context.Context) bool {
	for {
		done, answers := u.startCheck()
		if done == nil {
			return answers
		}
		select {
		case <-done:
		case <-ctx.Done():
			return false
		}
	}
}

// startCheck returns a fresh outcome, or the end of the check to wait for.
func (u *unit) startCheck() (done <-chan struct{}, answers bool) {
	c := &u.check
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running != nil {
		return c.running, false
	}
	if c.at != 0 && u.node.now()-c.at < answerFresh {
		return nil, c.answers
	}
	c.running = make(chan struct{})
	go u.runCheck()
	return c.running, false
}

func (u *unit) runCheck() {
	next := int64(0)
	err := u.ask(u.ctx, func() { next = u.replica.next })
	if err == nil {
		_, _, err = u.node.store.Read(withTimeout(u.ctx, answerTimeout), u.topic, next, 0)
	}
	c := &u.check
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at, c.answers = u.node.now(), err == nil || errors.Is(err, ErrTrimmed)
	close(c.running)
	c.running = nil
}
