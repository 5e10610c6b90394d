// Command kw-soak runs seeds of the fault-injection soak test, several at a time, and keeps
// the logs of those with findings.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/scenario/soak"
)

func main() {
	first := flag.Uint64("first", uint64(time.Now().UnixNano()%1_000_000), "the first seed; fresh ones if not given")
	seeds := flag.Int("seeds", 12, "how many seeds are played")
	atOnce := flag.Int("at-once", 4, "how many are played at a time")
	faultTime := flag.Duration("trouble", 15*time.Second, "how long faults come")
	instances := flag.Int("instances", 12, "processes of each seed")
	workers := flag.Int("workers", 10, "workers of each seed")
	binary := flag.String("binary", "", "the program, for one without a safeguard; built if not given")
	dir := flag.String("dir", "", "where logs are kept; a new directory if not given")
	sighupEach := flag.Bool("hangups-of-each", false, "hang up each process once it can answer, in place of some also before their first instruction")
	moves := flag.Bool("moves", false, "send the queue to another service and back all the while")
	crashes := flag.Bool("crashes", true, "tasks that crash their workers, workers that start again, and capacity that shrinks")
	organisations := flag.Bool("organisations", true, "organisations with keys and caps that change")
	largeJobs := flag.Bool("large-jobs", false, "jobs of many tasks, and a store with low limits")
	repeated := flag.Bool("repeated-jobs", true, "jobs of many occurrences")
	removals := flag.Bool("removals", false, "configurations that lack the queue or its service")
	lateOrders := flag.Bool("late-orders-outlive-workers", false, "orders that are late reach a worker that has started again under its ID")
	changedEntries := flag.Bool("changed-entries", false, "entries under workers' IDs that name another worker's address or a later incarnation")
	older := flag.String("older", "", "an older version of the program, which every second process runs")
	ownerFaults := flag.Bool("owner-faults", false, "owners paused, and cut off from the store and the others while these are cut off from some workers")
	partitions := flag.String("partitions", "", "partitions around the owner of a shape: "+strings.Join(soak.PartitionShapes, ", "))
	forgotten := flag.Bool("forgotten-starts", false, "owners lost right after starts without an answer, and workers that carry these out once they have started again out of reach; each instance is asked for the number of waiting jobs")
	restarted := flag.Bool("restarted-workers", false, "workers that start again under their IDs beside takeovers and cuts of the same workers")
	longestLeases := soak.DefaultLongestLeases
	flag.Func("longest-lease", fmt.Sprintf("longest leases of the workers, separated by commas, of which each seed selects one (default %v)", longestLeases), func(s string) (err error) {
		longestLeases, err = parseLeases(s)
		return err
	})
	flag.Parse()
	if *partitions != "" && !slices.Contains(soak.PartitionShapes, *partitions) {
		fmt.Fprintf(os.Stderr, "-partitions %s: want one of %v\n", *partitions, soak.PartitionShapes)
		os.Exit(2)
	}
	if err := runSeeds(*first, *seeds, *atOnce, *dir, soak.Options{Binary: *binary, FaultTime: *faultTime, RecoveryTime: 40 * time.Second, Instances: *instances, Workers: *workers, EarlySIGHUP: !*sighupEach, SIGHUPEach: *sighupEach, Moves: *moves, Crashes: *crashes, Organisations: *organisations, LargeJobs: *largeJobs, OlderBinary: *older, RepeatedJobs: *repeated, Removals: *removals, LateOrdersOutliveWorkers: *lateOrders, OwnerFaults: *ownerFaults, Partitions: *partitions, ChangedEntries: *changedEntries, RestartedWorkers: *restarted, ForgottenStarts: *forgotten, LongestLeases: longestLeases}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// parseLeases parses a list of durations, separated by commas.
func parseLeases(s string) ([]time.Duration, error) {
	var list []time.Duration
	for _, each := range strings.Split(s, ",") {
		d, err := time.ParseDuration(each)
		if err != nil {
			return nil, err
		}
		if d <= 0 {
			return nil, fmt.Errorf("%s: want a positive duration", each)
		}
		list = append(list, d)
	}
	return list, nil
}

func runSeeds(first uint64, seeds, atOnce int, dir string, o soak.Options) error {
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "kw-soak-"); err != nil {
			return err
		}
	}
	if o.Binary == "" {
		o.Binary = filepath.Join(dir, "kw-node")
		if out, err := exec.Command("go", "build", "-o", o.Binary, soak.Program).CombinedOutput(); err != nil {
			return fmt.Errorf("build: %w\n%s", err, out)
		}
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	slots := make(chan struct{}, atOnce)
	for seed := first; seed < first+uint64(seeds); seed++ {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			opts := o
			opts.Seed, opts.Dir = seed, filepath.Join(dir, fmt.Sprint(seed))
			line, ok := runSeed(opts)
			mu.Lock()
			defer mu.Unlock()
			fmt.Println(line)
			if !ok {
				failed++
			}
		})
	}
	group.Wait()
	fmt.Printf("%d seeds from %d on, %d with findings, logs in %s\n", seeds, first, failed, dir)
	if failed > 0 {
		return fmt.Errorf("%d seeds found something", failed)
	}
	return nil
}

func runSeed(o soak.Options) (string, bool) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return err.Error(), false
	}
	report, err := soak.Run(context.Background(), o)
	if err != nil {
		return fmt.Sprintf("seed %d: %v", o.Seed, err), false
	}
	if len(report.Findings) == 0 {
		_ = os.RemoveAll(o.Dir) // logs of a run without findings; files that remain do no harm
		return fmt.Sprintf("seed %d: longest lease %v, %d jobs accepted, %d faults, %d late starts after their task's end, %d after an end with a lapsed lease, nothing found", o.Seed, report.Bounds.MaxLease, report.Accepted, len(report.Faults),
			report.LateStartsAfterEnd, report.StartsAfterLapsedEnd), true
	}
	return fmt.Sprintf("seed %d: longest lease %v, stop time %v, %d jobs accepted, %d findings, of which %d LOST\n  %s\n  faults:\n  %s", o.Seed, report.Bounds.MaxLease, report.Bounds.StopTime, report.Accepted, len(report.Findings), countLost(report.Findings),
		strings.Join(report.Findings[:min(8, len(report.Findings))], "\n  "), strings.Join(report.Faults, "\n  ")), false
}

// countLost counts the jobs that were accepted and haven't ended: they come last among the findings.
func countLost(findings []string) (n int) {
	for _, f := range findings {
		if strings.HasPrefix(f, "LOST:") {
			n++
		}
	}
	return n
}
