package sched

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/cmd/internal/schedclient"
	"github.com/knapweedweir/knapweedweir/control"
	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/infra/httpplatform"
)

// Intervals, timeouts and queue sizes of the loops around the core.
const (
	tickInterval         = 50 * time.Millisecond
	instanceListInterval = 500 * time.Millisecond
	workerListInterval   = 2 * time.Second
	platformTimeout      = 5 * time.Second
	peerTimeout          = 2 * time.Second
	eventQueueSize       = 4096
	peerQueueSize        = 256
	defaultDrain         = 10 * time.Second
	handoverPollInterval = 50 * time.Millisecond
)

// dumpRequest requests a dump from the control goroutine.
type dumpRequest struct{ reply chan control.Dump }

// Scheduler executes the actions of one control core.
type Scheduler struct {
	process        *daemon.Process
	core           *control.Core
	client         *httpplatform.Client
	events         chan any
	state          atomic.Pointer[api.State]
	appends        chan control.AppendLog
	snapshotStores chan control.StoreSnapshot
	stateFetches   chan []string
	workerSyncs    chan control.SyncWorker
	peers          map[string]*peerConn
	dial           schedclient.Dialer
	limits         Limits
	pendingReplies map[uint64]chan api.Answer
	tickets        atomic.Uint64
	done           chan struct{}
}

// askRequest is an api.Question with the channel for its answer.
type askRequest struct {
	question api.Question
	reply    chan api.Answer
}

// Run runs a scheduler with the settings in a file.
func Run(path string) error {
	var s Settings
	if err := daemon.LoadSettings(path, &s); err != nil {
		return err
	}
	rpcListener, err := net.Listen("tcp", s.RPC)
	if err != nil {
		return errors.Wrap(err, "listen for rpc")
	}
	opsListener, err := net.Listen("tcp", s.Ops)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	tlsStores, err := s.TLS.Open()
	if err != nil {
		return errors.Wrap(err, "open certificates")
	}
	if limit := s.Limits.Memory; limit > 0 {
		debug.SetMemoryLimit(int64(limit))
	}
	p := daemon.New("kw-sched", s.ID, os.Stderr)
	sch := New(p, s, tlsStores)
	p.WatchCertificates(tlsStores)
	p.AddLoop(sch.control)
	p.AddLoop(sch.followLog)
	p.AddLoop(sch.appendLoop)
	p.AddLoop(sch.storeLoop)
	p.AddLoop(sch.fetchLoop)
	p.AddLoop(sch.listInstances)
	p.AddLoop(sch.listWorkers)
	p.AddLoop(sch.syncLoop)
	sch.serveRPC(tlsStores.ListenPeers(rpcListener))
	p.AddOperatorHTTP("operators", opsListener, daemon.DefaultOperatorConns, tlsStores, tlsStores.OperatorsOnly(p.Mux(), forBalancers))
	limit := s.DrainLimit.D()
	if limit == 0 {
		limit = defaultDrain
	}
	return p.Run(limit, sch.drain)
}

// Check validates a settings file.
func Check(path string) error {
	var s Settings
	return daemon.LoadSettings(path, &s)
}

// New returns a scheduler whose loops and servers have not been started.
func New(p *daemon.Process, s Settings, tlsStores daemon.TLSStores) *Scheduler {
	cfg := control.DefaultConfig(s.ID, p.Incarnation)
	cfg.Shard.PollWait = s.pollWait()
	if s.SyncEvery > 0 {
		cfg.Shard.SyncInterval = s.SyncEvery.D()
	}
	if s.Lease > 0 {
		cfg.Shard.Lease = s.Lease.D()
	}
	cfg.Peers = s.Peers
	if s.LogRetention > 0 {
		cfg.Schedule.MaxInterval = s.LogRetention.D() / snapshotsPerRetention
	}
	if s.LogAppends > 0 {
		cfg.Committer.Budget = float64(s.LogAppends)
	}
	if s.SnapshotRecords > 0 {
		cfg.Schedule.MaxRecords = uint64(s.SnapshotRecords)
	}
	sch := &Scheduler{process: p, core: control.New(cfg), client: httpplatform.New(s.Platform),
		events: make(chan any, eventQueueSize), appends: make(chan control.AppendLog, 1), snapshotStores: make(chan control.StoreSnapshot, 1), stateFetches: make(chan []string, 1), workerSyncs: make(chan control.SyncWorker, eventQueueSize),
		peers: map[string]*peerConn{}, pendingReplies: map[uint64]chan api.Answer{}, done: make(chan struct{})}
	sch.state.Store(&api.State{Scheduler: s.ID})
	sch.dial = schedclient.DialerOf(tlsStores)
	sch.limits = s.Limits
	if s.Limits == (Limits{}) {
		sch.limits = defaultLimits
	}
	p.OnDump(sch.dump)
	return sch
}

// forBalancers reports whether a request is a balancer's health check, which needs no
// operator's certificate.
func forBalancers(r *http.Request) bool { return r.URL.Path == "/ready" }

// control owns the core: no other goroutine calls it.
func (s *Scheduler) control(ctx context.Context) error {
	defer close(s.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	steps := s.process.Metrics.Counter("control_steps")
	busy := s.process.Metrics.Histogram("control_step_seconds", stepBuckets)
	metrics := newMeter(s.process.Metrics)
	for {
		var ev any
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			ev = control.Tick{}
		case ev = <-s.events:
		}
		start := time.Now()
		s.handle(ctx, ev)
		metrics.publishIfDue(start, daemon.Clock(), s.core)
		busy.RecordDuration(time.Since(start))
		steps.Inc(1)
	}
}

