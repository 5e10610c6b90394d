package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/daemon"
)

// Timing of connections to runners.
const (
	runnerDialTimeout = 500 * time.Millisecond
	runnerIdleTimeout = 10 * time.Second
	// provenFor is how long after a byte from a runner its idle connections
	// count as working for a request that must not be sent twice.
	provenFor = time.Second
	// condemnedFor is how long a connection that went silent still counts: its
	// end may not reach the runner, which then holds it until its own timeout.
	condemnedFor = 5 * time.Second
)

var (
	errNoConnection = errors.New("this entry's share of the runner's connections is used up")
	errSealed       = errors.New("the request was given up before it was written")
)

// upstreams are the connections to all runners.
type upstreams struct {
	mu     sync.Mutex
	byAddr map[string]*upstream
	// share is how many connections each runner may have from this entry.
	share atomic.Int64
}

func newUpstreams() *upstreams {
	s := &upstreams{byAddr: map[string]*upstream{}}
	s.share.Store(1)
	return s
}

// setEntries divides the connections of a runner between the entries, so that
// they need not ask each other.
func (s *upstreams) setEntries(n int) { s.share.Store(int64(max(1, runnerConns/max(1, n)))) }

// keep drops the connections to runners that are not listed any more.
func (s *upstreams) keep(addrs map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, u := range s.byAddr {
		if !addrs[addr] {
			u.transport.CloseIdleConnections()
			delete(s.byAddr, addr)
		}
	}
}

func (s *upstreams) at(addr string) *upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.byAddr[addr]
	if !ok {
		u = newUpstream(&s.share)
		s.byAddr[addr] = u
	}
	return u
}

// upstream is the connections to one runner. Each has a transport of its own, so
// that the idle ones to one runner can be closed without the others.
type upstream struct {
	transport *http.Transport
	share     *atomic.Int64
	open      atomic.Int64
	heard     atomic.Int64
}

func newUpstream(share *atomic.Int64) *upstream {
	u := &upstream{share: share}
	u.transport = &http.Transport{DialContext: u.dial, DisableCompression: true,
		MaxIdleConnsPerHost: runnerSlots, IdleConnTimeout: runnerIdleTimeout}
	return u
}

func (u *upstream) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if u.open.Add(1) > u.share.Load() {
		u.open.Add(-1)
		return nil, errNoConnection
	}
	d := net.Dialer{Timeout: runnerDialTimeout}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		u.open.Add(-1)
		return nil, err
	}
	u.heard.Store(int64(daemon.Clock()))
	return &upstreamConn{Conn: conn, upstream: u}, nil
}

// proven reports whether the runner was heard of a moment ago.
func (u *upstream) proven() bool {
	return daemon.Clock()-time.Duration(u.heard.Load()) <= provenFor
}

// condemn closes a connection that went silent and its idle siblings: what made
// the one silent has most likely forgotten the others too, and each would cost
// another caller a try. The next request dials afresh.
func (u *upstream) condemn(c *upstreamConn) {
	c.condemned.Store(true)
	_ = c.Close()
	u.transport.CloseIdleConnections()
}

// upstreamConn is one connection to a runner. It knows whether the request that
// holds it was begun to be written, and can be sealed before that.
type upstreamConn struct {
	net.Conn
	upstream  *upstream
	condemned atomic.Bool
	closed    atomic.Bool

	mu     sync.Mutex
	until  time.Duration
	begun  bool
	sealed bool
}

// take gives the connection to a request that may be written until a time.
func (c *upstreamConn) take(until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until, c.begun = until, false
}

// seal stops all further writes. It reports whether any byte of the request may
// have been written: "not run" is said only if none was, and none can follow.
func (c *upstreamConn) seal() (begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.begun
}

func (c *upstreamConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A process that was paused goes on where it stood, perhaps hours later,
	// when its request has long been answered and its claim forgotten.
	if c.sealed || daemon.Clock() >= c.until {
		c.sealed = true
		return false
	}
	c.begun = true
	return true
}

// Write implements net.Conn.
func (c *upstreamConn) Write(b []byte) (int, error) {
	if !c.begin() {
		return 0, errSealed
	}
	// A runner that takes no bytes must not hold the writer for good.
	if err := c.SetWriteDeadline(time.Now().Add(runnerStall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *upstreamConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.upstream.heard.Store(int64(daemon.Clock()))
	}
	return n, err
}

// Close implements net.Conn.
func (c *upstreamConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if c.condemned.Load() {
		time.AfterFunc(condemnedFor, func() { c.upstream.open.Add(-1) })
	} else {
		c.upstream.open.Add(-1)
	}
	return c.Conn.Close()
}
