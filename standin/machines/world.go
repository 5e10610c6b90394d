// Package machines is an in-memory stand-in for the users' machines in tests: store,
// workers and advice service in one process, with faults, and a referee that checks the
// documented guarantees by what workers and callers observe. It takes the time from package
// time, so that a test in a synctest bubble runs it in virtual time.
package machines

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// Service is the pool of the workers of a world; OtherService is a second pool to which
	// workers can be added.
	Service      = "grinding"
	OtherService = "mapping"
	// tickInterval is the resolution of the workers' clock.
	tickInterval = 10 * time.Millisecond
	// networkDelay is the delay of a call.
	networkDelay = 2 * time.Millisecond
	// pageSize is small, so that tests read several pages.
	pageSize = 40
	// endsPerAnswer is the number of ended runs in an answer of a worker unless a test lowers it.
	endsPerAnswer = 500
	// maxRecord and maxAppend are the limits of the store unless a test lowers them, in bytes.
	maxRecord = 256 << 10
	maxAppend = 2 << 20
)

// Bounds are the times of a deployment that decide when something is over. They differ between deployments.
type Bounds struct {
	// MaxLease is the maximum lease of a worker.
	MaxLease time.Duration
	// StopTime is how long a worker takes to stop a run.
	StopTime time.Duration
	// GangTimeout is how long a member of a gang waits for the others.
	GangTimeout time.Duration
	// UnlistDelay is how long the list keeps a worker that has crashed.
	UnlistDelay time.Duration
	// TicketValidity is how long a ticket of the advice service is valid.
	TicketValidity time.Duration
}

// DefaultBounds returns the bounds of a world unless a test changes them.
func DefaultBounds() Bounds {
	return Bounds{MaxLease: 6 * time.Second, StopTime: 200 * time.Millisecond, GangTimeout: 3 * time.Second, UnlistDelay: 4500 * time.Millisecond,
		TicketValidity: 1500 * time.Millisecond}
}

// World is a simulated deployment: workers, a store, an advice service and callers.
type World struct {
	mu        sync.Mutex
	rand      *rand.Rand
	startedAt time.Time
	store     *store
	workers   map[string]*worker
	order     []*worker
	listeners map[string]*pipeListener
	links     links
	views     map[string]*View
	// Bounds are set before the first worker is added.
	Bounds Bounds
	// Advised is set if the steps of queues need advice.
	Advised bool
	// PageSize is the number of records in a page of newest records.
	PageSize int
	// AddrOf returns the address of a worker; nil: the worker's ID is its address.
	AddrOf func(worker string) string
	// restartDelay is how long a worker that a task has crashed is away before it starts again
	// with another ID; 0: it stays away.
	restartDelay  time.Duration
	reusedIDs     float64 // see ReuseIDs
	nextID        int
	lateOrders    float64
	hadLateOrders bool   // some may still be in transit
	config        []byte // the newest one
	organisations []organisation.Entry
	appendTime    time.Duration // of each append to a stream, one after another
	readRate      int           // total of all reads, in bytes per second; 0: unlimited
	// readsDoneAt is when the reads queued so far will have been transferred.
	readsDoneAt time.Time
	bytesRead   int
	// EndsPerAnswer is the number of ended runs that a worker lists in one answer.
	EndsPerAnswer int
	// LateOrdersOutliveWorkers makes an order that is late reach the worker's next incarnation, if that starts
	// again under the ID.
	LateOrdersOutliveWorkers bool
	// LateOrdersAwaitRestarts makes such an order reach a worker that is down as soon as it has started again.
	LateOrdersAwaitRestarts bool
	// LateOrdersAwaitHolds makes such an order wait until an owner has had an incarnation's answer to a hold
	// and has sent another one. Before, the order can't be refused: the incarnation has seen no fencing token.
	LateOrdersAwaitHolds bool
	// ClocksSetBack is by how much the clock of a worker's host, which its start is named by, is set back before it starts
	// again under its ID.
	ClocksSetBack time.Duration
	// CrashesBreakNoConnections makes a hold that waits at a worker get no answer until its time is over if the worker
	// crashes, as if the machine had lost power.
	CrashesBreakNoConnections bool
	// MaxRecord and MaxAppend are the sizes of the largest record and of the largest append that the store
	// accepts, in bytes.
	MaxRecord, MaxAppend int
	refusedSizes         int // appends that were refused because of their size or that of a record
	// ClockError is by how much the workers' clocks run slower or faster at most, as a share. Each
	// worker's clock is as far off as possible, in one direction.
	ClockError float64
	Referee    *Referee
}

// New returns a world whose random choices follow a seed.
func New(seed uint64) *World {
	w := &World{
		rand: rand.New(rand.NewPCG(seed, 1)), startedAt: time.Now(), store: newStore(),
		workers: map[string]*worker{}, listeners: map[string]*pipeListener{},
		views: map[string]*View{}, Bounds: DefaultBounds(), PageSize: pageSize,
		EndsPerAnswer: endsPerAnswer, MaxRecord: maxRecord, MaxAppend: maxAppend,
	}
	w.Referee = newReferee(w)
	return w
}

// Since returns the time since the world was created.
func (w *World) Since() time.Duration { return time.Since(w.startedAt) }

// Run advances the workers until the context ends.
func (w *World) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.tick()
		case <-ctx.Done():
			return
		}
	}
}

