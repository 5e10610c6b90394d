package dispatch

import (
	"math"
	"slices"
	"time"
)

// An entry with more requests than slots borrows free slots of other entries. A loan is one slot
// for a fixed time. It is returned early if it is not needed or is recalled. The slot limit of
// the runner holds even if entries fail or are paused:
//   - The lender counts the loan's time from when it lends, the borrower from when it sent its
//     request, which is earlier. So the borrower stops first.
//   - The borrower sends only requests that must end within that time, deadline and grace
//     included. A borrower that resumes after a pause finds the loan expired in the same step.
//   - The lender does not use the slot before it is returned or the loan has expired, and a
//     failed lender stays in the roster, draining, for longer than a loan lasts.

const (
	// loanDuration is how long a slot is lent.
	loanDuration = 10 * time.Second
	// clockMargin allows for the drift between two clocks during a loan.
	clockMargin = 50 * time.Millisecond
	// borrowPause is the delay before the next request to borrow if no entry had free slots, and
	// the minimum time between two recalls.
	borrowPause = 20 * time.Millisecond
	// idleReturnDelay is how long a borrower keeps an unused slot, so that the next request does
	// not need another loan.
	idleReturnDelay = 100 * time.Millisecond
	// borrowTimeout is when an unanswered request to borrow counts as refused.
	borrowTimeout = time.Second
)

// BorrowSlots asks another entry for free slots. The answer, even an empty one, is reported with
// Borrowed.
type BorrowSlots struct {
	Lender  string
	Service string
	Want    int
}

// ReturnSlots returns borrowed slots.
type ReturnSlots struct {
	Lender string
	Loans  []uint64
}

// RecallSlots asks a borrower to return some slots as soon as they are free, because the lender
// needs them.
type RecallSlots struct {
	Borrower string
	Count    int
}

// Loan is one slot of a runner that another entry may use.
type Loan struct {
	ID     uint64 `json:"id"`
	Runner string `json:"runner"`
}

// borrowedLoan is the borrower's state of a loan.
type borrowedLoan struct {
	Loan
	lender   string
	until    time.Duration
	used     bool
	recalled bool
	// idleSince is when the slot was first seen unused, or -1 if it is in use.
	idleSince time.Duration
}

// canServe reports whether a request is certain to end before the loan expires.
func (b *borrowedLoan) canServe(r *request) bool {
	return !b.used && !b.recalled && r.Deadline+stopGrace <= b.until
}

// lentLoan is the lender's state of a loan.
type lentLoan struct {
	Loan
	borrower string
	until    time.Duration
}

// lending is the lender's state of all its loans.
type lending struct {
	nextID uint64
	lent   []lentLoan
	// lastRecall is when borrowers were last asked to return slots.
	lastRecall time.Duration
}

// borrowState is a service's state of its requests to borrow: the lender to ask next and the
// refusals since the last success.
type borrowState struct {
	nextLender int
	refusals   int
	// sameLender is set if the last lender had free slots and may have more.
	sameLender bool
	notBefore  time.Duration
}

// Lend handles another entry's request to borrow with free slots.
func (c *Core) Lend(now time.Duration, borrower, serviceName string, want int) []Loan {
	s := c.service(serviceName)
	if len(s.queue) > 0 {
		return nil
	}
	var out []Loan
	for n := min(want, s.freeOwnSlots()-s.reservedSlots()); n > 0; n-- {
		t := s.mostFreeRunner()
		t.lent++
		c.lending.nextID++
		l := Loan{ID: c.lending.nextID, Runner: t.ID}
		c.lending.lent = append(c.lending.lent, lentLoan{l, borrower, now + loanDuration})
		out = append(out, l)
	}
	return out
}

// reservedSlots returns how many free slots are kept for this entry's own next requests: about
// half the standard deviation of the number in use.
func (s *service) reservedSlots() int {
	busy := 0
	for _, t := range s.runners {
		busy += t.busy
	}
	return max(1, int(math.Sqrt(float64(busy))/2))
}

// mostFreeRunner returns the runner with the most free slots of this entry's share.
func (s *service) mostFreeRunner() *runner {
	var best *runner
	for _, t := range s.runners {
		if t.isEligible() && (best == nil || t.freeOwnSlots() > best.freeOwnSlots()) {
			best = t
		}
	}
	return best
}

// Returned handles loans that a borrower returns.
func (c *Core) Returned(now time.Duration, borrower string, ids []uint64) []Action {
	c.endLoans(func(l lentLoan) bool { return l.borrower == borrower && slices.Contains(ids, l.ID) })
	return c.dispatchAll(now)
}

