package entry

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/cmd/internal/schedclient"
	"github.com/knapweedweir/knapweedweir/control"
	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/daemon/netlimit"
	"github.com/knapweedweir/knapweedweir/dispatch"
	"github.com/knapweedweir/knapweedweir/infra"
)

// Timeouts, intervals and limits of an entry.
const (
	expireInterval       = 20 * time.Millisecond
	watchInterval        = 200 * time.Millisecond
	watchTimeout         = 2 * time.Second
	askTimeout           = 8 * time.Second
	finishTimeout        = 2 * time.Second
	readHeaderTimeout    = 5 * time.Second
	defaultDrain         = 30 * time.Second
	drainPollInterval    = 20 * time.Millisecond
	drainRecordTimeout   = 2 * time.Second
	bodyTimeout          = 10 * time.Second
	callerWriteTimeout   = 5 * time.Second
	callerIdleTimeout    = time.Minute
	operatorWriteTimeout = time.Minute
	maxNamesLogged       = 100
	slotsPerRunner       = 8
	connsPerRunner       = 64
	maxRequestBytes      = 1 << 20
	maxRequestID         = 256
	maxBodyMemory        = 128 << 20
	maxQueue             = 2000
	retryRatio           = 0.1
	coreEventQueueSize   = 4096
	actionBufferSize     = 8
)

// Entry is one entry process.
type Entry struct {
	process          *daemon.Process
	settings         Settings
	schedulerClients *schedulers
	runners          *upstreams
	memory           memoryBudget
	events           chan coreEvent
	state            atomic.Pointer[api.State]
	nextID           atomic.Uint64
	active           atomic.Int64
	// leaving makes the entry report that it isn't ready; draining makes it refuse new requests.
	leaving  atomic.Bool
	draining atomic.Bool
	done     chan struct{}
	// requestIDs maps call.id to the request ID, for the requests in progress.
	requestIDs sync.Map
	// outcomes caches outcomeMetrics by outcomeKey.
	outcomes sync.Map
	// callerWriteTimeout is how long a caller may accept no byte of its answer;
	// bodyTimeout is how long it may take to send its body.
	callerWriteTimeout, bodyTimeout time.Duration
	// stalledAttempts counts the attempts that were cancelled as stalled, without an answer.
	stalledAttempts atomic.Int64
	// unrecordedOutcomes counts the outcomes that have not been written to the log yet.
	unrecordedOutcomes atomic.Int64
	// background is cancelled when the process ends.
	background context.Context
	stop       context.CancelFunc
}

// Run runs an entry with the settings in a file.
func Run(path string) error {
	var s Settings
	if err := daemon.LoadSettings(path, &s); err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	tlsStores, err := s.TLS.Open()
	if err != nil {
		return errors.Wrap(err, "open certificates")
	}
	p := daemon.New("kw-entry", s.ID, os.Stderr)
	e := New(p, s, tlsStores)
	p.WatchCertificates(tlsStores)
	p.AddLoop(e.coreLoop)
	p.AddLoop(e.watchLoop)
	limiter := netlimit.New(netlimit.Bounds{MaxConns: s.Limits.Connections, MaxUnfinishedBytes: int64(s.Limits.Unfinished), Times: connTimes, Log: p.Log.With().Str("server", "callers").Logger()}, p.Metrics.SubScope("callers"))
	p.AddHTTP(tlsStores.ListenServer(limiter.Listen(l)), limiter.Server(&http.Server{Handler: tlsStores.OperatorsOnly(p.Mux(), forCallers), MaxHeaderBytes: int(s.Limits.Head),
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, WriteTimeout: operatorWriteTimeout}))
	limit := s.DrainLimit.D()
	if limit == 0 {
		limit = defaultDrain
	}
	return p.Run(limit, e.drain)
}

func connTimes() netlimit.Times {
	return netlimit.Times{Head: readHeaderTimeout, Idle: callerIdleTimeout, Write: operatorWriteTimeout}
}

// Check validates a settings file.
func Check(path string) error {
	var s Settings
	return daemon.LoadSettings(path, &s)
}

// New returns an entry whose loops and server have not been started.
func New(p *daemon.Process, s Settings, tlsStores daemon.TLSStores) *Entry {
	e := &Entry{process: p, settings: s, schedulerClients: newSchedulers(s.Schedulers, schedclient.DialerOf(tlsStores)),
		runners: newUpstreams(), memory: memoryBudget{limit: cmp.Or(int64(s.Limits.Bodies), maxBodyMemory)}, callerWriteTimeout: callerWriteTimeout, bodyTimeout: bodyTimeout,
		events: make(chan coreEvent, coreEventQueueSize), done: make(chan struct{})}
	e.background, e.stop = context.WithCancel(context.Background())
	e.state.Store(&api.State{})
	p.OnDump(e.dump)
	e.routes(p.Mux())
	return e
}

