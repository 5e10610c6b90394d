package control

import (
	"time"

	"github.com/knapweedweir/knapweedweir/placement"
)

// Bounds of what waits for a unit to become this scheduler's.
const (
	parkFor   = 300 * time.Millisecond
	maxParked = 1024
)

// parking holds messages for a unit that this scheduler does not own by its own
// view. Their sender has read the log further and knows of the claim already;
// dropped, they would be repeated only a second later, and a planned hand-over
// would cost that second.
type parking struct {
	until    time.Duration
	messages []placement.Message
}

func (c *Core) park(now time.Duration, m placement.Message) {
	p, ok := c.parked[m.To()]
	if !ok {
		p = &parking{until: now + parkFor}
		c.parked[m.To()] = p
	}
	if len(p.messages) < maxParked {
		p.messages = append(p.messages, m)
	}
}

// unpark hands out what waited for units that are owned now, and drops what has
// waited for too long.
func (c *Core) unpark(now time.Duration) {
	for _, u := range sortedUnits(c.parked) {
		p := c.parked[u]
		_, shard := c.shards[u]
		_, home := c.homes[u]
		if !shard && !home && now < p.until {
			continue
		}
		delete(c.parked, u)
		for _, m := range p.messages {
			if shard || home {
				c.route(now, c.local(now, m))
			}
		}
	}
}
