// Package rpclimit serves connections of net/rpc within bounds of their number, of the size and the time of a message, and of the memory
// that calls take together. Beyond the bounds, connections give way, so that well-behaved clients are served.
package rpclimit

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedweir/knapweedweir/daemon/netlimit"
)

const (
	// maxHeader bounds the messages of a call before its arguments, in bytes.
	maxHeader = 8 << 10
	// smallMessage is the size in bytes up to which messages are decoded at the same time. The values of a message can take many
	// times its size.
	smallMessage = 4 << 10
	// maxTypes bounds the messages that define a type on a connection, which the decoder keeps.
	maxTypes = 256
	// messagesPerCall is the number of messages of a call that define no type.
	messagesPerCall = 2
	// messageTimeout limits the time for receiving a call, and for sending a response.
	messageTimeout = 15 * time.Second
	// callOverhead is the memory of a call in addition to its arguments, in bytes.
	callOverhead     = 8 << 10
	maxGobSizeDigits = 8
)

var (
	errMessageTooLarge = errors.New("message of a peer exceeds its limit")
	errTooManyTypes    = errors.Errorf("a peer defines more than %d types on a connection", maxTypes)
)

// Bounds are the bounds of a Server.
type Bounds struct {
	// MaxConns is the number of connections that are open at a time.
	MaxConns int
	// MaxArgs returns the size of a method's arguments, in bytes.
	MaxArgs func(method string) int
	// MaxMemory bounds the bytes of calls in progress, and those of unfinished messages; MaxKept those of the decoders' buffers, as a
	// decoder keeps the last message.
	MaxMemory, MaxKept int
	// IdleTimeout is how long a connection may send nothing between two calls; 0: not bounded.
	IdleTimeout time.Duration
}

// Server serves the connections of peers.
type Server struct {
	bounds   Bounds
	services func(ctx context.Context) (*rpc.Server, error)
	metrics  tally.Scope
	log      zerolog.Logger
	// decoding is a semaphore with one slot for messages that aren't small.
	decoding chan struct{}

	mu    sync.Mutex
	conns map[*servedConn]struct{}
	// steps counts the progress of all connections.
	steps uint64
	// received, kept and calling are the sums of those of the connections. ending is that of calls in progress whose connections have
	// been closed.
	received, kept, calling, ending int
	reports                         netlimit.Reports
	// room is signalled when calls have ended or a connection has been closed.
	room *sync.Cond
}

// New returns a Server. The services are those of one connection, whose context ends with it.
func New(bounds Bounds, services func(ctx context.Context) (*rpc.Server, error), metrics tally.Scope, log zerolog.Logger) *Server {
	s := &Server{bounds: bounds, services: services, metrics: metrics, log: log, decoding: make(chan struct{}, 1), conns: map[*servedConn]struct{}{},
		reports: netlimit.Reports{Log: log}}
	s.room = sync.NewCond(&s.mu)
	return s
}

// Serve starts to serve a connection until it ends. It is closed unless admit, which may be nil, returns true.
func (s *Server) Serve(conn net.Conn, admit func(net.Conn) bool) error {
	c := &servedConn{Conn: conn, server: s, in: bufio.NewReader(conn), out: bufio.NewWriter(conn)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.dec, c.enc = gob.NewDecoder(c), gob.NewEncoder(c.out)
	var err error
	if c.services, err = s.services(c.ctx); err != nil {
		return err
	}
	s.add(c)
	go func() {
		if admit == nil || admit(conn) {
			c.awaitCall()
			c.tasks.Go(c.serveNext)
			c.tasks.Wait()
		}
		_ = c.Close() // it may be closed
	}()
	return nil
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		s.remove(c)
		c.abort()
	}
}

// add adds a connection. If there are too many, one that has never sent a call gives way, or else the one without a call or a response
// for longest.
func (s *Server) add(c *servedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.bounds.MaxConns {
		s.evict("connections", s.bounds.MaxConns, func(a, b *servedConn) bool {
			if a.hasCalled != b.hasCalled {
				return !a.hasCalled
			}
			return a.step < b.step
		})
	}
	s.conns[c] = struct{}{}
	s.advance(c)
	s.metrics.Gauge("peer_connections").Update(float64(len(s.conns)))
}

// advance notes that a connection has made progress. The caller holds the lock.
func (s *Server) advance(c *servedConn) {
	s.steps++
	c.step = s.steps
}

// evict closes the connection that comes first. The caller holds the lock.
func (s *Server) evict(reason string, limit int, before func(a, b *servedConn) bool) {
	var first *servedConn
	for c := range s.conns {
		if first == nil || before(c, first) {
			first = c
		}
	}
	if first != nil {
		s.metrics.Tagged(map[string]string{"reason": reason}).Counter("peer_connections_closed").Inc(1)
		s.reports.Add(reason, int64(limit), first.RemoteAddr())
		s.remove(first)
		first.abort()
	}
}

