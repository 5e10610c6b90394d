package node

import (
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// link is the connection to one peer.
type link struct {
	dialing  chan struct{} // holds a token while a caller dials
	mu       sync.Mutex
	client   *rpc.Client
	until    time.Duration // no dial before
	answered time.Duration // the newest answer
	now      func() time.Duration
	dial     Dialer
}

func (l *link) blockedUntil() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until
}

// connect returns the connection, or dials a new one. One caller dials at a time.
func (l *link) connect(addr string) (*rpc.Client, error) {
	l.dialing <- struct{}{}
	defer func() { <-l.dialing }()
	if client, err := l.current(); client != nil || err != nil {
		return client, err
	}
	conn, err := l.dial(addr, peerDialTimeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.until = l.now() + redialPause
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, errRefused
		}
		return nil, errors.Wrap(errNoPeer, err.Error())
	}
	l.client = rpc.NewClient(conn)
	return l.client, nil
}

func (l *link) current() (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == nil && l.now() < l.until {
		return nil, errNoPeer
	}
	return l.client, nil
}

func (l *link) heard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered = l.now()
}

// overdue condemns a connection that brought no answer at all since a call was
// sent. One that answers others is only slow at this call.
func (l *link) overdue(c *rpc.Client, sent time.Duration) {
	l.mu.Lock()
	silent := l.answered < sent
	l.mu.Unlock()
	if silent {
		l.condemn(c)
	}
}

// condemn drops a connection: it may have gone silent for good while a new one
// would work.
func (l *link) condemn(c *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == c {
		l.client = nil
	}
	_ = c.Close() // its callers get rpc.ErrShutdown, which says as much
}