// coreEvent is an input of the dispatch core. apply runs on the core goroutine.
type coreEvent interface {
	apply(now time.Duration, s *coreState) []dispatch.Action
}

// coreState is the state that only the core goroutine accesses.
type coreState struct {
	core    *dispatch.Core
	waiters map[uint64]chan dispatch.Action
	// liveEntries is the newest list of live entries; roster is its version, counted locally.
	liveEntries []string
	roster      infra.Offset
}

type requestArrived struct {
	request dispatch.Request
	actions chan dispatch.Action
}

func (a requestArrived) apply(now time.Duration, s *coreState) []dispatch.Action {
	s.waiters[a.request.ID] = a.actions
	return s.core.Arrive(now, a.request)
}

type claimResult struct {
	id        uint64
	err       error
	mayBeOurs bool
}

func (c claimResult) apply(now time.Duration, s *coreState) []dispatch.Action {
	return s.core.Claimed(now, c.id, c.err, c.mayBeOurs)
}

type attemptAnswered struct {
	id   uint64
	took time.Duration
	// serverError is set if the runner answered with a 5xx status.
	serverError bool
}

func (a attemptAnswered) apply(now time.Duration, s *coreState) []dispatch.Action {
	return s.core.Answered(now, a.id, a.took, a.serverError)
}

type attemptFailed struct {
	id      uint64
	failure dispatch.Failure
	reason  string
}

func (f attemptFailed) apply(now time.Duration, s *coreState) []dispatch.Action {
	return s.core.Failed(now, f.id, f.failure, f.reason)
}

// gone reports that the caller has disconnected, or that it has received part of
// an answer whose remainder won't arrive.
type gone struct{ id uint64 }

func (g gone) apply(now time.Duration, s *coreState) []dispatch.Action { return s.core.Gone(now, g.id) }

type expireTick struct{}

func (expireTick) apply(now time.Duration, s *coreState) []dispatch.Action { return s.core.Expire(now) }

type stateUpdate struct{ state api.State }

func (n stateUpdate) apply(now time.Duration, s *coreState) []dispatch.Action {
	var entries []string
	for _, i := range n.state.Instances {
		if i.Service == control.EntryService && i.State == infra.InstanceLive {
			entries = append(entries, i.ID)
		}
	}
	return append(s.setEntries(now, entries), s.core.SetRunners(now, runnersIn(n.state.Instances))...)
}

// setEntries updates the list of live entries, between which a runner's slots are
// divided. While the entries read different versions of the platform's list, their shares
// can add up to more than the slots of a runner.
func (s *coreState) setEntries(now time.Duration, entries []string) []dispatch.Action {
	if slices.Equal(entries, s.liveEntries) {
		return nil
	}
	s.liveEntries = entries
	s.roster++
	return s.core.SetRoster(now, dispatch.Roster{Version: s.roster, Entries: entries, First: true})
}

// runnersIn returns the instances that are neither entries nor schedulers.
func runnersIn(list []infra.Instance) []infra.Instance {
	var out []infra.Instance
	for _, i := range list {
		if i.Service != control.EntryService && i.Service != control.SchedService {
			out = append(out, i)
		}
	}
	return out
}

type statusRequest struct{ reply chan dispatch.Status }

func (r statusRequest) apply(now time.Duration, s *coreState) []dispatch.Action {
	r.reply <- s.core.Status(now)
	return nil
}

// coreLoop owns the dispatch core: no other goroutine calls it.
func (e *Entry) coreLoop(ctx context.Context) error {
	defer e.stop()
	defer close(e.done)
	s := &coreState{waiters: map[uint64]chan dispatch.Action{}, core: dispatch.New(dispatch.Config{
		Self: e.settings.ID, SlotsPerRunner: slotsPerRunner, RetryRatio: retryRatio, MaxQueue: maxQueue})}
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		var ev coreEvent
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			ev = expireTick{}
		case ev = <-e.events:
		}
		for _, a := range ev.apply(daemon.Clock(), s) {
			s.deliver(a)
		}
	}
}

// deliver sends an action to the goroutine that serves its request.
func (s *coreState) deliver(a dispatch.Action) {
	var id uint64
	final := false
	switch a := a.(type) {
	case dispatch.Send:
		id = a.Request
	case dispatch.Cancel:
		id = a.Request
	case dispatch.ProposeClaim:
		id = a.Request
	case dispatch.Finished:
		id, final = a.Request, true
	}
	w, ok := s.waiters[id]
	if !ok {
		return
	}
	w <- a
	if final {
		delete(s.waiters, id)
	}
}

