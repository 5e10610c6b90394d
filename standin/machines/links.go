package machines

import (
	"net"
	"slices"
	"sync"
	"time"
)

// links are the cut links between instances. What is sent over one arrives when the cut ends, as with retransmissions.
type links struct {
	mu  sync.Mutex
	cut map[link]bool
	// changed is closed when a cut ends.
	changed chan struct{}
}

// link is one direction between two instances.
type link struct{ from, to string }

// CutLink cuts one direction between two instances, or ends the cut. No connection is set up over a link of which a
// direction is cut.
func (w *World) CutLink(from, to string, cut bool) {
	l := &w.links
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == nil {
		l.cut, l.changed = map[link]bool{}, make(chan struct{})
	}
	l.cut[link{from, to}] = cut
	if !cut {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// state reports whether a direction is cut, and returns a channel that is closed when a cut ends.
func (l *links) state(d link) (cut bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[d], l.changed
}

// DialFrom returns the dialer of an instance.
func (w *World) DialFrom(from string) func(addr string, timeout time.Duration) (net.Conn, error) {
	return func(addr string, timeout time.Duration) (net.Conn, error) {
		there, _ := w.links.state(link{from, addr})
		back, _ := w.links.state(link{addr, from})
		if there || back {
			time.Sleep(timeout)
			return nil, timeoutError("dial " + addr + ": timeout")
		}
		c, err := w.dial(addr, timeout, func(c net.Conn) net.Conn { return newLinkConn(c, &w.links, link{from, addr}) })
		if err != nil {
			return nil, err
		}
		return newLinkConn(c, &w.links, link{addr, from}), nil
	}
}

type timeoutError string

// Error implements error.
func (e timeoutError) Error() string { return string(e) }

// linkConn is one end of a connection over a link, with the direction from which it reads.
type linkConn struct {
	net.Conn
	links  *links
	reads  link
	closed chan struct{}
	once   sync.Once
	// received holds what has arrived once a cut has been met, so that writers go on as with the buffers of a real
	// connection; nil: Read reads from the connection itself.
	received *buffer
}

func newLinkConn(c net.Conn, l *links, reads link) *linkConn {
	return &linkConn{Conn: c, links: l, reads: reads, closed: make(chan struct{})}
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	if c.received == nil {
		n, err := c.Conn.Read(b)
		if cut, _ := c.links.state(c.reads); !cut || n == 0 {
			return n, err
		}
		c.received = &buffer{data: slices.Clone(b[:n]), more: make(chan struct{}, 1)}
		go c.receive()
	}
	for {
		cut, changed := c.links.state(c.reads)
		if !cut {
			if n, err := c.received.take(b); n > 0 || err != nil {
				return n, err
			}
		}
		select {
		case <-changed:
		case <-c.received.more:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// receive reads into the buffer until the connection ends.
func (c *linkConn) receive() {
	b := make([]byte, 4096)
	for {
		n, err := c.Conn.Read(b)
		c.received.add(b[:n], err)
		if err != nil {
			return
		}
	}
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// buffer holds received data.
type buffer struct {
	mu   sync.Mutex
	data []byte
	err  error         // after the data
	more chan struct{} // holds a token after data or an error were added
}

func (r *buffer) add(b []byte, err error) {
	r.mu.Lock()
	r.data, r.err = append(r.data, b...), err
	r.mu.Unlock()
	select {
	case r.more <- struct{}{}:
	default:
	}
}

func (r *buffer) take(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := copy(b, r.data)
	r.data = r.data[n:]
	if n == 0 {
		return 0, r.err
	}
	return n, nil
}
