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
	// listed says that the runner is in the newest list. One that has dropped
	// out keeps its count until nothing of ours runs there: if it came back
	// with a count of zero, it would get more than its slots.
	listed bool
	// busy counts the slots of our share in use and those held.
	busy  int
	share int
	// lent counts slots of our share that other entries may use; borrowed are
	// slots of theirs that we may use.
	lent     int
	borrowed []*borrowed
	health   health
}

// ownFree is how many slots of our share are idle.
func (t *runner) ownFree() int { return max(t.share-t.busy-t.lent, 0) }

// loanFree reports whether a borrowed slot is idle.
func (t *runner) loanFree() bool {
	return slices.ContainsFunc(t.borrowed, func(b *borrowed) bool { return !b.used && !b.recalled })
}

// loanFor returns a borrowed slot that a request may use, or nil.
func (t *runner) loanFor(r *request) *borrowed {
	for _, b := range t.borrowed {
		if b.fits(r) {
			return b
		}
	}
	return nil
}

// stopGrace is how long after a request's deadline its runner may still be
// busy with it: the way there, the clock's granularity and the stopping itself.
const stopGrace = 100 * time.Millisecond

// hold keeps a slot taken after an attempt whose end nobody saw. The runner was
// told the deadline and stops then; giving the slot away sooner would put
// nine requests on a runner of eight.
type hold struct {
	runner *runner
	loan   *borrowed
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
	c.order = c.order[:0]
	for _, s := range c.services {
		s.runners = s.runners[:0]
	}
	for id, t := range c.runners {
		if !t.listed && t.unused() {
			delete(c.runners, id)
			continue
		}
		c.order = append(c.order, t)
	}
	slices.SortFunc(c.order, func(a, b *runner) int { return strings.Compare(a.ID, b.ID) })
	for _, t := range c.order {
		s := c.service(t.Service)
		s.runners = append(s.runners, t)
	}
}

// unused reports whether nothing of ours is left at the runner.
func (t *runner) unused() bool { return t.busy == 0 && t.lent == 0 && len(t.borrowed) == 0 }

func (c *Core) updateShares() {
	for _, t := range c.runners {
		t.share = c.rosters.share(t.ID, c.cfg.SlotsPerRunner)
	}
}

// SettledVersion is the newest roster that this entry keeps to: the others may
// grow to their shares of it once they hear this.
func (c *Core) SettledVersion() infra.Offset {
	for _, t := range c.runners {
		if t.busy+t.lent > t.share {
			return c.rosters.kept
		}
	}
	c.rosters.kept = c.rosters.newest()
	return c.rosters.kept
}

// release gives back the slot of the attempt in progress.
func (c *Core) release(r *request) {
	r.runner.freeSlot(r.loan)
	r.runner, r.loan = nil, nil
}

func (t *runner) freeSlot(loan *borrowed) {
	if loan != nil {
		loan.used = false
		return
	}
	t.busy--
}

// holdSlot keeps the slot of an attempt that may still run until the runner
// must have stopped.
func (c *Core) holdSlot(r *request) {
	c.holds = append(c.holds, hold{r.runner, r.loan, r.Deadline + stopGrace})
	r.runner, r.loan = nil, nil
}

func (c *Core) releaseHeld(now time.Duration) {
	c.holds = slices.DeleteFunc(c.holds, func(h hold) bool {
		if now < h.until {
			return false
		}
		h.runner.freeSlot(h.loan)
		return true
	})
}

// Share is how many of a runner's slots an entry may use. The shares of all
// entries add up to the slots, so entries need not ask each other.
func Share(runnerID, self string, entries []string, slots int) int {
	sorted := slices.Sorted(slices.Values(entries))
	n := len(sorted)
	i := slices.Index(sorted, self)
	if i < 0 {
		return 0
	}
	share := slots / n
	// The remainder goes to other entries at each runner, so that no
	// entry has it everywhere.
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
