package experiment

import (
	"fmt"
	"io"
	"sort"
	"time"
)

// runDeadlines is the length of a run as a multiple of the longest deadline. The oracle may use
// the slots for one more longest deadline after the last arrival, which must have little weight.
const runDeadlines = 40

// Overload prints the value delivered at several loads, as a share of the oracle's.
func Overload(w io.Writer, factors []float64, seed uint64) {
	fmt.Fprintf(w, "| cell | load | requests | core | FIFO | LIFO | core of clairvoyant | core: on time | refused | unknown | wait p50 | p99 | refusal told p99 | on time by class |\n")
	fmt.Fprintf(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, c := range Cells() {
		for _, f := range factors {
			arrivals := c.Arrivals(Workload{LoadFactor: f, Duration: runDeadlines * c.longestDeadline(), Seed: seed})
			best := c.Oracle(arrivals)
			core := c.Run(arrivals, Borrowing)
			fifo, lifo := c.Baseline(FIFO, arrivals), c.Baseline(LIFO, arrivals)
			fmt.Fprintf(w, "| %s | %.1f | %d | %.3f | %.3f | %.3f | %.3f | %s | %s | %s | %s | %s | %s | %s |\n", c.Name, f, len(arrivals),
				core.Value/best, fifo.Value/best, lifo.Value/best, core.Value/c.Clairvoyant(arrivals),
				percent(core.OnTime, core.Arrived), percent(core.Refused, core.Arrived), percent(core.Unknown, core.Arrived),
				Quantile(core.Waits, 0.5), Quantile(core.Waits, 0.99), Quantile(core.RefusalDelays, 0.99), c.byClass(arrivals, core))
		}
	}
}

func (c Cell) byClass(arrivals []Arrival, r Result) string {
	count := make([]int, len(c.Classes))
	for _, a := range arrivals {
		count[a.Class]++
	}
	s := ""
	for n, k := range c.Classes {
		s += fmt.Sprintf("%s %s ", k.Team, percent(r.OnTimeByClass[n], count[n]))
	}
	return s
}

func percent(n, of int) string { return fmt.Sprintf("%.1f %%", 100*float64(n)/float64(max(of, 1))) }

// Quantile returns the q-quantile of a list of durations, rounded to a tenth of a millisecond.
func Quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), d...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(q*float64(len(sorted)-1))].Round(100 * time.Microsecond)
}
