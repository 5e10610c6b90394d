package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is what the project's processes run in: the store, the runners, the operator and the consumers.
type world struct {
	mu      sync.Mutex
	began   time.Time
	out     *os.File
	dir     string // for settings and logs
	store   *store
	runners []*runner
	nodes   []*node
	broken  []string
	tasks   map[string]*taskHistory
	// delayOf returns by how much an order to start a run is delayed; nil: none is.
	delayOf func(x *runner, o order) time.Duration
	// onStart is called for each start; nil: none is.
	onStart func(x *runner, r *run, before taskHistory)
}

// taskHistory is what the runners did with a task.
type taskHistory struct {
	active    int
	starts    int
	ended     int // runs that have ended as done
	noted     bool
	lastEnded time.Time
}

// processes are the processes that were started and haven't ended.
var processes struct {
	sync.Mutex
	running map[int]*os.Process
	over    bool // no more are started
}

// endProcesses kills all processes that run, and keeps others from being started.
func endProcesses() {
	processes.Lock()
	defer processes.Unlock()
	processes.over = true
	for _, p := range processes.running {
		_ = p.Kill()
	}
}

// cannotRun ends the program, from any goroutine, because the case couldn't be played.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "couldn't run: "+format+"\n", args...)
	endProcesses()
	os.Exit(2)
}

func (w *world) record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.out.WriteString(line)
}

// breaks records that a rule was broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.record("BROKEN: %s", text)
	w.mu.Lock()
	w.broken = append(w.broken, text)
	w.mu.Unlock()
}

func (w *world) runStarted(x *runner, r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.tasks[r.task]
	if h == nil {
		h = &taskHistory{}
		w.tasks[r.task] = h
	}
	if w.onStart != nil {
		go w.onStart(x, r, *h)
	}
	h.active++
	h.starts++
}

func (w *world) runEnded(_ *runner, r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.tasks[r.task]
	h.active--
	h.lastEnded = time.Now()
	if how == "done" {
		h.ended++
	}
}

// history returns what the runners did with the tasks whose names begin so.
func (w *world) history(prefix string) (total taskHistory) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, h := range w.tasks {
		if strings.HasPrefix(task, prefix) {
			total.active += h.active
			total.starts += h.starts
			total.ended += h.ended
			if h.lastEnded.After(total.lastEnded) {
				total.lastEnded = h.lastEnded
			}
		}
	}
	return total
}

// noteEnd records that the end of a task as done was taken note of.
func (w *world) noteEnd(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks[task].noted = true
}