// remove releases what a connection uses. The caller holds the lock.
func (s *Server) remove(c *servedConn) {
	if _, open := s.conns[c]; !open {
		return
	}
	delete(s.conns, c)
	c.cancel()
	s.received -= c.received
	s.kept -= c.kept
	s.calling -= c.calling
	s.ending += c.calling
	s.room.Broadcast()
	s.metrics.Gauge("peer_connections").Update(float64(len(s.conns)))
}

// addReceived counts the bytes of a connection's unfinished message. The connection whose message is unfinished for longest gives way.
func (s *Server) addReceived(c *servedConn, bytes int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[c]; !open {
		return net.ErrClosed
	}
	c.received += bytes
	s.received += bytes
	for s.received > s.bounds.MaxMemory && len(s.conns) > 0 {
		s.evict("messages", s.bounds.MaxMemory, func(a, b *servedConn) bool {
			if (a.received > 0) != (b.received > 0) {
				return a.received > 0
			}
			return a.step < b.step
		})
	}
	return nil
}

// boundKept bounds what the decoders' buffers take: the connection without progress for longest of those that keep one gives way. The
// caller holds the lock.
func (s *Server) boundKept() {
	for s.kept > s.bounds.MaxKept {
		s.evict("buffers", s.bounds.MaxKept, func(a, b *servedConn) bool {
			if (a.kept > 0) != (b.kept > 0) {
				return a.kept > 0
			}
			return a.step < b.step
		})
	}
}

// awaitRoom waits while the calls in progress, with those of closed connections, use too much. It returns false if the connection has
// been closed.
func (s *Server) awaitRoom(c *servedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if _, open := s.conns[c]; !open {
			return false
		}
		if s.calling+s.ending <= s.bounds.MaxMemory {
			return true
		}
		s.room.Wait()
	}
}

// beginCall counts a call that has been received. The connection whose calls use most gives way.
func (s *Server) beginCall(c *servedConn, bytes, weight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.calling += weight
	if _, open := s.conns[c]; !open {
		s.ending += weight
		return
	}
	s.received -= c.received
	c.received, c.hasCalled = 0, true
	keeps := 0
	if bytes > smallMessage {
		keeps = bytes
	}
	s.kept += keeps - c.kept
	c.kept = keeps
	s.advance(c)
	s.calling += weight
	s.boundKept()
	for s.calling > s.bounds.MaxMemory {
		s.evict("calls", s.bounds.MaxMemory, func(a, b *servedConn) bool { return a.calling > b.calling })
	}
}

// beginResponse notes the progress of a connection before its peer can know of it, and send the next call.
func (s *Server) beginResponse(c *servedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(c)
}

// endCall counts a call that has ended.
func (s *Server) endCall(c *servedConn, weight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.calling -= weight
	if _, open := s.conns[c]; open {
		s.calling -= weight
	} else {
		s.ending -= weight
	}
	s.room.Broadcast()
}

// servedConn is a connection from a peer. Its decoder reads from it.
type servedConn struct {
	net.Conn
	server *Server
	in     *bufio.Reader
	out    *bufio.Writer
	dec    *gob.Decoder
	enc    *gob.Encoder
	// services are those that the peer may call.
	services *rpc.Server
	// tasks are the goroutines that read the next call or carry one out.
	tasks sync.WaitGroup
	// sending is held while a response is being sent.
	sending sync.Mutex
	// ctx ends with the connection.
	ctx    context.Context
	cancel context.CancelFunc

	// message is the rest of the message that is being decoded, size the bytes of the call so far, limit their bound, and messages
	// the number of its messages. These and the next three belong to the reader.
	message               []byte
	size, limit, messages int
	types                 int
	decodes               bool // holds the slot for decoding

	// The server's lock guards these. hasCalled is set once a call has been received.
	hasCalled bool
	step      uint64
	// received is the size of the unfinished message, kept that of the last one, which the decoder keeps, and calling that of
	// the calls in progress, all in bytes.
	received, kept, calling int
}

// serveNext reads a call and carries it out. As soon as it has been read, another goroutine reads the next one.
func (c *servedConn) serveNext() {
	if !c.server.awaitRoom(c) {
		return
	}
	call := &servedCall{servedConn: c}
	_ = c.services.ServeRequest(call) // an error has been handled by fail or sent to the peer
	if call.weight > 0 {
		c.server.endCall(c, call.weight)
	}
}

// servedCall is the codec for one call on a connection.
type servedCall struct {
	*servedConn
	weight int // bytes; 0: it hasn't been received
}

// awaitCall sets the time for the first byte of the next call.
func (c *servedConn) awaitCall() {
	var deadline time.Time
	if idle := c.server.bounds.IdleTimeout; idle > 0 {
		deadline = time.Now().Add(idle)
	}
	_ = c.SetReadDeadline(deadline) // a closed connection fails in Read, too
}

