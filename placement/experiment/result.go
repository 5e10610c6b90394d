package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/placement"
)

// Result is the result of one policy.
type Result struct {
	Cell, Policy string
	Workload     Workload
	// Waits are the waiting times by group: each kind of job and each value.
	Waits     map[string]Quantiles
	Tasks     int
	Unstarted int
	// Packing is the mean utilization of the most used resource, relative to
	// its bound: the whole capacity, or the offered load if that is less.
	Packing     float64
	Overcommits int
	Starts      int
	// Decision is measured for the real scheduler only, like the fields below.
	Decision Quantiles
	// Deciding, Syncing and Digesting are the wall time per start spent on
	// messages of homes, on the exchange with workers and on digests.
	Deciding, Syncing, Digesting time.Duration
	// Heap is the memory of homes and shards in bytes per worker.
	Heap uint64
	// GivenUp counts the attempts that ended without a failure of their own, by
	// cause.
	GivenUp map[placement.Cause]int
}

// Quantiles are the 50th and 99th percentile and the maximum of a set of
// durations.
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

// Groups are the groups of waiting times in the order of the table's columns.
var Groups = []string{"urgent", "batch", "gang", "worth 1", "worth 5", "worth 10"}

func waits(jobs []*jobRecord, end time.Duration, load Workload) (map[string]Quantiles, int, int) {
	by := map[string][]time.Duration{}
	tasks, unstarted := 0, 0
	for _, j := range jobs {
		if j.ArrivesAt < load.warmUp() || j.Run > maxRun {
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
				wait = end - j.ArrivesAt
			}
			by[kind] = append(by[kind], wait)
			if !j.Urgent {
				value := fmt.Sprintf("worth %d", j.Value)
				by[value] = append(by[value], wait)
			}
		}
	}
	out := map[string]Quantiles{}
	for group, list := range by {
		out[group] = quantiles(list)
	}
	return out, tasks, unstarted
}

// warmUp is the initial time whose arrivals are not measured.
func (l Workload) warmUp() time.Duration { return l.Duration / 4 }

// PrintWaits prints the results as a Markdown table, one line each.
func PrintWaits(w io.Writer, results []Result) {
	fmt.Fprint(w, "| cell | load | policy |")
	for _, g := range Groups {
		fmt.Fprintf(w, " %s |", g)
	}
	fmt.Fprintln(w, " not started | packing | overfills |\n|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %.2f | %s |", r.Cell, r.Workload.OfferedShare, r.Policy)
		for _, g := range Groups {
			fmt.Fprintf(w, " %s / %s |", seconds(r.Waits[g].P50), seconds(r.Waits[g].P99))
		}
		fmt.Fprintf(w, " %.1f %% | %.3f | %d |\n", 100*float64(r.Unstarted)/float64(max(1, r.Tasks)), r.Packing, r.Overcommits)
	}
}

// PrintCosts prints the cost of the scheduler's decisions.
func PrintCosts(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| cell | load | starts | decision p50 / p99 / max | a start: deciding / syncing / digests | heap a worker | preempted | holds expired or taken |\n|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		if r.Decision.N == 0 {
			continue
		}
		fmt.Fprintf(w, "| %s | %.2f | %d | %s / %s / %s | %s / %s / %s | %d B | %d | %d |\n", r.Cell, r.Workload.OfferedShare, r.Starts,
			micros(r.Decision.P50), micros(r.Decision.P99), micros(r.Decision.Max), micros(r.Deciding), micros(r.Syncing), micros(r.Digesting), r.Heap,
			r.GivenUp[placement.CausePreempted], r.GivenUp[placement.CauseHoldExpired]+r.GivenUp[placement.CauseHoldTaken])
	}
}

func seconds(d time.Duration) string {
	return fmt.Sprintf("%.2f", cmp.Or(d, 0).Seconds())
}

func micros(d time.Duration) string {
	return fmt.Sprintf("%.1f us", float64(d)/float64(time.Microsecond))
}
