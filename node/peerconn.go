package node

import (
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// peerConn is the connection to one peer.
type peerConn struct {
	dialToken  chan struct{} // holds a token while a caller dials
	mu         sync.Mutex
	client     *rpc.Client
	redialAt   time.Duration // no dial before this time
	lastAnswer time.Duration // when the newest response arrived
	now        func() time.Duration
	dial       Dialer
}

func (p *peerConn) blockedUntil() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.redialAt
}

// connect returns the connection, or dials a new one. One caller dials at a time.
func (p *peerConn) connect(addr string) (*rpc.Client, error) {
	p.dialToken <- struct{}{}
	defer func() { <-p.dialToken }()
	if client, err := p.current(); client != nil || err != nil {
		return client, err
	}
	conn, err := p.dial(addr, peerDialTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.redialAt = p.now() + redialPause
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, errConnRefused
		}
		return nil, errors.Wrap(errPeerUnreachable, err.Error())
	}
	p.client = rpc.NewClient(conn)
	return p.client, nil
}

func (p *peerConn) current() (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == nil && p.now() < p.redialAt {
		return nil, errPeerUnreachable
	}
	return p.client, nil
}

func (p *peerConn) markAnswered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswer = p.now()
}

// dropIfSilent drops a connection on which no response at all has arrived since a call was sent. If
// other calls were answered, only this call is slow.
func (p *peerConn) dropIfSilent(c *rpc.Client, sent time.Duration) {
	p.mu.Lock()
	silent := p.lastAnswer < sent
	p.mu.Unlock()
	if silent {
		p.drop(c)
	}
}

// drop closes and forgets a connection: it may be dead while a new one would work.
func (p *peerConn) drop(c *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == c {
		p.client = nil
	}
	_ = c.Close() // pending calls fail with rpc.ErrShutdown
}
