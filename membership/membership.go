// Package membership judges which schedulers are alive, from heartbeats. Its
// judgement only decides who claims and whom to ask; a wrong one costs time,
// never safety, because claims are settled in the log.
package membership

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Config is the timing of heartbeats.
type Config struct {
	Self        string
	Incarnation uint64
	// Interval is the time between two heartbeats to the same peer.
	Interval time.Duration
	// DownAfter is how long a peer may be silent before it is taken for dead.
	DownAfter time.Duration
}

// Heartbeat says that its sender is alive.
type Heartbeat struct {
	From        string
	Incarnation uint64
	// Leaving says that the sender is handing over and wants no units.
	Leaving bool
}

// Member names one life of a scheduler: its ID and incarnation. A restarted
// scheduler is another member, so what its earlier life owned has to be claimed
// again, under a new epoch.
func Member(id string, incarnation uint64) string { return fmt.Sprintf("%s@%x", id, incarnation) }

// ID returns the scheduler's ID of a member's name.
func ID(member string) string {
	id, _, _ := strings.Cut(member, "@")
	return id
}

type peer struct {
	incarnation uint64
	listedAt    time.Duration
	lastHeard   time.Duration
	leaving     bool
	listed      bool
}

func (p *peer) heard() bool { return p.incarnation != 0 }

// Core is the step machine of one member.
type Core struct {
	cfg      Config
	peers    map[string]*peer
	lastSent time.Duration
	sentOnce bool
	leaving  bool
}

// New returns the core of a member that knows no peers.
func New(cfg Config) *Core { return &Core{cfg: cfg, peers: map[string]*peer{}} }

// SetListed takes over the platform's list of peers. The list lags, so it
// only says whom to talk to, never who is alive.
func (c *Core) SetListed(now time.Duration, ids []string) {
	for _, p := range c.peers {
		p.listed = false
	}
	for _, id := range ids {
		if id == c.cfg.Self {
			continue
		}
		p, ok := c.peers[id]
		if !ok {
			p = &peer{listedAt: now}
			c.peers[id] = p
		}
		p.listed = true
	}
	for id, p := range c.peers {
		if !p.listed && now-p.lastHeard > c.cfg.DownAfter && now-p.listedAt > c.cfg.DownAfter {
			delete(c.peers, id)
		}
	}
}

// Leave makes this member announce that it is leaving.
func (c *Core) Leave() { c.leaving = true }

// Leaving reports whether Leave was called.
func (c *Core) Leaving() bool { return c.leaving }

// Heard takes in a heartbeat.
func (c *Core) Heard(now time.Duration, h Heartbeat) {
	p, ok := c.peers[h.From]
	if !ok {
		p = &peer{}
		c.peers[h.From] = p
	}
	// A heartbeat of an earlier life may arrive after a restart; taking it for
	// news would revive the old incarnation's leaving state.
	if h.Incarnation < p.incarnation {
		return
	}
	p.incarnation, p.lastHeard, p.leaving = h.Incarnation, now, h.Leaving
}

// Step returns the peers to send a heartbeat to now, and the heartbeat.
func (c *Core) Step(now time.Duration) ([]string, Heartbeat) {
	hb := Heartbeat{From: c.cfg.Self, Incarnation: c.cfg.Incarnation, Leaving: c.leaving}
	if c.sentOnce && now-c.lastSent < c.cfg.Interval {
		return nil, hb
	}
	c.sentOnce, c.lastSent = true, now
	ids := make([]string, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids, hb
}

// Settled reports whether every listed peer has been heard or has had the time
// to be. Before that, a starting member would take all others for dead and
// claim everything.
func (c *Core) Settled(now time.Duration) bool {
	if len(c.peers) == 0 && now < c.cfg.DownAfter {
		return false
	}
	for _, p := range c.peers {
		if !p.heard() && now-p.listedAt <= c.cfg.DownAfter {
			return false
		}
	}
	return true
}

// Live returns the members taken for alive and staying, in order.
func (c *Core) Live(now time.Duration) []string {
	var ids []string
	if !c.leaving {
		ids = append(ids, Member(c.cfg.Self, c.cfg.Incarnation))
	}
	for id, p := range c.peers {
		if p.heard() && !p.leaving && now-p.lastHeard <= c.cfg.DownAfter {
			ids = append(ids, Member(id, p.incarnation))
		}
	}
	sort.Strings(ids)
	return ids
}
