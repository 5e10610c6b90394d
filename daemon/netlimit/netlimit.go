// Package netlimit bounds what the clients of an HTTP server may take of the process: connections, and so
// descriptors, the size of a head, and the memory and the time of unfinished requests. Beyond a bound of all
// connections together, the one that has been idle or unfinished for longest gives way, so that clients whose
// requests end are served beside clients whose requests don't.
package netlimit

import (
	"cmp"
	"container/list"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Reasons why a connection is closed, as values of the tag "reason" of the counter "closed_connections".
const (
	tooManyConns = "too_many_connections"
	headTooLarge = "head_too_large"
	tooSlow      = "too_slow"
	tooManyBytes = "too_many_unfinished_bytes"
)

const (
	// readAhead is how many bytes beyond a head the server may have read with it.
	readAhead = 4096
	// sweepInterval is the interval at which connections beyond their time are closed.
	sweepInterval = 250 * time.Millisecond
	// defaultBodyTimeout and defaultWriteTimeout apply if Times names none.
	defaultBodyTimeout  = 10 * time.Second
	defaultWriteTimeout = 10 * time.Second
	// headMemoryFactor is how much memory a byte of a head takes at most, as the server parses it into fields.
	headMemoryFactor = 16
	// maxHeadBytes bounds MaxHeadBytes. The server's own bound is higher, as it can't change while it runs.
	maxHeadBytes = 1 << 30
)

// headTooLargeResponse is sent before the server has read the head.
const headTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

var errHeadTooLarge = errors.New("the head of a request is too large")

// Bounds are the bounds of a Limiter.
type Bounds struct {
	// MaxConns is the number of connections that are open at a time; 0: not bounded.
	MaxConns int
	// MaxUnfinishedBytes is the memory in bytes that the heads and bodies of all unfinished requests may take
	// together; 0: not bounded. A single request may take more.
	MaxUnfinishedBytes int64
	// MaxHeadBytes returns the size in bytes up to which a request's head is served; it may change at any
	// time. A head that is larger by up to 4,096 bytes may be served, too. nil: the server's own bound applies.
	MaxHeadBytes func() int64
	// Log receives a line when a bound closes connections, at most one each 10 s for each reason. Idle connections beyond their
	// time are closed without one.
	Log zerolog.Logger
	// Times returns the times that apply; they may change at any time. nil: the server's own apply, and
	// bodies and responses have no time.
	Times func() Times
}

// Times bound how long a connection waits for its client.
type Times struct {
	Head time.Duration // from the first byte of a request to the end of its head
	Idle time.Duration // until the first byte of a request
	// Body is how long a client may send nothing of an unfinished body; 0: 10 s.
	Body time.Duration
	// Write is how long a client may take to read what fits into one write; 0: 10 s.
	Write time.Duration
}

// Limiter bounds the connections of one HTTP server. Its listener and its server have to be used together.
type Limiter struct {
	bounds  Bounds
	metrics tally.Scope

	mu sync.Mutex
	// open is the number of connections.
	open int
	// unfinishedBytes is the memory of the unfinished requests.
	unfinishedBytes int64
	// waiting holds the connections that wait for their client, the one that waits for longest first. A
	// connection whose request is being handled isn't among them.
	waiting *list.List
	reports Reports
}

// New returns a Limiter. It counts what it closes in metrics.
func New(bounds Bounds, metrics tally.Scope) *Limiter {
	return &Limiter{bounds: bounds, metrics: metrics, waiting: list.New(), reports: Reports{Log: bounds.Log}}
}

// state is what a connection waits for.
type state int

const (
	idle     state = iota // the first byte of a request
	inHead                // the rest of a head
	inBody                // the rest of a body
	handling              // the handler
	writing               // a client that reads its response
	closed
)

// connKey is the key of the connection in a request's context.
type connKey struct{}

// Server prepares a server whose connections come from Listen of the same Limiter.
func (l *Limiter) Server(srv *http.Server) *http.Server {
	if l.bounds.MaxHeadBytes != nil {
		srv.MaxHeaderBytes = maxHeadBytes
	}
	next := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			r = c.beginRequest(r)
		}
		next.ServeHTTP(w, r)
	})
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, beneathTLS(c))
	}
	srv.ConnState = func(c net.Conn, s http.ConnState) {
		if limited, ok := beneathTLS(c).(*conn); ok && s == http.StateIdle {
			limited.setState(idle)
		}
	}
	return srv
}

