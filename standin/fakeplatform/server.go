package fakeplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/infra/httpplatform"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// Config is the settings file of the stand-in platform.
type Config struct {
	Listen    string           `json:"listen"`
	Instances []infra.Instance `json:"instances"`
	Workers   []infra.Worker   `json:"workers"`
	// Retention is the number of records that each stream keeps; 0 keeps all.
	Retention int `json:"retention"`
	// ListLag is the delay after which changes of the instance list become visible.
	ListLag jsonc.Duration `json:"listLag"`
	// AppendsPerSecond limits the rate of appends over all streams; 0 means no limit.
	AppendsPerSecond int `json:"appendsPerSecond"`
}

// Faults are the faults of the platform's log.
type Faults struct {
	LogDown bool `json:"logDown"`
	// LogDelay is added to every append and read.
	LogDelay jsonc.Duration `json:"logDelay"`
	// LoseAnswers executes appends and then breaks the connection.
	LoseAnswers bool `json:"loseAnswers"`
}

// Server is the stand-in platform.
type Server struct {
	cfg         Config
	mu          sync.Mutex
	streams     map[string]*stream
	visible     []infra.Instance
	current     []infra.Instance
	faults      atomic.Pointer[Faults]
	readCtx     context.Context
	cancelReads context.CancelFunc
	fleet       *fleet
	appends     atomic.Uint64
	// readBytes counts the bytes sent to readers of the log.
	readBytes atomic.Uint64
	limiter   rateLimiter
	mux       *http.ServeMux
}

// New returns a platform without faults.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, streams: map[string]*stream{}, visible: cfg.Instances, current: cfg.Instances, fleet: newFleet(cfg.Workers), mux: http.NewServeMux()}
	s.faults.Store(&Faults{})
	s.readCtx, s.cancelReads = context.WithCancel(context.Background())
	s.mux.HandleFunc("POST /log/{stream}/append", s.serveAppend)
	s.mux.HandleFunc("GET /log/{stream}/read", s.serveRead)
	s.mux.HandleFunc("GET /instances", s.serveInstances)
	s.mux.HandleFunc("GET /workers", s.serveWorkers)
	s.mux.HandleFunc("POST /workers/{id}/sync", s.serveSync)
	s.mux.HandleFunc("POST /admin/faults", s.serveFaults)
	s.mux.HandleFunc("POST /admin/instances", s.serveSetInstances)
	s.mux.HandleFunc("POST /admin/workers/{id}", s.serveWorkerFaults)
	s.mux.HandleFunc("GET /admin/report", s.serveReport)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults. An outage also ends reads in progress.
func (s *Server) SetFaults(f Faults) {
	s.faults.Store(&f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.LogDown {
		s.cancelReads()
		s.readCtx, s.cancelReads = context.WithCancel(context.Background())
	}
}

// SetInstances replaces the instance list; readers see it after the lag.
func (s *Server) SetInstances(list []infra.Instance) {
	s.mu.Lock()
	s.current = list
	s.mu.Unlock()
	time.AfterFunc(s.cfg.ListLag.D(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.visible = list
	})
}

// Report returns the report of the referee.
func (s *Server) Report() Report {
	r := s.fleet.report()
	r.Appends, r.ReadBytes = s.appends.Load(), s.readBytes.Load()
	return r
}

func (s *Server) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

// applyLogFaults applies the log's faults to a call. It returns false if the call has
// failed.
func (s *Server) applyLogFaults(w http.ResponseWriter, r *http.Request) bool {
	f := s.faults.Load()
	if f.LogDelay > 0 {
		select {
		case <-time.After(f.LogDelay.D()):
		case <-r.Context().Done():
			return false
		}
	}
	if f.LogDown {
		http.Error(w, "the log is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	var body httpplatform.AppendBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.applyLogFaults(w, r) {
		return
	}
	if !s.limiter.wait(r.Context(), s.cfg.AppendsPerSecond) {
		return
	}
	s.appends.Add(1)
	s.stream(r.PathValue("stream")).append(body.Records, s.cfg.Retention)
	if s.faults.Load().LoseAnswers {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	if !s.applyLogFaults(w, r) {
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	max, _ := strconv.Atoi(r.URL.Query().Get("max"))
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("waitMillis"))
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	s.mu.Lock()
	stop := context.AfterFunc(s.readCtx, cancel)
	s.mu.Unlock()
	defer stop()
	page, err := s.stream(r.PathValue("stream")).read(ctx, infra.Offset(after), max, time.Duration(waitMillis)*time.Millisecond)
	switch {
	case err == infra.ErrExpired:
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(page)
	case err != nil:
		http.Error(w, "the log is down", http.StatusServiceUnavailable)
	default:
		writeJSON(countingWriter{w, &s.readBytes}, page)
	}
}

// countingWriter counts the bytes of log reads.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Uint64
}

// Write implements io.Writer.
func (c countingWriter) Write(b []byte) (int, error) {
	c.bytes.Add(uint64(len(b)))
	return c.ResponseWriter.Write(b)
}

func (s *Server) serveInstances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	list := s.visible
	s.mu.Unlock()
	writeJSON(w, list)
}

func (s *Server) serveWorkers(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	writeJSON(w, s.fleet.list(since))
}

func (s *Server) serveSync(w http.ResponseWriter, r *http.Request) {
	var req infra.SyncRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply, ok := s.fleet.poll(r.Context(), r.PathValue("id"), req)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, reply)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var list []infra.Instance
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetInstances(list)
}

// WorkerFaults are the faults of one worker.
type WorkerFaults struct {
	// Frozen workers don't answer; their tasks run until the lease ends.
	Frozen bool `json:"frozen"`
	// FailAll makes every new task fail immediately.
	FailAll bool `json:"failAll"`
	// Gone workers are frozen and removed from the platform's list.
	Gone bool `json:"gone"`
}

// SetWorkerFaults replaces a worker's faults. It returns false if there is no such worker.
func (s *Server) SetWorkerFaults(id string, f WorkerFaults) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	fw, ok := s.fleet.workers[id]
	if ok {
		if fw.gone != f.Gone {
			s.fleet.version++
		}
		fw.frozen, fw.failAll, fw.gone = f.Frozen || f.Gone, f.FailAll, f.Gone
		fw.wakeUp()
		if fw.frozen {
			s.fleet.referee.discardReported(fw)
		}
	}
	return ok
}

func (s *Server) serveWorkerFaults(w http.ResponseWriter, r *http.Request) {
	var f WorkerFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.SetWorkerFaults(r.PathValue("id"), f) {
		http.NotFound(w, r)
	}
}

func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Report()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
