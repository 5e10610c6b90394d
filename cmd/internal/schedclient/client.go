// Package schedclient calls kw-sched over net/rpc.
package schedclient

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/membership"
)

// dialTimeout bounds connecting to a scheduler.
const dialTimeout = time.Second

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
	mu   sync.Mutex
	conn *rpc.Client
}

// New returns a client of the scheduler at addr.
func New(addr string) *Client { return &Client{addr: addr} }

// Addr is the scheduler's address.
func (c *Client) Addr() string { return c.addr }

// Close drops the connection.
func (c *Client) Close() { c.drop(nil) }

// Ask puts a question. After ErrNotSent the question was not asked; after any
// other error it may have been.
func (c *Client) Ask(q api.Question, timeout time.Duration) (api.Answer, error) {
	var a api.Answer
	err := c.call("Ask", api.Ask{Question: q}, &a, timeout)
	if err != nil {
		// A late reply may still be decoded into the variable.
		return api.Answer{}, err
	}
	return a, nil
}

// Deliver sends an envelope.
func (c *Client) Deliver(e api.Envelope, timeout time.Duration) error {
	return c.call("Deliver", e, &api.Ack{}, timeout)
}

// Watch returns the cell's state.
func (c *Client) Watch(since uint64, timeout time.Duration) (api.State, error) {
	var st api.State
	err := c.call("Watch", api.Watch{Since: since}, &st, timeout)
	if err != nil {
		// A late reply may still be decoded into the variable.
		return api.State{}, err
	}
	return st, nil
}

// Dump returns the scheduler's state in JSON.
func (c *Client) Dump(timeout time.Duration) ([]byte, error) {
	var d api.DumpReply
	err := c.call("Dump", api.DumpArgs{}, &d, timeout)
	if err != nil {
		return nil, err
	}
	return d.JSON, nil
}

// Snapshot returns the scheduler's whole state, or only its offset.
func (c *Client) Snapshot(offsetOnly bool, timeout time.Duration) (api.SnapshotReply, error) {
	var r api.SnapshotReply
	if err := c.call("Snapshot", api.SnapshotArgs{OffsetOnly: offsetOnly}, &r, timeout); err != nil {
		// A late reply may still be decoded into the variable.
		return api.SnapshotReply{}, err
	}
	return r, nil
}

func (c *Client) call(method string, args, reply any, timeout time.Duration) error {
	conn, err := c.connect()
	if err != nil {
		return err
	}
	call := conn.Go(api.ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		var remote rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &remote) {
			c.drop(conn)
		}
		return errors.Wrapf(call.Error, "scheduler %s: %s", c.addr, method)
	case <-timer.C:
		// The connection may have gone silent for good: something between the
		// two ends has forgotten it. A new one may work at once.
		c.drop(conn)
		return errors.Errorf("scheduler %s: %s: no answer within %s", c.addr, method, timeout)
	}
}

func (c *Client) connect() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	conn, err := net.DialTimeout("tcp", c.addr, dialTimeout)
	if err != nil {
		return nil, errors.WithMessage(ErrNotSent, err.Error())
	}
	c.conn = rpc.NewClient(conn)
	return c.conn, nil
}

func (c *Client) drop(conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && (conn == nil || conn == c.conn) {
		_ = c.conn.Close()
		c.conn = nil
	}
}
