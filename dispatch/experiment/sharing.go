package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/knapweedweir/knapweedweir/dispatch"
)

// Sharing is how entries share the slots of the runners.
type Sharing string

// The ways of sharing.
const (
	// Fixed shares: every entry keeps to its own.
	Fixed Sharing = "fixed"
	// Borrowing from entries with idle slots.
	Borrowing Sharing = "borrowing"
	// Forwarding of requests that would wait to the entry with the most idle
	// slots. The model knows them without lag, which favours it.
	Forwarding Sharing = "forwarding"
	// OnePool is one entry with all slots and all callers: the ideal.
	OnePool Sharing = "one pool"
)

// hop is the way from one entry to another.
const hop = 1500 * time.Microsecond

// Run runs the arrivals through one dispatch core per entry.
func (c Cell) Run(arrivals []Arrival, how Sharing) Result { return c.simulate(arrivals, how, nil) }

func (c Cell) simulate(arrivals []Arrival, how Sharing, faults map[string]Fault) Result {
	if how == OnePool {
		c.Entries = 1
		pooled := append([]Arrival(nil), arrivals...)
		for i := range pooled {
			pooled[i].Entry = 0
		}
		arrivals = pooled
	}
	s := newSimulation(c, nil)
	s.how, s.faults = how, faults
	for _, id := range c.entryIDs() {
		core := dispatch.New(dispatch.Config{Self: id, SlotsPerRunner: SlotsPerRunner, RetryShare: 0.1, MaxQueue: 2000})
		core.SetRoster(0, dispatch.Roster{Version: 1, Entries: c.entryIDs(), First: true})
		core.SetRunners(0, c.instances())
		s.by = append(s.by, core)
		s.cores = append(s.cores, core)
	}
	return s.run(arrivals)
}

func (s *simulation) askSlots(n int, a dispatch.AskSlots) {
	if s.how != Borrowing {
		return
	}
	s.result.Messages += 2
	asked, lender := s.now, s.entry(a.Lender)
	s.at(s.now+hop, func() {
		loans := s.cores[lender].Lend(s.now, s.id(n), a.Service, a.Want)
		s.at(s.now+hop, func() { s.take(n, s.cores[n].Borrowed(s.now, asked, a.Lender, a.Service, loans)) })
	})
}

func (s *simulation) returnSlots(n int, a dispatch.ReturnSlots) {
	s.result.Messages++
	lender := s.entry(a.Lender)
	s.at(s.now+hop, func() { s.take(lender, s.cores[lender].Returned(s.now, s.id(n), a.Loans)) })
}

func (s *simulation) recallSlots(n int, a dispatch.RecallSlots) {
	s.result.Messages++
	borrower := s.entry(a.Borrower)
	s.at(s.now+hop, func() { s.take(borrower, s.cores[borrower].Recalled(s.now, s.id(n), a.Count)) })
}

func (s *simulation) id(n int) string { return s.cell.entryIDs()[n] }

func (s *simulation) entry(id string) int {
	for n, other := range s.cell.entryIDs() {
		if other == id {
			return n
		}
	}
	return -1
}

// forward returns the entry that serves an arrival, and when it gets there.
func (s *simulation) forward(a Arrival) (int, time.Duration) {
	if s.how != Forwarding || s.cores[a.Entry].Idle(s.cell.Service) > 0 {
		return a.Entry, 0
	}
	best := a.Entry
	for n, c := range s.cores {
		if c.Idle(s.cell.Service) > s.cores[best].Idle(s.cell.Service) {
			best = n
		}
	}
	if best == a.Entry {
		return best, 0
	}
	s.result.Messages += 2
	return best, hop
}

// Skew prints waiting times when one entry gets most callers.
func Skew(w io.Writer, factors []float64, hot float64, seed uint64) {
	fmt.Fprintf(w, "| cell | load | sharing | of the oracle | wait mean | p50 | p99 | p99.9 | refused | messages a request | most slots |\n")
	fmt.Fprintf(w, "|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, c := range Cells() {
		for _, f := range factors {
			arrivals := c.Arrivals(Load{Factor: f, Hot: hot, For: runDeadlines * c.longestDeadline() / 2, Seed: seed})
			best := c.Oracle(arrivals)
			for _, how := range []Sharing{Fixed, Borrowing, Forwarding, OnePool} {
				r := c.Run(arrivals, how)
				fmt.Fprintf(w, "| %s | %.1f | %s | %.3f | %s | %s | %s | %s | %s | %.3f | %d |\n", c.Name, f, how, r.Worth/best, mean(r.Waits),
					Quantile(r.Waits, 0.5), Quantile(r.Waits, 0.99), Quantile(r.Waits, 0.999), percent(r.Refused, r.Arrived), float64(r.Messages)/float64(r.Arrived), r.MostBusy)
			}
		}
	}
}

func mean(d []time.Duration) time.Duration {
	var sum time.Duration
	for _, x := range d {
		sum += x
	}
	return (sum / time.Duration(max(len(d), 1))).Round(10 * time.Microsecond)
}
