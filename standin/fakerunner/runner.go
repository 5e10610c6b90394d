// Package fakerunner is a small stand-in for an upstream runner: it has eight slots,
// counts how often each request ran, and can inject faults.
package fakerunner

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// Limits of a runner: requests in progress and connections.
const (
	Slots       = 8
	Connections = 64
)

// Mode is the behaviour of a runner.
type Mode string

// Modes of a runner.
const (
	// Normal answers after the work time.
	Normal Mode = ""
	// Hang executes the request and never answers.
	Hang Mode = "hang"
	// Fail answers 503 at once, with the header Not-Run.
	Fail Mode = "fail"
	// Late executes the request and answers after the deadline.
	Late Mode = "late"
	// Short breaks the connection in the middle of the answer.
	Short Mode = "short"
	// Mixed answers with the ID of another attempt.
	Mixed Mode = "mixed"
)

// Runner is one stand-in runner.
type Runner struct {
	ID string
	// Work is the time that a request takes.
	Work time.Duration

	mode     atomic.Value
	busy     atomic.Int64
	conns    atomic.Int64
	maxBusy  atomic.Int64
	maxConns atomic.Int64
	mu       sync.Mutex
	runs     map[string]int
}

// New returns a runner whose requests take the given time.
func New(id string, work time.Duration) *Runner {
	r := &Runner{ID: id, Work: work, runs: map[string]int{}}
	r.mode.Store(Normal)
	return r
}

// SetMode changes the behaviour of the runner.
func (r *Runner) SetMode(m Mode) { r.mode.Store(m) }

// Serve serves the runner's protocol on a listener.
func (r *Runner) Serve(l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", r.run)
	mux.HandleFunc("GET /admin/report", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(r.Report())
	})
	mux.HandleFunc("POST /admin/mode", func(_ http.ResponseWriter, q *http.Request) { r.SetMode(Mode(q.URL.Query().Get("mode"))) })
	srv := &http.Server{Handler: mux, ConnState: func(_ net.Conn, st http.ConnState) {
		switch st {
		case http.StateNew:
			storeMax(&r.maxConns, r.conns.Add(1))
		case http.StateClosed, http.StateHijacked:
			r.conns.Add(-1)
		}
	}}
	return srv.Serve(l)
}

func storeMax(peak *atomic.Int64, v int64) {
	for {
		old := peak.Load()
		if v <= old || peak.CompareAndSwap(old, v) {
			return
		}
	}
}

func (r *Runner) run(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
	storeMax(&r.maxBusy, r.busy.Add(1))
	defer r.busy.Add(-1)
	if r.busy.Load() > Slots {
		w.Header().Set("Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	mode := r.mode.Load().(Mode)
	if mode == Fail {
		w.Header().Set("Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.count(q.Header.Get("Request-Id"))
	pause(q, r.Work)
	switch mode {
	case Hang:
		<-q.Context().Done()
		return
	case Late:
		ms, _ := strconv.ParseInt(q.Header.Get("Deadline-Millis"), 10, 64)
		time.Sleep(time.Duration(ms+50) * time.Millisecond)
	case Short:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+100))
		_, _ = w.Write(body)
		panic(http.ErrAbortHandler)
	case Mixed:
		w.Header().Set("Attempt-Id", "somebody-else.1")
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{"runner": r.ID, "request": q.Header.Get("Request-Id"), "echo": string(body)})
}

func pause(q *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-q.Context().Done():
	}
}

func (r *Runner) count(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

// Report counts the requests of a runner and its peak use.
type Report struct {
	ID        string         `json:"id"`
	Runs      map[string]int `json:"runs"`
	MostBusy  int64          `json:"mostBusy"`
	MostConns int64          `json:"mostConnections"`
}

// Report returns how often each request ran, and the maximum numbers of slots and
// connections in use at the same time.
func (r *Runner) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make(map[string]int, len(r.runs))
	for id, n := range r.runs {
		runs[id] = n
	}
	return Report{r.ID, runs, r.maxBusy.Load(), r.maxConns.Load()}
}

// Config is the settings file of a process with stand-in runners.
type Config struct {
	Runners []RunnerConfig `json:"runners"`
}

// RunnerConfig configures one runner of the process.
type RunnerConfig struct {
	ID     string         `json:"id"`
	Listen string         `json:"listen"`
	Work   jsonc.Duration `json:"work"`
}
