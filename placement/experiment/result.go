package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/placement"
)

// Result is what one policy made of the work.
type Result struct {
	Cell, Policy string
	Load         Load
	// Waits are the waiting times by group: each kind of job and each worth.
	Waits     map[string]Quantiles
	Tasks     int
	Unstarted int
	// Packing is the mean use of the most used resource, over the bound: all of
	// the capacity, or what was offered if that is less.
	Packing  float64
	Overfill int
	Starts   int
	// Cost is known of the product only.
	Decision Quantiles
	// Deciding, Syncing and Digesting are the wall time of the cores' calls, a
	// start: with messages of homes, with workers, and with digests.
	Deciding, Syncing, Digesting time.Duration
	// Heap is what the cores hold, a worker.
	Heap uint64
	// Given counts the attempts that were given up without a failure, by cause.
	Given map[placement.Cause]int
}

// Quantiles are the 50th and 99th percentile and the largest of some times.
type Quantiles struct {
	N             int
	P50, P99, Max time.Duration
}

func quantiles(list []time.Duration) Quantiles {
	if len(list) == 0 {
		return Quantiles{}
	}
	slices.Sort(list)
	at := func(q float64) time.Duration { return list[min(len(list)-1, int(q*float64(len(list))))] }
	return Quantiles{N: len(list), P50: at(0.5), P99: at(0.99), Max: list[len(list)-1]}
}

// Groups are the groups of waiting times in the order of the table.
var Groups = []string{"urgent", "batch", "gang", "worth 1", "worth 5", "worth 10"}

func waits(jobs []*jobRecord, end time.Duration, load Load) (map[string]Quantiles, int, int) {
	by := map[string][]time.Duration{}
	tasks, unstarted := 0, 0
	for _, j := range jobs {
		if j.Arrive < load.warmUp() || j.Run > longestRun {
			continue
		}
		kind := string(j.Kind)
		if j.Urgent {
			kind = "urgent"
		}
		for _, t := range j.tasks {
			wait := t.wait
			if tasks++; !t.started {
				unstarted++
				wait = end - j.Arrive
			}
			by[kind] = append(by[kind], wait)
			if !j.Urgent {
				worth := fmt.Sprintf("worth %d", j.Worth)
				by[worth] = append(by[worth], wait)
			}
		}
	}
	out := map[string]Quantiles{}
	for group, list := range by {
		out[group] = quantiles(list)
	}
	return out, tasks, unstarted
}

// warmUp is the time whose arrivals are not measured.
func (l Load) warmUp() time.Duration { return l.For / 4 }

// PrintWaits prints one line for each result as a Markdown table.
func PrintWaits(w io.Writer, results []Result) {
	fmt.Fprint(w, "| cell | load | policy |")
	for _, g := range Groups {
		fmt.Fprintf(w, " %s |", g)
	}
	fmt.Fprintln(w, " not started | packing | overfills |\n|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %.2f | %s |", r.Cell, r.Load.Share, r.Policy)
		for _, g := range Groups {
			fmt.Fprintf(w, " %s / %s |", seconds(r.Waits[g].P50), seconds(r.Waits[g].P99))
		}
		fmt.Fprintf(w, " %.1f %% | %.3f | %d |\n", 100*float64(r.Unstarted)/float64(max(1, r.Tasks)), r.Packing, r.Overfill)
	}
}

// PrintCosts prints what the product's decisions cost.
func PrintCosts(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| cell | load | starts | decision p50 / p99 / max | a start: deciding / syncing / digests | heap a worker | preempted | holds expired or taken |\n|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		if r.Decision.N == 0 {
			continue
		}
		fmt.Fprintf(w, "| %s | %.2f | %d | %s / %s / %s | %s / %s / %s | %d B | %d | %d |\n", r.Cell, r.Load.Share, r.Starts,
			micros(r.Decision.P50), micros(r.Decision.P99), micros(r.Decision.Max), micros(r.Deciding), micros(r.Syncing), micros(r.Digesting), r.Heap,
			r.Given[placement.CausePreempted], r.Given[placement.CauseHoldExpired]+r.Given[placement.CauseHoldTaken])
	}
}

func seconds(d time.Duration) string {
	return fmt.Sprintf("%.2f", cmp.Or(d, 0).Seconds())
}

func micros(d time.Duration) string {
	return fmt.Sprintf("%.1f us", float64(d)/float64(time.Microsecond))
}
