// Package machines is a stand-in of the users' machines for tests: their store,
// workers and advice service in one process, with faults, and a referee that
// checks what the pages promise from what the workers and callers see. It takes
// the time from package time, so a test in a synctest bubble plays it in virtual
// time.
package machines

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// Service is the pool of a world's workers, OtherService that of those that are added to it.
	Service      = "grinding"
	OtherService = "mapping"
	// tickEvery is the grain of the workers' time.
	tickEvery = 10 * time.Millisecond
	// wayBack is how long an answer takes.
	wayBack = 2 * time.Millisecond
	// HoldMax is the longest lease of a worker.
	HoldMax = 6 * time.Second
	// StopTime is how long a worker takes to stop a run.
	StopTime = 200 * time.Millisecond
	// gangPatience is how long a member of a gang waits for the others.
	gangPatience = 3 * time.Second
	// pageSize is small, so that tests read several pages.
	pageSize = 40
	// listedAfter is how long the list keeps a worker that is gone.
	listedAfter = 4500 * time.Millisecond
)

// World is a deployment: workers, a store, an advice service and callers.
type World struct {
	mu      sync.Mutex
	rand    *rand.Rand
	began   time.Time
	store   *store
	workers map[string]*worker
	order   []*worker
	nets    map[string]*pipeListener
	views   map[string]*View
	// Advised tells that a queue's steps need advice.
	Advised bool
	// PageSize is how many of the newest records a page holds.
	PageSize int
	// AddrOf tells where a worker listens; nil: its ID stands for its address.
	AddrOf     func(worker string) string
	nextID     int
	lateOrders float64
	everLate   bool          // some may still be on their way
	config     []byte        // the newest
	appendTime time.Duration // of each append to a stream, one after the other
	readRate   int           // total of all reads, in bytes per second; 0: unlimited
	// readsDoneAt is when the reads queued so far will have been transferred.
	readsDoneAt time.Time
	bytesRead   int
	Referee     *Referee
}

// New returns a world whose luck follows a seed.
func New(seed uint64) *World {
	w := &World{
		rand: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), store: newStore(),
		workers: map[string]*worker{}, nets: map[string]*pipeListener{},
		views: map[string]*View{}, PageSize: pageSize,
	}
	w.Referee = newReferee(w)
	return w
}

// Since is the time since the world began.
func (w *World) Since() time.Duration { return time.Since(w.began) }

// Run lets the world's time pass until the context ends.
func (w *World) Run(ctx context.Context) {
	t := time.NewTicker(tickEvery)
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
	w.list()
}

// AddWorker adds a worker and returns its ID.
func (w *World) AddWorker(capacity pool.Resources, kind, rack string) string {
	return w.AddWorkerTo(Service, capacity, kind, rack)
}

// AddWorkerTo is AddWorker for a service.
func (w *World) AddWorkerTo(service string, capacity pool.Resources, kind, rack string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	x := newWorker(w, fmt.Sprintf("w%d", w.nextID), capacity, kind, rack)
	x.service = service
	w.workers[x.id] = x
	w.order = append(w.order, x)
	w.list()
	return x.id
}

// Crash ends a worker with all that runs on it.
func (w *World) Crash(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].crash()
}

// Workers returns the IDs of the workers that live.
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

// SetLateOrders sets the share of orders that get no answer and are carried out 2
// to 12 s later.
func (w *World) SetLateOrders(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateOrders = share
	w.everLate = w.everLate || share > 0
}

// Chance draws from the world's luck.
func (w *World) Chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.Float64() < p
}

// IntN draws a number from 0 to n-1.
func (w *World) IntN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(n)
}

// list writes the changes of the workers' list to the store.
func (w *World) list() {
	for _, x := range w.order {
		switch {
		case x.alive && !x.listed:
			x.listed = true
			w.store.put(WorkersTopic, pool.Record{Key: x.id, Value: pool.Encode(x.info())})
		case !x.alive && x.listed && time.Since(x.died) > listedAfter:
			x.listed = false
			w.store.put(WorkersTopic, pool.Record{Key: x.id})
		}
	}
}

// Configure writes a configuration.
func (w *World) Configure(cfg node.Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config = pool.Encode(cfg)
	w.store.put(ConfigTopic, pool.Record{Key: configKey, Value: w.config})
}

// pipeListener accepts connections that never leave the process.
type pipeListener struct {
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	silent atomic.Bool
}

// Listen returns the listener of an instance.
func (w *World) Listen(addr string) net.Listener {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := &pipeListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	w.nets[addr] = l
	return l
}

// Silence has an instance take in nothing from its peers, as one without power does:
// its connections stay open.
func (w *World) Silence(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nets[addr].silent.Store(true)
}

// Dial connects to an instance.
func (w *World) Dial(addr string, timeout time.Duration) (net.Conn, error) {
	w.mu.Lock()
	l := w.nets[addr]
	w.mu.Unlock()
	if l != nil && l.silent.Load() {
		time.Sleep(timeout)
		return nil, fmt.Errorf("dial %s: timeout", addr)
	}
	if l == nil {
		return nil, fmt.Errorf("dial %s: %w", addr, syscall.ECONNREFUSED)
	}
	here, there := net.Pipe()
	select {
	case l.conns <- there:
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
		return &boundConn{Conn: c, closed: l.closed, silent: &l.silent}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// boundConn ends with its listener, as a connection does with its process.
type boundConn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
	silent *atomic.Bool
}

// Read implements net.Conn.
func (c *boundConn) Read(b []byte) (int, error) {
	c.once.Do(func() { go func() { <-c.closed; _ = c.Conn.Close() }() })
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
		// Lost: the writer goes on, as it does into the buffers of a real connection.
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
