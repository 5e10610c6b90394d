package control

import (
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/ownership"
)

const (
	// fetchInterval is the time between two rounds of fetching the state from peers.
	fetchInterval = 500 * time.Millisecond
	// fetchDelay is how long a starting scheduler waits for the log before it asks peers.
	fetchDelay = time.Second
	// maxSkippedTurns is the number of snapshot turns that a build with records of unknown kinds
	// leaves to others.
	maxSkippedTurns = 12
)

// snapshotIfDue starts a snapshot when it is this scheduler's turn. The turn goes to the owners
// of the job homes in rotation, so that the load is distributed.
func (c *Core) snapshotIfDue(now time.Duration, down bool) {
	if down || c.storingSnapshot || !c.follower.CaughtUp() {
		return
	}
	first, tail := c.follower.Window()
	turn, due := c.schedule.Turn(now, c.view.Marks(), first, tail)
	home := ownership.HomeUnit(int(turn % ownership.HomeSlots))
	if !due || c.table.Holder(home).Owner != c.self {
		return
	}
	// During a rollout this build may skip records of a newer one, and a snapshot without their
	// effects would lose them once the log's retention removes them. Other instances go first.
	// If none of them writes a snapshot, no build knows the records.
	if c.view.UnknownKinds() > 0 && turn < c.view.Marks().Count()+maxSkippedTurns {
		return
	}
	s, err := c.view.Snapshot()
	if err != nil {
		return
	}
	c.storingSnapshot = true
	pause := time.Duration(float64(time.Second) / c.committer.AppendRate())
	c.actions = append(c.actions, StoreSnapshot{Snapshot: s, Pause: pause})
}

// snapshotStored proposes a mark for a snapshot that is complete in the log. One that may be
// incomplete gets no mark, and the next turn writes another.
func (c *Core) snapshotStored(now time.Duration, ev SnapshotStored) {
	c.storingSnapshot = false
	c.committer.CountExternal(logstream.CauseSnapshot, ev.Appends)
	if ev.Err == nil {
		c.propose(now, logstream.KindMark, ev.Mark)
	}
}

// fetchStatesIfNeeded asks peers for their state while this scheduler has none and the log can't
// provide it: the log is unavailable, or has removed records that no complete snapshot covers.
func (c *Core) fetchStatesIfNeeded(now time.Duration, down bool) {
	cutOff := down || c.follower.Gap()
	if !cutOff || c.follower.CaughtUp() || c.fetching || now-c.fetchedAt < fetchInterval || now-c.startedAt < fetchDelay {
		return
	}
	addrs := append([]string(nil), c.cfg.Peers...)
	for id, addr := range c.addrs {
		if id != c.cfg.ID {
			addrs = append(addrs, addr)
		}
	}
	sort.Strings(addrs)
	if len(addrs) == 0 {
		return
	}
	c.fetching = true
	c.actions = append(c.actions, FetchStates{Addrs: addrs})
}

// peerStates adopts the newest state of a round. It waits for all peers of the round, so that a
// slow answer does not show operators an older version than one that was reported to them as
// accepted.
func (c *Core) peerStates(now time.Duration, ev PeerStates) {
	c.fetching, c.fetchedAt = false, now
	if c.follower.CaughtUp() {
		return
	}
	sort.Slice(ev.States, func(i, j int) bool {
		a, b := ev.States[i], ev.States[j]
		return a.Snapshot.Offset > b.Snapshot.Offset || (a.Snapshot.Offset == b.Snapshot.Offset && a.From < b.From)
	})
	for _, p := range ev.States {
		if c.follower.Adopt(p.Snapshot, p.From) {
			c.ready = true
			c.version++
			c.syncOwnership(now)
			c.viewRestored(now)
			return
		}
	}
}

// Snapshot returns the state for a peer. It returns false while this scheduler has none that it
// read from the log or got complete from another peer.
func (c *Core) Snapshot() (logstream.Snapshot, bool) {
	if !c.ready || c.follower.Gap() {
		return logstream.Snapshot{}, false
	}
	s, err := c.view.Snapshot()
	return s, err == nil
}

// LogDump describes a scheduler's view of the log.
type LogDump struct {
	// Source is the origin of the state: "log", a snapshot or a peer.
	Source string `json:"source"`
	// Gap is set if records have expired that no complete snapshot covers. The state then stays
	// as it was and nothing is claimed.
	Gap          bool           `json:"gap"`
	First        infra.Offset   `json:"first"`
	Tail         infra.Offset   `json:"tail"`
	Rebuilds     uint64         `json:"rebuilds"`
	Snapshots    uint64         `json:"snapshots"`
	LastSnapshot logstream.Mark `json:"lastSnapshot"`
	LastWriter   string         `json:"lastSnapshotWriter,omitempty"`
	// Appends are this scheduler's appends by cause, Share is its limit of appends per second,
	// HeldBack is how often an append was delayed by the limit.
	Appends  map[string]uint64 `json:"appends"`
	Share    float64           `json:"share"`
	HeldBack uint64            `json:"heldBack"`
}

func (c *Core) logDump() LogDump {
	d := LogDump{Source: c.follower.Source(), Gap: c.follower.Gap(), Rebuilds: c.follower.Rebuilds(), Snapshots: c.view.Marks().Count()}
	d.Appends, d.Share, d.HeldBack = c.committer.Causes(), c.committer.AppendRate(), c.committer.ThrottledCount()
	d.First, d.Tail = c.follower.Window()
	d.LastSnapshot, d.LastWriter = c.view.Marks().Newest()
	return d
}
