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

// route brings messages to the owners of their units: to another scheduler, or
// straight to this one's own cores, until none is left.
func (c *Core) route(now time.Duration, msgs []placement.Message) {
	for len(msgs) > 0 {
		m := msgs[0]
		msgs = msgs[1:]
		owner := c.table.Holder(m.To()).Owner
		if owner == c.self {
			msgs = append(msgs, c.local(now, m)...)
		} else if owner != "" {
			env := c.envelope(membership.ID(owner))
			env.Messages = append(env.Messages, m)
			env.Digests = c.attachDigest(env.Digests, m)
		}
	}
}

// local hands a message to the unit it is meant for. A message for a unit that
// this scheduler does not own waits a moment and is then dropped; its sender asks
// again by its own view.
func (c *Core) local(now time.Duration, m placement.Message) []placement.Message {
	if s, ok := c.shards[m.To()]; ok {
		if !c.panel.mayRenew(now) {
			return nil
		}
		if p, isPlace := m.(placement.Place); isPlace && c.jobOver(p.Attempt.Job) {
			return []placement.Message{placement.Placed{Home: p.Home, Shard: p.Shard, Attempt: p.Attempt, Sequence: p.Sequence, Reason: "the job has ended"}}
		}
		out := s.Handle(now, m)
		c.stepShard(now, s)
		return out
	}
	if h, ok := c.homes[m.To()]; ok {
		c.touched[m.To()] = true
		return h.Handle(now, m)
	}
	c.park(now, m)
	return nil
}

func (c *Core) jobOver(id string) bool {
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
		if told := c.members.Addr(id); told != "" {
			addr, ok = told, true
		}
		if ok {
			c.actions = append(c.actions, SendPeer{To: id, Addr: addr, Envelope: *c.outbox[id]})
		}
	}
}

func (c *Core) delivered(now time.Duration, env api.Envelope) {
	if env.Member != nil {
		c.sendPackets(c.members.Handle(now, *env.Member))
	}
	if env.LogProbe != nil {
		reply := c.panel.answer(now, *env.LogProbe)
		c.envelope(env.From).LogProbed = &reply
	}
	if env.LogProbed != nil {
		c.panel.heard(env.From, *env.LogProbed)
	}
	if len(env.Wants) > 0 {
		c.subscribed(now, env.From, env.Wants)
	}
	for _, d := range env.Digests {
		c.noteDigest(now, d)
	}
	for _, m := range env.Messages {
		c.route(now, c.local(now, m))
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
	// The reducer has decoded the same body before.
	_ = json.Unmarshal(rec.Body, &body)
	return body.ID
}

// OwnedUnits lists what this scheduler owns.
func (c *Core) OwnedUnits() []ownership.Unit { return c.table.OwnedBy(c.self) }
