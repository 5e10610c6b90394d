// Command review-standin plays one case of the review: it starts kw-node processes as the deploy file
// says, against stand-ins of the platform's store, the runners and the consumers, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat     = 1500 * time.Millisecond
	consumerWait  = 3 * time.Second
	consumerTries = 5 // one and four retries
	finishTime    = 14 * time.Second
	idleLimit     = 3 * time.Second // a job may have nothing running for this long
	readyTimeout  = 15 * time.Second
	host          = "ficu95.example"
	maxDuration   = 115 * time.Second
	maxPrinted    = 10
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu   sync.Mutex
	f    *os.File
	from time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.from).Seconds(), fmt.Sprintf(format, args...))
}

// errCannotRun ends the case with code 2.
type errCannotRun struct{ error }

func cannotRun(format string, args ...any) { panic(errCannotRun{fmt.Errorf(format, args...)}) }

func listen(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// limitedListener holds back connections beyond the number that a runner serves at a time.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

type limitedConn struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, slots: l.slots}, nil
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// listenLimited is like listen for a server with a limit of connections.
func listenLimited(h http.Handler, limit int) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	go func() { _ = http.Serve(&limitedListener{l, make(chan struct{}, limit)}, h) }()
	return l.Addr().String()
}

// site is what the settings, the store and the runners of the users' deployments differ in.
type site struct {
	holdMax                              time.Duration
	spreadFactor, checkpointS, restoreMs int
	writesPerS                           int
	rackSize                             int
}

var (
	kovacsElezes = site{holdMax: 6 * time.Second, spreadFactor: 3, checkpointS: 1, restoreMs: 100, writesPerS: 600, rackSize: 5}
	vdpgVoorraad = site{holdMax: 10 * time.Second, spreadFactor: 2, checkpointS: 2, restoreMs: 600, writesPerS: 800, rackSize: 6}
)

// machine is one machine with its kw-node process.
type machine struct {
	name, front, ready, settings string
	mu                           sync.Mutex
	cmd                          *exec.Cmd
	gone                         chan struct{}
}

// world is the small deployment.
type world struct {
	rec      *recorder
	store    *store
	fleet    *fleet
	machines []*machine
	dir      string
	service  string
	version  int
	trouble  bool
	site     site
}

func freePorts(n int) []int {
	var ports []int
	var open []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cannotRun("listen: %v", err)
		}
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range open {
		_ = l.Close()
	}
	return ports
}

// portPair returns two ports that follow each other, as a port range is given by its ends.
func portPair() (int, int) {
	for range 200 {
		p := 20000 + rand.IntN(12000)
		a, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", p))
		if err != nil {
			continue
		}
		b, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", p+1))
		_ = a.Close()
		if err != nil {
			continue
		}
		_ = b.Close()
		return p, p + 1
	}
	cannotRun("no free ports")
	return 0, 0
}

func (w *world) addMachine(storeAddr, cloudAddr string) {
	m := &machine{name: fmt.Sprintf("edge-hall-a-%d", len(w.machines)+1)}
	ports := freePorts(3)
	first, last := portPair()
	m.front, m.ready = fmt.Sprint("127.0.0.1:", ports[0]), fmt.Sprint("127.0.0.1:", ports[1])
	m.settings = filepath.Join(w.dir, m.name+".toml")
	text := fmt.Sprintf(settingsText, m.name, first, last, m.front, m.ready, fmt.Sprint("127.0.0.1:", ports[2]),
		w.site.holdMax.Milliseconds(), w.site.spreadFactor, w.site.checkpointS, w.site.restoreMs, storeAddr, w.site.writesPerS, cloudAddr)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	w.machines = append(w.machines, m)
}

const settingsText = `node = %q
role = "node"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "hall-a"
region = "miskolc"
portRange = [%d,%d]
seedNodes = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
commands = "invoke"
recommendation = ""
[zones]
hall-a = "miskolc"
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
holdMaxMs = %d
stopMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
spreadFactor = %d
checkpointS = %d
restoreMs = %d
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
writesPerS = %d
readsPerS = 2000
parts = 32
appendMs = 2.0
partMbPerS = 20.0
readMbPerS = 80.0
recordBytes = 262144
requestBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
[cloudApi]
address = %q
ratePerS = 60.0
duties = []
dutyPerS = 60.0
`

