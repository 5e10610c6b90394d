package load

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Balancer stands in for the platform's load balancer: it chooses the entries that report
// that they are ready.
type Balancer struct {
	entries []string
	ready   atomic.Pointer[[]string]
}

// NewBalancer returns a balancer that checks the entries periodically.
func NewBalancer(entries []string) *Balancer {
	b := &Balancer{entries: entries}
	client := &http.Client{Timeout: balancerTimeout}
	b.checkEntries(client)
	go func() {
		for range time.Tick(balancerInterval) {
			b.checkEntries(client)
		}
	}()
	return b
}

func (b *Balancer) checkEntries(client *http.Client) {
	var ready []string
	for _, addr := range b.entries {
		if isReady(client, addr) {
			ready = append(ready, addr)
		}
	}
	b.ready.Store(&ready)
}

// Entries returns the ready entries, or all if none is ready.
func (b *Balancer) Entries() []string {
	if ready := *b.ready.Load(); len(ready) > 0 {
		return ready
	}
	return b.entries
}
