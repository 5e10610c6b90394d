package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// runner is an upstream runner and this entry's part of its slots.
type runner struct {
	infra.Instance
	// listed is set if the runner is in the newest list. An unlisted runner keeps its counts
	// until this entry has nothing left on it: if it were listed again with counts of zero, it
	// would get more requests than it has slots.
	listed bool
	// busy counts the slots of this entry's share that are in use or held.
	busy  int
	share int
	// lent counts slots of this entry's share that are lent to other entries; borrowed are slots
	// borrowed from others.
	lent     int
	borrowed []*borrowedLoan
	health   health
}

// freeOwnSlots returns how many slots of this entry's share are free.
func (t *runner) freeOwnSlots() int { return max(t.share-t.busy-t.lent, 0) }

// hasFreeLoan reports whether a borrowed slot is free.
func (t *runner) hasFreeLoan() bool {
	return slices.ContainsFunc(t.borrowed, func(b *borrowedLoan) bool { return !b.used && !b.recalled })
}

// loanFor returns a borrowed slot that the request may use, or nil.
func (t *runner) loanFor(r *request) *borrowedLoan {
	for _, b := range t.borrowed {
		if b.canServe(r) {
			return b
		}
	}
	return nil
}

// stopGrace is how long after a request's deadline its runner may still be busy with it,
// allowing for network latency, clock granularity and the time to stop.
const stopGrace = 100 * time.Millisecond

// heldSlot is a slot that stays occupied after an attempt whose end was not observed. The runner
// knows the deadline and stops then; releasing the slot earlier would put nine requests on a
// runner with eight slots.
type heldSlot struct {
	runner *runner
	loan   *borrowedLoan
	until  time.Duration
}

func (c *Core) updateRunners(list []infra.Instance) {
	for _, t := range c.runners {
		t.listed = false
	}
	for _, i := range list {
		t, ok := c.runners[i.ID]
		if !ok {
			t = &runner{health: newHealth()}
			c.runners[i.ID] = t
		}
		t.Instance, t.listed = i, true
	}
	c.updateShares()
	c.sortedRunners = c.sortedRunners[:0]
	for _, s := range c.services {
		s.runners = s.runners[:0]
	}
	for id, t := range c.runners {
		if !t.listed && t.unused() {
			delete(c.runners, id)
			continue
		}
		c.sortedRunners = append(c.sortedRunners, t)
	}
	slices.SortFunc(c.sortedRunners, func(a, b *runner) int { return strings.Compare(a.ID, b.ID) })
	for _, t := range c.sortedRunners {
		s := c.service(t.Service)
		s.runners = append(s.runners, t)
	}
}

// unused reports whether this entry has no attempts, lent slots or borrowed slots on the runner.
func (t *runner) unused() bool { return t.busy == 0 && t.lent == 0 && len(t.borrowed) == 0 }

func (c *Core) updateShares() {
	for _, t := range c.runners {
		t.share = c.rosters.share(t.ID, c.cfg.SlotsPerRunner)
	}
}

// AckedRosterVersion returns the newest roster that this entry complies with. Other entries may
// grow to their shares of it once they have received this version.
func (c *Core) AckedRosterVersion() infra.Offset {
	for _, t := range c.runners {
		if t.busy+t.lent > t.share {
			return c.rosters.ackedVersion
		}
	}
	c.rosters.ackedVersion = c.rosters.newest()
	return c.rosters.ackedVersion
}

// releaseSlot frees the slot of the attempt in progress.
func (c *Core) releaseSlot(r *request) {
	r.runner.freeSlot(r.loan)
	r.runner, r.loan = nil, nil
}

func (t *runner) freeSlot(loan *borrowedLoan) {
	if loan != nil {
		loan.used = false
		return
	}
	t.busy--
}

// holdSlot keeps the slot of an attempt that may still be running occupied until its runner must
// have stopped.
func (c *Core) holdSlot(r *request) {
	c.heldSlots = append(c.heldSlots, heldSlot{r.runner, r.loan, r.Deadline + stopGrace})
	r.runner, r.loan = nil, nil
}

func (c *Core) releaseExpiredHolds(now time.Duration) {
	c.heldSlots = slices.DeleteFunc(c.heldSlots, func(h heldSlot) bool {
		if now < h.until {
			return false
		}
		h.runner.freeSlot(h.loan)
		return true
	})
}

// Share returns how many of a runner's slots an entry may use. The shares of all entries add up
// to the slots, so entries need no coordination per request.
func Share(runnerID, self string, entries []string, slots int) int {
	sorted := slices.Sorted(slices.Values(entries))
	n := len(sorted)
	i := slices.Index(sorted, self)
	if i < 0 {
		return 0
	}
	share := slots / n
	// The remainder goes to different entries on each runner, so that no entry gets it
	// everywhere.
	if (i+n-hashMod(runnerID, n))%n < slots%n {
		share++
	}
	return share
}

func hashMod(s string, n int) int {
	var h uint32 = 2166136261
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * 16777619
	}
	return int(h % uint32(n))
}
