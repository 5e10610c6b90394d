// Package membership judges which schedulers are alive. Each member is watched by
// a few others, chosen by rendezvous hashing; a watcher that no longer hears it
// has others confirm the silence before it tells everybody of a death. The
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
	// Addr is where peers reach this member; empty if only the platform's list
	// tells.
	Addr string
	// Watchers is how many others watch each member.
	Watchers int
	// Interval is the time between two heartbeats to a watcher.
	Interval time.Duration
	// SuspectAfter is how long a watched member may be silent before others are
	// asked about it.
	SuspectAfter time.Duration
	// ConfirmWait is how long the others' answers are awaited.
	ConfirmWait time.Duration
	// SettleTime is how long a starting member waits to hear from listed peers.
	SettleTime time.Duration
}

// DefaultConfig suits a cell on one site.
func DefaultConfig(self string, incarnation uint64) Config {
	return Config{Self: self, Incarnation: incarnation, Watchers: 3, Interval: 500 * time.Millisecond,
		SuspectAfter: 1300 * time.Millisecond, ConfirmWait: 400 * time.Millisecond, SettleTime: 1500 * time.Millisecond}
}

// Limits of what is repeated.
const (
	// contactEvery is the first wait before a listed peer that was never heard is
	// contacted again; it doubles up to maxContactWait.
	contactEvery   = time.Second
	maxContactWait = 10 * time.Second
	// syncEvery is the shortest time between two whole views to one peer.
	syncEvery = time.Second
	// forgetAfter is how long a dead member that is no longer listed is kept.
	forgetAfter = time.Minute
	// settlePerVersion is how long a member that came back has to stay before it
	// is given units again, for each time but the first that its state has
	// changed; a link that flaps would otherwise move units at each turn.
	settlePerVersion = time.Second
	maxReturnWait    = 10 * time.Second
)

// Member names one life of a scheduler: its ID and incarnation. A restarted
// scheduler is another member, so what its earlier life owned has to be claimed
// again, under a new epoch.
func Member(id string, incarnation uint64) string { return fmt.Sprintf("%s@%x", id, incarnation) }

// ID returns the scheduler's ID of a member's name.
func ID(member string) string {
	id, _, _ := strings.Cut(member, "@")
	return id
}

// Packet is what members tell each other. Every packet is a heartbeat of its
// sender.
type Packet struct {
	From Entry
	// Hash is the hash of the sender's view. Members whose views stay apart
	// exchange them.
	Hash uint64
	// Probe asks for a packet in return.
	Probe bool
	// Ask names members that the sender can't hear; Heard and Silent answer.
	Ask    []Life
	Heard  []Life
	Silent []Life
	News   []Entry
}

// Life names one life of a member.
type Life struct {
	ID          string
	Incarnation uint64
}

// Send is a packet to one peer.
type Send struct {
	To     string
	Packet Packet
}

// Core is the step machine of one member.
type Core struct {
	cfg   Config
	self  Entry
	peers map[string]*peer
	hash  uint64
	// order is the IDs of peers, sorted; it is rebuilt when changed is set.
	order   []string
	changed bool

	watchers  []string
	startedAt time.Duration
	stepAt    time.Duration
	beatAt    time.Duration
	started   bool
	told      bool
	agreed    bool
	selfSince time.Duration
	asks      []pendingAsk
	out       map[string]*Packet
}

// New returns the core of a member that knows no peers.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg, peers: map[string]*peer{}, out: map[string]*Packet{}}
	c.self = Entry{ID: cfg.Self, Addr: cfg.Addr, Incarnation: cfg.Incarnation, State: Alive}
	c.hash = c.self.hash()
	return c
}

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
		p := c.peer(id)
		if !p.listed && p.listedAt == 0 {
			p.listedAt = now
		}
		p.listed = true
	}
	for id, p := range c.peers {
		gone := p.entry.State == Unknown || p.entry.State == Dead
		if !p.listed && gone && now-max(p.since, p.listedAt) > forgetAfter {
			delete(c.peers, id)
			c.changed = true
		}
	}
}

// Leave makes this member announce that it is leaving.
func (c *Core) Leave() { c.setSelf(Leaving, true) }

// SetFit tells whether this member is able to own anything.
func (c *Core) SetFit(now time.Duration, fit bool) {
	if c.self.State == Leaving {
		return
	}
	state := Alive
	if !fit {
		state = Unfit
	}
	if c.self.State != state {
		c.selfSince = now
		c.setSelf(state, c.told)
	}
}

func (c *Core) setSelf(state State, news bool) {
	c.hash ^= c.self.hash()
	c.self.State = state
	if news {
		c.self.Version++
	}
	c.hash ^= c.self.hash()
	c.told = false
}

// Leaving reports whether Leave was called.
func (c *Core) Leaving() bool { return c.self.State == Leaving }

