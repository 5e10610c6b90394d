// Command standin-3 plays the scripted cases 9 to 13 of the independent review: it starts the program of the deploy
// file as separate processes on loopback addresses, with the project's stand-in of the platform and the workers,
// disturbs them, and checks one rule by what callers and workers see.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/platform"
	"github.com/knapweedweir/knapweedweir/platform/wirestand"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

const (
	host = "calls.example"
	// contact is contactMs of the small sites.
	contact = 3 * time.Second
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%7.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(text)
	fmt.Print(text)
}

// instance is one process of the program.
type instance struct {
	name, callers, ready string
	access               *wirestand.Server
	storeProxy           *proxy
	cloudProxy           *proxy
	settings             string
	dir                  string
	mu                   sync.Mutex
	cmd                  *exec.Cmd
	ended                chan struct{}
	disturbedAt          time.Time // when it was last stopped, killed or started; zero: never since the begin of the case
}

// deployment is a small deployment with its stand-ins.
type deployment struct {
	*record
	dir       string
	world     *machines.World
	wire      *wirestand.Server
	instances []*instance
	client    *http.Client
	cancel    context.CancelFunc
	cloud     *cloud
	runs      history
	gangMu    sync.Mutex
	gangSizes map[string]int // members of the gangs, by job
	gangs     map[string]*gangRun
}

// freePorts returns ports on which nothing listens, lowest first. They are below those that the system gives to outgoing
// connections, and cases that run at the same time take others.
func freePorts(n int) ([]int, error) {
	var ports []int
	for p := 12000 + os.Getpid()%200*100; p < 32700 && len(ports) < n; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			continue
		}
		_ = l.Close()
		ports = append(ports, p)
	}
	if len(ports) < n {
		return nil, errors.New("too few free ports")
	}
	return ports, nil
}

// settings are those of a machine of a small site.
func settings(name, zone string, ports []int, store, advice, cloud string) string {
	return fmt.Sprintf(`node = %q
role = "node"
zone = %q
ip = "127.0.0.1"
portRange = [%d, %d]
recommendation = %q
[listenAddrs]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
cpuQuota = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000
[bounds]
contactMs = 3000
graceS = 6.0
holdMaxMs = 6000
stopMs = 200
leaseMs = 3000
visible_ms = 3000
status_s = 120
[platform]
address = %q
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 32
recordBytes = 262144
requestBytes = 2097152
[cloudApi]
address = %q
ratePerS = 60.0
duties = []
dutyPerS = 60.0
`, name, zone, ports[0], ports[1], advice, ports[2], ports[3], store, cloud)
}

// newDeployment starts the stand-ins and the processes, and waits until all are ready.
func newDeployment(r *record, processes int, cfg node.Config, setUp func(*machines.World)) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{gangSizes: map[string]int{}, gangs: map[string]*gangRun{}, record: r, dir: dir, world: machines.New(1), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.killAll()
		os.Exit(failed)
	}()
	d.wire = wirestand.New(d.world)
	setUp(d.world)
	d.world.Configure(cfg)
	go d.world.Run(ctx)
	zones := []string{"hall-a", "hall-b", "lab"}
	if d.cloud, err = newCloud(d); err != nil {
		return d, err
	}
	all, err := freePorts(4 * processes)
	if err != nil {
		return d, err
	}
	for n := range processes {
		ports := all[4*n : 4*n+4]
		i := &instance{name: fmt.Sprintf("edge-%d", n+1), dir: dir, callers: fmt.Sprintf("127.0.0.1:%d", ports[2]), ready: fmt.Sprintf("127.0.0.1:%d", ports[3])}
		i.access = d.wire.Access(i.name)
		if i.storeProxy, err = newProxy(i.access.Store()); err != nil {
			return d, err
		}
		if i.cloudProxy, err = newProxy(d.cloud.addr); err != nil {
			return d, err
		}
		i.settings = settings(i.name, zones[n%3], ports, i.storeProxy.addr(), i.access.Advice(), i.cloudProxy.addr())
		d.instances = append(d.instances, i)
		if err := i.start(); err != nil {
			return d, err
		}
	}
	for _, i := range d.instances {
		if err := d.awaitReady(i, 15*time.Second); err != nil {
			return d, err
		}
	}
	for _, i := range d.instances {
		i.disturbedAt = time.Time{}
	}
	d.line("%d processes are ready", processes)
	return d, nil
}

