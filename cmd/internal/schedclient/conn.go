package schedclient

import (
	"net"
	"sync/atomic"
	"time"
)

// WriteTimeout bounds one write to a connection between our processes. A peer
// that went silent fills the socket's buffer, and a write without a deadline
// then blocks its goroutine, and all that wait for the same lock, for good.
const WriteTimeout = 2 * time.Second

// IdleTimeout is how long the server keeps a connection on which nothing comes
// in. Its peer may be gone without a sign, and each such connection holds memory.
const IdleTimeout = 30 * time.Second

// reuseLimit is the longest pause after which a client still uses a connection.
// It is well below IdleTimeout: otherwise a call and the server's close could
// cross, and the call would be in doubt for nothing.
const reuseLimit = 10 * time.Second

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
