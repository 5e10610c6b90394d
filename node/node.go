package node

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedweir/knapweedweir/node/congestion"
	"github.com/knapweedweir/knapweedweir/pool"
)

// Settings are the settings of an instance, as read from its settings file.
type Settings struct {
	Name     string
	Zone     string
	PeerAddr string // address at which other instances reach this one
	// Parts is the number of partitions that services are hashed to. Each partition holds one pool.
	Parts    int
	MaxLease time.Duration // longest lease that a worker grants
	// MaxWorkerConns is how many connections to workers may be open at a time; 0: no limit.
	MaxWorkerConns int
	// MaxPeerConns is how many connections from peers may be open at a time, of which each peer uses one; 0:
	// defaultMaxPeerConns.
	MaxPeerConns int
	StopTimeout  time.Duration // time that a worker takes to stop a run
	// EndedRetention is how long the state of an ended job can be queried; 0: defaultEndedRetention.
	EndedRetention time.Duration
	// OrderLease is how long an owner's lease of maintenance orders for a machine lasts; 0: the default of package pool.
	OrderLease time.Duration
	// Cores is the number of processor cores that this instance may use; it may be a fraction.
	Cores float64
	// LinkRate is the bandwidth of this machine's network link in bytes per second; 0: unknown.
	LinkRate int
	// Now is a clock that includes the time for which the machine is suspended; nil: the system's.
	Now func() time.Duration
	// TimeOfDay is the clock by which occurrences of repeated jobs are due; nil: the system's.
	TimeOfDay func() time.Time
	// Copies is the number of instances that keep a copy of each pool, its owner included; 0:
	// defaultCopies.
	Copies int
	// Dial connects to a peer; nil: over TCP.
	Dial Dialer
	// Metrics receives counters and histograms; nil: they are discarded.
	Metrics tally.Scope
	// Cloud lists machines and orders their maintenance; nil: not available in this deployment.
	Cloud Cloud
	// ShutdownGrace is the time between the request to stop the process and its being killed.
	ShutdownGrace time.Duration
	// Visibility is the time after its acceptance within which every instance knows a job; 0:
	// defaultVisibility.
	Visibility time.Duration
	// MaxMemory is the memory that the process may use, in bytes; 0: unknown.
	MaxMemory int64
	// MaxPeerMemory is the memory in bytes that calls of peers in progress may use, and the same for their unfinished messages; 0: three
	// tenths of MaxMemory, or 64 MiB if that is unknown.
	MaxPeerMemory int64
	// MaxRecord is the size of the largest record that the store accepts, and MaxAppend that of the
	// largest append, in bytes; 0: 256 KiB and 2 MiB.
	MaxRecord, MaxAppend int
}

// Dialer connects to an instance.
type Dialer func(addr string, timeout time.Duration) (net.Conn, error)

// Node is one instance of the scheduler.
type Node struct {
	opts        Settings
	log         zerolog.Logger
	store       Store
	workers     Workers
	advisor     Advisor
	directory   Directory
	incarnation int64
	config      atomic.Pointer[Config]
	stopping    atomic.Bool
	peers       *peers
	metrics     *metrics
	unreadable  *unreadableEntries
	// adviceSlot is a semaphore with one slot: the advice service serves one call of a machine at a
	// time.
	adviceSlot chan struct{}

	// startWindow limits the bytes of task starts in flight to workers.
	startWindow *congestion.Window

	readers readers
	// runCtx is canceled with the context of Run. New creates it, since requests may arrive before
	// Run is called.
	runCtx    context.Context
	cancelRun context.CancelFunc

	waves atomic.Pointer[[]pool.Wave]

	mu          sync.Mutex
	controllers map[int]*poolController
	inUse       inUseList
	claims      newestClaims
	ownedParts  map[int]claim
	owners      map[int]string // address of each pool's owner, as last read
	// pendingInitialReads counts the initial reads of the store that are not complete: of each
	// pool, and of the list of pools in use.
	pendingInitialReads int
}

