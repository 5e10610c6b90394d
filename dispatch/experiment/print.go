package experiment

import (
	"fmt"
	"io"
	"sort"
	"time"
)

// runDeadlines is the length of a run in longest deadlines. The oracle may use the
// slots for one more after the last arrival, which is to weigh little.
const runDeadlines = 40

// Overload prints the worth delivered at several loads, as parts of the oracle's.
func Overload(w io.Writer, factors []float64, seed uint64) {
	fmt.Fprintf(w, "| cell | load | requests | core | FIFO | LIFO | core of clairvoyant | core: on time | refused | unknown | wait p50 | p99 | refusal told p99 | on time by class |\n")
	fmt.Fprintf(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, c := range Cells() {
		for _, f := range factors {
			arrivals := c.Arrivals(Load{Factor: f, For: runDeadlines * c.longestDeadline(), Seed: seed})
			best := c.Oracle(arrivals)
			core := c.Run(arrivals, Borrowing)
			fifo, lifo := c.Baseline(FIFO, arrivals), c.Baseline(LIFO, arrivals)
			fmt.Fprintf(w, "| %s | %.1f | %d | %.3f | %.3f | %.3f | %.3f | %s | %s | %s | %s | %s | %s | %s |\n", c.Name, f, len(arrivals),
				core.Worth/best, fifo.Worth/best, lifo.Worth/best, core.Worth/c.Clairvoyant(arrivals),
				percent(core.OnTime, core.Arrived), percent(core.Refused, core.Arrived), percent(core.Unknown, core.Arrived),
				Quantile(core.Waits, 0.5), Quantile(core.Waits, 0.99), Quantile(core.Told, 0.99), c.byClass(arrivals, core))
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
		s += fmt.Sprintf("%s %s ", k.Team, percent(r.OnTimeBy[n], count[n]))
	}
	return s
}

func percent(n, of int) string { return fmt.Sprintf("%.1f %%", 100*float64(n)/float64(max(of, 1))) }

// Quantile returns the q-quantile of some durations, to the millisecond tenth.
func Quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), d...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(q*float64(len(sorted)-1))].Round(100 * time.Microsecond)
}
