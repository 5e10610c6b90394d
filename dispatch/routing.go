package dispatch

import (
	"time"

	"github.com/knapweedweir/knapweedweir/platform"
)

// dispatch sends queued requests while runners have free slots.
func (c *Core) dispatch(now time.Duration) []Action {
	var out []Action
	kept := c.queue[:0]
	for _, r := range c.queue {
		target := c.pick(r)
		// At its deadline a request waits for its timer: nothing is sent that
		// nobody waits for.
		if target == nil || now >= r.Deadline {
			kept = append(kept, r)
			continue
		}
		out = append(out, c.send(now, r, target))
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	return out
}

func (c *Core) send(now time.Duration, r *request, target *runner) Send {
	target.busy++
	r.phase, r.runner, r.sent = running, target, now
	r.attempts++
	return Send{Request: r.ID, Runner: target.Instance, Attempt: r.attempts}
}

// pick returns the least busy runner of the service with a slot for us.
func (c *Core) pick(r *request) *runner {
	var best *runner
	for _, t := range c.order {
		if !t.serves(r) || t.busy >= t.share {
			continue
		}
		if best == nil || t.busy*best.share < best.busy*t.share {
			best = t
		}
	}
	return best
}

// serves reports whether a runner may get a request at all.
func (t *runner) serves(r *request) bool {
	return t.Service == r.Service && t.listed && t.State != platform.InstanceLeaving && !r.avoids(t.ID)
}
