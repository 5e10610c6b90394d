package fakeplatform

import (
	"context"
	"sync"
	"time"
)

// rateLimiter spaces calls evenly at a given rate.
type rateLimiter struct {
	mu   sync.Mutex
	next time.Time
}

// wait waits until the caller may proceed. It returns false if the context ends first.
func (p *rateLimiter) wait(ctx context.Context, perSecond int) bool {
	if perSecond <= 0 {
		return true
	}
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	sendAt := p.next
	p.next = sendAt.Add(time.Second / time.Duration(perSecond))
	p.mu.Unlock()
	t := time.NewTimer(time.Until(sendAt))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
