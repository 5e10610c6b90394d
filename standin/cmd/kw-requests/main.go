// Command kw-requests measures the cost of the request path: the latency that an entry
// adds to a direct call to a runner in the same run, the latency that a claim adds at
// several rates under the log's append limit, an entry's processor time per request and
// its memory per request in progress, and how long a leaving upstream still receives
// requests. It starts a cell of separate processes on loopback and is a development tool.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/standin/cell"
)

const (
	startupTimeout = 20 * time.Second
	runners        = 16
	work           = 2 * time.Millisecond
	slowWork       = 3 * time.Second
	appendsLimit   = 400
	listLag        = time.Second
)

const teamSettings = `{"services": {
  "quotes": {"worth": 1, "deadline": "10s", "idempotent": true},
  "slow": {"worth": 1, "deadline": "20s", "idempotent": true},
  "certificates": {"worth": 1, "deadline": "10s", "idempotent": false}}}`

func main() {
	pairs := flag.Int("pairs", 7, "instances of the cell")
	length := flag.Duration("length", 5*time.Second, "length of each step")
	flag.Parse()
	if err := run(*pairs, *length); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(pairs int, length time.Duration) error {
	dir, err := os.MkdirTemp("", "kw-requests-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := cell.Build(".", dir); err != nil {
		return err
	}
	c, err := cell.Start(dir, dir, cell.Spec{Pairs: pairs, Zones: 3, AppendsPerSecond: appendsLimit, ListLag: listLag,
		Workers: cell.Workers("desk", 6, 2, 3, infra.Resources{MilliCPU: 16000, MemoryMiB: 32 << 10}),
		Runners: []cell.RunnerGroup{{Service: "quotes", Count: runners, Work: work}, {Service: "slow", Count: runners, Work: slowWork},
			{Service: "certificates", Count: runners, Work: work}}})
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return err
	}
	if err := c.AwaitReady(startupTimeout); err != nil {
		return err
	}
	if err := publish(c, dir); err != nil {
		return err
	}
	load, _ := os.ReadFile("/proc/loadavg")
	fmt.Printf("%d instances, %d runners of each service, log capped at %d appends a second, load average %s\n", pairs, runners, appendsLimit, strings.Join(strings.Fields(string(load))[:3], " "))
	if err := measurePath(c, length); err != nil {
		return err
	}
	if err := measureClaims(c, length); err != nil {
		return err
	}
	if err := measureLeaving(c); err != nil {
		return err
	}
	return measureMemory(c)
}

func publish(c *cell.Cell, dir string) error {
	file := filepath.Join(dir, "team.jsonc")
	if err := os.WriteFile(file, []byte(teamSettings), 0o600); err != nil {
		return err
	}
	kwctl := func(args ...string) (string, error) {
		cmd := exec.Command(filepath.Join(c.Bin, "kwctl"), args...)
		cmd.Env = append(os.Environ(), "KW_ENTRY="+c.Pairs[0].EntryAddr)
		out, err := cmd.CombinedOutput()
		return string(out), err
	}
	if out, err := kwctl("settings", "publish", "workshop", file); err != nil {
		return fmt.Errorf("publish settings: %s", out)
	}
	return cell.Await(startupTimeout, "settings in force", func() bool {
		out, err := kwctl("settings", "status")
		return err == nil && strings.Count(out, " workshop ") == len(c.Pairs)
	})
}
