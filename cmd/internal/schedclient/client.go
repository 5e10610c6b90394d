// Package schedclient calls kw-sched over net/rpc.
package schedclient

import (
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/membership"
)

// Timeouts and intervals of a connection to a scheduler.
const (
	dialTimeout = 500 * time.Millisecond
	redialDelay = 100 * time.Millisecond
	// heartbeatInterval is the interval between heartbeats while calls wait.
	heartbeatInterval = 100 * time.Millisecond
	// heartbeatTimeout is the time limit for the answer to a heartbeat. It is
	// long, as the round trip to a scheduler takes milliseconds.
	heartbeatTimeout = 400 * time.Millisecond
)

// ErrNotSent means that the call was never sent.
var ErrNotSent = errors.New("could not connect to the scheduler")

// IsMember reports whether an owner is the given incarnation of a scheduler.
func IsMember(owner, id string, incarnation uint64) bool {
	return owner == membership.Member(id, incarnation)
}

// Client calls one scheduler. It connects on first use, and again after a call has
// failed. It is safe for concurrent use.
type Client struct {
	addr string
	dial Dialer
	mu   sync.Mutex
	conn *connection
	// failedAt is when the last dial failed.
	failedAt time.Time
}

// New returns a client of the scheduler at addr that connects without TLS.
func New(addr string) *Client { return NewWith(addr, Plain) }

// NewWith returns a client of the scheduler at addr that connects with dial.
func NewWith(addr string, dial Dialer) *Client { return &Client{addr: addr, dial: dial} }

// Addr returns the scheduler's address.
func (c *Client) Addr() string { return c.addr }

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(c.conn)
}

// Ask sends a request and returns its answer. After ErrNotSent the request was not sent;
// after any other error it may have been.
func (c *Client) Ask(q api.Question, timeout time.Duration) (api.Answer, error) {
	return c.ask(q, timeout, failOnSilence)
}

// Change sends a request that must not be repeated, such as a change. While the scheduler
// is silent it keeps waiting for the answer until the timeout, and it fails earlier only if
// just this connection has gone silent. Its errors are those of Ask.
func (c *Client) Change(q api.Question, timeout time.Duration) (api.Answer, error) {
	return c.ask(q, timeout, waitThroughSilence)
}

func (c *Client) ask(q api.Question, timeout time.Duration, p silencePolicy) (api.Answer, error) {
	var a api.Answer
	err := c.call("Ask", api.Ask{Question: q}, &a, timeout, p)
	if err != nil {
		// A late reply may still be decoded into the variable.
		return api.Answer{}, err
	}
	return a, nil
}

// silencePolicy determines what a call does while its scheduler answers no heartbeat on any
// connection.
type silencePolicy int

const (
	failOnSilence      silencePolicy = iota // the call fails, so that another scheduler can be used
	waitThroughSilence                      // the call keeps waiting
)

// errSilent means that the scheduler answered no heartbeat on any connection.
var errSilent = errors.Errorf("no heartbeat was answered for %v", heartbeatTimeout)

// Deliver sends an envelope to the scheduler.
func (c *Client) Deliver(e api.Envelope, timeout time.Duration) error {
	return c.call("Deliver", e, &api.Ack{}, timeout, failOnSilence)
}

// Watch returns the cell's state. If its version is still since, only the version, the
// scheduler, the offset and LogDown are set.
func (c *Client) Watch(since uint64, timeout time.Duration) (api.State, error) {
	var st api.State
	err := c.call("Watch", api.Watch{Since: since}, &st, timeout, failOnSilence)
	if err != nil {
		// A late reply may still be decoded into the variable.
		return api.State{}, err
	}
	return st, nil
}

// Dump returns the scheduler's state in JSON.
func (c *Client) Dump(timeout time.Duration) ([]byte, error) {
	var d api.DumpReply
	err := c.call("Dump", api.DumpArgs{}, &d, timeout, failOnSilence)
	if err != nil {
		return nil, err
	}
	return d.JSON, nil
}

// Snapshot returns the scheduler's full state, or only its offset.
func (c *Client) Snapshot(offsetOnly bool, timeout time.Duration) (api.SnapshotReply, error) {
	var r api.SnapshotReply
	if err := c.call("Snapshot", api.SnapshotArgs{OffsetOnly: offsetOnly}, &r, timeout, failOnSilence); err != nil {
		// A late reply may still be decoded into the variable.
		return api.SnapshotReply{}, err
	}
	return r, nil
}

