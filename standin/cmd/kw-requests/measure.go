package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/standin/cell"
)

// clockTicks is the number of units of processor time per second in /proc.
const clockTicks = 100

// cpu returns the processor time that a process has used.
func cpu(p *cell.Proc) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicks
}

// memory returns the resident memory of a process in KiB.
func memory(p *cell.Proc) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kib
		}
	}
	return 0
}

func entryCPU(c *cell.Cell) time.Duration {
	var sum time.Duration
	for _, p := range c.Pairs {
		sum += cpu(p.Entry)
	}
	return sum
}

// measurePath calls runners directly and through entries at the same time.
func measurePath(c *cell.Cell, length time.Duration) error {
	var addrs []string
	for i := range runners {
		addrs = append(addrs, c.RunnerAddrs[fmt.Sprintf("quotes-%d", i+1)])
	}
	fmt.Printf("\nPATH  %-12s %12s %12s %12s %12s %14s %s\n", "requests/s", "direct p50", "entry p50", "direct p99", "entry p99", "entry us each", "not done")
	for _, rate := range []int{200, 1000, 2000} {
		var baseline *tally
		var wg sync.WaitGroup
		used := entryCPU(c)
		wg.Add(1)
		go func() {
			defer wg.Done()
			baseline = runOpenLoop(rate, length, func(i int) string { return direct(addrs[i%len(addrs)], fmt.Sprintf("d-%d-%d", rate, i)) })
		}()
		through := runOpenLoop(rate, length, func(i int) string {
			return viaEntry(c.Pairs[i%len(c.Pairs)].EntryAddr, "quotes", fmt.Sprintf("q-%d-%d", rate, i))
		})
		wg.Wait()
		each := (entryCPU(c) - used).Seconds() * 1e6 / (float64(rate) * length.Seconds())
		fmt.Printf("      %-12d %9.2f ms %9.2f ms %9.2f ms %9.2f ms %14.0f direct %v, entry %v\n", rate, baseline.quantile(50), through.quantile(50),
			baseline.quantile(99), through.quantile(99), each, baseline.other, through.other)
	}
	return nil
}

// measureClaims sends requests that need a claim and, at the same time, requests that
// need none.
func measureClaims(c *cell.Cell, length time.Duration) error {
	fmt.Printf("\nCLAIMS %-11s %12s %12s %12s %12s %10s %14s %s\n", "requests/s", "free p50", "claim p50", "free p99", "claim p99", "appends/s", "read B/s each", "not done")
	for _, rate := range []int{10, 100, 1000} {
		before, err := c.Report()
		if err != nil {
			return err
		}
		start := time.Now()
		var baseline *tally
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			baseline = runOpenLoop(rate, length, func(i int) string {
				return viaEntry(c.Pairs[i%len(c.Pairs)].EntryAddr, "quotes", fmt.Sprintf("f-%d-%d", rate, i))
			})
		}()
		claims := runOpenLoop(rate, length, func(i int) string {
			return viaEntry(c.Pairs[i%len(c.Pairs)].EntryAddr, "certificates", fmt.Sprintf("c-%d-%d", rate, i))
		})
		wg.Wait()
		took := time.Since(start).Seconds()
		after, err := c.Report()
		if err != nil {
			return err
		}
		fmt.Printf("       %-11d %9.2f ms %9.2f ms %9.2f ms %9.2f ms %10.0f %14.0f %v\n", rate, baseline.quantile(50), claims.quantile(50), baseline.quantile(99),
			claims.quantile(99), float64(after.Appends-before.Appends)/took, float64(after.ReadBytes-before.ReadBytes)/took/float64(len(c.Pairs)), claims.other)
	}
	return nil
}

// measureLeaving marks a runner as leaving under load and measures when the last request
// reaches it.
func measureLeaving(c *cell.Cell) error {
	const rate, duration, pollInterval = 400, 5 * time.Second, 20 * time.Millisecond
	for i := range c.Instances {
		if c.Instances[i].ID == "quotes-1" {
			c.Instances[i].State = infra.InstanceLeaving
		}
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		runOpenLoop(rate, duration, func(i int) string {
			return viaEntry(c.Pairs[i%len(c.Pairs)].EntryAddr, "quotes", fmt.Sprintf("l-%d", i))
		})
	}()
	start := time.Now()
	if err := c.SetInstances(c.Instances); err != nil {
		return err
	}
	last, runs := time.Duration(0), -1
	for time.Since(start) < duration {
		r, err := c.RunnerReport("quotes-1")
		if err != nil {
			return err
		}
		if len(r.Runs) != runs {
			last, runs = time.Since(start), len(r.Runs)
		}
		time.Sleep(pollInterval)
	}
	wg.Wait()
	fmt.Printf("\nLEAVING last new request %.2f s after the platform knew; list lag %s, %d requests/s\n", last.Seconds(), listLag, rate)
	return nil
}

// measureMemory measures the memory of an entry with many requests in progress.
func measureMemory(c *cell.Cell) error {
	const inProgress = 1000
	entry := c.Pairs[0]
	before := memory(entry.Entry)
	var wg sync.WaitGroup
	for i := range inProgress {
		wg.Add(1)
		go func() {
			defer wg.Done()
			viaEntry(entry.EntryAddr, "slow", fmt.Sprintf("s-%d", i))
		}()
	}
	time.Sleep(slowWork / 2)
	during := memory(entry.Entry)
	fmt.Printf("\nMEMORY  one entry: %d KiB before, %d KiB with %d requests in progress: %.1f KiB each\n", before, during, inProgress, float64(during-before)/inProgress)
	wg.Wait()
	return nil
}
