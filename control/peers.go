package control

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/membership"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
)

// route delivers messages to the owners of their units: to another scheduler, or directly to a
// unit of this one, until none is left.
func (c *Core) route(now time.Duration, msgs []placement.Message) {
	for len(msgs) > 0 {
		m := msgs[0]
		msgs = msgs[1:]
		owner := c.table.Holder(m.To()).Owner
		if owner == c.self {
			msgs = append(msgs, c.deliverLocal(now, m)...)
		} else if owner != "" {
			env := c.envelope(membership.ID(owner))
			env.Messages = append(env.Messages, m)
			env.Digests = c.attachDigest(env.Digests, m)
		}
	}
}

// deliverLocal delivers a message to the unit it is addressed to. A message for a unit that this
// scheduler does not own is buffered for a moment and then dropped; its sender repeats it
// according to its own view.
func (c *Core) deliverLocal(now time.Duration, m placement.Message) []placement.Message {
	if s, ok := c.shards[m.To()]; ok {
		if !c.prober.canRenewLeases(now) {
			return nil
		}
		if p, isPlace := m.(placement.Place); isPlace && c.jobHasEnded(p.Attempt.Job) {
			return []placement.Message{placement.Placed{Home: p.Home, Shard: p.Shard, Attempt: p.Attempt, Sequence: p.Sequence, Reason: "the job has ended"}}
		}
		out := s.Handle(now, m)
		c.stepShard(now, s)
		return out
	}
	if h, ok := c.homes[m.To()]; ok {
		c.pendingHomes[m.To()] = true
		return h.Handle(now, m)
	}
	c.bufferMessage(now, m)
	return nil
}

func (c *Core) jobHasEnded(id string) bool {
	j, ok := c.registry.Job(id)
	return ok && j.State != placement.JobOpen
}

func (c *Core) envelope(id string) *api.Envelope {
	env, ok := c.outbox[id]
	if !ok {
		env = &api.Envelope{From: c.cfg.ID}
		c.outbox[id] = env
	}
	return env
}

func (c *Core) flush() {
	ids := make([]string, 0, len(c.outbox))
	for id := range c.outbox {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		addr, ok := c.addrs[id]
		if announced := c.members.Addr(id); announced != "" {
			addr, ok = announced, true
		}
		if ok {
			c.actions = append(c.actions, SendPeer{To: id, Addr: addr, Envelope: *c.outbox[id]})
		}
	}
}

func (c *Core) handleEnvelope(now time.Duration, env api.Envelope) {
	if env.Member != nil {
		c.sendPackets(c.members.Handle(now, *env.Member))
	}
	if env.LogProbe != nil {
		reply := c.prober.handleProbe(now, *env.LogProbe)
		c.envelope(env.From).LogProbed = &reply
	}
	if env.LogProbed != nil {
		c.prober.handleReply(env.From, *env.LogProbed)
	}
	if len(env.Wants) > 0 {
		c.handleSubscription(now, env.From, env.Wants)
	}
	for _, d := range env.Digests {
		c.recordDigest(now, d)
	}
	for _, m := range env.Messages {
		c.route(now, c.deliverLocal(now, m))
	}
}

func (c *Core) sendPackets(sends []membership.Send) {
	for _, s := range sends {
		packet := s.Packet
		c.envelope(s.To).Member = &packet
	}
}

func jobID(rec logstream.Record) string {
	var body struct {
		ID string `json:"id"`
	}
	// The reducer has already decoded the same body.
	_ = json.Unmarshal(rec.Body, &body)
	return body.ID
}

// OwnedUnits returns the units that this scheduler owns.
func (c *Core) OwnedUnits() []ownership.Unit { return c.table.OwnedBy(c.self) }
