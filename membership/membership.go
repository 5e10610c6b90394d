// Package membership is a failure detector that decides which schedulers are
// alive. Each member is watched by a few others, chosen by rendezvous hashing. A
// watcher that gets no more heartbeats from a member has others confirm this before
// it declares the member dead to all. The result only decides who claims units and
// whom to contact; a wrong one costs time but not safety, because the order of the
// log decides which claim wins.
package membership

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Config configures a member, including the timing of its heartbeats.
type Config struct {
	Self        string
	Incarnation uint64
	// Addr is the address that this member announces to peers. If it is empty,
	// peers use the platform's list of instances.
	Addr string
	// Lease is the longest lease that this member grants as an owner; it is announced to peers.
	Lease time.Duration
	// Watchers is the number of other members that watch each member.
	Watchers int
	// Interval is the time between two heartbeats to a watcher.
	Interval time.Duration
	// SuspectAfter is how long a watched member may be silent before others have to
	// confirm its failure.
	SuspectAfter time.Duration
	// ConfirmWait is how long to wait for these confirmations.
	ConfirmWait time.Duration
	// StartupWait is how long a starting member waits for packets from listed peers.
	StartupWait time.Duration
}

// DefaultConfig is the configuration for a cell on one site.
func DefaultConfig(self string, incarnation uint64) Config {
	return Config{Self: self, Incarnation: incarnation, Watchers: 3, Interval: 500 * time.Millisecond,
		SuspectAfter: 1300 * time.Millisecond, ConfirmWait: 400 * time.Millisecond, StartupWait: 1500 * time.Millisecond}
}

// Limits of repeated packets.
const (
	// minProbeWait is the first wait before a listed peer that was never heard, or
	// is dead, is probed again; the wait doubles up to maxProbeWait.
	minProbeWait = time.Second
	maxProbeWait = 10 * time.Second
	// minSyncInterval is the shortest time between two complete views sent to one peer.
	minSyncInterval = time.Second
	// deadRetention is how long a dead member that is no longer listed stays in the view.
	deadRetention = time.Minute
	// returnWaitPerVersion is how long a member has to stay alive before it is given
	// units again, for each version after its first. Without this wait, a flapping
	// network link would move units each time that it fails or recovers.
	returnWaitPerVersion = time.Second
	maxReturnWait        = 10 * time.Second
)

// Member returns the name of one incarnation of a scheduler, made from its ID and
// its incarnation. A restarted scheduler is another member, so what its earlier
// incarnation owned has to be claimed again, under a new epoch.
func Member(id string, incarnation uint64) string { return fmt.Sprintf("%s@%x", id, incarnation) }

// ID returns the scheduler's ID from a member's name.
func ID(member string) string {
	id, _, _ := strings.Cut(member, "@")
	return id
}

// Packet is a message between members. Every packet is also a heartbeat of its
// sender.
type Packet struct {
	From Entry
	// Hash is the hash of the sender's view. Members whose views stay different
	// exchange them.
	Hash uint64
	// Probe requests a packet in return.
	Probe bool
	// Ask lists members that the sender no longer hears and that the receiver
	// shall check. Heard and Silent are the results of such checks.
	Ask    []Life
	Heard  []Life
	Silent []Life
	News   []Entry
}

// Life identifies one incarnation of a member.
type Life struct {
	ID          string
	Incarnation uint64
}

// Send is a packet with its destination.
type Send struct {
	To     string
	Packet Packet
}

// Core is the state machine of one member, without I/O. Times are readings of the
// caller's clock.
type Core struct {
	cfg   Config
	self  Entry
	peers map[string]*peer
	hash  uint64
	// order is the sorted IDs of the peers; it is rebuilt when changed is set.
	order   []string
	changed bool

	watchers        []string
	startedAt       time.Duration
	stepAt          time.Duration
	heartbeatAt     time.Duration
	started         bool
	announced       bool
	viewConfirmed   bool
	selfSince       time.Duration
	confirmRequests []confirmRequest
	out             map[string]*Packet
}

// New returns the core of a member that knows no peers yet.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg, peers: map[string]*peer{}, out: map[string]*Packet{}}
	c.self = Entry{ID: cfg.Self, Addr: cfg.Addr, Incarnation: cfg.Incarnation, Lease: cfg.Lease, State: Alive}
	c.hash = c.self.hash()
	return c
}

// SetListed sets the platform's list of peers. The list lags behind, so it only
// determines whom to contact, and not who is alive.
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
		if !p.listed && gone && now-max(p.since, p.listedAt) > deadRetention {
			delete(c.peers, id)
			c.changed = true
		}
	}
}

// Leave makes this member announce that it is leaving.
func (c *Core) Leave() { c.setSelf(Leaving, true) }

// SetEligible sets whether this member is able to own anything.
func (c *Core) SetEligible(now time.Duration, eligible bool) {
	if c.self.State == Leaving {
		return
	}
	state := Alive
	if !eligible {
		state = Ineligible
	}
	if c.self.State != state {
		c.selfSince = now
		c.setSelf(state, c.announced)
	}
}

