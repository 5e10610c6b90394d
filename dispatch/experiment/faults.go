package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/knapweedweir/knapweedweir/dispatch"
)

// Fault is the fault of a runner.
type Fault string

// Faults.
const (
	// Refusing reports immediately that it did not start the request.
	Refusing Fault = "refusing"
	// Erring answers every request immediately with an error.
	Erring Fault = "erring"
	// Slow takes five times as long.
	Slow Fault = "slow"
	// Paused never answers.
	Paused Fault = "paused"
)

const (
	failureDelay = time.Millisecond
	slowFactor   = 5
)

// attemptEnd is how an attempt ends on a runner. It never ends if after is zero.
type attemptEnd struct {
	after  time.Duration
	report func() []dispatch.Action
}

func (s *simulation) attemptOutcome(n int, o *openRequest) attemptEnd {
	p := s.policies[n]
	switch s.faultAt(o.runner) {
	case Refusing:
		return attemptEnd{failureDelay, func() []dispatch.Action { return p.Failed(s.now, o.ID, dispatch.Refused, "refused") }}
	case Erring:
		o.erred = true
		return attemptEnd{failureDelay, func() []dispatch.Action { return p.Answered(s.now, o.ID, failureDelay, true) }}
	case Slow:
		return attemptEnd{slowFactor * o.Run, func() []dispatch.Action { return p.Answered(s.now, o.ID, slowFactor*o.Run, false) }}
	case Paused:
		return attemptEnd{}
	}
	return attemptEnd{o.Run, func() []dispatch.Action { return p.Answered(s.now, o.ID, o.Run, false) }}
}

// faultAt returns the current fault of a runner. Faults start after a quarter of the run, when
// run times are known.
func (s *simulation) faultAt(runner string) Fault {
	if s.now < s.duration/4 {
		return ""
	}
	return s.faults[runner]
}

// RunWithFaults simulates the arrivals; after a quarter of the run some runners have a fault.
func (c Cell) RunWithFaults(arrivals []Arrival, faults map[string]Fault) Result {
	return c.simulate(arrivals, Borrowing, faults)
}

// faultsFor assigns a fault to one runner, or to all of the first availability zone.
func (c Cell) faultsFor(f Fault, zone bool) map[string]Fault {
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
		arrivals := c.Arrivals(Workload{LoadFactor: 0.5, Duration: runDeadlines * c.longestDeadline() / 2, Seed: seed})
		for _, zone := range []bool{false, true} {
			for _, f := range []Fault{"", Refusing, Erring, Slow, Paused} {
				if f == "" && zone {
					continue
				}
				location := "one runner "
				if f == "" {
					location = "none"
				}
				if zone {
					location = "a zone "
				}
				r := c.RunWithFaults(arrivals, c.faultsFor(f, zone))
				fmt.Fprintf(w, "| %s | %s%s | %.2f %% | %.2f %% | %.2f %% | %.2f %% | %.3f | %s | %s |\n", c.Name, location, f, 100*share(r.OnTime, r.Arrived), 100*share(r.Refused, r.Arrived),
					100*share(r.Unknown, r.Arrived), 100*share(r.Erred, r.Arrived), share(r.Sends, r.Arrived), Quantile(r.Waits, 0.5), Quantile(r.Waits, 0.99))
			}
		}
	}
}

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
