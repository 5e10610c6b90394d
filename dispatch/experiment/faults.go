package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/knapweedweir/knapweedweir/dispatch"
)

// Fault is what is wrong with a runner.
type Fault string

// The faults.
const (
	// Refusing says at once that it did not begin.
	Refusing Fault = "refusing"
	// Erring answers every request at once with an error.
	Erring Fault = "erring"
	// Slow takes five times as long.
	Slow Fault = "slow"
	// Paused never answers.
	Paused Fault = "paused"
)

const (
	faultAfter = time.Millisecond
	slowTimes  = 5
)

// ending is how an attempt ends at a runner; it never ends if after is zero.
type ending struct {
	after time.Duration
	tell  func() []dispatch.Action
}

func (s *simulation) outcome(n int, o *open) ending {
	p := s.by[n]
	switch s.faultAt(o.runner) {
	case Refusing:
		return ending{faultAfter, func() []dispatch.Action { return p.Failed(s.now, o.ID, dispatch.Refused, "refused") }}
	case Erring:
		o.erred = true
		return ending{faultAfter, func() []dispatch.Action { return p.Answered(s.now, o.ID, faultAfter, true) }}
	case Slow:
		return ending{slowTimes * o.Run, func() []dispatch.Action { return p.Answered(s.now, o.ID, slowTimes*o.Run, false) }}
	case Paused:
		return ending{}
	}
	return ending{o.Run, func() []dispatch.Action { return p.Answered(s.now, o.ID, o.Run, false) }}
}

// faultAt is what is wrong with a runner now. Faults begin after a quarter of the run, when run
// times are known.
func (s *simulation) faultAt(runner string) Fault {
	if s.now < s.length/4 {
		return ""
	}
	return s.faults[runner]
}

// RunWithFaults runs the arrivals; after a quarter of them some runners have a fault.
func (c Cell) RunWithFaults(arrivals []Arrival, faults map[string]Fault) Result {
	return c.simulate(arrivals, Borrowing, faults)
}

// faulty gives one runner a fault, or all of the first availability zone.
func (c Cell) faulty(f Fault, zone bool) map[string]Fault {
	out := map[string]Fault{}
	for n, i := range c.instances() {
		if n == 0 || zone && i.Zone == "zone-1" {
			out[i.ID] = f
		}
	}
	return out
}

// Faults prints what is delivered at half load while runners have faults.
func Faults(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "| cell | fault | delivered on time | not run | unknown | erred | sends a request | wait p50 | p99 |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, c := range Cells() {
		arrivals := c.Arrivals(Load{Factor: 0.5, For: runDeadlines * c.longestDeadline() / 2, Seed: seed})
		for _, zone := range []bool{false, true} {
			for _, f := range []Fault{"", Refusing, Erring, Slow, Paused} {
				if f == "" && zone {
					continue
				}
				where := "one runner "
				if f == "" {
					where = "none"
				}
				if zone {
					where = "a zone "
				}
				r := c.RunWithFaults(arrivals, c.faulty(f, zone))
				fmt.Fprintf(w, "| %s | %s%s | %.2f %% | %.2f %% | %.2f %% | %.2f %% | %.3f | %s | %s |\n", c.Name, where, f, 100*share(r.OnTime, r.Arrived), 100*share(r.Refused, r.Arrived),
					100*share(r.Unknown, r.Arrived), 100*share(r.Erred, r.Arrived), share(r.Sends, r.Arrived), Quantile(r.Waits, 0.5), Quantile(r.Waits, 0.99))
			}
		}
	}
}

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