func (s *Scheduler) handle(ctx context.Context, ev any) {
	now := daemon.Clock()
	switch e := ev.(type) {
	case dumpRequest:
		e.reply <- s.core.Dump(now)
		return
	case snapshotRequest:
		snapshot, ok := s.core.Snapshot()
		e.reply <- snapshotResult{snapshot, ok}
		return
	case askRequest:
		ticket := s.tickets.Add(1)
		s.pendingReplies[ticket] = e.reply
		ev = control.Asked{Ticket: ticket, Question: e.question}
	}
	if read, ok := ev.(readDone); ok {
		ev = read.LogRead
		defer func() { read.next <- s.core.NextRead() }()
	}
	for _, a := range s.core.Step(now, ev) {
		s.perform(ctx, a)
	}
	if old := s.state.Load(); s.core.Version() != old.Version || s.core.LogDown(now) != old.LogDown {
		st := s.core.State(now)
		s.state.Store(&st)
		s.process.SetReady(st.Ready)
		s.process.SetCondition(daemon.ConditionLogDown, "", st.LogDown, "no successful read for a while")
	} else if s.core.Offset() != old.Offset {
		st := *old
		st.Offset = s.core.Offset()
		s.state.Store(&st)
	}
}

func (s *Scheduler) perform(ctx context.Context, a control.Action) {
	switch a := a.(type) {
	case control.AppendLog:
		select {
		case s.appends <- a:
		default:
			// An append is still in progress; the committer retries this one.
		}
	case control.StoreSnapshot:
		s.snapshotStores <- a // the core has at most one in progress
	case control.FetchStates:
		s.stateFetches <- a.Addrs // the core has at most one in progress
	case control.SyncWorker:
		select {
		case s.workerSyncs <- a:
		default:
			// The shard retries requests that get no answer.
		}
	case control.SendPeer:
		s.peerConn(ctx, a.To, a.Addr).send(a.Envelope)
	case control.LogLeaseOver:
		s.process.Log.Info().Str("shard", string(a.Shard)).Str("worker", a.Worker).Int("runs", a.Runs).Str("reason", a.Reason).Msg("lease.over")
	case control.Answered:
		if reply, ok := s.pendingReplies[a.Ticket]; ok {
			delete(s.pendingReplies, a.Ticket)
			reply <- a.Answer
		}
	}
}

func (s *Scheduler) post(ctx context.Context, ev any) {
	select {
	case s.events <- ev:
	case <-ctx.Done():
	}
}

func (s *Scheduler) listInstances(ctx context.Context) error {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, platformTimeout)
		list, err := s.client.Instances().List(call)
		cancel()
		s.process.SetCondition(daemon.ConditionPlatformUnreachable, "instances", err != nil, errorText(err))
		if err == nil {
			s.post(ctx, control.InstancesListed{Instances: list})
		}
		sleep(ctx, instanceListInterval)
	}
	return nil
}

func (s *Scheduler) listWorkers(ctx context.Context) error {
	var version uint64
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, platformTimeout)
		list, err := s.client.Workers().List(call, version)
		cancel()
		s.process.SetCondition(daemon.ConditionPlatformUnreachable, "workers", err != nil, errorText(err))
		if err == nil && list.Version != version {
			version = list.Version
			s.post(ctx, control.WorkersListed{List: list})
		}
		sleep(ctx, workerListInterval)
	}
	return nil
}

// syncLoop sends requests to workers. A shard has at most one request without orders in
// progress at each worker; requests with orders don't wait for it.
func (s *Scheduler) syncLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-s.workerSyncs:
			go func() {
				wait := time.Duration(a.Order.Request.WaitMillis) * time.Millisecond
				call, cancel := context.WithTimeout(ctx, wait+platformTimeout)
				defer cancel()
				reply, err := s.client.Workers().Sync(call, a.Order.Worker, a.Order.Request)
				s.post(ctx, control.WorkerSynced{Order: a.Order, Reply: reply, Err: err})
			}()
		}
	}
}

// drain hands over all units that this scheduler owns and waits until the log shows that
// other schedulers own them.
func (s *Scheduler) drain(ctx context.Context) error {
	s.post(ctx, control.Leave{})
	for {
		if s.owned() == 0 {
			return nil
		}
		sleep(ctx, handoverPollInterval)
		if ctx.Err() != nil {
			return errors.Errorf("%d units not handed over", s.owned())
		}
	}
}

func (s *Scheduler) owned() int {
	owned := 0
	for _, h := range s.state.Load().Holders {
		if schedclient.IsMember(h.Owner, s.process.ID, s.process.Incarnation) {
			owned++
		}
	}
	return owned
}

func (s *Scheduler) dump() (any, error) {
	req := dumpRequest{reply: make(chan control.Dump, 1)}
	select {
	case s.events <- req:
	case <-s.done:
		return nil, errors.New("the scheduler has stopped")
	}
	select {
	case d := <-req.reply:
		return d, nil
	case <-s.done:
		return nil, errors.New("the scheduler has stopped")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
