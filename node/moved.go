package node

import (
	"context"
	"time"
)

// movedFor is how long after a queue was sent to another service repeated requests of its
// callers are looked for in the other pools: longer than callers go on repeating.
const movedFor = 30 * time.Second

// noteMoves notes which queues a configuration sends to another service than the one before.
func (n *Node) noteMoves(old, cfg *Config) {
	if old == nil {
		return
	}
	former := old.Queues()
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, q := range cfg.Queues() {
		if was, known := former[name]; known && was.Service != q.Service {
			n.movedAt[name] = n.now()
		}
	}
}

// hasMoved reports whether a queue was sent to another service of late.
func (n *Node) hasMoved(queue string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, moved := n.movedAt[queue]
	return moved && n.now()-at < movedFor
}

// storedElsewhere looks for a job in the other pools, by reads that are asked for now. A caller
// repeats a request whose answer it has not had; if its queue has moved meanwhile, copies
// of the former pool that are a second old lack the job, and it was stored in both pools.
func (n *Node) storedElsewhere(ctx context.Context, part int, job string) Verdict {
	for _, u := range n.unitsFrom(part) {
		if u.topic.Part == part {
			continue
		}
		l, err := u.lookUp(ctx, job)
		if err != nil || !l.copied {
			return CantTell
		}
		if l.found {
			return Accepted
		}
		if _, v := u.readSince(ctx, l); v != NoSuchJob {
			return v
		}
	}
	return NoSuchJob
}
