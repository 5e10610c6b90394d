package sched

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/cmd/internal/schedclient"
	"github.com/knapweedweir/knapweedweir/control"
	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/logstream"
)

// answerTimeout bounds a question whose answer never comes, for example because
// the scheduler is stopping.
const answerTimeout = 10 * time.Second

// peerForgotten is how long a peer is still reported as unreachable after the
// last envelope to it; live peers get a heartbeat every few hundred milliseconds.
const peerForgotten = 10 * time.Second

// service is what net/rpc exposes.
type service struct{ s *Scheduler }

// Ask puts a question to the control core.
func (v service) Ask(args api.Ask, reply *api.Answer) error {
	v.s.countQuestion(args.Question)
	req := askRequest{question: args.Question, reply: make(chan api.Answer, 1)}
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	select {
	case v.s.events <- req:
	case <-v.s.done:
		*reply = api.Answer{Code: api.Unavailable, Message: "the scheduler is stopping", RetryAfter: time.Second}
		return nil
	}
	select {
	case *reply = <-req.reply:
	case <-v.s.done:
		*reply = api.Answer{Code: api.InDoubt, Message: "the scheduler stopped before the log confirmed"}
	case <-timeout.C:
		*reply = api.Answer{Code: api.InDoubt, Message: "the scheduler did not answer in time"}
	}
	return nil
}

// Deliver takes in what another scheduler sends.
func (v service) Deliver(args api.Envelope, _ *api.Ack) error {
	select {
	case v.s.events <- control.Delivered{Envelope: args}:
		return nil
	case <-v.s.done:
		return errors.New("stopping")
	}
}

// Ping answers the heartbeat of a connection.
func (v service) Ping(_ api.PingArgs, _ *api.Ack) error { return nil }

// Watch returns the cell's state if it is newer than the given version.
func (v service) Watch(args api.Watch, reply *api.State) error {
	st := v.s.state.Load()
	if st.Version == args.Since {
		*reply = api.State{Version: st.Version, Scheduler: st.Scheduler, Offset: st.Offset, LogDown: st.LogDown}
		return nil
	}
	*reply = *st
	return nil
}

// Dump returns the scheduler's state for people.
func (v service) Dump(_ api.DumpArgs, reply *api.DumpReply) error {
	var err error
	reply.JSON, err = v.s.process.DumpJSON()
	return err
}

// Snapshot returns the scheduler's whole state, for a peer that starts while
// the log is down.
func (v service) Snapshot(args api.SnapshotArgs, reply *api.SnapshotReply) error {
	if args.OffsetOnly {
		st := v.s.state.Load()
		if !st.Ready {
			return errors.New("no state read from the log yet")
		}
		reply.Offset = st.Offset
		return nil
	}
	req := snapshotRequest{reply: make(chan snapshotResult, 1)}
	select {
	case v.s.events <- req:
	case <-v.s.done:
		return errors.New("stopping")
	}
	select {
	case r := <-req.reply:
		if !r.ok {
			return errors.New("no state read from the log yet")
		}
		data, err := logstream.EncodeSnapshot(r.snapshot)
		reply.Offset, reply.Data = r.snapshot.Offset, data
		return err
	case <-v.s.done:
		return errors.New("stopping")
	}
}

// serveRPC accepts connections until the process ends.
func (s *Scheduler) serveRPC(l net.Listener) {
	s.process.Add(func() error { s.acceptPeers(l); return nil }, func(error) { _ = l.Close() })
}

// acceptPeers serves connections until the listener is closed, and then closes
// those that are open.
func (s *Scheduler) acceptPeers(l net.Listener) {
	server := rpc.NewServer()
	if err := server.RegisterName(api.ServiceName, service{s}); err != nil {
		panic(err) // the methods above have the wrong form
	}
	refused := s.process.Metrics.Counter("peer_connections_refused")
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for conn := range open {
			_ = conn.Close()
		}
	}()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		mu.Lock()
		open[conn] = true
		mu.Unlock()
		go func() {
			if known(conn) {
				server.ServeConn(&schedclient.Conn{Conn: conn, Idle: schedclient.IdleTimeout})
			} else {
				refused.Inc(1)
				_ = conn.Close()
			}
			mu.Lock()
			delete(open, conn)
			mu.Unlock()
		}()
	}
}

// handshakeTimeout bounds the time until a peer has shown who it is. Without it
// an outsider could hold as many connections as it likes without a certificate.
const handshakeTimeout = 3 * time.Second

// known reports whether the other end has shown a peer's certificate, where the
// link uses TLS at all.
func known(conn net.Conn) bool {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	return secure.HandshakeContext(ctx) == nil
}

// peerLink sends envelopes to one scheduler, in order.
type peerLink struct {
	addr  string
	queue chan api.Envelope
	stop  context.CancelFunc
}

// link returns the link to a scheduler, a new one if its address has changed.
func (s *Scheduler) link(ctx context.Context, id, addr string) *peerLink {
	if l, ok := s.peers[id]; ok {
		if l.addr == addr {
			return l
		}
		l.stop()
	}
	linkCtx, cancel := context.WithCancel(ctx)
	l := &peerLink{addr: addr, queue: make(chan api.Envelope, peerQueue), stop: cancel}
	s.peers[id] = l
	go s.runLink(linkCtx, l)
	return l
}

func (l *peerLink) send(e api.Envelope) {
	select {
	case l.queue <- e:
	default:
		// The peer does not keep up. Messages are repeated by their senders.
	}
}

func (s *Scheduler) runLink(ctx context.Context, l *peerLink) {
	client := schedclient.NewWith(l.addr, s.dial)
	defer client.Close()
	defer s.process.SetCondition(daemon.ConditionPeerUnreachable, l.addr, false, "")
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.queue:
			err := client.Deliver(e, peerTimeout)
			s.process.SetCondition(daemon.ConditionPeerUnreachable, l.addr, err != nil, detail(err))
		case <-time.After(peerForgotten):
			// Nobody writes to a peer that has left the platform's list.
			s.process.SetCondition(daemon.ConditionPeerUnreachable, l.addr, false, "")
		}
	}
}

// detail is the text of an error, or nothing.
func detail(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
