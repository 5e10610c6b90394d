package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/dispatch"
)

// Bounds of one attempt at a runner.
const (
	// runnerStall is how long a runner may take no byte of a request, or send
	// none of an answer that it has begun.
	runnerStall = 2 * time.Second
	// bufferBytes is how much of an answer is held back until it is whole.
	// Longer answers are passed on as they come.
	bufferBytes = 256 << 10
	// firstAnswerBytes is the first size of an answer's buffer.
	firstAnswerBytes = 4 << 10
)

// runnerAnswer is a runner's answer.
type runnerAnswer struct {
	status      int
	contentType string
	// body is the whole body, or the part read before it was passed on.
	body  []byte
	whole bool
}

// attempt is one try at one runner.
type attempt struct {
	call   *call
	send   dispatch.Send
	name   string
	up     *upstream
	start  time.Duration
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	conns []*upstreamConn
}

// send sends the request to a runner and takes in the answer.
func (c *call) send(ctx context.Context, cancel context.CancelFunc, s dispatch.Send) coreEvent {
	if c.overdue() {
		return failed{c.id, dispatch.NeverSent, "the deadline passed before the request was sent"}
	}
	a := &attempt{call: c, send: s, name: fmt.Sprintf("%s.%d", c.attempt(), s.Attempt), up: c.entry.runners.at(s.Runner.Addr),
		start: daemon.Clock(), ctx: ctx, cancel: cancel}
	if !c.rules.Idempotent && !a.up.proven() {
		// An idle connection that went silent shows it only after the
		// request was sent, and this one can't be sent again. Dialling
		// proves a new connection in both directions.
		a.up.transport.CloseIdleConnections()
	}
	resp, err := a.roundTrip()
	if err != nil {
		return a.failed()
	}
	defer resp.Body.Close()
	return a.receive(resp)
}

func (a *attempt) roundTrip() (*http.Response, error) {
	c := a.call
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(a.ctx, trace), http.MethodPost, "http://"+a.send.Runner.Addr+"/run", bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerRequestID, c.name)
	req.Header.Set(headerAttemptID, a.name)
	req.Header.Set(headerDeadline, strconv.FormatInt((c.until-a.start).Milliseconds(), 10))
	return a.up.transport.RoundTrip(req)
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*upstreamConn)
	if !ok {
		return
	}
	conn.take(a.call.until)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns = append(a.conns, conn)
}

// failed says how an attempt without an answer ended. Connections are sealed
// first: after that nothing can be written that was not written before.
func (a *attempt) failed() coreEvent {
	a.mu.Lock()
	defer a.mu.Unlock()
	// An attempt that ends because its caller left says nothing about the
	// connection; a wave of such callers must not use up the share.
	suspect := a.call.stalled.Load() || a.call.overdue()
	sent := false
	for _, conn := range a.conns {
		sent = conn.seal() || sent
		if suspect {
			a.up.condemn(conn)
		} else {
			_ = conn.Close()
		}
	}
	if !sent {
		return failed{a.call.id, dispatch.NeverSent, "runner " + a.send.Runner.ID + " could not be reached"}
	}
	return failed{a.call.id, dispatch.MayHaveRun, "runner " + a.send.Runner.ID + " did not answer"}
}

// receive takes in an answer whose head has come.
func (a *attempt) receive(resp *http.Response) coreEvent {
	runner := a.send.Runner.ID
	if resp.Header.Get(headerAttemptID) != a.name {
		// A mixed-up or late answer belongs to another caller.
		return failed{a.call.id, dispatch.MayHaveRun, "runner " + runner + " sent an answer to another request"}
	}
	if resp.Header.Get(headerNotRun) == "true" {
		return failed{a.call.id, dispatch.Refused, "runner " + runner + " refused the request"}
	}
	answer := &runnerAnswer{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type")}
	if err := a.readBody(resp, answer); err != nil {
		return failed{a.call.id, dispatch.BadAnswer, "the answer of runner " + runner + " was cut off"}
	}
	answer.whole = true
	return answered{a.call.id, daemon.Clock() - a.start, resp.StatusCode >= http.StatusInternalServerError}
}

// readBody reads an answer's body, and passes it on as it comes if it is too
// long to be held back.
func (a *attempt) readBody(resp *http.Response, answer *runnerAnswer) error {
	c := a.call
	stall := time.AfterFunc(runnerStall, a.cancel)
	defer stall.Stop()
	body := progressReader{resp.Body, stall}
	whole, err := c.buffer(body, resp.ContentLength, answer)
	c.answer = answer
	if err != nil || whole {
		return err
	}
	if !c.startStreaming() {
		return context.Canceled
	}
	return a.stream(body, resp.ContentLength, answer)
}

// buffer reads up to bufferBytes within the memory of all requests; true if that
// was all.
func (c *call) buffer(body io.Reader, length int64, answer *runnerAnswer) (bool, error) {
	size := int64(firstAnswerBytes)
	if length >= 0 {
		// One more byte than the body, so that its end is seen.
		size = min(length+1, bufferBytes)
	}
	for {
		if int64(len(answer.body)) == size {
			if size >= bufferBytes {
				return false, nil
			}
			size = min(2*size, bufferBytes)
		}
		if grow := size - int64(cap(answer.body)); grow > 0 {
			if !c.hold(grow) {
				return false, nil
			}
			next := make([]byte, len(answer.body), size)
			copy(next, answer.body)
			answer.body = next
		}
		n, err := body.Read(answer.body[len(answer.body):size])
		answer.body = answer.body[:len(answer.body)+n]
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// stream passes the rest of an answer on.
func (a *attempt) stream(body io.Reader, length int64, answer *runnerAnswer) error {
	c := a.call
	c.startAnswer(answer.status, answer.contentType, length)
	lost := c.write(answer.body)
	piece := make([]byte, writePiece)
	for {
		if lost != nil && c.rules.Idempotent {
			return lost
		}
		n, err := body.Read(piece)
		// A caller that has left does not end a request that must not run
		// again: its end is recorded for a repeat.
		if lost == nil {
			lost = c.write(piece[:n])
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			// The caller has seen a part, so no other runner may answer.
			c.entry.post(gone{c.id})
			return err
		}
	}
}

// progressReader puts an end to a transfer on which nothing comes any more.
type progressReader struct {
	r     io.Reader
	stall *time.Timer
}

// Read implements io.Reader.
func (p progressReader) Read(b []byte) (int, error) {
	p.stall.Reset(runnerStall)
	return p.r.Read(b)
}
