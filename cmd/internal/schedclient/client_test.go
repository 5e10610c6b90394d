package schedclient

import (
	"net"
	"net/rpc"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/control/api"
)

// patience is far above every timeout of the client.
const patience = 20 * time.Second

// sched answers questions once release is closed.
type sched struct {
	release chan struct{}
	asked   atomic.Int64
}

func (s *sched) Ping(_ api.PingArgs, _ *api.Ack) error { return nil }

func (s *sched) Ask(_ api.Ask, reply *api.Answer) error {
	s.asked.Add(1)
	<-s.release
	reply.Code = api.OK
	return nil
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

func serve(t *testing.T, s *sched) string {
	t.Helper()
	l := listen(t)
	server := rpc.NewServer()
	assert.NilError(t, server.RegisterName(api.ServiceName, s))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go server.ServeConn(conn)
		}
	}()
	return l.Addr().String()
}

// relay forwards connections to addr. The first one goes silent for good after
// it was opened: bytes are taken and never passed on, in either direction.
func relay(t *testing.T, addr string) string {
	t.Helper()
	l := listen(t)
	go func() {
		for first := true; ; first = false {
			in, err := l.Accept()
			if err != nil {
				return
			}
			if first {
				t.Cleanup(func() { in.Close() })
				continue
			}
			out, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			go pipe(in, out)
			go pipe(out, in)
		}
	}()
	return l.Addr().String()
}

func pipe(dst, src net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			dst.Close()
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// The connection to the scheduler goes silent while a new one works. A call
// with a long timeout must end long before it, and the next call must use a
// fresh connection. Without the heartbeat both wait for the timeout.
func TestSilentConnectionIsReplaced(t *testing.T) {
	s := &sched{release: make(chan struct{})}
	close(s.release)
	c := New(relay(t, serve(t, s)))
	defer c.Close()
	_, err := c.Ask(api.JobQuery{}, time.Hour)
	assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "a call on a silent connection may have been sent: %v", err)
	a, err := c.Ask(api.JobQuery{}, patience)
	assert.NilError(t, err)
	assert.Equal(t, a.Code, api.OK)
}

// A question that takes its time is no silence: the heartbeat is answered
// beside it, and the call must get its answer on the same connection.
func TestSlowAnswerIsNotTakenForSilence(t *testing.T) {
	s := &sched{release: make(chan struct{})}
	c := New(serve(t, s))
	defer c.Close()
	time.AfterFunc(3*heartbeatEvery+heartbeatTimeout, func() { close(s.release) })
	a, err := c.Ask(api.JobQuery{}, patience)
	assert.NilError(t, err)
	assert.Equal(t, a.Code, api.OK)
	assert.Equal(t, s.asked.Load(), int64(1))
}

// holding forwards connections to addr. Nothing passes, on any of them, until the returned
// function is called; tried gets a value for each connection.
func holding(t *testing.T, addr string) (at string, tried <-chan struct{}, release func()) {
	t.Helper()
	l := listen(t)
	held, connected := make(chan struct{}), make(chan struct{}, 100)
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			connected <- struct{}{}
			go func() {
				<-held
				out, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				go pipe(in, out)
				pipe(out, in)
			}()
		}
	}()
	return l.Addr().String(), connected, sync.OnceFunc(func() { close(held) })
}

// Guards against a change in doubt since its scheduler was held up for less than the change may take.
func TestChangeWaitsForASchedulerThatIsHeldUp(t *testing.T) {
	s := &sched{release: make(chan struct{})}
	close(s.release)
	addr, tried, release := holding(t, serve(t, s))
	defer release()
	c := New(addr)
	defer c.Close()
	go func() {
		for range 3 { // the call's, and those of two late heartbeats
			<-tried
		}
		release()
	}()
	a, err := c.Change(api.JobQuery{}, patience)
	assert.NilError(t, err)
	assert.Equal(t, a.Code, api.OK)
	assert.Equal(t, s.asked.Load(), int64(1))
}

// Guards against a question that waits for a scheduler that is held up while another could answer.
func TestQuestionEndsWhileItsSchedulerIsHeldUp(t *testing.T) {
	s := &sched{release: make(chan struct{})}
	close(s.release)
	addr, _, release := holding(t, serve(t, s))
	defer release()
	c := New(addr)
	defer c.Close()
	_, err := c.Ask(api.JobQuery{}, time.Hour)
	assert.Assert(t, errors.Is(err, errSilent), "%v", err)
}

// Only a call that never left may be put to another scheduler. A scheduler that
// dies with the question in hand may have carried it out; one that does not
// listen has not seen it.
func TestNotSentIsOnlySaidOfCallsThatNeverLeft(t *testing.T) {
	l := listen(t)
	c := New(l.Addr().String())
	defer c.Close()
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 1))
		}
		// Nobody listens by the time the first question fails; the kernel would still
		// take in the second one's connection.
		l.Close()
		if err == nil {
			conn.Close()
		}
	}()
	_, err := c.Ask(api.JobQuery{}, patience)
	assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "sent, then cut off: %v", err)
	_, err = c.Ask(api.JobQuery{}, patience)
	assert.Assert(t, errors.Is(err, ErrNotSent), "nobody listens: %v", err)
}

// A peer that takes no bytes fills the socket's buffers. A write must then fail
// by its deadline, or its goroutine and all that wait for its lock hang.
func TestWriteToSilentPeerFails(t *testing.T) {
	l := listen(t)
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	c := &Conn{Conn: conn}
	defer c.Close()
	block := make([]byte, 1<<20)
	for err == nil {
		_, err = c.Write(block)
	}
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.Assert(t, c.broken.Load())
}