func (c *Client) call(method string, args, reply any, timeout time.Duration, p silencePolicy) error {
	conn, err := c.connect()
	if err != nil {
		return err
	}
	conn.pending.Add(1)
	defer conn.pending.Add(-1)
	// rpc.Client.Go blocks while another call is being written, which a silent
	// peer can delay, so the timer has to be started before it is called.
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	done := make(chan *rpc.Call, 1)
	go conn.rpc.Go(api.ServiceName+"."+method, args, reply, done)
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	startedAt := time.Now().UnixNano()
	for {
		select {
		case call := <-done:
			var remote rpc.ServerError
			if call.Error != nil && !errors.As(call.Error, &remote) {
				c.drop(conn)
			}
			return errors.Wrapf(call.Error, "scheduler %s: %s", c.addr, method)
		case <-heartbeats.C:
			if p == failOnSilence && conn.silentAt.Load() > startedAt {
				return errors.Wrapf(errSilent, "scheduler %s: %s", c.addr, method)
			}
			go c.heartbeat(conn)
		case <-timer.C:
			return errors.Errorf("scheduler %s: %s: no answer within %s", c.addr, method, timeout)
		}
	}
}

// connection is one connection to a scheduler.
type connection struct {
	conn            *Conn
	rpc             *rpc.Client
	pending         atomic.Int64
	heartbeatActive atomic.Bool
	// silentAt is when the scheduler was last found silent, in nanoseconds since 1970, or 0.
	silentAt atomic.Int64
	lastUsed time.Time
}

// connect returns the current connection, or a new one if there is no usable one.
func (c *Client) connect() (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if current := c.conn; current != nil {
		stale := current.pending.Load() == 0 && now.Sub(current.lastUsed) > maxReuseIdle
		if !stale && !current.conn.broken.Load() {
			current.lastUsed = now
			return current, nil
		}
		c.closeLocked(current)
	}
	// Callers dial one at a time, under the lock, and not again within redialDelay of
	// a failure. If each dialled a silent instance in turn, the last one would wait for
	// the timeouts of all.
	if now.Sub(c.failedAt) < redialDelay {
		return nil, errors.WithMessage(ErrNotSent, "the last attempt has just failed")
	}
	conn, err := c.dial(c.addr, dialTimeout)
	if err != nil {
		c.failedAt = time.Now()
		return nil, errors.WithMessage(ErrNotSent, err.Error())
	}
	wrapped := &Conn{Conn: conn}
	created := &connection{conn: wrapped, rpc: rpc.NewClient(wrapped), lastUsed: now}
	c.conn = created
	return created, nil
}

// heartbeat checks a connection on which a call waits. A connection can go silent forever
// while new ones work, if a device on the way has lost its state. A call on such a
// connection would wait for its full timeout, and so would all later ones. The rpc server
// itself answers heartbeats, however long a request takes, so a late answer means that the
// connection or the process is silent. If a new connection works, the old one is at fault,
// and all calls that wait on it fail at once. If none works, the calls that can be sent to
// another scheduler fail (failOnSilence).
func (c *Client) heartbeat(conn *connection) {
	if !conn.heartbeatActive.CompareAndSwap(false, true) {
		return
	}
	defer conn.heartbeatActive.Store(false)
	switch ping(conn.rpc) {
	case pingAnswered:
	case pingFailed:
		c.drop(conn)
	case pingLate:
		switch {
		case !c.answersNewConnection():
			conn.silentAt.Store(time.Now().UnixNano())
		case ping(conn.rpc) != pingAnswered: // the scheduler may have resumed in the meantime
			c.drop(conn)
		}
	}
}

// answersNewConnection reports whether the scheduler answers on a new connection.
func (c *Client) answersNewConnection() bool {
	conn, err := c.dial(c.addr, heartbeatTimeout)
	if err != nil {
		return false
	}
	client := rpc.NewClient(conn)
	defer func() {
		_ = conn.Close() // first: rpc.Client.Close waits for a write in progress
		_ = client.Close()
	}()
	return ping(client) == pingAnswered
}

// pingOutcome is the result of a heartbeat.
type pingOutcome int

const (
	pingAnswered pingOutcome = iota
	pingFailed               // the connection is broken
	pingLate
)

// ping sends a heartbeat and waits for its answer.
func ping(client *rpc.Client) pingOutcome {
	timer := time.NewTimer(heartbeatTimeout)
	defer timer.Stop()
	done := make(chan *rpc.Call, 1)
	go client.Go(api.ServiceName+".Ping", api.PingArgs{}, &api.Ack{}, done)
	select {
	case call := <-done:
		if call.Error != nil {
			return pingFailed
		}
		return pingAnswered
	case <-timer.C:
		return pingLate
	}
}

func (c *Client) drop(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(conn)
}

func (c *Client) closeLocked(conn *connection) {
	if conn == nil || c.conn != conn {
		return
	}
	// The socket is closed first: rpc.Client.Close waits for a write in progress.
	_ = conn.conn.Close()
	c.conn = nil
	go conn.rpc.Close()
}