// Step lets time pass and returns what to send.
func (c *Core) Step(now time.Duration) []Send {
	c.begin(now)
	c.refresh(now)
	if !c.told {
		c.told = true
		c.tellAll(c.self)
	}
	if now-c.beatAt >= c.cfg.Interval {
		c.beatAt = now
		for _, id := range c.watchers {
			c.packet(id)
		}
	}
	c.contactUnheard(now)
	c.suspect(now)
	c.answerAsks(now)
	return c.flush()
}

func (c *Core) begin(now time.Duration) {
	if !c.started {
		c.started, c.startedAt, c.stepAt, c.beatAt = true, now, now, now-c.cfg.Interval
	}
	// A process that was paused finds all its peers silent. It was the one that
	// did not listen, so the gap does not count; asking about all of them at
	// once would be a storm.
	if gap := now - c.stepAt; gap > c.cfg.SuspectAfter/2 {
		for _, p := range c.peers {
			p.heardAt += gap
			p.watchedAt += gap
			p.suspicion = nil
		}
		c.asks = nil
	}
	c.stepAt = now
}

// Handle takes in a packet and returns what to send.
func (c *Core) Handle(now time.Duration, p Packet) []Send {
	if p.From.ID == "" || p.From.ID == c.cfg.Self {
		return nil
	}
	known := c.learn(now, p.From)
	c.heard(now, p.From)
	if p.Probe || !known {
		c.packet(p.From.ID)
	}
	for _, e := range p.News {
		c.learn(now, e)
	}
	for _, l := range p.Heard {
		c.confirmed(now, l, true)
	}
	for _, l := range p.Silent {
		c.confirmed(now, l, false)
	}
	for _, l := range p.Ask {
		c.asked(now, p.From.ID, l)
	}
	c.compare(now, p)
	return c.flush()
}

// compare repairs views that stay apart, for example because news was lost.
func (c *Core) compare(now time.Duration, p Packet) {
	from := c.peer(p.From.ID)
	if p.Hash == c.hash {
		c.agreed = true
		from.differs = 0
		return
	}
	from.differs++
	// News may still be on its way, so one difference is none.
	if from.differs < 2 || now-from.syncedAt < syncEvery {
		return
	}
	from.syncedAt, from.differs = now, 0
	packet := c.packet(p.From.ID)
	packet.News = append(packet.News, c.Entries()...)
}

func (c *Core) packet(to string) *Packet {
	p, ok := c.out[to]
	if !ok {
		p = &Packet{}
		c.out[to] = p
	}
	return p
}

func (c *Core) tellAll(e Entry) {
	for id, p := range c.peers {
		if p.entry.State != Dead || e.ID == id {
			packet := c.packet(id)
			packet.News = append(packet.News, e)
		}
	}
}

func (c *Core) flush() []Send {
	if len(c.out) == 0 {
		return nil
	}
	ids := sortedIDs(c.out)
	sends := make([]Send, 0, len(ids))
	for _, id := range ids {
		p := *c.out[id]
		p.From, p.Hash = c.self, c.hash
		p.From.Addr = ""
		sends = append(sends, Send{To: id, Packet: p})
	}
	clear(c.out)
	return sends
}

func sortedIDs[V any](m map[string]V) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// Settled reports whether every listed peer has been heard or has had the time
// to be, and some peer sees the cell as this member does. Before that, a
// starting member would take all others for dead and claim everything.
func (c *Core) Settled(now time.Duration) bool {
	if !c.started || (len(c.peers) == 0 && now-c.startedAt < c.cfg.SettleTime) {
		return false
	}
	if !c.agreed && now-c.startedAt < 2*c.cfg.SettleTime && c.anyHeard() {
		return false
	}
	for _, p := range c.peers {
		if p.entry.State == Unknown && now-p.listedAt <= c.cfg.SettleTime {
			return false
		}
	}
	return true
}

func (c *Core) anyHeard() bool {
	for _, p := range c.peers {
		if p.entry.State != Unknown {
			return true
		}
	}
	return false
}

// Live returns the members taken for alive and able to own, in order.
func (c *Core) Live(now time.Duration) []string {
	var ids []string
	if eligible(now, c.self, c.selfSince) {
		ids = append(ids, Member(c.cfg.Self, c.cfg.Incarnation))
	}
	for id, p := range c.peers {
		if eligible(now, p.entry, p.since) {
			ids = append(ids, Member(id, p.entry.Incarnation))
		}
	}
	sort.Strings(ids)
	return ids
}

func eligible(now time.Duration, e Entry, since time.Duration) bool {
	wait := time.Duration(max(e.Version, 1)-1) * settlePerVersion
	return e.State == Alive && now-since >= min(wait, maxReturnWait)
}