// beneathTLS returns the connection that carries a TLS connection, or c itself.
func beneathTLS(c net.Conn) net.Conn {
	if secure, ok := c.(*tls.Conn); ok {
		return secure.NetConn()
	}
	return c
}

// Listen returns a listener whose connections are bounded. TLS goes on top of it.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	done := make(chan struct{})
	if l.bounds.Times != nil {
		go l.sweepUntil(done)
	}
	return &listener{Listener: inner, limiter: l, stop: sync.OnceFunc(func() { close(done) })}
}

type listener struct {
	net.Listener
	limiter *Limiter
	stop    func()
}

// Close ends the listener. The times don't apply any more to connections that are still open.
func (l *listener) Close() error {
	l.stop()
	return l.Listener.Close()
}

func (l *Limiter) sweepUntil(done <-chan struct{}) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.sweep()
		case <-done:
			return
		}
	}
}

// sweep closes the connections whose time is over.
func (l *Limiter) sweep() {
	times := l.bounds.Times()
	l.mu.Lock()
	defer l.mu.Unlock()
	var next *list.Element
	for e := l.waiting.Front(); e != nil; e = next {
		next = e.Next()
		if c := e.Value.(*conn); time.Since(c.since) > c.maxWait(times) {
			l.evict(c, tooSlow, c.maxWait(times).Milliseconds())
		}
	}
}

// Accept returns the next connection. It closes another one if there are too many.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.add(inner); c != nil {
			return c, nil
		}
		_ = inner.Close() // all others are being handled
	}
}

// add returns nil if there is no room for a connection.
func (l *Limiter) add(inner net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.bounds.MaxConns > 0 && l.open >= l.bounds.MaxConns {
		oldest := l.waiting.Front()
		if oldest == nil {
			l.count(tooManyConns)
			l.reports.Add(tooManyConns, int64(l.bounds.MaxConns), inner.RemoteAddr())
			return nil
		}
		l.evict(oldest.Value.(*conn), tooManyConns, int64(l.bounds.MaxConns))
	}
	c := &conn{Conn: inner, limiter: l, state: handling}
	l.open++
	l.metrics.Gauge("connections").Update(float64(l.open))
	c.enter(idle)
	return c
}

func (l *Limiter) count(reason string) {
	l.metrics.Tagged(map[string]string{"reason": reason}).Counter("closed_connections").Inc(1)
}

// evict closes a connection to keep a bound. The caller holds the lock.
func (l *Limiter) evict(c *conn, reason string, limit int64) {
	l.count(reason)
	if reason != tooSlow || c.state != idle {
		l.reports.Add(reason, limit, c.RemoteAddr())
	}
	c.enter(closed)
	_ = c.Conn.Close() // the server sees the error
}

// reclaim closes connections with unfinished requests, except one, while these take too much. The caller
// holds the lock.
func (l *Limiter) reclaim(except *conn) {
	var next *list.Element
	for e := l.waiting.Front(); e != nil && l.bounds.MaxUnfinishedBytes > 0 && l.unfinishedBytes > l.bounds.MaxUnfinishedBytes; e = next {
		next = e.Next()
		if c := e.Value.(*conn); c != except && c.held > 0 {
			l.evict(c, tooManyBytes, l.bounds.MaxUnfinishedBytes)
		}
	}
}

// conn is a connection of a Limiter's listener. The limiter's lock guards its fields.
type conn struct {
	net.Conn
	limiter *Limiter

	state state
	// since is when the connection began to wait, or a part of a body last arrived.
	since time.Time
	head  int64         // bytes of the head that have arrived
	held  int64         // the part of limiter.unfinishedBytes
	place *list.Element // in limiter.waiting; nil: not there
}

