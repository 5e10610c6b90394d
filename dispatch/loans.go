package dispatch

import (
	"math"
	"slices"
	"time"
)

// An entry with more callers than slots borrows idle slots of other entries. A loan
// is one slot for a fixed term and comes back early when it isn't needed or is
// recalled. The limit of the runner holds whatever dies or pauses:
//   - The lender counts the term from when it lends, the borrower from when it
//     asked, which is earlier. So the borrower stops first.
//   - The borrower sends only what must end within the term, deadline and grace
//     included. One that wakes from a pause finds the term over in the same step.
//   - The lender doesn't use the slot before it is returned or the term is over,
//     and a dead lender stays in the roster, draining, for longer than a term.

const (
	// loanTerm is how long a slot is lent.
	loanTerm = 10 * time.Second
	// clockMargin is what two clocks may differ within a term.
	clockMargin = 50 * time.Millisecond
	// askPause is the wait before asking again after nobody had idle slots.
	askPause = 20 * time.Millisecond
	// keepIdle is how long a borrower keeps a slot it doesn't use, as the next
	// caller would make it ask again.
	keepIdle = 100 * time.Millisecond
	// askTimeout is when an ask without an answer is taken as refused.
	askTimeout = time.Second
)

// AskSlots asks another entry for idle slots. The answer is taken in by Borrowed,
// also an empty one.
type AskSlots struct {
	Lender  string
	Service string
	Want    int
}

// ReturnSlots gives borrowed slots back.
type ReturnSlots struct {
	Lender string
	Loans  []uint64
}

// RecallSlots asks a borrower to return some slots as soon as they are idle, as the
// lender needs them.
type RecallSlots struct {
	Borrower string
	Count    int
}

// Loan is one slot of a runner that another entry may use.
type Loan struct {
	ID     uint64 `json:"id"`
	Runner string `json:"runner"`
}

// borrowed is a loan as the borrower keeps it.
type borrowed struct {
	Loan
	lender   string
	until    time.Duration
	used     bool
	recalled bool
	// idleSince is when it was first seen idle, -1 when it was in use.
	idleSince time.Duration
}

// fits reports whether a request would surely have ended within the term.
func (b *borrowed) fits(r *request) bool {
	return !b.used && !b.recalled && r.Deadline+stopGrace <= b.until
}

// lent is a loan as the lender keeps it.
type lent struct {
	Loan
	borrower string
	until    time.Duration
}

// lending is what an entry has lent, and whom it asks.
type lending struct {
	nextID uint64
	lent   []lent
	// recalledAt is when borrowers were last asked to return slots.
	recalledAt time.Duration
}

// asking is where a service looks for slots to borrow.
type asking struct {
	next    int
	refused int
	// again says that the last lender had some, and may have more.
	again bool
	after time.Duration
}

// Lend answers another entry's ask with idle slots.
func (c *Core) Lend(now time.Duration, borrower, serviceName string, want int) []Loan {
	s := c.service(serviceName)
	if len(s.queue) > 0 {
		return nil
	}
	var out []Loan
	for n := min(want, s.free()-s.reserve()); n > 0; n-- {
		t := s.mostFree()
		t.lent++
		c.lending.nextID++
		l := Loan{ID: c.lending.nextID, Runner: t.ID}
		c.lending.lent = append(c.lending.lent, lent{l, borrower, now + loanTerm})
		out = append(out, l)
	}
	return out
}

// reserve is how many idle slots are kept for our own next callers: about
// half of what the number in use moves up and down by chance.
func (s *service) reserve() int {
	busy := 0
	for _, t := range s.runners {
		busy += t.busy
	}
	return max(1, int(math.Sqrt(float64(busy))/2))
}

// mostFree returns the runner with the most idle slots of this entry's own.
func (s *service) mostFree() *runner {
	var best *runner
	for _, t := range s.runners {
		if t.open() && (best == nil || t.ownFree() > best.ownFree()) {
			best = t
		}
	}
	return best
}

// Returned takes back loans.
func (c *Core) Returned(now time.Duration, borrower string, ids []uint64) []Action {
	c.takeBack(func(l lent) bool { return l.borrower == borrower && slices.Contains(ids, l.ID) })
	return c.dispatchAll(now)
}