// start starts the machine's process with the command of the deploy file.
func (w *world) start(m *machine) {
	log, err := os.OpenFile(filepath.Join(w.dir, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	cmd := exec.Command("target/kw-node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KNAPWEEDWEIR_CONFIG=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("kw-node: %v", err)
	}
	gone := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.gone = cmd, gone
	m.mu.Unlock()
	w.rec.line("machine %s: process started", m.name)
	go func() {
		err := cmd.Wait()
		w.rec.line("machine %s: process ended: %v", m.name, err)
		_ = log.Close()
		close(gone)
	}()
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

func (w *world) close() {
	for _, m := range w.machines {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		if m.gone != nil {
			<-m.gone
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

func (w *world) awaitReady() {
	until := time.Now().Add(readyTimeout)
	for _, m := range w.machines {
		for {
			resp, err := http.Get("http://" + m.ready + "/-/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				cannotRun("%s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.rec.line("all machines are ready")
}

type route map[string]any

func (w *world) route(name, prefix string, priority, attempts int) route {
	return route{"name": name, "host": host, "pathPrefix": prefix, "type": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1000,
		"priority": priority, "service": w.service, "attempts": attempts, "slackFactor": 2.2}
}

// configure writes a configuration; the store's answer is the confirmation.
func (w *world) configure(routes ...route) {
	w.version += 3
	w.store.write("keyed.op", "config", map[string]any{"version": w.version, "routes": routes,
		"services": []map[string]any{{"name": w.service, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "rejectsOverload": false, "standby": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	var names []string
	for _, r := range routes {
		names = append(names, r["name"].(string))
	}
	w.rec.line("config %d is confirmed: routes %s", w.version, strings.Join(names, ", "))
}

type step map[string]any

var consumer = &http.Client{Timeout: consumerWait, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// call sends one request to a machine; status 0: no answer.
func (w *world) call(m *machine, method, path string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+m.front+path, bytes.NewReader(data))
	if err != nil {
		cannotRun("request: %v", err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.Itoa(int(consumerWait/time.Millisecond)))
	resp, err := consumer.Do(req)
	if err != nil {
		w.rec.line("%s %s at %s: no answer: %v", method, path, m.name, err)
		return 0, ""
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	w.rec.line("%s %s at %s: %d %s", method, path, m.name, resp.StatusCode, bytes.TrimSpace(answer))
	return resp.StatusCode, string(answer)
}

// submit hands a job in, at another machine with each try, and reports whether it was accepted.
func (w *world) submit(prefix, id string, spec work, steps ...step) bool {
	return w.submitJob(prefix, id, spec, map[string]any{"steps": steps})
}

// submitJob hands a job in whose other fields are given.
func (w *world) submitJob(prefix, id string, spec work, job map[string]any) bool {
	text, _ := json.Marshal(spec)
	job["spec"] = string(text)
	for try := range consumerTries {
		m := w.machines[rand.IntN(len(w.machines))]
		status, _ := w.call(m, http.MethodPost, prefix+id, job)
		if status >= 200 && status < 300 {
			return true
		}
		if try < consumerTries-1 {
			time.Sleep(time.Second)
		}
	}
	return false
}

// cancel cancels a job.
func (w *world) cancel(prefix, id string) {
	for range consumerTries {
		if status, _ := w.call(w.machines[0], http.MethodDelete, prefix+id, nil); status == http.StatusOK {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// state asks for a job's state until there is an answer, or for the consumer's time.
func (w *world) state(prefix, id string) string {
	for range consumerTries {
		status, body := w.call(w.machines[rand.IntN(len(w.machines))], http.MethodGet, prefix+id, nil)
		var answer struct{ State string }
		switch {
		case status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil:
			return answer.State
		case status == http.StatusGone:
			return "410"
		case status == http.StatusNotFound:
			return "404"
		}
		time.Sleep(500 * time.Millisecond)
	}
	return ""
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newWorld starts the small deployment with a number of machines and runners.
func newWorld(rec *recorder, trouble bool, s scenario) *world {
	dir, err := os.MkdirTemp("", "kw-review-")
	if err != nil {
		cannotRun("%v", err)
	}
	w := &world{rec: rec, store: newStore(s.site.writesPerS), dir: dir, service: "huvo11a", version: 4, trouble: trouble, site: s.site}
	w.fleet = &fleet{store: w.store, holdMax: s.site.holdMax, open: map[string]int{}}
	storeAddr := listen(w.store.handler())
	for i := range s.runners {
		w.fleet.add(rec, w.service, fmt.Sprintf("r1-%d", i/s.site.rackSize), s.cpu, s.mem)
	}
	for range s.machines {
		w.addMachine(storeAddr, "")
	}
	return w
}

// begin starts the processes and waits until they take requests.
func (w *world) begin(routes ...route) {
	w.configure(routes...)
	for _, m := range w.machines {
		w.start(m)
	}
	w.awaitReady()
}

func main() {
	number := flag.Int("case", 1, "number of the case")
	dir := flag.String("dir", "", "folder for record.txt")
	flag.Parse()
	f, err := os.Create(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &recorder{f: f, from: time.Now()}
	os.Exit(play(rec, *number, os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(rec *recorder, number int, trouble bool) (code int) {
	var w *world
	defer func() {
		if w != nil {
			w.close()
		}
	}()
	defer func() {
		switch e := recover().(type) {
		case nil:
		case errCannotRun:
			rec.line("couldn't run: %v", e)
			fmt.Println("couldn't run:", e)
			code = 2
		default:
			panic(e)
		}
	}()
	run, known := cases[number]
	if !known {
		cannotRun("there is no case %d", number)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	w = newWorld(rec, trouble, run)
	go func() {
		select {
		case <-stopped:
		case <-time.After(maxDuration):
			rec.line("couldn't run: it took too long")
		}
		w.close()
		os.Exit(2)
	}()
	findings := run.play(w)
	for i, text := range findings {
		rec.line("BROKEN %s", text)
		if i < maxPrinted {
			fmt.Println("broken:", text)
		}
	}
	if len(findings) > 0 {
		fmt.Println("findings:", len(findings))
		return 1
	}
	rec.line("held")
	fmt.Println("held")
	return 0
}
