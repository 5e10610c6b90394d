package schedclient

import (
	"net"
	"sync/atomic"
	"time"
)

// WriteTimeout limits one write to a connection between an entry and a scheduler or between
// two schedulers. With a silent peer the socket's buffer fills up, and a write without a
// deadline would block its goroutine, and all that wait for the same lock, forever.
const WriteTimeout = 2 * time.Second

// IdleTimeout is how long the server keeps a connection on which nothing is received. The
// peer may have disappeared without closing it, and each such connection uses memory.
const IdleTimeout = 30 * time.Second

// maxReuseIdle is the longest idle time after which a client still reuses a connection. It
// is well below IdleTimeout: otherwise a call could be sent while the server closes the
// connection, and would needlessly be in doubt.
const maxReuseIdle = 10 * time.Second

// Conn is a connection with a deadline on every write and, if Idle is set, on
// every read.
type Conn struct {
	net.Conn
	Idle   time.Duration
	broken atomic.Bool
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.Idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.Idle)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}
