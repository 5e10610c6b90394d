package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/knapweedweir/knapweedweir/dispatch"
)

// Sharing is how entries share the slots of the runners.
type Sharing string

// Ways of sharing.
const (
	// Fixed: every entry uses only its own share.
	Fixed Sharing = "fixed"
	// Borrowing: entries borrow from others with free slots.
	Borrowing Sharing = "borrowing"
	// Forwarding: requests that would wait are forwarded to the entry with the most free slots.
	// The model knows these without delay, which gives it an advantage.
	Forwarding Sharing = "forwarding"
	// OnePool: one entry has all slots and all callers; the ideal case.
	OnePool Sharing = "one pool"
)

// hopLatency is the network latency between two entries.
const hopLatency = 1500 * time.Microsecond

// Run simulates the arrivals with one dispatch core per entry.
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
	s.sharing, s.faults = how, faults
	for _, id := range c.entryIDs() {
		core := dispatch.New(dispatch.Config{Self: id, SlotsPerRunner: SlotsPerRunner, RetryRatio: 0.1, MaxQueue: 2000})
		core.SetRoster(0, dispatch.Roster{Version: 1, Entries: c.entryIDs(), First: true})
		core.SetRunners(0, c.instances())
		s.policies = append(s.policies, core)
		s.cores = append(s.cores, core)
	}
	return s.run(arrivals)
}

func (s *simulation) borrowSlots(n int, a dispatch.BorrowSlots) {
	if s.sharing != Borrowing {
		return
	}
	s.result.Messages += 2
	askedAt, lender := s.now, s.entryIndex(a.Lender)
	s.schedule(s.now+hopLatency, func() {
		loans := s.cores[lender].Lend(s.now, s.entryID(n), a.Service, a.Want)
		s.schedule(s.now+hopLatency, func() { s.apply(n, s.cores[n].Borrowed(s.now, askedAt, a.Lender, a.Service, loans)) })
	})
}

func (s *simulation) returnSlots(n int, a dispatch.ReturnSlots) {
	s.result.Messages++
	lender := s.entryIndex(a.Lender)
	s.schedule(s.now+hopLatency, func() { s.apply(lender, s.cores[lender].Returned(s.now, s.entryID(n), a.Loans)) })
}

func (s *simulation) recallSlots(n int, a dispatch.RecallSlots) {
	s.result.Messages++
	borrower := s.entryIndex(a.Borrower)
	s.schedule(s.now+hopLatency, func() { s.apply(borrower, s.cores[borrower].Recalled(s.now, s.entryID(n), a.Count)) })
}

func (s *simulation) entryID(n int) string { return s.cell.entryIDs()[n] }

func (s *simulation) entryIndex(id string) int {
	for n, other := range s.cell.entryIDs() {
		if other == id {
			return n
		}
	}
	return -1
}

// forward returns the entry that serves an arrival, and the delay until it arrives there.
func (s *simulation) forward(a Arrival) (int, time.Duration) {
	if s.sharing != Forwarding || s.cores[a.Entry].FreeOwnSlots(s.cell.Service) > 0 {
		return a.Entry, 0
	}
	best := a.Entry
	for n, c := range s.cores {
		if c.FreeOwnSlots(s.cell.Service) > s.cores[best].FreeOwnSlots(s.cell.Service) {
			best = n
		}
	}
	if best == a.Entry {
		return best, 0
	}
	s.result.Messages += 2
	return best, hopLatency
}

// Skew prints waiting times when one entry gets most of the callers.
func Skew(w io.Writer, factors []float64, hot float64, seed uint64) {
	fmt.Fprintf(w, "| cell | load | sharing | of the oracle | wait mean | p50 | p99 | p99.9 | refused | messages a request | most slots |\n")
	fmt.Fprintf(w, "|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, c := range Cells() {
		for _, f := range factors {
			arrivals := c.Arrivals(Workload{LoadFactor: f, HotEntryShare: hot, Duration: runDeadlines * c.longestDeadline() / 2, Seed: seed})
			best := c.Oracle(arrivals)
			for _, how := range []Sharing{Fixed, Borrowing, Forwarding, OnePool} {
				r := c.Run(arrivals, how)
				fmt.Fprintf(w, "| %s | %.1f | %s | %.3f | %s | %s | %s | %s | %s | %.3f | %d |\n", c.Name, f, how, r.Value/best, mean(r.Waits),
					Quantile(r.Waits, 0.5), Quantile(r.Waits, 0.99), Quantile(r.Waits, 0.999), percent(r.Refused, r.Arrived), float64(r.Messages)/float64(r.Arrived), r.MaxBusySlots)
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