func (c *Core) takeBack(over func(lent) bool) {
	c.lending.lent = slices.DeleteFunc(c.lending.lent, func(l lent) bool {
		if !over(l) {
			return false
		}
		c.runners[l.Runner].lent--
		return true
	})
}

// ask looks for slots to borrow when requests wait.
func (c *Core) ask(now time.Duration, s *service) []Action {
	peers := c.rosters.peers()
	if now < s.asking.after || len(peers) == 0 {
		return nil
	}
	want := s.sendable()
	if want == 0 {
		return nil
	}
	s.asking.after = now + askTimeout
	if !s.asking.again {
		s.asking.next++
	}
	s.asking.again = false
	s.asking.next %= len(peers)
	return []Action{AskSlots{Lender: peers[s.asking.next], Service: s.name, Want: want}}
}

// sendable is how many requests wait for nothing but a slot.
func (s *service) sendable() int {
	n := 0
	for _, w := range s.queue {
		if w.request.phase == queued {
			n++
		}
	}
	return n
}

// Borrowed takes in the answer to an ask that was put at the given time.
func (c *Core) Borrowed(now, asked time.Duration, lender, serviceName string, loans []Loan) []Action {
	s := c.service(serviceName)
	s.asking.after = now
	for _, l := range loans {
		if t, ok := c.runners[l.Runner]; ok {
			t.borrowed = append(t.borrowed, &borrowed{Loan: l, lender: lender, until: asked + loanTerm - clockMargin, idleSince: -1})
		}
	}
	s.asking.refused++
	if len(loans) > 0 {
		s.asking.refused = 0
		s.asking.again = true
	}
	if s.asking.refused >= len(c.rosters.peers()) {
		s.asking.refused, s.asking.after = 0, now+askPause
	}
	return c.dispatch(now, s)
}

// Recalled takes in that a lender wants some of its slots back. Idle ones go first.
func (c *Core) Recalled(now time.Duration, lender string, count int) []Action {
	for _, used := range []bool{false, true} {
		for _, t := range c.order {
			for _, b := range t.borrowed {
				if count > 0 && b.lender == lender && b.used == used && !b.recalled {
					b.recalled = true
					count--
				}
			}
		}
	}
	return c.giveBack(now)
}

// idleFor is how long the loan has been seen idle.
func (b *borrowed) idleFor(now time.Duration) time.Duration {
	if b.idleSince < 0 {
		b.idleSince = now
	}
	return now - b.idleSince
}

// giveBack returns loans that nobody needs and drops those whose term is over.
func (c *Core) giveBack(now time.Duration) []Action {
	back := map[string][]uint64{}
	for _, t := range c.order {
		idle := len(c.service(t.Service).queue) == 0
		t.borrowed = slices.DeleteFunc(t.borrowed, func(b *borrowed) bool {
			switch {
			case b.used:
				b.idleSince = -1
				return false
			case now >= b.until:
				return true
			case b.recalled || idle && b.idleFor(now) >= keepIdle:
				back[b.lender] = append(back[b.lender], b.ID)
				return true
			}
			return false
		})
	}
	var out []Action
	for _, lender := range sortedKeys(back) {
		out = append(out, ReturnSlots{lender, back[lender]})
	}
	return out
}

// reclaim ends loans whose term is over, and recalls others when requests wait here.
func (c *Core) reclaim(now time.Duration) []Action {
	c.takeBack(func(l lent) bool { return now >= l.until })
	if len(c.lending.lent) == 0 || now < c.lending.recalledAt+askPause {
		return nil
	}
	needed := map[string]int{}
	asked := map[string]int{}
	for _, l := range c.lending.lent {
		t := c.runners[l.Runner]
		if t.busy+t.lent > t.share || asked[t.Service] < c.service(t.Service).sendable() {
			asked[t.Service]++
			needed[l.borrower]++
		}
	}
	var out []Action
	for _, borrower := range sortedKeys(needed) {
		c.lending.recalledAt = now
		out = append(out, RecallSlots{borrower, needed[borrower]})
	}
	return out
}
