package sched

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/cmd/internal/schedclient"
	"github.com/knapweedweir/knapweedweir/control"
	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/daemon/rpclimit"
	"github.com/knapweedweir/knapweedweir/logstream"
)

// answerTimeout limits the wait for the core's answer, which may never come, for example
// because the scheduler is stopping.
const answerTimeout = 10 * time.Second

// peerForgetTimeout is how long a peer is still reported as unreachable after the last
// envelope to it; live peers are sent a heartbeat every few hundred milliseconds.
const peerForgetTimeout = 10 * time.Second

// service holds the methods that net/rpc exposes.
type service struct{ s *Scheduler }

// Ask passes a request to the control core and returns its answer.
func (v service) Ask(args api.Ask, reply *api.Answer) error {
	v.s.countRequest(args.Question)
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

// Deliver receives an envelope from another scheduler.
func (v service) Deliver(args api.Envelope, _ *api.Ack) error {
	select {
	case v.s.events <- control.Delivered{Envelope: args}:
		return nil
	case <-v.s.done:
		return errors.New("stopping")
	}
}

// Ping answers a connection's heartbeat.
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

// Dump returns the scheduler's state for operators.
func (v service) Dump(_ api.DumpArgs, reply *api.DumpReply) error {
	var err error
	reply.JSON, err = v.s.process.DumpJSON()
	return err
}

// Snapshot returns the scheduler's full state, or only its offset, to a peer that starts
// while the log is down.
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

// maxShortArgs bounds the arguments of methods other than Ask and Deliver, in bytes.
const maxShortArgs = 8 << 10

// acceptPeers serves connections until the listener is closed, and then closes
// those that are open.
func (s *Scheduler) acceptPeers(l net.Listener) {
	services := rpc.NewServer()
	if err := services.RegisterName(api.ServiceName, service{s}); err != nil {
		panic(err) // a method above has the wrong signature
	}
	server := rpclimit.New(s.rpcBounds(), func(context.Context) (*rpc.Server, error) { return services, nil }, s.process.Metrics, s.process.Log.With().Str("server", "peers").Logger())
	defer server.Close()
	refused := s.process.Metrics.Counter("peer_connections_refused")
	admit := func(conn net.Conn) bool {
		if isPeer(conn) {
			return true
		}
		refused.Inc(1)
		return false
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if err := server.Serve(conn, admit); err != nil {
			panic(err) // services above returns no error
		}
	}
}

func (s *Scheduler) rpcBounds() rpclimit.Bounds {
	l := s.limits
	return rpclimit.Bounds{MaxConns: l.Connections, MaxMemory: int(l.Calls), MaxKept: int(l.Calls), IdleTimeout: schedclient.IdleTimeout,
		MaxArgs: func(method string) int {
			switch method {
			case api.ServiceName + ".Ask", api.ServiceName + ".Deliver":
				return int(l.Arguments)
			default:
				return maxShortArgs
			}
		}}
}

// handshakeTimeout limits the TLS handshake of a peer. Without it a client without a
// certificate could keep any number of connections open.
const handshakeTimeout = 3 * time.Second

// isPeer reports whether the client has presented a valid peer certificate. Connections
// without TLS are always accepted.
func isPeer(conn net.Conn) bool {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	return tlsConn.HandshakeContext(ctx) == nil
}

// peerConn sends envelopes to one scheduler, in order.
type peerConn struct {
	addr  string
	queue chan api.Envelope
	stop  context.CancelFunc
}

// peerConn returns the connection to a scheduler, a new one if its address has changed.
func (s *Scheduler) peerConn(ctx context.Context, id, addr string) *peerConn {
	if p, ok := s.peers[id]; ok {
		if p.addr == addr {
			return p
		}
		p.stop()
	}
	connCtx, cancel := context.WithCancel(ctx)
	p := &peerConn{addr: addr, queue: make(chan api.Envelope, peerQueueSize), stop: cancel}
	s.peers[id] = p
	go s.runPeerConn(connCtx, p)
	return p
}

func (p *peerConn) send(e api.Envelope) {
	select {
	case p.queue <- e:
	default:
		// The queue is full since the peer is too slow. Senders repeat lost messages.
	}
}

func (s *Scheduler) runPeerConn(ctx context.Context, p *peerConn) {
	client := schedclient.NewWith(p.addr, s.dial)
	defer client.Close()
	defer s.process.SetCondition(daemon.ConditionPeerUnreachable, p.addr, false, "")
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-p.queue:
			err := client.Deliver(e, peerTimeout)
			s.process.SetCondition(daemon.ConditionPeerUnreachable, p.addr, err != nil, errorText(err))
		case <-time.After(peerForgetTimeout):
			// A peer that has been removed from the platform's list is sent nothing
			// any more, so it must not stay reported as unreachable.
			s.process.SetCondition(daemon.ConditionPeerUnreachable, p.addr, false, "")
		}
	}
}

// errorText returns the text of an error, or "" if err is nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
