// Package cell starts a small cell of separate processes on loopback: the stand-ins, and
// pairs of scheduler and entry. It is used by development tools and scenario tests;
// production code doesn't import it.
package cell

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
	"github.com/knapweedweir/knapweedweir/standin/authority"
	"github.com/knapweedweir/knapweedweir/standin/fakeplatform"
	"github.com/knapweedweir/knapweedweir/standin/fakerunner"
)

// Spec describes a cell.
type Spec struct {
	Pairs     int
	Zones     int
	Workers   []infra.Worker
	Runners   []RunnerGroup
	Retention int
	ListLag   time.Duration
	// Lease is the lease of workers; 0 means the default.
	Lease time.Duration
	// PeerTLS enables TLS on the connections between schedulers and entries.
	PeerTLS bool
	// AppendsPerSecond limits the rate of the platform's log; 0 means no limit.
	AppendsPerSecond int
	// EntryLimits and SchedLimits are the limits in the settings; nil: the defaults.
	EntryLimits, SchedLimits map[string]any
}

// RunnerGroup describes the runners of one service; they share one process.
type RunnerGroup struct {
	Service string
	Count   int
	Work    time.Duration
}

// Pair is the scheduler and the entry of one instance.
type Pair struct {
	Sched, Entry *Proc
	EntryAddr    string
	SchedAddr    string
	OpsAddr      string
}

// Cell is a running cell.
type Cell struct {
	Dir, Bin     string
	PlatformAddr string
	Platform     *Proc
	Runners      []*Proc
	RunnerAddrs  map[string]string
	Pairs        []*Pair
	Instances    []infra.Instance
	Workers      []infra.Worker
	authority    *authority.Authority
	block        *Block
}

// Programs maps the name of each program that a cell needs to its package, relative to
// the root of the repository.
var Programs = map[string]string{
	"kw-sched": "cmd/kw-sched", "kw-entry": "cmd/kw-entry", "kwctl": "cmd/kwctl",
	"kw-fakeplatform": "standin/cmd/kw-fakeplatform", "kw-fakerunner": "standin/cmd/kw-fakerunner",
}

// Build compiles the programs into a directory.
func Build(root, bin string) error {
	for name, pkg := range Programs {
		cmd := exec.Command("go", "build", "-o", filepath.Join(bin, name), "./"+pkg)
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); err != nil {
			return errors.Wrapf(err, "build %s: %s", name, out)
		}
	}
	return nil
}

