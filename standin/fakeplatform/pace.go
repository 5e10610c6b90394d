package fakeplatform

import (
	"context"
	"sync"
	"time"
)

// pace lets calls through at an even rate.
type pace struct {
	mu   sync.Mutex
	next time.Time
}

// wait waits for the caller's turn; false if its context ended first.
func (p *pace) wait(ctx context.Context, perSecond int) bool {
	if perSecond <= 0 {
		return true
	}
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	turn := p.next
	p.next = turn.Add(time.Second / time.Duration(perSecond))
	p.mu.Unlock()
	t := time.NewTimer(time.Until(turn))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
