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

// Config is the stand-in's settings file.
type Config struct {
	Listen    string           `json:"listen"`
	Instances []infra.Instance `json:"instances"`
	Workers   []infra.Worker   `json:"workers"`
	// Retention is how many records each stream keeps; 0 keeps all.
	Retention int `json:"retention"`
	// ListLag is how old the instance list is.
	ListLag jsonc.Duration `json:"listLag"`
	// AppendsPerSecond caps the log, over all streams; 0 sets no cap.
	AppendsPerSecond int `json:"appendsPerSecond"`
}

// Faults are what is wrong with the platform at the moment.
type Faults struct {
	LogDown bool `json:"logDown"`
	// LogDelay is added to every append and read.
	LogDelay jsonc.Duration `json:"logDelay"`
	// LoseAnswers carries appends out and breaks the connection.
	LoseAnswers bool `json:"loseAnswers"`
}

// Server is the stand-in platform.
type Server struct {
	cfg     Config
	mu      sync.Mutex
	streams map[string]*stream
	listed  []infra.Instance
	truth   []infra.Instance
	faults  atomic.Pointer[Faults]
	cut     context.Context
	cutOff  context.CancelFunc
	fleet   *fleet
	appends atomic.Uint64
	// readBytes counts what readers of the log were sent.
	readBytes atomic.Uint64
	pace      pace
	mux       *http.ServeMux
}

// New returns a platform without faults.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, streams: map[string]*stream{}, listed: cfg.Instances, truth: cfg.Instances, fleet: newFleet(cfg.Workers), mux: http.NewServeMux()}
	s.faults.Store(&Faults{})
	s.cut, s.cutOff = context.WithCancel(context.Background())
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

// SetFaults switches faults on and off. An outage also ends reads in progress.
func (s *Server) SetFaults(f Faults) {
	s.faults.Store(&f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.LogDown {
		s.cutOff()
		s.cut, s.cutOff = context.WithCancel(context.Background())
	}
}

// SetInstances changes the instance list; readers see it after the lag.
func (s *Server) SetInstances(list []infra.Instance) {
	s.mu.Lock()
	s.truth = list
	s.mu.Unlock()
	time.AfterFunc(s.cfg.ListLag.D(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.listed = list
	})
}

// Report is what the referee has seen.
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

// logFaults applies the log's faults; false means that the call has failed.
func (s *Server) logFaults(w http.ResponseWriter, r *http.Request) bool {
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
	if !s.logFaults(w, r) {
		return
	}
	if !s.pace.wait(r.Context(), s.cfg.AppendsPerSecond) {
		return
	}
	s.appends.Add(1)
	s.stream(r.PathValue("stream")).append(body.Records, s.cfg.Retention)
	if s.faults.Load().LoseAnswers {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	if !s.logFaults(w, r) {
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	max, _ := strconv.Atoi(r.URL.Query().Get("max"))
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("waitMillis"))
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	s.mu.Lock()
	stop := context.AfterFunc(s.cut, cancel)
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
	list := s.listed
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

// WorkerFaults are what is wrong with one worker.
type WorkerFaults struct {
	// Frozen workers answer nothing; their tasks run on until the lease ends.
	Frozen bool `json:"frozen"`
	// FailAll makes every new task fail at once.
	FailAll bool `json:"failAll"`
	// Gone workers are frozen and no longer in the platform's list.
	Gone bool `json:"gone"`
}

// SetWorkerFaults switches a worker's faults; false if there is no such worker.
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
			s.fleet.referee.silenced(fw)
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