func (w *World) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.order {
		x.tick()
	}
	w.updateWorkerList()
}

// AddWorker adds a worker and returns its ID.
func (w *World) AddWorker(capacity pool.Resources, kind, rack string) string {
	return w.AddWorkerTo(Service, capacity, kind, rack)
}

// AddWorkerTo adds a worker to a service and returns its ID.
func (w *World) AddWorkerTo(service string, capacity pool.Resources, kind, rack string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	x := newWorker(w, fmt.Sprintf("w%d", w.nextID), capacity, kind, rack)
	x.service = service
	w.workers[x.id] = x
	w.order = append(w.order, x)
	w.updateWorkerList()
	return x.id
}

// Crash ends a worker and all its runs.
func (w *World) Crash(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].crash()
}

// Workers returns the IDs of the workers that are alive.
func (w *World) Workers() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for _, x := range w.order {
		if x.alive {
			ids = append(ids, x.id)
		}
	}
	return ids
}

// SetLateOrders sets the share of orders that get no answer and are executed 2 to 12 s
// later.
func (w *World) SetLateOrders(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateOrders = share
	w.hadLateOrders = w.hadLateOrders || share > 0
}

// Chance returns true with probability p, drawn from the world's random source.
func (w *World) Chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.Float64() < p
}

// IntN draws a number from 0 to n-1 from the world's random source.
func (w *World) IntN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(n)
}

// updateWorkerList writes changes of the list of workers to the store.
func (w *World) updateWorkerList() {
	for _, x := range w.order {
		switch {
		case x.alive && !x.listed && !time.Now().Before(x.silentUntil):
			x.listed = true
			w.store.put(WorkersTopic, pool.Record{Key: x.id, Value: pool.Encode(x.info())})
		case !x.alive && x.listed && time.Since(x.died) > w.Bounds.UnlistDelay:
			x.listed = false
			w.store.put(WorkersTopic, pool.Record{Key: x.id})
		}
	}
}

// Configure writes a configuration.
func (w *World) Configure(cfg node.Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Referee.configured(w.organisations)
	w.config = pool.Encode(storedConfig{Config: cfg, Entries: w.organisations})
	w.store.put(ConfigTopic, pool.Record{Key: configKey, Value: w.config})
}

// SetOrganisations sets the organisations of the configurations that follow.
func (w *World) SetOrganisations(list []organisation.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.organisations = slices.Clone(list)
}

// pipeListener accepts in-memory connections within the process.
type pipeListener struct {
	addr         string
	conns        chan net.Conn
	closed       chan struct{}
	once         sync.Once
	dropIncoming atomic.Bool
}

// Listen returns the listener of an instance.
func (w *World) Listen(addr string) net.Listener {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := &pipeListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	w.listeners[addr] = l
	return l
}

// DropIncoming makes an instance lose everything that its peers send, as if it had lost
// power: its connections stay open.
func (w *World) DropIncoming(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listeners[addr].dropIncoming.Store(true)
}

// Dial connects to an instance.
func (w *World) Dial(addr string, timeout time.Duration) (net.Conn, error) {
	return w.dial(addr, timeout, func(c net.Conn) net.Conn { return c })
}

// dial connects to an instance, which gets its end of the connection from wrap.
func (w *World) dial(addr string, timeout time.Duration, wrap func(net.Conn) net.Conn) (net.Conn, error) {
	w.mu.Lock()
	l := w.listeners[addr]
	w.mu.Unlock()
	if l != nil && l.dropIncoming.Load() {
		time.Sleep(timeout)
		return nil, fmt.Errorf("dial %s: timeout", addr)
	}
	if l == nil {
		return nil, fmt.Errorf("dial %s: %w", addr, syscall.ECONNREFUSED)
	}
	here, there := net.Pipe()
	select {
	case l.conns <- wrap(there):
		return here, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial %s: %w", addr, syscall.ECONNREFUSED)
	case <-after(timeout):
		return nil, fmt.Errorf("dial %s: timeout", addr)
	}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return &boundConn{Conn: c, closed: l.closed, dropIncoming: &l.dropIncoming}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// boundConn is closed with its listener, as a connection ends with its process.
type boundConn struct {
	net.Conn
	closed       chan struct{}
	once         sync.Once
	dropIncoming *atomic.Bool
}

// Read implements net.Conn.
func (c *boundConn) Read(b []byte) (int, error) {
	c.once.Do(func() { go func() { <-c.closed; _ = c.Conn.Close() }() })
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.dropIncoming.Load() {
			return n, err
		}
		// The data is lost: the writer continues, as with the buffers of a real connection.
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.addr) }

type pipeAddr string

// Network implements net.Addr.
func (pipeAddr) Network() string { return "pipe" }

// String implements net.Addr.
func (a pipeAddr) String() string { return string(a) }

// HasKind reports whether any worker of a kind is alive.
func (w *World) HasKind(kind string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.order, func(x *worker) bool { return x.alive && x.kind == kind })
}

// Runs returns the number of runs that are active on a worker.
func (w *World) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.workers[id].runs)
}

// clockRate returns how fast a worker's clock runs; 1: as fast as all others.
func (w *World) clockRate(id string) float64 {
	if w.ClockError == 0 {
		return 1
	}
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, id) // a hash never fails to write
	if h.Sum32()%2 == 0 {
		return 1 - w.ClockError
	}
	return 1 + w.ClockError
}