// enter changes the state. The caller holds the lock.
func (c *conn) enter(s state) {
	if c.state == closed {
		return
	}
	c.state = s
	l := c.limiter
	if s == inBody && c.place != nil {
		return
	}
	l.unfinishedBytes -= c.held
	c.held = 0
	if c.place != nil {
		l.waiting.Remove(c.place)
		c.place = nil
	}
	switch s {
	case idle, inHead, inBody, writing:
		if s == idle {
			c.head = 0
		}
		c.since = time.Now()
		c.place = l.waiting.PushBack(c)
	case closed:
		l.open--
		l.metrics.Gauge("connections").Update(float64(l.open))
	case handling:
	}
}

// maxWait returns how long the connection may wait in its state. The caller holds the lock.
func (c *conn) maxWait(times Times) time.Duration {
	switch c.state {
	case idle:
		return times.Idle
	case inHead:
		return times.Head
	case inBody:
		return cmp.Or(times.Body, defaultBodyTimeout)
	default:
		return cmp.Or(times.Write, defaultWriteTimeout)
	}
}

func (c *conn) setState(s state) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.enter(s)
}

// beginRequest is called when a request's head has been read, and returns the request for the handler. The server's own
// is left as it is: the server looks at its body to tell what it has to read or to answer before the next request.
func (c *conn) beginRequest(r *http.Request) *http.Request {
	if r.Body == nil || r.Body == http.NoBody {
		c.setState(handling)
		return r
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.state == idle { // the whole head arrived with an earlier request
		c.enter(inHead)
	}
	c.enter(inBody)
	c.since = time.Now()
	limited := *r
	limited.Body = &body{ReadCloser: r.Body, conn: c, left: r.ContentLength}
	return &limited
}

// Read counts what arrives for the request that the connection waits for.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.received(n) {
		_, _ = io.WriteString(c.Conn, headTooLargeResponse)                  // the connection is closed anyway
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeadTooLarge} // which the server doesn't answer
	}
	return n, err
}

// received returns false if the head of a request is too large.
func (c *conn) received(n int) bool {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	switch c.state {
	case idle:
		c.enter(inHead)
	case inBody:
		c.since = time.Now()
		c.hold(int64(n))
	}
	if c.state != inHead {
		return true
	}
	c.hold(int64(n) * headMemoryFactor)
	c.head += int64(n)
	if l.bounds.MaxHeadBytes == nil || c.head <= min(l.bounds.MaxHeadBytes(), maxHeadBytes)+readAhead {
		return true
	}
	l.count(headTooLarge)
	l.reports.Add(headTooLarge, l.bounds.MaxHeadBytes(), c.RemoteAddr())
	return false
}

// hold counts memory of the unfinished request. The caller holds the lock.
func (c *conn) hold(bytes int64) {
	c.held += bytes
	c.limiter.unfinishedBytes += bytes
	c.limiter.reclaim(c)
}

// Write lets the connection give way while the client doesn't read. One whose body is unfinished may give way anyway, and its
// memory goes on counting.
func (c *conn) Write(b []byte) (int, error) {
	if before, entered := c.beginWrite(); entered {
		defer c.setState(before)
	}
	return c.Conn.Write(b)
}

// beginWrite returns the state before, and whether it has changed.
func (c *conn) beginWrite() (before state, entered bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if before = c.state; before == inBody {
		return before, false
	}
	c.enter(writing)
	return before, true
}

// Close ends the connection.
func (c *conn) Close() error {
	c.setState(closed)
	return c.Conn.Close()
}

// CloseWrite lets the server end a response before it closes the connection.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// body tells its connection when a request's body has arrived.
type body struct {
	io.ReadCloser
	conn *conn
	left int64 // bytes; negative: not known
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if err == io.EOF || b.left == 0 {
		b.conn.setState(handling)
	}
	return n, err
}
