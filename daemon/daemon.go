// Package daemon is the common part of all long-running knapweedweir processes:
// settings, logs, metrics, dumps, readiness and graceful shutdown.
package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// ErrStopped is the error with which the actors end after a graceful shutdown.
var ErrStopped = errors.New("stopped by signal")

// LoadSettings decodes a settings file into out and returns all findings together.
func LoadSettings(path string, out any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	if err := jsonc.Decode(path, data, out).Err(); err != nil {
		return err
	}
	return checkFiles(path, data, out).Err()
}

// Process is a running process with its log, metrics and HTTP paths.
type Process struct {
	Name string
	ID   string
	// Incarnation increases with each start of the process under the same ID.
	Incarnation uint64
	Log         zerolog.Logger
	Metrics     tally.Scope

	group       run.Group
	ready       atomic.Bool
	conditions  *conditions
	dump        func() (any, error)
	mux         *http.ServeMux
	closers     []io.Closer
	stopping    chan struct{}
	interrupted chan struct{}
}

// New returns a process that logs JSON lines to w.
func New(name, id string, w io.Writer) *Process {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	incarnation := uint64(time.Now().UnixNano())
	logger := zerolog.New(w).With().Timestamp().Str("process", name).Str("id", id).Logger()
	reporter := newReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "kw", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, time.Second)
	p := &Process{Name: name, ID: id, Incarnation: incarnation, Log: logger, Metrics: scope, mux: http.NewServeMux(),
		conditions: newConditions(logger, scope),
		closers:    []io.Closer{closer}, stopping: make(chan struct{}), interrupted: make(chan struct{})}
	p.SetCondition(ConditionNotReady, "", true, "starting")
	p.mux.Handle("GET /metrics", reporter.HTTPHandler())
	p.mux.HandleFunc("GET /dump", p.serveDump)
	p.mux.HandleFunc("GET /ready", p.serveReady)
	return p
}

// newReporter returns a reporter with its own registry, so that several processes
// can run in one program. Its collectors report processor time and memory, which are
// the cost of the control plane.
func newReporter() prometheus.Reporter {
	registry := client.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
}

// Mux returns the mux to register further HTTP paths with. /metrics, /dump and
// /ready are already registered.
func (p *Process) Mux() *http.ServeMux { return p.mux }

// SetReady sets whether the load balancer may send new work to this process.
func (p *Process) SetReady(ready bool) {
	if p.ready.Swap(ready) != ready {
		p.Log.Info().Bool("ready", ready).Msg("readiness.changed")
	}
	p.SetCondition(ConditionNotReady, "", !ready, "")
}

// OnDump sets the function that returns the state for a dump.
func (p *Process) OnDump(f func() (any, error)) { p.dump = f }

// Add adds an actor. All actors end when one of them does.
func (p *Process) Add(execute func() error, interrupt func(error)) { p.group.Add(execute, interrupt) }

// AddLoop adds an actor whose context is cancelled when the actors are interrupted.
func (p *Process) AddLoop(f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.group.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// shutdownGrace is how long an HTTP server may take to finish requests in progress
// after the drain. Usually only idle connections are left by then.
const shutdownGrace = 2 * time.Second

// AddHTTP adds an actor that runs an HTTP server on a listener.
func (p *Process) AddHTTP(l net.Listener, srv *http.Server) {
	p.group.Add(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve http")
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
		defer cancel()
		_ = srv.Shutdown(ctx)
	})
}

// Run runs all actors until one of them fails or a signal requests the end. On
// SIGTERM or SIGINT the process becomes not ready and drain runs; the context of
// drain is cancelled at the drain limit or on a second signal.
func (p *Process) Run(limit time.Duration, drain func(ctx context.Context) error) error {
	done := make(chan struct{})
	p.group.Add(func() error {
		defer close(done)
		return p.awaitSignal(limit, drain)
	}, func(error) { close(p.interrupted); <-done })
	p.Log.Info().Uint64("incarnation", p.Incarnation).Msg("process.started")
	err := p.group.Run()
	p.Log.Info().AnErr("cause", err).Msg("process.ended")
	for _, c := range p.closers {
		_ = c.Close()
	}
	if errors.Is(err, ErrStopped) {
		return nil
	}
	return err
}

func (p *Process) awaitSignal(limit time.Duration, drain func(ctx context.Context) error) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case s := <-signals:
		p.Log.Info().Str("signal", s.String()).Msg("drain.started")
	case <-p.interrupted:
		return nil
	}
	p.SetReady(false)
	close(p.stopping)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go func() {
		select {
		case <-signals:
			p.Log.Warn().Msg("drain.cut_short")
			cancel()
		case <-ctx.Done():
		}
	}()
	if drain != nil {
		if err := drain(ctx); err != nil {
			p.Log.Error().Err(err).Msg("drain.incomplete")
		}
	}
	return ErrStopped
}

// Stopping is closed when the drain starts.
func (p *Process) Stopping() <-chan struct{} { return p.stopping }

func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (p *Process) serveDump(w http.ResponseWriter, _ *http.Request) {
	if p.dump == nil {
		http.Error(w, "this process has no dump", http.StatusNotFound)
		return
	}
	state, err := p.DumpJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	var page bytes.Buffer
	_ = json.Indent(&page, state, "", "  ")
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(page.Bytes(), '\n'))
}