// killAll ends all processes.
func (d *deployment) killAll() {
	for _, i := range d.instances {
		i.kill()
	}
}

// end ends all processes and stand-ins.
func (d *deployment) end() {
	d.killAll()
	d.cancel()
	d.wire.Close()
	for _, i := range d.instances {
		i.access.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	path := filepath.Join(i.dir, i.name+".toml")
	if err := os.WriteFile(path, []byte(i.settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.dir, i.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/kw-node")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.cmd, i.ended, i.disturbedAt = cmd, ended, time.Now()
	go func() {
		_ = cmd.Wait() // the case doesn't need the result
		_ = log.Close()
		close(ended)
	}()
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbedAt = time.Now()
	_ = i.cmd.Process.Signal(s) // the process may have just ended
}

// kill sends SIGKILL and waits until the process has ended.
func (i *instance) kill() {
	i.mu.Lock()
	cmd, ended := i.cmd, i.ended
	i.mu.Unlock()
	if cmd == nil {
		return
	}
	i.signal(syscall.SIGKILL)
	<-ended
}

// inTouch reports whether the process has run without disturbance for contactMs.
func (i *instance) inTouch() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.disturbedAt.IsZero() || time.Since(i.disturbedAt) > contact
}

func (d *deployment) awaitReady(i *instance, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := d.client.Get("http://" + i.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // it is empty
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", i.name)
}

// owner returns the process that owns the pool: the one that has just stored something as an owner.
func (d *deployment) owner() *instance {
	var newest *instance
	for _, i := range d.instances {
		if newest == nil || i.access.OwnedAt().After(newest.access.OwnedAt()) {
			newest = i
		}
	}
	return newest
}

// awaitOwner waits until another process than the given one owns the pool.
func (d *deployment) awaitOwner(not *instance, within time.Duration) *instance {
	since := time.Now()
	for end := since.Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if o := d.owner(); o != not && o.access.OwnedAt().After(since) {
			return o
		}
	}
	return nil
}

// answer is an answer to a caller; status 0 means that there was none.
type answer struct {
	status int
	body   string
}

// call sends a caller's request.
func (d *deployment) call(i *instance, method, path, body string, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.callers+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	resp, err := d.client.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{resp.StatusCode, strings.TrimSpace(string(data))}
}

// stepBody is a step as callers send it.
type stepBody struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	Mem         int   `json:"memMb"`
	EstimateMs  int   `json:"estimateMs,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
	DependsOn   []int `json:"dependsOn,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	SameRack    bool  `json:"sameRack,omitempty"`
	PerRunner   int   `json:"antiAffinity,omitempty"`
}

// submit hands a job in, as often as a caller may, and reports whether it was accepted.
func (d *deployment) submit(i *instance, prefix, id, payload string, steps ...stepBody) bool {
	j := pool.Job{ID: id, Payload: payload}
	for _, s := range steps {
		j.Steps = append(j.Steps, pool.StepSpec{Count: s.Count, Need: pool.Resources{CPU: s.CPU, Mem: s.Mem}, EstimateMs: int64(s.EstimateMs), LongRunning: s.LongRunning, After: s.DependsOn})
	}
	body, _ := json.Marshal(map[string]any{"spec": payload, "steps": steps}) // a struct of numbers can always be encoded
	for range 5 {
		d.world.Referee.Submitted(j, 4)
		a := d.call(i, http.MethodPost, prefix+id, string(body), 3*time.Second)
		accepted := a.status/100 == 2
		d.world.Referee.Answered(id, accepted, a.status == 429 || a.status == 503)
		d.line("POST %s%s to %s: %d", prefix, id, i.name, a.status)
		if accepted {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// queue returns the configuration of a route.
func queue(name, prefix string, priority int) node.Route {
	return node.Route{Host: host, Prefix: prefix, Queue: pool.Queue{Name: name, Service: machines.Service, Priority: priority, Attempts: 4, Slack: 4, Target: 3 * time.Second}}
}