func (c *Core) endLoans(hasEnded func(lentLoan) bool) {
	c.lending.lent = slices.DeleteFunc(c.lending.lent, func(l lentLoan) bool {
		if !hasEnded(l) {
			return false
		}
		c.runners[l.Runner].lent--
		return true
	})
}

// borrow asks another entry for slots when requests wait.
func (c *Core) borrow(now time.Duration, s *service) []Action {
	peers := c.rosters.peers()
	if now < s.borrowing.notBefore || len(peers) == 0 {
		return nil
	}
	want := s.readyCount()
	if want == 0 {
		return nil
	}
	s.borrowing.notBefore = now + borrowTimeout
	if !s.borrowing.sameLender {
		s.borrowing.nextLender++
	}
	s.borrowing.sameLender = false
	s.borrowing.nextLender %= len(peers)
	return []Action{BorrowSlots{Lender: peers[s.borrowing.nextLender], Service: s.name, Want: want}}
}

// readyCount returns how many requests wait only for a slot.
func (s *service) readyCount() int {
	n := 0
	for _, w := range s.queue {
		if w.request.phase == queued {
			n++
		}
	}
	return n
}

// Borrowed handles the answer to a request to borrow that was sent at the given time.
func (c *Core) Borrowed(now, askedAt time.Duration, lender, serviceName string, loans []Loan) []Action {
	s := c.service(serviceName)
	s.borrowing.notBefore = now
	for _, l := range loans {
		if t, ok := c.runners[l.Runner]; ok {
			t.borrowed = append(t.borrowed, &borrowedLoan{Loan: l, lender: lender, until: askedAt + loanDuration - clockMargin, idleSince: -1})
		}
	}
	s.borrowing.refusals++
	if len(loans) > 0 {
		s.borrowing.refusals = 0
		s.borrowing.sameLender = true
	}
	if s.borrowing.refusals >= len(c.rosters.peers()) {
		s.borrowing.refusals, s.borrowing.notBefore = 0, now+borrowPause
	}
	return c.dispatch(now, s)
}

// Recalled handles a lender's request to return some of its slots. Unused ones go first.
func (c *Core) Recalled(now time.Duration, lender string, count int) []Action {
	for _, used := range []bool{false, true} {
		for _, t := range c.sortedRunners {
			for _, b := range t.borrowed {
				if count > 0 && b.lender == lender && b.used == used && !b.recalled {
					b.recalled = true
					count--
				}
			}
		}
	}
	return c.returnLoans(now)
}

// idleFor returns how long the loan has been seen unused.
func (b *borrowedLoan) idleFor(now time.Duration) time.Duration {
	if b.idleSince < 0 {
		b.idleSince = now
	}
	return now - b.idleSince
}

// returnLoans returns loans that are not needed and drops expired ones.
func (c *Core) returnLoans(now time.Duration) []Action {
	returned := map[string][]uint64{}
	for _, t := range c.sortedRunners {
		idle := len(c.service(t.Service).queue) == 0
		t.borrowed = slices.DeleteFunc(t.borrowed, func(b *borrowedLoan) bool {
			switch {
			case b.used:
				b.idleSince = -1
				return false
			case now >= b.until:
				return true
			case b.recalled || idle && b.idleFor(now) >= idleReturnDelay:
				returned[b.lender] = append(returned[b.lender], b.ID)
				return true
			}
			return false
		})
	}
	var out []Action
	for _, lender := range sortedKeys(returned) {
		out = append(out, ReturnSlots{lender, returned[lender]})
	}
	return out
}

// recallLoans ends expired loans, and recalls others when this entry needs the slots.
func (c *Core) recallLoans(now time.Duration) []Action {
	c.endLoans(func(l lentLoan) bool { return now >= l.until })
	if len(c.lending.lent) == 0 || now < c.lending.lastRecall+borrowPause {
		return nil
	}
	recalls := map[string]int{}
	recalledSlots := map[string]int{}
	for _, l := range c.lending.lent {
		t := c.runners[l.Runner]
		if t.busy+t.lent > t.share || recalledSlots[t.Service] < c.service(t.Service).readyCount() {
			recalledSlots[t.Service]++
			recalls[l.borrower]++
		}
	}
	var out []Action
	for _, borrower := range sortedKeys(recalls) {
		c.lending.lastRecall = now
		out = append(out, RecallSlots{borrower, recalls[borrower]})
	}
	return out
}
