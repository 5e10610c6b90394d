package load

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Balancer stands for the platform's balancer: it sends to the entries that say
// they are ready.
type Balancer struct {
	entries []string
	ready   atomic.Pointer[[]string]
}

// NewBalancer returns a balancer that looks at the entries from time to time.
func NewBalancer(entries []string) *Balancer {
	b := &Balancer{entries: entries}
	client := &http.Client{Timeout: balancerTimeout}
	b.look(client)
	go func() {
		for range time.Tick(balancerLook) {
			b.look(client)
		}
	}()
	return b
}

func (b *Balancer) look(client *http.Client) {
	var ready []string
	for _, addr := range b.entries {
		if isReady(client, addr) {
			ready = append(ready, addr)
		}
	}
	b.ready.Store(&ready)
}

// Entries returns the entries that are ready, or all if none is.
func (b *Balancer) Entries() []string {
	if ready := *b.ready.Load(); len(ready) > 0 {
		return ready
	}
	return b.entries
}
