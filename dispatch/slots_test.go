package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/knapweedweir/knapweedweir/infra"
)

const (
	cellSlots = 4
	// drainTerm is how long a stopped entry stays draining: longer than a loan and
	// than any request of the model.
	drainTerm = loanTerm + time.Second
)

// sharing is one entry of a cell.
type sharing struct {
	id      string
	core    *Core
	dead    bool
	stopped time.Duration
	paused  bool
	// known is how much of the log it has read.
	known int
}

// use is a request that a runner is busy with.
type use struct {
	entry, runner string
	request       uint64
	until         time.Duration
	// inTouch says that the entry will hear of its end.
	inTouch bool
}

// sharingCell is entries that share the slots of two runners, a log of rosters, and
// a network that delays, loses and reorders.
type sharingCell struct {
	t       *rapid.T
	now     time.Duration
	entries []*sharing
	log     []Roster
	uses    []*use
	// mail is what is on its way.
	mail []func()
	last uint64
}

func newSharingCell(t *rapid.T) *sharingCell {
	c := &sharingCell{t: t}
	for range 3 {
		c.addEntry()
	}
	c.log = []Roster{{Version: 1, Entries: []string{"e1", "e2", "e3"}, First: true}}
	for _, e := range c.entries {
		c.read(e)
	}
	return c
}

func (c *sharingCell) addEntry() *sharing {
	e := &sharing{id: fmt.Sprintf("e%d", len(c.entries)+1)}
	e.core = New(Config{Self: e.id, SlotsPerRunner: cellSlots, RetryShare: 0.1, MaxQueue: 50})
	e.core.SetRunners(c.now, []infra.Instance{{ID: "r1", Service: "desk", State: infra.InstanceLive}, {ID: "r2", Service: "desk", State: infra.InstanceLive}})
	c.entries = append(c.entries, e)
	return e
}

func (c *sharingCell) take(e *sharing, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			c.uses = append(c.uses, &use{e.id, a.Runner.ID, a.Request, e.core.requests[a.Request].Deadline + stopGrace, true})
		case AskSlots:
			c.askFor(e, a)
		case ReturnSlots:
			c.post(a.Lender, func(l *sharing) { c.take(l, l.core.Returned(c.now, e.id, a.Loans)) })
		case RecallSlots:
			c.post(a.Borrower, func(b *sharing) { c.take(b, b.core.Recalled(c.now, e.id, a.Count)) })
		}
	}
	c.check()
}

func (c *sharingCell) askFor(e *sharing, a AskSlots) {
	asked := c.now
	c.post(a.Lender, func(l *sharing) {
		loans := l.core.Lend(c.now, e.id, a.Service, a.Want)
		c.post(e.id, func(b *sharing) { c.take(b, b.core.Borrowed(c.now, asked, l.id, a.Service, loans)) })
	})
}

// post sends a message; it arrives when the run delivers it, if its receiver acts.
func (c *sharingCell) post(to string, deliver func(*sharing)) {
	c.mail = append(c.mail, func() {
		for _, e := range c.entries {
			if e.id == to && !e.dead {
				deliver(e)
			}
		}
	})
}

// read lets an entry take in the newest roster, however many it missed.
func (c *sharingCell) read(e *sharing) {
	if e.known < len(c.log) {
		e.known = len(c.log)
		c.take(e, e.core.SetRoster(c.now, c.log[e.known-1]))
	}
}

func (c *sharingCell) check() {
	busy := map[string]int{}
	for _, u := range c.uses {
		if c.now < u.until {
			busy[u.runner]++
		}
	}
	for r, n := range busy {
		if n > cellSlots {
			c.t.Fatalf("%d slots of %s in use at once, it has %d", n, r, cellSlots)
		}
	}
}