// abort closes the connection at once, so that its reader sees an error. Closing a TLS connection would wait for its client.
func (c *servedConn) abort() {
	if secure, ok := c.Conn.(*tls.Conn); ok {
		_ = secure.NetConn().Close() // it may be closed
		return
	}
	_ = c.Conn.Close() // it may be closed
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *servedCall) ReadRequestHeader(r *rpc.Request) error {
	defer c.releaseDecoding()
	c.size, c.messages, c.limit = 0, 0, maxHeader
	err := c.dec.Decode(r)
	if err != nil {
		c.fail(err)
	}
	c.limit = c.server.bounds.MaxArgs(r.ServiceMethod)
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *servedCall) ReadRequestBody(body any) error {
	defer c.tasks.Go(c.serveNext)
	defer c.releaseDecoding()
	err := c.dec.Decode(body)
	if err != nil {
		c.fail(err)
	}
	c.types += c.messages - messagesPerCall
	c.awaitCall()
	c.weight = c.size + callOverhead
	c.server.beginCall(c.servedConn, c.size, c.weight)
	return err
}

// fail ends the calls of a connection that can't be read any more. It is closed after they have ended.
func (c *servedConn) fail(err error) {
	c.cancel()
	if errors.Is(err, errMessageTooLarge) || errors.Is(err, errTooManyTypes) {
		c.server.metrics.Tagged(map[string]string{"reason": "limits"}).Counter("peer_connections_closed").Inc(1)
		c.server.log.Warn().Err(err).Stringer("peer", c.RemoteAddr()).Int("limit_bytes", c.limit).Msg("peer.refused")
	}
}

// WriteResponse implements rpc.ServerCodec.
func (c *servedCall) WriteResponse(r *rpc.Response, body any) error {
	c.sending.Lock()
	defer c.sending.Unlock()
	c.server.beginResponse(c.servedConn)
	_ = c.SetWriteDeadline(time.Now().Add(messageTimeout)) // a closed connection fails in Write, too
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.out.Flush()
	}
	if err != nil {
		_ = c.Close() // the peer can't read what follows
	}
	return err
}

// Close closes the connection. It implements rpc.ServerCodec.
func (c *servedConn) Close() error {
	c.server.mu.Lock()
	c.server.remove(c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// ReadByte implements io.ByteReader, so that the decoder adds no buffer.
func (c *servedConn) ReadByte() (byte, error) {
	if err := c.fill(); err != nil {
		return 0, err
	}
	b := c.message[0]
	c.message = c.message[1:]
	return b, nil
}

// Read returns bytes of complete messages only.
func (c *servedConn) Read(p []byte) (int, error) {
	if err := c.fill(); err != nil {
		return 0, err
	}
	n := copy(p, c.message)
	if c.message = c.message[n:]; len(c.message) == 0 {
		c.message = nil // the decoder has a copy
	}
	return n, nil
}

// fill receives the next message if there is no rest of one.
func (c *servedConn) fill() error {
	if len(c.message) > 0 {
		return nil
	}
	c.releaseDecoding()
	if c.ctx.Err() != nil {
		return net.ErrClosed
	}
	first, err := c.in.ReadByte()
	if err != nil {
		return err
	}
	if c.messages == 0 {
		_ = c.SetReadDeadline(time.Now().Add(messageTimeout)) // a closed connection fails in Read, too
	}
	if c.messages++; c.types+c.messages > maxTypes {
		return errTooManyTypes
	}
	message, err := c.receive(first)
	if err != nil {
		return err
	}
	if c.size += len(message); len(message) > smallMessage {
		c.server.decoding <- struct{}{}
		c.decodes = true
	}
	c.message = message
	return nil
}

// receive returns a message with its size, which begins with the given byte. Memory is reserved only for what has arrived.
func (c *servedConn) receive(first byte) ([]byte, error) {
	message := []byte{first}
	size := int(first)
	if first > 1<<7-1 { // the size follows, and this is its number of bytes, negated
		digits := -int(int8(first))
		if digits > maxGobSizeDigits {
			return nil, errMessageTooLarge
		}
		size = 0
		for range digits {
			b, err := c.in.ReadByte()
			if err != nil {
				return nil, io.ErrUnexpectedEOF
			}
			message = append(message, b)
			if size = size<<8 | int(b); size > c.limit {
				return nil, errMessageTooLarge
			}
		}
	}
	if c.size+size > c.limit {
		return nil, errMessageTooLarge
	}
	for size > 0 {
		begin := len(message)
		part := min(size, max(smallMessage, begin))
		message = append(message, make([]byte, part)...)
		n, err := c.in.Read(message[begin:])
		message = message[:begin+n]
		size -= n
		if err == nil {
			err = c.server.addReceived(c, n)
		}
		if err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return message, nil
}

func (c *servedConn) releaseDecoding() {
	if c.decodes {
		<-c.server.decoding
		c.decodes = false
	}
}
