package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/standin/cell"
	"github.com/knapweedweir/knapweedweir/standin/fakerunner"
	"github.com/knapweedweir/knapweedweir/standin/load"
)

type utilization struct{ mean, peak float64 }

// watchUtilization samples the utilization of the workers until the returned function is
// called.
func watchUtilization(c *cell.Cell) func() utilization {
	const interval = 500 * time.Millisecond
	stop, result := make(chan struct{}), make(chan utilization)
	go func() {
		var p utilization
		var sum, n float64
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				if n > 0 {
					p.mean = sum / n
				}
				result <- p
				return
			case <-tick.C:
			}
			if r, err := c.Report(); err == nil {
				used := 100 * float64(r.Used.MilliCPU) / float64(r.Total.MilliCPU)
				sum, n, p.peak = sum+used, n+1, max(p.peak, used)
			}
		}
	}()
	return func() utilization { close(stop); return <-result }
}

// printJobs waits until the jobs have ended and prints each with its explanation.
func printJobs(c *cell.Cell, s load.Sample) bool {
	fmt.Println("\nJOBS")
	ok := true
	for _, j := range s.Jobs {
		var st placement.JobStatus
		var code string
		err := cell.Await(jobTimeout, "job "+j.Spec.ID+" ended", func() bool {
			st = placement.JobStatus{}
			if err := cell.GetJSON("http://"+c.Pairs[0].EntryAddr+"/v1/jobs/"+j.Spec.ID, &st); err != nil {
				return false
			}
			code = string(st.State)
			running := 0
			for _, t := range st.Tasks {
				if t.State == "running" {
					running++
				}
			}
			// A rejected job is unknown to the entries, whose answer then has no state.
			return code == "" || code == string(placement.JobDone) || (j.Spec.Kind == placement.Service && running == j.Spec.Tasks)
		})
		if code == "" {
			fmt.Printf("  %-12s was not accepted\n", j.Spec.ID)
			continue
		}
		ok = ok && err == nil
		fmt.Printf("  %-12s %-8s %s\n", j.Spec.ID, st.State, st.Explanation)
	}
	return ok
}

// clockTicks is the number of units of processor time per second in /proc.
const clockTicks = 100

// watchCost records the processor time that the scheduler and entry processes have used so
// far. The returned function takes the elapsed time, measures what was used in it, and
// returns a function that prints the result. A process that was replaced counts from its
// start.
func watchCost(c *cell.Cell) func(time.Duration) func() {
	before := map[int]time.Duration{}
	for _, proc := range controlProcesses(c) {
		before[proc.PID()], _ = usage(proc.PID())
	}
	return func(elapsed time.Duration) func() {
		var out strings.Builder
		tw := tabwriter.NewWriter(&out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(tw, "PROCESS\tCPU OF ONE CORE\tMEMORY")
		for _, proc := range controlProcesses(c) {
			cpu, rss := usage(proc.PID())
			fmt.Fprintf(tw, "%s\t%.1f %%\t%d MiB\n", proc.Name, 100*(cpu-before[proc.PID()]).Seconds()/elapsed.Seconds(), rss>>20)
		}
		_ = tw.Flush()
		return func() { fmt.Print("\nCONTROL COST while the sample ran\n" + out.String()) }
	}
}

func controlProcesses(c *cell.Cell) []*cell.Proc {
	var procs []*cell.Proc
	for _, p := range c.Pairs {
		procs = append(procs, p.Sched, p.Entry)
	}
	return procs
}

// usage returns a process's processor time and its resident memory in bytes.
func usage(pid int) (time.Duration, int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	// The fields after the closing parenthesis of the command name; the first is field 3.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	number := func(field int) int64 {
		n, _ := strconv.ParseInt(fields[field-3], 10, 64)
		return n
	}
	ticks := number(14) + number(15)
	return time.Duration(ticks) * time.Second / clockTicks, number(24) * int64(os.Getpagesize())
}

// checkGuarantees checks the guarantees that the sample can show and prints the results.
func checkGuarantees(c *cell.Cell, s load.Sample, rows []*load.Row, jobsOK bool) (bool, error) {
	platformReport, err := c.Report()
	if err != nil {
		return false, err
	}
	runs := map[string]int{}
	var busiest, mostConns int64
	for id := range c.RunnerAddrs {
		r, err := c.RunnerReport(id)
		if err != nil {
			return false, err
		}
		for req, n := range r.Runs {
			runs[req] += n
		}
		busiest, mostConns = max(busiest, r.MostBusy), max(mostConns, r.MostConns)
	}
	twice, broken := 0, 0
	for req, n := range runs {
		if strings.HasPrefix(req, "certificate-") && n > 1 {
			twice++
		}
	}
	for _, r := range rows {
		broken += len(r.Broken)
	}
	fmt.Println("\nPROMISES")
	ok := true
	printCheck := func(holds bool, text string, args ...any) {
		verdict := "held  "
		if !holds {
			verdict, ok = "BROKEN", false
		}
		fmt.Printf("  %s %s\n", verdict, fmt.Sprintf(text, args...))
	}
	printCheck(len(platformReport.Violations) == 0, "no worker overfilled, no task in two places or run again, no order under an old token (%d starts)", platformReport.Starts)
	for _, v := range platformReport.Violations {
		fmt.Println("        ", v)
	}
	printCheck(broken == 0, "every answer whole and of its own request (%d broken)", broken)
	printCheck(twice == 0, "no certificate ran twice (%d did)", twice)
	printCheck(busiest <= fakerunner.Slots, "at most %d slots in use at any runner (%d)", fakerunner.Slots, busiest)
	printCheck(mostConns <= fakerunner.Connections, "at most %d connections at any runner (%d)", fakerunner.Connections, mostConns)
	printCheck(jobsOK, "every accepted job ran to its end")
	fmt.Printf("  log appends: %d\n", platformReport.Appends)
	return ok, nil
}
