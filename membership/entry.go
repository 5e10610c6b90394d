package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is known of a member.
type State uint8

// The states of a member, each ranking above the one before at equal versions.
const (
	Unknown State = iota
	Alive
	// Unfit members live but can't own anything, as they can't read the log.
	Unfit
	// Leaving members hand over what they own.
	Leaving
	Dead
)

// Entry is one member in a view. Of two entries the one with the higher
// incarnation, then version, then state is newer. Only the member itself raises
// its version, so it can refute its death.
type Entry struct {
	ID          string
	Addr        string
	Incarnation uint64
	Version     uint32
	State       State
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

// hash is zero for members that count for nothing, as members forget them at
// different times.
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

// peer is what this member knows of another one.
type peer struct {
	entry    Entry
	since    time.Duration
	listed   bool
	listedAt time.Duration
	// heardAt is when it was last heard, by others too; directAt by this member.
	// Only the latter is told to others: two watchers that pass hearsay to and
	// fro would keep a dead member alive.
	heardAt  time.Duration
	directAt time.Duration
	// watchedAt is since when this member is one of its watchers; watched says
	// whether it is.
	watched   bool
	watchedAt time.Duration
	suspicion *suspicion
	// contactAt and contactWait pace contacts with a peer never heard.
	contactAt   time.Duration
	contactWait time.Duration
	syncedAt    time.Duration
	differs     int
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

// learn takes in an entry if it is newer. It reports whether the member was known
// in this life.
func (c *Core) learn(now time.Duration, e Entry) bool {
	if e.ID == c.cfg.Self {
		c.refute(now, e)
		return true
	}
	p := c.peer(e.ID)
	known := p.entry.Incarnation == e.Incarnation && p.entry.State != Unknown
	if e.Addr == "" {
		e.Addr = p.entry.Addr
	}
	if !e.newerThan(p.entry) {
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
		p.contactAt, p.contactWait = now, contactEvery
		c.changed = true
	}
	p.entry = e
	return known
}

// refute answers the news of this member's own death, or of another state that
// it is not in, with a higher version.
func (c *Core) refute(now time.Duration, e Entry) {
	if e.Incarnation != c.self.Incarnation || !e.newerThan(c.self) {
		return
	}
	c.hash ^= c.self.hash()
	c.self.Version = e.Version + 1
	c.hash ^= c.self.hash()
	c.selfSince, c.told = now, false
}

// Entries is the whole view, this member first.
func (c *Core) Entries() []Entry {
	list := []Entry{c.self}
	for _, id := range sortedIDs(c.peers) {
		if e := c.peers[id].entry; e.State != Unknown {
			list = append(list, e)
		}
	}
	return list
}

// Addr is where a member says that it can be reached; empty if it doesn't.
func (c *Core) Addr(id string) string {
	if p, ok := c.peers[id]; ok {
		return p.entry.Addr
	}
	return ""
}
