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

// Timing of a connection to a scheduler.
const (
	dialTimeout = 500 * time.Millisecond
	redialAfter = 100 * time.Millisecond
	// heartbeatEvery is the pause between two heartbeats while calls wait.
	heartbeatEvery = 100 * time.Millisecond
	// heartbeatTimeout is how late a heartbeat's answer may be. Schedulers
	// are in reach within milliseconds, so this is a long pause.
	heartbeatTimeout = 400 * time.Millisecond
)

// ErrNotSent means that the call never left this process.
var ErrNotSent = errors.New("could not connect to the scheduler")

// IsMember reports whether an owner is the given life of a scheduler.
func IsMember(owner, id string, incarnation uint64) bool {
	return owner == membership.Member(id, incarnation)
}

// Client calls one scheduler. It connects when it is first used, and again
// after a call has failed. It is safe for use by many goroutines.
type Client struct {
	addr string
	dial Dialer
	mu   sync.Mutex
	link *link
	// failedAt is when the last dial failed.
	failedAt time.Time
}

// New returns a client of the scheduler at addr, which it reaches in clear.
func New(addr string) *Client { return NewWith(addr, Plain) }

// NewWith returns a client of the scheduler at addr that connects with dial.
func NewWith(addr string, dial Dialer) *Client { return &Client{addr: addr, dial: dial} }

// Addr is the scheduler's address.
func (c *Client) Addr() string { return c.addr }

// Close drops the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLocked(c.link)
}

// Ask puts a question. After ErrNotSent the question was not asked; after any
// other error it may have been.
func (c *Client) Ask(q api.Question, timeout time.Duration) (api.Answer, error) {
	return c.ask(q, timeout, untilSilent)
}

// Change puts a question that can't be put again, such as a change. While the scheduler is
// silent it waits on for the answer, and ends sooner only if the connection has gone silent.
// Errors are those of Ask.
func (c *Client) Change(q api.Question, timeout time.Duration) (api.Answer, error) {
	return c.ask(q, timeout, throughSilence)
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

// silencePolicy says what a call does while its scheduler answers no heartbeat, on no connection.
type silencePolicy int

const (
	untilSilent    silencePolicy = iota // it ends, so that another scheduler can be asked
	throughSilence                      // it waits on
)

// errSilent means that the scheduler answered no heartbeat, on no connection.
var errSilent = errors.Errorf("no heartbeat was answered for %v", heartbeatTimeout)

// Deliver sends an envelope.
func (c *Client) Deliver(e api.Envelope, timeout time.Duration) error {
	return c.call("Deliver", e, &api.Ack{}, timeout, untilSilent)
}

// Watch returns the cell's state.
func (c *Client) Watch(since uint64, timeout time.Duration) (api.State, error) {
	var st api.State
	err := c.call("Watch", api.Watch{Since: since}, &st, timeout, untilSilent)
	if err != nil {
		// A late reply may still be decoded into the variable.
		return api.State{}, err
	}
	return st, nil
}

// Dump returns the scheduler's state in JSON.
func (c *Client) Dump(timeout time.Duration) ([]byte, error) {
	var d api.DumpReply
	err := c.call("Dump", api.DumpArgs{}, &d, timeout, untilSilent)
	if err != nil {
		return nil, err
	}
	return d.JSON, nil
}

// Snapshot returns the scheduler's whole state, or only its offset.
func (c *Client) Snapshot(offsetOnly bool, timeout time.Duration) (api.SnapshotReply, error) {
	var r api.SnapshotReply
	if err := c.call("Snapshot", api.SnapshotArgs{OffsetOnly: offsetOnly}, &r, timeout, untilSilent); err != nil {
		// A late reply may still be decoded into the variable.
		return api.SnapshotReply{}, err
	}
	return r, nil
}

func (c *Client) call(method string, args, reply any, timeout time.Duration, p silencePolicy) error {
	l, err := c.connect()
	if err != nil {
		return err
	}
	l.pending.Add(1)
	defer l.pending.Add(-1)
	// Go blocks while another call is being written, which a silent peer can
	// hold up; the timer has to run by then.
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	done := make(chan *rpc.Call, 1)
	go l.rpc.Go(api.ServiceName+"."+method, args, reply, done)
	slow := time.NewTicker(heartbeatEvery)
	defer slow.Stop()
	began := time.Now().UnixNano()
	for {
		select {
		case call := <-done:
			var remote rpc.ServerError
			if call.Error != nil && !errors.As(call.Error, &remote) {
				c.drop(l)
			}
			return errors.Wrapf(call.Error, "scheduler %s: %s", c.addr, method)
		case <-slow.C:
			if p == untilSilent && l.silentAt.Load() > began {
				return errors.Wrapf(errSilent, "scheduler %s: %s", c.addr, method)
			}
			go c.heartbeat(l)
		case <-timer.C:
			return errors.Errorf("scheduler %s: %s: no answer within %s", c.addr, method, timeout)
		}
	}
}

// link is one connection to a scheduler.
type link struct {
	conn     *Conn
	rpc      *rpc.Client
	pending  atomic.Int64
	checking atomic.Bool
	// silentAt is when the scheduler was last found to be silent, in nanoseconds since 1970; 0:
	// never.
	silentAt atomic.Int64
	used     time.Time
}

// connect returns the connection, a new one if there is none that may be used.
func (c *Client) connect() (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if l := c.link; l != nil {
		stale := l.pending.Load() == 0 && now.Sub(l.used) > reuseLimit
		if !stale && !l.conn.broken.Load() {
			l.used = now
			return l, nil
		}
		c.dropLocked(l)
	}
	// Callers take turns here. Were each to wait for its own dial to a silent
	// instance, the last of them would wait for all.
	if now.Sub(c.failedAt) < redialAfter {
		return nil, errors.WithMessage(ErrNotSent, "the last attempt has just failed")
	}
	conn, err := c.dial(c.addr, dialTimeout)
	if err != nil {
		c.failedAt = time.Now()
		return nil, errors.WithMessage(ErrNotSent, err.Error())
	}
	wrapped := &Conn{Conn: conn}
	l := &link{conn: wrapped, rpc: rpc.NewClient(wrapped), used: now}
	c.link = l
	return l, nil
}

// heartbeat checks a connection on which a call waits. Connections can go silent
// for good while new ones work: something between the two ends has lost track
// of them. A call on such a one would wait for its whole timeout, and so would
// all that follow. The heartbeat is answered by the rpc server itself, however
// long a question takes, so a late one means that the connection or the
// process is silent. If a new connection works it is the former, and every waiting call
// ends at once. If none does, the calls that another scheduler can take end.
func (c *Client) heartbeat(l *link) {
	if !l.checking.CompareAndSwap(false, true) {
		return
	}
	defer l.checking.Store(false)
	switch ping(l.rpc) {
	case pingAnswered:
	case pingFailed:
		c.drop(l)
	case pingLate:
		switch {
		case !c.answersNewConnection():
			l.silentAt.Store(time.Now().UnixNano())
		case ping(l.rpc) != pingAnswered: // the scheduler may have gone on just now
			c.drop(l)
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

// pingOutcome is what became of a heartbeat.
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

func (c *Client) drop(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLocked(l)
}

func (c *Client) dropLocked(l *link) {
	if l == nil || c.link != l {
		return
	}
	// The socket goes first: rpc.Client.Close waits for a write in progress.
	_ = l.conn.Close()
	c.link = nil
	go l.rpc.Close()
}
