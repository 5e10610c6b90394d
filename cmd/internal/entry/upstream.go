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

// Timeouts of connections to runners.
const (
	runnerDialTimeout = 500 * time.Millisecond
	runnerIdleTimeout = 10 * time.Second
	// recentlyHeardAge is how long after the last byte from a runner its idle
	// connections are trusted with a request that must not be sent twice.
	recentlyHeardAge = time.Second
	// silentConnHold is how long a silent connection still counts against the
	// limit after it was closed: the runner may not receive the close and then
	// keeps the connection until its own timeout.
	silentConnHold = 5 * time.Second
)

var (
	errNoConnection = errors.New("this entry's share of the runner's connections is used up")
	errSealed       = errors.New("the request was given up before it was written")
)

// upstreams holds the connections to all runners.
type upstreams struct {
	mu     sync.Mutex
	byAddr map[string]*upstream
	// connLimit is the maximum number of connections from this entry to each runner.
	connLimit atomic.Int64
}

func newUpstreams() *upstreams {
	s := &upstreams{byAddr: map[string]*upstream{}}
	s.connLimit.Store(1)
	return s
}

// setEntries divides the connections of a runner evenly between n entries, so that the
// entries need no coordination.
func (s *upstreams) setEntries(n int) { s.connLimit.Store(int64(max(1, connsPerRunner/max(1, n)))) }

// retain drops the runners whose address is not in addrs, and closes their idle connections.
func (s *upstreams) retain(addrs map[string]bool) {
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
		u = newUpstream(&s.connLimit)
		s.byAddr[addr] = u
	}
	return u
}

// upstream holds the connections to one runner. Each runner has its own transport, so that
// its idle connections can be closed without those to other runners.
type upstream struct {
	transport *http.Transport
	connLimit *atomic.Int64
	openConns atomic.Int64
	lastHeard atomic.Int64
}

func newUpstream(connLimit *atomic.Int64) *upstream {
	u := &upstream{connLimit: connLimit}
	u.transport = &http.Transport{DialContext: u.dial, DisableCompression: true,
		MaxIdleConnsPerHost: slotsPerRunner, IdleConnTimeout: runnerIdleTimeout}
	return u
}

func (u *upstream) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if u.openConns.Add(1) > u.connLimit.Load() {
		u.openConns.Add(-1)
		return nil, errNoConnection
	}
	d := net.Dialer{Timeout: runnerDialTimeout}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		u.openConns.Add(-1)
		return nil, err
	}
	u.lastHeard.Store(int64(daemon.Clock()))
	return &upstreamConn{Conn: conn, upstream: u}, nil
}

// heardRecently reports whether the runner was heard from within recentlyHeardAge.
func (u *upstream) heardRecently() bool {
	return daemon.Clock()-time.Duration(u.lastHeard.Load()) <= recentlyHeardAge
}

// closeSilent closes a silent connection and all idle ones to the same runner. What made the
// one silent, such as a device on the way that lost its state, has most likely silenced the
// others too, and each would cost another caller an attempt. The next request dials a new
// connection.
func (u *upstream) closeSilent(c *upstreamConn) {
	c.silent.Store(true)
	_ = c.Close()
	u.transport.CloseIdleConnections()
}

// upstreamConn is one connection to a runner. It records whether any byte of the current
// request may have been written, and it can be sealed against further writes.
type upstreamConn struct {
	net.Conn
	upstream *upstream
	silent   atomic.Bool
	closed   atomic.Bool

	mu           sync.Mutex
	deadline     time.Duration
	writeStarted bool
	sealed       bool
}

// assign assigns the connection to a request, which may be written until the deadline.
func (c *upstreamConn) assign(deadline time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.writeStarted = deadline, false
}

// seal rejects all further writes. It reports whether any byte of the request may have
// been written: "not run" is answered only if none was, and none can follow.
func (c *upstreamConn) seal() (writeStarted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writeStarted
}

func (c *upstreamConn) startWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A process that was paused here may resume hours later, when its request has
	// been answered and its claim has expired.
	if c.sealed || daemon.Clock() >= c.deadline {
		c.sealed = true
		return false
	}
	c.writeStarted = true
	return true
}

// Write implements net.Conn.
func (c *upstreamConn) Write(b []byte) (int, error) {
	if !c.startWrite() {
		return 0, errSealed
	}
	// A runner that reads nothing must not block the writer forever.
	if err := c.SetWriteDeadline(time.Now().Add(runnerStallTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *upstreamConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.upstream.lastHeard.Store(int64(daemon.Clock()))
	}
	return n, err
}

// Close implements net.Conn.
func (c *upstreamConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if c.silent.Load() {
		time.AfterFunc(silentConnHold, func() { c.upstream.openConns.Add(-1) })
	} else {
		c.upstream.openConns.Add(-1)
	}
	return c.Conn.Close()
}
