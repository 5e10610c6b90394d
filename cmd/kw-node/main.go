// Command kw-node runs one instance of knapweedweir on a machine of the users: it accepts
// jobs, places them on workers and tracks them until they end. All instances are equal.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog/diode"

	"github.com/knapweedweir/knapweedweir/daemon"
	_ "github.com/knapweedweir/knapweedweir/daemon/hangup" // ignores SIGHUP until main calls signal.Notify
	"github.com/knapweedweir/knapweedweir/daemon/netlimit"
	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/platform"
)

const (
	// balancerRemovalTime is how long a stopping instance keeps serving: the balancer
	// checks its health each second and removes it after two failed checks.
	balancerRemovalTime = 2500 * time.Millisecond
	// killMargin is subtracted from the time after which a stopping process is killed.
	killMargin = 1500 * time.Millisecond
	// logBufferLines is how many log lines are buffered for a slow reader of the log. That
	// is seven seconds' worth at the peak of a recorded day, 549 lines a second of 236 bytes
	// each.
	logBufferLines = 4096
	// gcPercentStandby and gcPercentOwner are the GOGC values of an instance that owns no
	// pool and of one that does. The lower value saves a standby 20 % of its memory, which is
	// paid for. An owner of 252 workers needs the CPU time: at the lower value it fell behind
	// in bursts and lost 0.03 of the value of a busy day's jobs.
	gcPercentStandby = 40
	gcPercentOwner   = 100
	// memoryLimitFraction is the part of the process's memory from which on the garbage collector runs more
	// often. A process that exceeds its memory is killed.
	memoryLimitFraction = 0.9
	// gcTuneInterval is the interval at which an instance checks which of the two applies.
	gcTuneInterval = 500 * time.Millisecond
)

func main() {
	// This comes before the settings are read: operators may send SIGHUP at any time, also
	// while the process starts, and signals before this line are dropped.
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	set, err := platform.LoadSettings(path)
	if err == nil {
		err = run(path, set, sighups)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path string, set *platform.Settings, sighups <-chan os.Signal) error {
	// A slow reader of the log must not delay scheduling decisions: lines that don't fit
	// into the buffer are dropped and counted.
	out := diode.NewWriter(os.Stdout, logBufferLines, 0, func(missed int) {
		fmt.Fprintf(os.Stderr, `{"level":"warn","message":"log.dropped","lines":%d}`+"\n", missed)
	})
	defer out.Close()
	if limit := set.MaxMemory(); limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(limit)))
	}
	p := daemon.New("kw-node", set.Node, out)
	forNode := set.ForNode()
	forNode.Metrics = p.Metrics
	if set.Cloud.Address != "" {
		forNode.Cloud = platform.NewCloud(set.Cloud.Address)
	}
	store := platform.NewStore(set.Store.Address)
	store.PartsPerTopic = set.Store.Parts
	workers := platform.NewWorkers()
	workers.LimitConns(forNode.MaxWorkerConns, p.Log)
	n := node.New(forNode, p.Log, store, workers,
		platform.NewAdvisor(set.Advice), platform.Directory{})
	p.AddLoop(n.Run)
	p.AddLoop(func(ctx context.Context) error { return tuneGC(ctx, n) })
	if err := servePeers(p, n); err != nil {
		return err
	}
	api := platform.NewFrontend(n, p.Log, p.Metrics)
	api.Bodies = platform.NewBodyBudget(set.MaxCompleteBodies())
	front := &http.Server{Handler: api}
	if err := serveCallers(p, set, front, api); err != nil {
		return err
	}
	p.OnDump(func() (any, error) { return n.Dump(context.Background()), nil })
	if err := serveOperators(p, set, "readiness", set.Listen.Ready, readiness(p, n.Ready)); err != nil {
		return err
	}
	if err := serveOperators(p, set, "metrics", set.MetricsAddr(), p.Mux()); err != nil {
		return err
	}
	reloadOnSIGHUP(p, path, sighups)
	grace := set.ForNode().ShutdownGrace
	return p.Run(max(grace-killMargin, balancerRemovalTime), func(ctx context.Context) error {
		front.SetKeepAlivesEnabled(false)
		start := time.Now()
		n.Stop(ctx)
		select {
		case <-time.After(balancerRemovalTime - time.Since(start)):
		case <-ctx.Done():
		}
		return nil
	})
}

// tuneGC makes the garbage collector run earlier while this instance owns no pool.
func tuneGC(ctx context.Context, n *node.Node) error {
	t := time.NewTicker(gcTuneInterval)
	defer t.Stop()
	current := gcPercentOwner
	for {
		target := gcPercentStandby
		if n.OwnsAny() {
			target = gcPercentOwner
		}
		if target != current {
			debug.SetGCPercent(target)
			current = target
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// serveOperators serves operators or health checks. The name is that of the server in the metrics.
func serveOperators(p *daemon.Process, set *platform.Settings, name, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	p.AddOperatorHTTP(name, l, set.MaxOperatorConns(), daemon.TLSStores{}, h)
	return nil
}

// serveCallers bounds what callers' connections may take of the process.
func serveCallers(p *daemon.Process, set *platform.Settings, srv *http.Server, api platform.Frontend) error {
	l, err := net.Listen("tcp", set.Listen.Callers)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", set.Listen.Callers)
	}
	times := func() netlimit.Times {
		head, idle := api.ConnTimes()
		return netlimit.Times{Head: head, Idle: idle, Body: set.BodyPause(), Write: set.ResponseTimeout()}
	}
	limiter := netlimit.New(netlimit.Bounds{MaxConns: set.MaxCallerConns(), MaxUnfinishedBytes: set.MaxUnfinishedRequests(), MaxHeadBytes: api.MaxHeadBytes, Times: times, Log: p.Log.With().Str("server", "callers").Logger()}, p.Metrics.SubScope("callers"))
	p.AddHTTP(limiter.Listen(l), limiter.Server(srv))
	return nil
}

func servePeers(p *daemon.Process, n *node.Node) error {
	l, err := net.Listen("tcp", n.PeerAddr())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", n.PeerAddr())
	}
	p.Add(func() error { return n.Serve(l) }, func(error) { _ = l.Close() })
	return nil
}

// readiness answers the balancer's health checks and records the answer, so that the dump,
// the log and the gauge of conditions show the same readiness as the balancer sees.
func readiness(p *daemon.Process, ready func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		is := ready()
		p.SetReady(is)
		if !is {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}

// reloadOnSIGHUP validates the settings file again at SIGHUP and logs the findings. No
// setting can be changed in a running process, so nothing else is done.
func reloadOnSIGHUP(p *daemon.Process, path string, sighups <-chan os.Signal) {
	p.AddLoop(func(ctx context.Context) error {
		for {
			select {
			case <-sighups:
				_, err := platform.LoadSettings(path)
				p.Log.Info().AnErr("findings", err).Msg("settings.reloaded")
			case <-ctx.Done():
				return nil
			}
		}
	})
}