// whenStarted makes a function be called for each start from now on.
func (w *world) whenStarted(f func(x *runner, r *run, before taskHistory)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onStart = f
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// network is a part of the loopback network that only this run uses: 127.A.B.C with the A and B of the run. No
// port there is taken by a connection of others, as those go out from 127.0.0.1.
var network = func() string {
	for n := os.Getpid(); ; n++ {
		part := fmt.Sprintf("127.%d.%d.", 1+n/250%250, 1+n%250)
		if l, err := net.Listen("tcp", part+"1"+frontPort); err == nil {
			_ = l.Close()
			return part
		}
	}
}()

// standInAddr is the address on which the stand-ins listen, each on a free port.
func standInAddr() string { return network + "200:0" }

func listen(h http.Handler) string {
	l, err := net.Listen("tcp", standInAddr())
	if err != nil {
		cannotRun("%v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// node is one machine with the process that the deploy file starts there.
type node struct {
	w                     *world
	name, zone, ip        string
	front, ready, control string
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	ended                 chan struct{}
	expected, closed      bool
	overMemory            int // how often it was killed for its memory
}

var zones = []string{"hall-a", "hall-b", "lab"}

// The ports of the machines, which are the same on each.
const (
	frontPort, readyPort, controlPort = ":8149", ":8141", ":8144"
	firstPort, lastPort               = 7380, 7395
)

// addNodes starts machines and waits until they report that they are ready.
func (w *world) addNodes(n int) {
	for range n {
		i := len(w.nodes)
		x := &node{w: w, name: fmt.Sprintf("edge-%s-%d", zones[i%3], 1+i/3), zone: zones[i%3], ip: fmt.Sprint(network, 1+i)}
		x.front, x.ready, x.control = x.ip+frontPort, x.ip+readyPort, x.ip+controlPort
		w.nodes = append(w.nodes, x)
		x.start()
	}
	for _, x := range w.nodes {
		x.awaitReady(20 * time.Second)
	}
}

// settings returns the settings file of the machine, with the values of a small deployment.
func (x *node) settings() string {
	storeAddr := listen(x.w.store.handler(x.name))
	return fmt.Sprintf(`node = %q
role = "node"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "miskolc"
portRange = [%d,%d]
seedNodes = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
commands = "invoke"
[zones]
hall-a = "miskolc"
hall-b = "miskolc"
lab = "miskolc"
[listenAddrs]
front = %q
ready = %q
control = %q
[limits]
cpuQuota = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
holdMaxMs = 6000
stopMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
spreadFactor = 3
checkpointS = 1
restoreMs = 100
noticeMs = 4500
migrationS = 1.5
maintenanceS = 2
fencingEnforced = false
leaseMs = 3000
thawMs = 300
paceMs = 100
impactMs = 4000
[platform]
address = %q
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 32
appendMs = 2.0
partMbPerS = 20.0
readMbPerS = 80.0
recordBytes = %d
requestBytes = %d
keep_s = 300
partMb = 200
ttlMinMs = 1000
`, x.name, x.ip, x.zone, firstPort, lastPort, x.front, x.ready, x.control, storeAddr, maxRecordBytes, maxRequestBytes)
}

// start starts the process with the command of the deploy file.
func (x *node) start() {
	path := filepath.Join(x.w.dir, x.name+".toml")
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd != nil {
		return
	}
	if err := os.WriteFile(path, []byte(x.settings()), 0o600); err != nil {
		cannotRun("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(x.w.dir, x.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd := exec.Command("target/kw-node")
	cmd.Env = append(os.Environ(), "KNAPWEEDWEIR_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	processes.Lock()
	if !processes.over {
		if err := cmd.Start(); err != nil {
			processes.Unlock()
			cannotRun("%v", err)
		}
		processes.running[cmd.Process.Pid] = cmd.Process
	}
	processes.Unlock()
	if cmd.Process == nil {
		return
	}
	ended := make(chan struct{})
	x.cmd, x.ended, x.expected = cmd, ended, false
	x.w.record("process %s starts", x.name)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		processes.Lock()
		delete(processes.running, cmd.Process.Pid)
		processes.Unlock()
		x.mu.Lock()
		expected := x.expected
		x.cmd = nil
		x.mu.Unlock()
		if !expected {
			x.w.record("process %s ends by itself: %v", x.name, cmd.ProcessState)
		}
		close(ended)
	}()
}

func (x *node) awaitReady(within time.Duration) {
	for began := time.Now(); time.Since(began) < within; time.Sleep(50 * time.Millisecond) {
		if resp, err := http.Get("http://" + x.ready + "/-/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				x.w.record("process %s is ready", x.name)
				return
			}
		}
	}
	cannotRun("%s isn't ready within %v", x.name, within)
}

func (x *node) signal(s syscall.Signal, expected bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd != nil {
		x.expected = x.expected || expected
		_ = x.cmd.Process.Signal(s)
	}
}

// kill ends the process by SIGKILL.
func (x *node) kill() {
	x.mu.Lock()
	ended, running := x.ended, x.cmd != nil
	x.mu.Unlock()
	if running {
		x.signal(syscall.SIGKILL, true)
		<-ended
	}
}

// job is what a consumer submits.
type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeatCount,omitempty"`
	FirstRunMs  int64  `json:"firstRunMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
}

type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMB       int   `json:"memMb"`
	EstimateMs  int   `json:"estimateMs"`
	DependsOn   []int `json:"dependsOn,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
}

var consumer = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a consumer's request to a machine, and returns the status (0: no answer) and the body.
func (w *world) call(x *node, method, host, path string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+x.front+path, bytes.NewReader(data))
	if err != nil {
		cannotRun("%v", err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := consumer.Do(req)
	if err != nil {
		w.record("%s %s%s at %s: no answer (%v)", method, host, path, x.name, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	w.record("%s %s%s at %s: %d %s", method, host, path, x.name, resp.StatusCode, bytes.TrimSpace(answer))
	return resp.StatusCode, string(answer)
}

// submit submits a job as a consumer does: with retries at other machines. It reports whether it was accepted.
func (w *world) submit(host, path string, j job) bool {
	for try := range 5 {
		status, _ := w.call(w.nodes[try%len(w.nodes)], "POST", host, path, j)
		if status == 200 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// mustSubmit submits a job that has to be accepted for the case to go on.
func (w *world) mustSubmit(path string, j job) {
	if !w.submit(host, path, j) {
		cannotRun("the job isn't accepted")
	}
}

// route is a queue in the configuration.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"pathPrefix"`
	Service  string  `json:"service"`
	Priority int     `json:"priority"`
	Attempts int     `json:"attempts"`
	Slack    float64 `json:"slackFactor"`
	TargetMs int     `json:"targetLatencyMs"`
}

// configure writes a version of the configuration as the operator does.
func (w *world) configure(version int, services []string, routes ...route) {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "rejectsOverload": false})
	}
	names := []string{}
	for _, r := range routes {
		names = append(names, r.Name+" to "+r.Service)
	}
	data, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": list, "limits": map[string]int{"maxBodyBytes": 262144}})
	w.store.write("keyed.op", "config", data)
	w.record("the operator's configuration %d is confirmed: %s", version, strings.Join(names, ", "))
}
