// Command kw-demo demonstrates the system on one machine: it builds all programs, starts
// the workshop's cell as separate processes on loopback, sends a sample of an order desk's
// hour, kills an instance and makes the log unavailable during it, and prints the results.
// It is a development tool.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/knapweedweir/knapweedweir/standin/cell"
	"github.com/knapweedweir/knapweedweir/standin/fakeplatform"
	"github.com/knapweedweir/knapweedweir/standin/load"
)

// Times of the faults, counted from the start of the sample, the index of the pair that is
// killed, and limits for waiting.
const (
	killAt         = 9 * time.Second
	logDownAt      = 14 * time.Second
	logUpAt        = 20 * time.Second
	restartAt      = 21 * time.Second
	killedPair     = 2
	startupTimeout = 20 * time.Second
	jobTimeout     = 30 * time.Second
)

func main() {
	sample := flag.String("sample", "demo/workshop-hour.jsonc", "sample of the day")
	team := flag.String("settings", "demo/workshop.jsonc", "settings of the team")
	keep := flag.Bool("keep", false, "keep the folder with logs and settings")
	flag.Parse()
	ok, err := run(*sample, *team, *keep)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if !ok || err != nil {
		os.Exit(1)
	}
}

func run(samplePath, teamPath string, keep bool) (bool, error) {
	s, err := load.Read(samplePath)
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "kw-demo-")
	if err != nil {
		return false, err
	}
	if keep {
		fmt.Println("logs and settings are kept in", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	fmt.Println("building")
	if err := cell.Build(".", dir); err != nil {
		return false, err
	}
	c, err := cell.Start(dir, dir, cell.Workshop())
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return false, err
	}
	if err := c.AwaitReady(startupTimeout); err != nil {
		return false, err
	}
	fmt.Printf("started %d processes: the platform, runners, and %d pairs of scheduler and entry\n", 1+len(c.Runners)+2*len(c.Pairs), len(c.Pairs))
	if err := publish(c, teamPath); err != nil {
		return false, err
	}
	return runSample(c, s)
}

func kwctl(c *cell.Cell, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(c.Bin, "kwctl"), args...)
	cmd.Env = append(os.Environ(), "KW_ENTRY="+c.Pairs[0].EntryAddr)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func publish(c *cell.Cell, teamPath string) error {
	start := time.Now()
	out, err := kwctl(c, "settings", "publish", "workshop", teamPath)
	if err != nil {
		return fmt.Errorf("publish settings: %s", out)
	}
	fmt.Print(out)
	err = cell.Await(startupTimeout, "settings in force at all entries", func() bool {
		out, err := kwctl(c, "settings", "status")
		return err == nil && strings.Count(out, " workshop ") == len(c.Pairs)
	})
	fmt.Printf("in force at all %d entries after %s\n", len(c.Pairs), time.Since(start).Round(time.Millisecond))
	return err
}

// runSample sends the sample, injects the faults meanwhile, and prints the tables.
func runSample(c *cell.Cell, s load.Sample) (bool, error) {
	var killed atomic.Bool
	entries := func() []string {
		var list []string
		for i, p := range c.Pairs {
			if i != killedPair || !killed.Load() {
				list = append(list, p.EntryAddr)
			}
		}
		return list
	}
	start := time.Now()
	schedule := func(d time.Duration, what string, f func()) {
		time.AfterFunc(time.Until(start.Add(d)), func() {
			fmt.Printf("%5.1fs  %s\n", d.Seconds(), what)
			f()
		})
	}
	schedule(killAt, "instance 3 is killed", func() {
		killed.Store(true)
		_ = c.Pairs[killedPair].Entry.Signal(syscall.SIGKILL)
		_ = c.Pairs[killedPair].Sched.Signal(syscall.SIGKILL)
	})
	schedule(logDownAt, "the log is cut", func() { _ = c.SetFaults(fakeplatform.Faults{LogDown: true}) })
	schedule(logUpAt, "the log is back", func() { _ = c.SetFaults(fakeplatform.Faults{}) })
	schedule(restartAt, "instance 3 is replaced", func() {
		_ = c.Pairs[killedPair].Sched.Start()
		_ = c.Pairs[killedPair].Entry.Start()
	})
	stopUtilization := watchUtilization(c)
	measureCost := watchCost(c)
	r := load.Runner{Entries: entries, Client: &http.Client{Timeout: time.Minute}}
	rows := r.Run(s)
	printCost := measureCost(time.Since(start))
	fmt.Println("\nWAITING, from the planned moment to the final answer, by stream")
	fmt.Printf("(certificates need the log: while it is cut, %s to %s, they are answered not-run at once)\n", logDownAt, logUpAt)
	load.Print(os.Stdout, rows)
	jobsOK := printJobs(c, s)
	used := stopUtilization()
	fmt.Printf("\nPACKING  mean %.0f %% of processors used while the sample ran, most %.0f %%\n", used.mean, used.peak)
	printCost()
	return checkGuarantees(c, s, rows, jobsOK)
}