// Proc is one process of a cell.
type Proc struct {
	Name string
	Log  string
	args []string
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (c *Cell) start(name, program string, settings any) (*Proc, error) {
	file := filepath.Join(c.Dir, name+".jsonc")
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	args := []string{filepath.Join(c.Bin, program)}
	if program == "kw-sched" || program == "kw-entry" {
		args = append(args, "run")
	}
	p := &Proc{Name: name, Log: filepath.Join(c.Dir, name+".log"), args: append(args, "-settings", file)}
	return p, p.Start()
}

// Start starts the process, also again after it has ended.
func (p *Proc) Start() error {
	out, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer out.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// Wait waits until the process has ended. It returns false after the limit.
func (p *Proc) Wait(limit time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// PID returns the process ID.
func (p *Proc) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Start starts a cell with the programs in the directory bin. Settings and logs are
// written to dir.
func Start(bin, dir string, spec Spec) (*Cell, error) {
	c := &Cell{Dir: dir, Bin: bin, RunnerAddrs: map[string]string{}, Workers: spec.Workers}
	total := 1 + 3*spec.Pairs
	for _, g := range spec.Runners {
		total += g.Count
	}
	block, err := ClaimBlock(total)
	if err != nil {
		return nil, err
	}
	c.block = block
	addrs := block.Addrs[1:]
	c.PlatformAddr = block.Addrs[0]
	if addrs, err = c.startRunners(spec, addrs); err != nil {
		return c, err
	}
	for i := range spec.Pairs {
		zone := fmt.Sprintf("zone-%d", i%spec.Zones+1)
		p := &Pair{SchedAddr: addrs[3*i], EntryAddr: addrs[3*i+1], OpsAddr: addrs[3*i+2]}
		c.Pairs = append(c.Pairs, p)
		c.Instances = append(c.Instances,
			infra.Instance{ID: fmt.Sprintf("sched-%d", i+1), Service: "kw-sched", Addr: p.SchedAddr, Zone: zone, State: infra.InstanceLive},
			infra.Instance{ID: fmt.Sprintf("entry-%d", i+1), Service: "kw-entry", Addr: p.EntryAddr, Zone: zone, State: infra.InstanceLive})
	}
	c.Platform, err = c.start("platform", "kw-fakeplatform", fakeplatform.Config{Listen: c.PlatformAddr, Instances: c.Instances,
		Workers: spec.Workers, Retention: spec.Retention, ListLag: jsonc.Duration(spec.ListLag), AppendsPerSecond: spec.AppendsPerSecond})
	if err != nil {
		return c, err
	}
	return c, c.startPairs(spec)
}

func (c *Cell) startRunners(spec Spec, addrs []string) ([]string, error) {
	for _, g := range spec.Runners {
		var cfg fakerunner.Config
		for i := range g.Count {
			id, zone := fmt.Sprintf("%s-%d", g.Service, i+1), fmt.Sprintf("zone-%d", i%spec.Zones+1)
			cfg.Runners = append(cfg.Runners, fakerunner.RunnerConfig{ID: id, Listen: addrs[0], Work: jsonc.Duration(g.Work)})
			c.Instances = append(c.Instances, infra.Instance{ID: id, Service: g.Service, Addr: addrs[0], Zone: zone, State: infra.InstanceLive})
			c.RunnerAddrs[id] = addrs[0]
			addrs = addrs[1:]
		}
		p, err := c.start("runners-"+g.Service, "kw-fakerunner", cfg)
		if err != nil {
			return nil, err
		}
		c.Runners = append(c.Runners, p)
	}
	return addrs, nil
}

func (c *Cell) startPairs(spec Spec) error {
	for i, p := range c.Pairs {
		zone := fmt.Sprintf("zone-%d", i%spec.Zones+1)
		sched := map[string]any{"id": fmt.Sprintf("sched-%d", i+1), "zone": zone, "rpc": p.SchedAddr, "ops": p.OpsAddr,
			"platform": "http://" + c.PlatformAddr, "drainLimit": "10s"}
		if spec.Lease > 0 {
			sched["lease"] = spec.Lease.String()
		}
		if spec.Retention > 0 {
			sched["snapshotRecords"] = spec.Retention / 4
		}
		schedulers := []string{p.SchedAddr}
		for k, q := range c.Pairs {
			if k != i {
				schedulers = append(schedulers, q.SchedAddr)
			}
		}
		sched["peers"] = schedulers[1:]
		entry := map[string]any{"id": fmt.Sprintf("entry-%d", i+1), "zone": zone, "listen": p.EntryAddr, "schedulers": schedulers, "drainLimit": "30s"}
		if spec.EntryLimits != nil {
			entry["limits"] = spec.EntryLimits
		}
		if spec.SchedLimits != nil {
			sched["limits"] = spec.SchedLimits
		}
		var err error
		if spec.PeerTLS {
			if sched["tls"], err = c.peerTLS(fmt.Sprintf("sched-%d", i+1), "kw-sched"); err != nil {
				return err
			}
			if entry["tls"], err = c.peerTLS(fmt.Sprintf("entry-%d", i+1), "kw-entry"); err != nil {
				return err
			}
		}
		if p.Sched, err = c.start(fmt.Sprintf("sched-%d", i+1), "kw-sched", sched); err != nil {
			return err
		}
		if p.Entry, err = c.start(fmt.Sprintf("entry-%d", i+1), "kw-entry", entry); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes of the cell and releases its ports.
func (c *Cell) Close() {
	defer c.block.Close()
	for _, p := range c.Procs() {
		if p != nil && p.cmd != nil {
			_ = p.Signal(syscall.SIGKILL)
			p.Wait(5 * time.Second)
		}
	}
}

// pollInterval is the interval at which Await checks its condition.
const pollInterval = 20 * time.Millisecond

// Await waits until a condition holds, or returns an error after the limit.
func Await(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if holds() {
			return nil
		}
	}
	return errors.Errorf("timed out after %s: %s", limit, what)
}

// AwaitReady waits until all entries are ready.
func (c *Cell) AwaitReady(limit time.Duration) error {
	for _, p := range c.Pairs {
		err := Await(limit, p.Entry.Name+" ready", func() bool { return Ready(p.EntryAddr) })
		if err != nil {
			return err
		}
	}
	return nil
}

// Ready reports whether a process answers that it is ready.
func Ready(addr string) bool {
	resp, err := observer.Get("http://" + addr + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// SetFaults replaces the faults of the platform's log.
func (c *Cell) SetFaults(f fakeplatform.Faults) error { return c.admin("/admin/faults", f) }

// SetInstances replaces the platform's instance list.
func (c *Cell) SetInstances(list []infra.Instance) error { return c.admin("/admin/instances", list) }

// SetWorkerFaults replaces the faults of one worker.
func (c *Cell) SetWorkerFaults(id string, f fakeplatform.WorkerFaults) error {
	return c.admin("/admin/workers/"+id, f)
}

func (c *Cell) admin(path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	resp, err := http.Post("http://"+c.PlatformAddr+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "platform admin")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("platform admin %s: %s", path, resp.Status)
	}
	return nil
}

// Report returns the report of the platform's referee.
func (c *Cell) Report() (fakeplatform.Report, error) {
	var r fakeplatform.Report
	return r, GetJSON("http://"+c.PlatformAddr+"/admin/report", &r)
}

// RunnerReport returns the report of one runner.
func (c *Cell) RunnerReport(id string) (fakerunner.Report, error) {
	var r fakerunner.Report
	return r, GetJSON("http://"+c.RunnerAddrs[id]+"/admin/report", &r)
}

// GetJSON fetches a JSON document over HTTP.
func GetJSON(url string, out any) error { return getJSON(http.DefaultClient, url, out) }

func getJSON(client *http.Client, url string, out any) error {
	resp, err := client.Get(url)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	return errors.Wrapf(json.Unmarshal(data, out), "get %s", url)
}