// New returns an instance that has not been started.
func New(opts Settings, log zerolog.Logger, store Store, workers Workers, advisor Advisor, directory Directory) *Node {
	if opts.Now == nil {
		opts.Now = bootTime
	}
	if opts.TimeOfDay == nil {
		opts.TimeOfDay = time.Now
	}
	if opts.EndedRetention <= 0 {
		opts.EndedRetention = defaultEndedRetention
	}
	if opts.Visibility <= 0 {
		opts.Visibility = defaultVisibility
	}
	if opts.Copies <= 0 {
		opts.Copies = defaultCopies
	}
	if opts.MaxRecord <= 0 {
		opts.MaxRecord = defaultMaxRecord
	}
	if opts.MaxAppend <= 0 {
		opts.MaxAppend = defaultMaxAppend
	}
	opts.MaxRecord = min(opts.MaxRecord, opts.MaxAppend-pool.RecordOverhead)
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	if opts.Dial == nil {
		opts.Dial = func(addr string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", addr, timeout)
		}
	}
	n := &Node{
		opts: opts, log: log, store: store, workers: workers, advisor: advisor, directory: directory,
		incarnation: time.Now().UnixNano(), adviceSlot: make(chan struct{}, 1), controllers: map[int]*poolController{},
		ownedParts: map[int]claim{}, owners: map[int]string{}, pendingInitialReads: 1,
	}
	n.runCtx, n.cancelRun = context.WithCancel(context.Background())
	n.metrics = newMetrics(opts.Metrics)
	n.startWindow = newStartWindow(opts.LinkRate)
	n.store = timedStore{Store: store, metrics: n.metrics}
	n.unreadable = newUnreadableEntries(log, n.metrics, opts.Now)
	n.peers = newPeers(n)
	return n
}

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) error {
	f := &follower{store: n.store, topic: n.directory.ConfigTopic(), now: n.now, wait: readWait,
		pause: func() time.Duration { return 0 }, readers: &n.readers, log: n.log}
	context.AfterFunc(ctx, n.cancelRun)
	go n.peers.run(ctx)
	go n.followInUse(ctx)
	f.run(ctx, func(b batch) { n.handleConfigBatch(ctx, b) })
	return nil
}

// Ready reports whether this instance knows the configuration and has caught up with the pools'
// state once. With a copy that is behind, it would have to read the store for each caller that asks
// for a job, or reject the request.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Load() != nil && n.pendingInitialReads == 0 && !n.stopping.Load()
}

// Config returns the newest configuration, or nil if none has been read yet.
func (n *Node) Config() *Config { return n.config.Load() }

// maxAge is the maximum age of a copy of stored data that is used for counting.
func (n *Node) maxAge() time.Duration { return time.Duration(ageRatio * float64(n.opts.Visibility)) }

// configVersion returns the version of the current configuration, or 0 if none has been read yet.
func (n *Node) configVersion() int64 {
	if cfg := n.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

func (n *Node) handleConfigBatch(ctx context.Context, b batch) {
	if b.err != nil {
		return // the current configuration remains in effect, and the follower logs that its reads fail
	}
	for _, rec := range b.records {
		if err := n.handleOperatorRecord(ctx, rec); err != nil {
			n.unreadable.report(source(n.directory.ConfigTopic().Name), rec.Key, rec.Offset, err)
		}
	}
}

// handleOperatorRecord applies a record written by the operators. A record that can't be read
// leaves the configuration and the waves unchanged.
func (n *Node) handleOperatorRecord(ctx context.Context, rec Stored) error {
	if rec.Unreadable != nil {
		return rec.Unreadable
	}
	if len(rec.Value) == 0 {
		return nil
	}
	wave, err := n.directory.DecodeWave(rec.Record)
	if err != nil {
		return err
	}
	if wave != nil {
		n.addWave(ctx, *wave)
	}
	cfg, err := n.directory.DecodeConfig(rec.Record)
	if err != nil {
		return err
	}
	if cfg != nil {
		n.applyConfig(ctx, cfg)
	}
	return nil
}

// applyConfig replaces the whole configuration. An older version never replaces a newer one.
func (n *Node) applyConfig(ctx context.Context, cfg *Config) {
	old := n.config.Load()
	if old != nil && old.Version >= cfg.Version {
		return
	}
	n.config.Store(cfg)
	n.log.Info().Int64("version", cfg.Version).Int("routes", len(cfg.Routes)).Int("organisations", len(cfg.Organisations.All())).Msg("config.applied")
	for _, service := range cfg.Services {
		n.ensureController(ctx, partOf(service, n.opts.Parts))
	}
	for _, pc := range n.allControllers() {
		go pc.send(ctx, func() {
			// Versions that follow closely on each other may arrive here in any order.
			cfg := n.config.Load()
			if pc.own != nil && pc.own.loaded {
				pc.own.step(pool.QueuesChanged{Queues: cfg.Queues()})
				pc.own.setOrganisations(cfg)
				pc.own.requestConfiguredQueues(cfg)
				pc.own.passWorkerList() // the set of services may have changed
			}
		})
	}
}

// ensureController creates the controller of a pool unless it exists.
func (n *Node) ensureController(ctx context.Context, part int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.controllers[part] != nil {
		return
	}
	pc := newPoolController(ctx, n, part)
	n.controllers[part] = pc
	n.pendingInitialReads++
	go pc.run(ctx)
}

func (n *Node) controller(part int) *poolController {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.controllers[part]
}

func (n *Node) allControllers() []*poolController {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]*poolController, 0, len(n.controllers))
	for _, pc := range n.controllers {
		list = append(list, pc)
	}
	slices.SortFunc(list, func(a, b *poolController) int { return cmp.Compare(a.topic.Part, b.topic.Part) })
	return list
}