func (e *Entry) post(ev coreEvent) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.done:
		return false
	}
}

// isListed reports whether the platform's list contains this entry. Until it does, the
// entry has no slots at any runner and would refuse every request.
func (e *Entry) isListed(list []infra.Instance) bool {
	return slices.ContainsFunc(list, func(i infra.Instance) bool {
		return i.Service == control.EntryService && i.ID == e.settings.ID
	})
}

// updateOffset stores the scheduler's log offset and whether the log is down, when
// nothing else of the state has changed.
func (e *Entry) updateOffset(st api.State) {
	old := e.state.Load()
	if st.Offset < old.Offset || (st.Offset == old.Offset && st.LogDown == old.LogDown) {
		return
	}
	next := *old
	next.Offset, next.LogDown = st.Offset, st.LogDown
	e.state.Store(&next)
}

// watchLoop polls a scheduler for the cell's state and updates the entry's copy of it.
func (e *Entry) watchLoop(ctx context.Context) error {
	var since uint64
	var from string
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		st, err := e.schedulerClients.watch(since, from)
		e.setSchedulerConditions(st, err)
		switch {
		case err != nil:
		case st.Ready && st.Holders != nil && st.Offset >= e.state.Load().Offset:
			since, from = st.Version, st.Scheduler
			e.state.Store(&st)
			e.updateConnections(st.Instances)
			e.post(stateUpdate{st})
			e.process.SetReady(!e.leaving.Load() && e.isListed(st.Instances))
		case st.Holders == nil && st.Scheduler == from:
			e.updateOffset(st)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// updateConnections recomputes the connection limit per runner and closes idle connections
// to runners that are no longer listed.
func (e *Entry) updateConnections(list []infra.Instance) {
	entries, addrs := 0, map[string]bool{}
	for _, i := range list {
		// Entries that are shutting down count too: their connections are still open.
		if i.Service == control.EntryService {
			entries++
		}
		addrs[i.Addr] = true
	}
	e.runners.setEntries(entries)
	e.runners.retain(addrs)
}

// drain waits for the requests in progress. At first the entry only reports that it isn't
// ready and still accepts requests for the notice period: until the balancer's next health
// check new requests still arrive, and refusing them would be needless.
func (e *Entry) drain(ctx context.Context) error {
	e.leaving.Store(true)
	sleep(ctx, e.settings.Notice.D())
	e.draining.Store(true)
	for e.active.Load() > 0 {
		if ctx.Err() != nil {
			return e.reportCutOff()
		}
		sleep(ctx, drainPollInterval)
	}
	// Outcomes that are not in the log yet are waited for only briefly, since the log
	// may be down for hours.
	record, cancel := context.WithTimeout(ctx, drainRecordTimeout)
	defer cancel()
	for e.unrecordedOutcomes.Load() > 0 && record.Err() == nil {
		sleep(record, drainPollInterval)
	}
	return nil
}

// reportCutOff logs the requests that are still in progress at the end of the drain.
func (e *Entry) reportCutOff() error {
	var names []string
	e.requestIDs.Range(func(_, name any) bool {
		names = append(names, name.(string))
		return true
	})
	sort.Strings(names)
	e.process.Log.Error().Int("count", len(names)).Strs("requests", names[:min(len(names), maxNamesLogged)]).Msg("requests.cut_off")
	return errors.Errorf("%d requests cut off", len(names))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Dump is the state of an entry, for operators and tools.
type Dump struct {
	DumpVersion int             `json:"dumpVersion"`
	ID          string          `json:"id"`
	Scheduler   string          `json:"scheduler"`
	Offset      infra.Offset    `json:"offset"`
	LogDown     bool            `json:"logDown"`
	Draining    bool            `json:"draining"`
	Active      int64           `json:"activeRequests"`
	BodyBytes   int64           `json:"bodyBytes"`
	Unrecorded  int64           `json:"unrecordedOutcomes"`
	Stalls      int64           `json:"stalledAttempts"`
	Dispatch    dispatch.Status `json:"dispatch"`
}

func (e *Entry) dump() (any, error) {
	req := statusRequest{make(chan dispatch.Status, 1)}
	if !e.post(req) {
		return nil, errors.New("the entry has stopped")
	}
	select {
	case st := <-req.reply:
		s := e.state.Load()
		return Dump{1, e.settings.ID, s.Scheduler, s.Offset, s.LogDown, e.leaving.Load(), e.active.Load(), e.memory.used.Load(), e.unrecordedOutcomes.Load(), e.stalledAttempts.Load(), st}, nil
	case <-e.done:
		return nil, errors.New("the entry has stopped")
	}
}
