package control

import (
	"time"

	"github.com/knapweedweir/knapweedweir/placement"
)

// Limits of the messages that wait for a unit to become owned by this scheduler.
const (
	bufferDuration = 300 * time.Millisecond
	maxBuffered    = 1024
)

// messageBuffer holds messages for a unit that this scheduler does not own by its own view.
// Their sender has read the log further and already knows of the claim. If they were dropped,
// they would be repeated only a second later, and a planned hand-over would cost that second.
type messageBuffer struct {
	until    time.Duration
	messages []placement.Message
}

func (c *Core) bufferMessage(now time.Duration, m placement.Message) {
	p, ok := c.buffered[m.To()]
	if !ok {
		p = &messageBuffer{until: now + bufferDuration}
		c.buffered[m.To()] = p
	}
	if len(p.messages) < maxBuffered {
		p.messages = append(p.messages, m)
	}
}

// deliverBuffered delivers the messages for units that are owned now, and drops those that have
// waited too long.
func (c *Core) deliverBuffered(now time.Duration) {
	for _, u := range sortedUnits(c.buffered) {
		p := c.buffered[u]
		_, shard := c.shards[u]
		_, home := c.homes[u]
		if !shard && !home && now < p.until {
			continue
		}
		delete(c.buffered, u)
		for _, m := range p.messages {
			if shard || home {
				c.route(now, c.deliverLocal(now, m))
			}
		}
	}
}
