// Command kw-pool-load runs a pool's core on a synthetic workload in virtual time and
// prints the value that the jobs earned, as a mean over several runs.
package main

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/knapweedweir/knapweedweir/pool/experiment"
)

func main() {
	plays := flag.Int("plays", 24, "how many plays")
	burst := flag.Float64("burst", 1.8, "how many times as many of the kind -of come for a while; 1: none")
	of := flag.String("of", "reconcile", "the kind that comes in a burst; none: all")
	factor := flag.Float64("load", 1, "arrivals of all kinds, as a multiple")
	overload := flag.Float64("overload", 0, "in place of the burst, so many times as many of all kinds, with losses of workers and an outage of the store")
	refuse := flag.Bool("refuse", false, "refuse what can't be in time by the core's estimate")
	obey := flag.Bool("obey", false, "callers of refused jobs return when they were told")
	bounds := flag.Bool("bounds", false, "compare refusing with accepting all and with the best cut-off by true worth for true work")
	length := flag.Duration("for", 4*time.Second, "how long the burst is")
	shape := flag.String("shape", "wholesaler", "the load: wholesaler, grown (350 workers and 900 starts a second), desk, large-desk (792 workers), inspection, tenants (three organisations)")
	uneven := flag.Bool("uneven", false, "a quarter of the workers at half speed, the others at 0.72 to 1.71 times the typical run time, and tasks of one step that differ")
	flag.Parse()
	shapes := map[string]func() experiment.Workload{"wholesaler": experiment.Wholesaler, "grown": experiment.WholesalerGrown,
		"desk": experiment.OrderDesk, "large-desk": experiment.LargeDesk, "inspection": experiment.Inspection, "tenants": experiment.Tenants}
	newLoad, known := shapes[*shape]
	if !known {
		fmt.Fprintln(os.Stderr, "kw-pool-load: no such shape:", *shape)
		os.Exit(2)
	}
	load := newLoad()
	for i := range load.Kinds {
		load.Kinds[i].ArrivalsPerSec *= *factor
	}
	if *uneven {
		load = load.WithUnevenWorkers()
	}
	if len(load.Bursts) == 0 {
		load.Bursts = []experiment.Burst{{Kind: *of, At: 15 * time.Second, Duration: *length, Factor: *burst}}
	}
	if *overload > 0 {
		load = load.WithOverload(*overload)
	}
	if *bounds {
		printBounds(load, *plays)
		return
	}
	load.Admission.ByEstimate, load.ObeysRetryAfter = *refuse, *obey
	print(load, simulate(load, *plays))
}

// printBounds prints a row for each run: the value earned with refusal by estimate, and
// the bounds for comparison.
func printBounds(load experiment.Workload, plays int) {
	load.Admission.ByEstimate = true
	refused := simulate(load, plays)
	bounds := make([]experiment.Bounds, plays)
	var wait sync.WaitGroup
	for n := range plays {
		wait.Go(func() { bounds[n] = experiment.ComputeBounds(load, uint64(n+1)) })
	}
	wait.Wait()
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "play\tjobs\testimate\taccept all\tcut-off\trefused\tof them in time if all are accepted\tlate\tunserved\tunserved if all are accepted\t")
	for n, r := range refused {
		b := &bounds[n]
		fmt.Fprintf(t, "%d\t%d\t%.4f\t%.4f\t%.4f\t%d\t%d\t%d\t%d\t%d\t\n", n+1, len(r.JobOutcomes), r.Share(), b.AcceptAll.Share(), b.CutOff.Share(),
			r.Count(experiment.Refused), r.WronglyRefused(&b.AcceptAll), r.Count(experiment.Late), r.Count(experiment.Unserved), b.AcceptAll.Count(experiment.Unserved))
	}
	_ = t.Flush() // a failed write to standard output can't be reported
}

func simulate(load experiment.Workload, plays int) []experiment.Result {
	results := make([]experiment.Result, plays)
	var wait sync.WaitGroup
	for n := range plays {
		wait.Go(func() { results[n] = experiment.Simulate(load, uint64(n+1)) })
	}
	wait.Wait()
	return results
}

// print prints a row for each queue and one for all.
func print(load experiment.Workload, results []experiment.Result) {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "queue\tjobs\tearned\tin time\tlate\tp50 s\tp90 s\tp95 s\t")
	for _, k := range load.Kinds {
		var jobs, inTime, late int
		var shares float64
		var took []time.Duration
		for _, r := range results {
			q := r.Queues[k.Name]
			jobs, inTime, late = jobs+q.Jobs, inTime+q.OnTime, late+q.Late
			shares += q.Share()
			took = append(took, q.Durations...)
		}
		slices.Sort(took)
		fmt.Fprintf(t, "%s\t%d\t%.4f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t\n", k.Name, jobs, shares/float64(len(results)),
			float64(inTime)/float64(jobs), float64(late)/float64(jobs), took[len(took)/2].Seconds(), took[len(took)*90/100].Seconds(), took[len(took)*95/100].Seconds())
	}
	mean, square := 0.0, 0.0
	var all experiment.Result
	for _, r := range results {
		mean += r.Share() / float64(len(results))
		square += r.Share() * r.Share() / float64(len(results))
		all.Utilization += r.Utilization / float64(len(results))
		all.WastedCoreSeconds += r.WastedCoreSeconds / float64(len(results))
		all.Starts += r.Starts
		all.AdviceRequests += r.AdviceRequests
		all.AdviceTime += r.AdviceTime / time.Duration(len(results))
		all.OverCapacityStarts += r.OverCapacityStarts
		all.CoreTime += r.CoreTime
		all.Saves += r.Saves
		all.SavedBytes += r.SavedBytes
	}
	fmt.Fprintf(t, "all\t\t%.4f\t\t\t\t\t\t\n", mean)
	_ = t.Flush() // a failed write to standard output can't be reported
	fmt.Printf("standard error of a play's share %.4f; in use %.3f; thrown away %.0f core-seconds; a play has %d starts and %d questions of %.0f s; beyond a worker's room %d; deciding took %.0f us a start; %d saves of %.0f kB a play\n",
		math.Sqrt(max(0, square-mean*mean)/float64(max(1, len(results)-1))), all.Utilization, all.WastedCoreSeconds, all.Starts/len(results), all.AdviceRequests/len(results), all.AdviceTime.Seconds(), all.OverCapacityStarts, float64(all.CoreTime.Microseconds())/float64(max(1, all.Starts)), all.Saves/len(results), float64(all.SavedBytes)/1000/float64(len(results)))
}