func (c *Core) setSelf(state State, raiseVersion bool) {
	c.hash ^= c.self.hash()
	c.self.State = state
	if raiseVersion {
		c.self.Version++
	}
	c.hash ^= c.self.hash()
	c.announced = false
}

// Leaving reports whether Leave was called.
func (c *Core) Leaving() bool { return c.self.State == Leaving }

// Step advances the time and returns the packets to send.
func (c *Core) Step(now time.Duration) []Send {
	c.startStep(now)
	c.refresh(now)
	if !c.announced {
		c.announced = true
		c.broadcast(c.self)
	}
	if now-c.heartbeatAt >= c.cfg.Interval {
		c.heartbeatAt = now
		for _, id := range c.watchers {
			c.packetTo(id)
		}
	}
	c.probeUnheard(now)
	c.checkWatched(now)
	c.expireConfirmRequests(now)
	return c.flush()
}

func (c *Core) startStep(now time.Duration) {
	if !c.started {
		c.started, c.startedAt, c.stepAt, c.heartbeatAt = true, now, now, now-c.cfg.Interval
	}
	// A process that was paused has heard none of its peers meanwhile. This does
	// not mean that they failed, so the pause is not counted as their silence;
	// otherwise it would request confirmations for all peers at once.
	if gap := now - c.stepAt; gap > c.cfg.SuspectAfter/2 {
		for _, p := range c.peers {
			p.heardAt += gap
			p.watchedAt += gap
			p.suspicion = nil
		}
		c.confirmRequests = nil
	}
	c.stepAt = now
}

// Handle handles a packet and returns the packets to send.
func (c *Core) Handle(now time.Duration, p Packet) []Send {
	if p.From.ID == "" || p.From.ID == c.cfg.Self {
		return nil
	}
	known := c.merge(now, p.From)
	c.handleHeartbeat(now, p.From)
	if p.Probe || !known {
		c.packetTo(p.From.ID)
	}
	for _, e := range p.News {
		c.merge(now, e)
	}
	for _, l := range p.Heard {
		c.handleConfirmation(now, l, true)
	}
	for _, l := range p.Silent {
		c.handleConfirmation(now, l, false)
	}
	for _, l := range p.Ask {
		c.handleConfirmRequest(now, p.From.ID, l)
	}
	c.compareViews(now, p)
	return c.flush()
}

// compareViews repairs views that stay different, for example because a packet with an
// update was lost.
func (c *Core) compareViews(now time.Duration, p Packet) {
	from := c.peer(p.From.ID)
	if p.Hash == c.hash {
		c.viewConfirmed = true
		from.hashMismatches = 0
		return
	}
	from.hashMismatches++
	// An update may still be in transit, so a single mismatch is ignored.
	if from.hashMismatches < 2 || now-from.syncedAt < minSyncInterval {
		return
	}
	from.syncedAt, from.hashMismatches = now, 0
	packet := c.packetTo(p.From.ID)
	packet.News = append(packet.News, c.Entries()...)
}

func (c *Core) packetTo(to string) *Packet {
	p, ok := c.out[to]
	if !ok {
		p = &Packet{}
		c.out[to] = p
	}
	return p
}

func (c *Core) broadcast(e Entry) {
	for id, p := range c.peers {
		if p.entry.State != Dead || e.ID == id {
			packet := c.packetTo(id)
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

// StartupComplete reports whether every listed peer has been heard or has had the
// time to send a packet, and some peer has the same view as this member. Before
// that, a starting member would consider all others dead and claim all units.
func (c *Core) StartupComplete(now time.Duration) bool {
	if !c.started || (len(c.peers) == 0 && now-c.startedAt < c.cfg.StartupWait) {
		return false
	}
	if !c.viewConfirmed && now-c.startedAt < 2*c.cfg.StartupWait && c.hasHeardAny() {
		return false
	}
	for _, p := range c.peers {
		if p.entry.State == Unknown && now-p.listedAt <= c.cfg.StartupWait {
			return false
		}
	}
	return true
}

func (c *Core) hasHeardAny() bool {
	for _, p := range c.peers {
		if p.entry.State != Unknown {
			return true
		}
	}
	return false
}

// Live returns, in order, the members that are considered alive and able to own
// units.
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

// Lease returns the longest lease that a member, named with its incarnation, grants; 0: unknown.
func (c *Core) Lease(member string) time.Duration {
	if member == Member(c.cfg.Self, c.cfg.Incarnation) {
		return c.cfg.Lease
	}
	if p, ok := c.peers[ID(member)]; ok && member == Member(p.entry.ID, p.entry.Incarnation) {
		return p.entry.Lease
	}
	return 0
}

func eligible(now time.Duration, e Entry, since time.Duration) bool {
	wait := time.Duration(max(e.Version, 1)-1) * returnWaitPerVersion
	return e.State == Alive && now-since >= min(wait, maxReturnWait)
}