// some draws an entry that can act, nil if there is none.
func (c *sharingCell) some(t *rapid.T) *sharing {
	var live []*sharing
	for _, e := range c.entries {
		if !e.dead && !e.paused {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return rapid.SampledFrom(live).Draw(t, "entry")
}

func (c *sharingCell) arrive(t *rapid.T) {
	e := c.some(t)
	if e == nil {
		return
	}
	for range rapid.IntRange(1, 8).Draw(t, "requests") {
		c.last++
		patience := time.Duration(rapid.IntRange(100, 9500).Draw(t, "patience")) * time.Millisecond
		c.take(e, e.core.Arrive(c.now, Request{ID: c.last, Team: "t", Service: "desk", Worth: 1, Idempotent: true, Deadline: c.now + patience}))
	}
}

func (c *sharingCell) end(t *rapid.T) {
	e := c.some(t)
	if e == nil {
		return
	}
	for i, u := range c.uses {
		if u.entry != e.id || !u.inTouch || c.now >= u.until {
			continue
		}
		u.inTouch = false
		if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
			c.take(e, e.core.Failed(c.now, u.request, MayHaveRun, "lost"))
			return
		}
		c.uses = slices.Delete(c.uses, i, i+1)
		c.take(e, e.core.Answered(c.now, u.request, time.Millisecond, false))
		return
	}
}

func (c *sharingCell) deliver(t *rapid.T) {
	if len(c.mail) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.mail)-1).Draw(t, "message")
	m := c.mail[i]
	c.mail = slices.Delete(c.mail, i, i+1)
	if rapid.IntRange(0, 5).Draw(t, "lose") > 0 {
		m()
	}
}

func (c *sharingCell) pass(t *rapid.T) {
	c.now += time.Duration(rapid.IntRange(1, 6000).Draw(t, "millis")) * time.Millisecond
	for _, e := range c.entries {
		if !e.dead && !e.paused && rapid.IntRange(0, 3).Draw(t, "late") > 0 {
			c.take(e, e.core.Expire(c.now))
		}
	}
}

func (c *sharingCell) gossip(t *rapid.T) {
	e := c.some(t)
	if e == nil {
		return
	}
	v := e.core.SettledVersion()
	for _, other := range c.entries {
		c.post(other.id, func(o *sharing) { c.take(o, o.core.Settled(c.now, e.id, v)) })
	}
	if rapid.Bool().Draw(t, "quick") {
		c.deliverAll(t)
	}
}

// deliverAll is a network without delay: all that is on its way arrives.
func (c *sharingCell) deliverAll(*rapid.T) {
	for len(c.mail) > 0 {
		m := c.mail[0]
		c.mail = c.mail[1:]
		m()
	}
}

// agree lets all that act read the log and hear of each other.
func (c *sharingCell) agree(t *rapid.T) {
	for _, e := range c.entries {
		if !e.dead && !e.paused {
			c.read(e)
			v := e.core.SettledVersion()
			for _, other := range c.entries {
				c.post(other.id, func(o *sharing) { c.take(o, o.core.Settled(c.now, e.id, v)) })
			}
		}
	}
	c.deliverAll(t)
}

func (c *sharingCell) readSome(t *rapid.T) {
	if e := c.some(t); e != nil {
		c.read(e)
	}
}

func (c *sharingCell) pause(t *rapid.T) {
	e := rapid.SampledFrom(c.entries).Draw(t, "entry")
	e.paused = !e.paused
}

func (c *sharingCell) die(t *rapid.T) {
	e := c.some(t)
	if e == nil {
		return
	}
	e.dead, e.stopped = true, c.now
}

// change appends a roster: the dead leave it, perhaps one joins.
func (c *sharingCell) change(t *rapid.T) {
	if len(c.entries) < 6 && rapid.Bool().Draw(t, "joins") {
		c.addEntry()
	}
	next := Roster{Version: infra.Offset(len(c.log) + 1)}
	for _, e := range c.entries {
		switch {
		case !e.dead:
			next.Entries = append(next.Entries, e.id)
		case c.now < e.stopped+drainTerm:
			next.Draining = append(next.Draining, e.id)
		}
	}
	c.log = append(c.log, next)
}

// Entries learn of a new list at different times. One that computes its share from
// five entries sends beside one that still computes from three, and a runner of
// four slots gets five requests; a borrower that was paused goes on using a slot
// that was taken back. Entries here join, die, pause, lend and lose messages.
func TestSlotsHoldAcrossEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSharingCell(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": c.arrive, "arrive more": c.arrive, "end": c.end, "end more": c.end, "deliver": c.deliver, "deliver more": c.deliver,
			"deliver all": c.deliverAll, "agree": c.agree, "pass": c.pass, "gossip": c.gossip, "read": c.readSome, "read more": c.readSome, "pause": c.pause, "die": c.die, "change": c.change,
		})
	})
}