func (n *Node) initialReadDone() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pendingInitialReads--
}

// setOwned records the claim by which this instance owns a pool, and announces it.
func (n *Node) setOwned(part int, c claim) {
	n.mu.Lock()
	n.ownedParts[part] = c
	n.mu.Unlock()
	n.peers.announceNow()
}

// clearOwned records that this instance no longer owns a pool, and announces it.
func (n *Node) clearOwned(part int) {
	n.mu.Lock()
	delete(n.ownedParts, part)
	n.mu.Unlock()
	n.peers.announceNow()
}

func (n *Node) owns(part int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, owned := n.ownedParts[part]
	return owned
}

// ownedPools lists the pools that this instance owns, sorted by part.
func (n *Node) ownedPools() []ownedPool {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []ownedPool
	for part, c := range n.ownedParts {
		list = append(list, ownedPool{Part: part, Epoch: c.Epoch, Generation: c.Generation})
	}
	slices.SortFunc(list, func(a, b ownedPool) int { return cmp.Compare(a.Part, b.Part) })
	return list
}

func (n *Node) setOwner(part int, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners[part] = addr
}

// ownedPoolCountOf returns the number of pools owned by the instance at an address, as far as is
// known here.
func (n *Node) ownedPoolCountOf(addr string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, owner := range n.owners {
		if owner == addr {
			count++
		}
	}
	return count
}

func (n *Node) ownedPoolCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.ownedParts)
}

// logDecision logs a decision about a job and counts it.
func (n *Node) logDecision(pc *poolController, d pool.LogEntry) {
	n.metrics.recordDecision(d)
	e := pc.log.Info().Str("job", d.Job)
	if d.Task != nil {
		e = e.Int("k", d.Task.K).Int("step", d.Task.Step).Int("task", d.Task.Ordinal).Int("run", d.Run)
	}
	if d.Worker != "" || d.Task != nil {
		e = e.Str("worker", d.Worker)
	}
	if d.Incarnation != 0 {
		e = e.Int64("incarnation", d.Incarnation)
	}
	if d.Workers > 0 {
		e = e.Int("workers", d.Workers)
	}
	if d.Runs > 0 {
		e = e.Int("runs", d.Runs)
	}
	if d.Steps > 0 {
		e = e.Int("steps", d.Steps)
	}
	if d.Reason != "" {
		e = e.Str("reason", d.Reason)
	}
	if d.Crashes > 0 {
		e = e.Int("crashes", d.Crashes)
	}
	if d.Share > 0 {
		e = e.Str("organisation", d.Organisation).Float64("used", d.Used).Float64("share", d.Share)
	}
	if d.Waited > 0 {
		e = e.Dur("waited", d.Waited)
	}
	if pc.own != nil {
		e = e.Uint64("epoch", pc.own.claim.Epoch)
	}
	e.Msg(d.Event)
}

// Stop hands the pools over to other instances, so that they needn't detect a failure of this one.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	for _, pc := range n.allControllers() {
		var c claim
		var list []successor
		if pc.do(ctx, func() {
			if pc.own != nil {
				c, list = pc.own.claim, pc.successors()
			}
		}) != nil || c.Addr == "" {
			continue
		}
		if to := n.peers.handOver(ctx, pc.topic.Part, c.Epoch, list); to != "" {
			_ = pc.do(ctx, func() { pc.recordHandOver(to, c.Epoch) })
		}
	}
	n.peers.leave(ctx)
}

func (n *Node) now() time.Duration { return n.opts.Now() }

// PeerAddr returns the address at which the other instances reach this one.
func (n *Node) PeerAddr() string { return n.opts.PeerAddr }

// OwnsAny reports whether this instance owns a pool.
func (n *Node) OwnsAny() bool { return n.ownedPoolCount() > 0 }
