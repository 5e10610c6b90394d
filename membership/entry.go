package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the known state of a member.
type State uint8

// The states of a member. At equal versions, a later state replaces an earlier one.
const (
	Unknown State = iota
	Alive
	// Ineligible members are alive but can't own anything, as they can't read the log.
	Ineligible
	// Leaving members shut down and hand over what they own.
	Leaving
	Dead
)

// Entry is one member in a view. Of two entries, the one with the higher
// incarnation, then version, then state is newer. Only the member itself raises
// its version, so it can refute that it is dead.
type Entry struct {
	ID          string
	Addr        string
	Incarnation uint64
	Version     uint32
	State       State
	// Lease is the longest lease that the member grants; 0: unknown, as members of older versions don't pass it on.
	Lease time.Duration
}

func (e Entry) newerThan(o Entry) bool {
	switch {
	case e.Incarnation != o.Incarnation:
		return e.Incarnation > o.Incarnation
	case e.Version != o.Version:
		return e.Version > o.Version
	default:
		return e.State > o.State
	}
}

// hash is zero for unknown and dead members: other members remove them from their
// views at different times, and the hashes of the views must match nevertheless.
func (e Entry) hash() uint64 {
	if e.State == Unknown || e.State == Dead {
		return 0
	}
	buf := make([]byte, 0, 64)
	buf = append(buf, e.ID...)
	buf = append(buf, 0, byte(e.State))
	buf = binary.BigEndian.AppendUint64(buf, e.Incarnation)
	buf = binary.BigEndian.AppendUint32(buf, e.Version)
	return xxhash.Sum64(buf)
}

// peer is what this member knows about another one.
type peer struct {
	entry    Entry
	since    time.Duration
	listed   bool
	listedAt time.Duration
	// heardAt is when the peer was last heard by this member or, as they
	// reported, by others; directAt counts packets to this member only. Only
	// directAt is used to answer other watchers: two watchers that confirmed each
	// other's reports would keep a dead member alive.
	heardAt  time.Duration
	directAt time.Duration
	// watched says whether this member is one of the peer's watchers, watchedAt
	// since when.
	watched   bool
	watchedAt time.Duration
	suspicion *suspicion
	// probedAt and probeWait control the backoff of probes to a listed peer that was
	// never heard or is dead.
	probedAt       time.Duration
	probeWait      time.Duration
	syncedAt       time.Duration
	hashMismatches int
}

func (c *Core) peer(id string) *peer {
	p, ok := c.peers[id]
	if !ok {
		p = &peer{entry: Entry{ID: id}}
		c.peers[id] = p
		c.changed = true
	}
	return p
}

// merge replaces what is known of a member by an entry if that is newer. It reports
// whether this incarnation of the member, or a newer one, was known before.
func (c *Core) merge(now time.Duration, e Entry) bool {
	if e.ID == c.cfg.Self {
		c.refute(now, e)
		return true
	}
	p := c.peer(e.ID)
	known := p.entry.Incarnation == e.Incarnation && p.entry.State != Unknown
	if e.Addr == "" {
		e.Addr = p.entry.Addr
	}
	if e.Lease == 0 && e.Incarnation == p.entry.Incarnation {
		e.Lease = p.entry.Lease
	}
	if !e.newerThan(p.entry) {
		if p.entry.Lease == 0 && p.entry.Incarnation == e.Incarnation {
			p.entry.Lease = e.Lease
		}
		if p.entry.Addr == "" && p.entry.Incarnation == e.Incarnation {
			p.entry.Addr = e.Addr
		}
		return known || p.entry.Incarnation > e.Incarnation
	}
	if e.Incarnation != p.entry.Incarnation {
		p.heardAt, p.suspicion = now, nil
	}
	c.hash ^= p.entry.hash() ^ e.hash()
	if e.State != p.entry.State {
		p.since = now
		p.probedAt, p.probeWait = now, minProbeWait
		c.changed = true
	}
	p.entry = e
	return known
}

// refute raises this member's version if an entry says that it is dead or in
// another state that it is not in.
func (c *Core) refute(now time.Duration, e Entry) {
	if e.Incarnation != c.self.Incarnation || !e.newerThan(c.self) {
		return
	}
	c.hash ^= c.self.hash()
	c.self.Version = e.Version + 1
	c.hash ^= c.self.hash()
	c.selfSince, c.announced = now, false
}

// Entries returns the complete view, with this member first.
func (c *Core) Entries() []Entry {
	list := []Entry{c.self}
	for _, id := range sortedIDs(c.peers) {
		if e := c.peers[id].entry; e.State != Unknown {
			list = append(list, e)
		}
	}
	return list
}

// Addr returns the address that a member has announced, or an empty string.
func (c *Core) Addr(id string) string {
	if p, ok := c.peers[id]; ok {
		return p.entry.Addr
	}
	return ""
}
