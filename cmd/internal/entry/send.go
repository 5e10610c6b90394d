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

// Limits of one attempt at a runner.
const (
	// runnerStallTimeout is how long a runner may accept no byte of a request, or
	// send no byte of an answer that it has started.
	runnerStallTimeout = 2 * time.Second
	// maxBufferedAnswer is the size in bytes up to which an answer is buffered
	// until it is complete. Longer answers are streamed.
	maxBufferedAnswer = 256 << 10
	// initialAnswerBytes is the initial size of the buffer for an answer.
	initialAnswerBytes = 4 << 10
)

// runnerAnswer is a runner's answer.
type runnerAnswer struct {
	status      int
	contentType string
	// body is the complete body, or the part that was buffered before streaming.
	body  []byte
	whole bool
}

// attempt is one attempt to run a request at one runner.
type attempt struct {
	call     *call
	send     dispatch.Send
	id       string
	upstream *upstream
	start    time.Duration
	ctx      context.Context
	cancel   context.CancelFunc

	mu    sync.Mutex
	conns []*upstreamConn
}

// send sends the request to a runner and receives the answer.
func (c *call) send(ctx context.Context, cancel context.CancelFunc, s dispatch.Send) coreEvent {
	if c.deadlinePassed() {
		return attemptFailed{c.id, dispatch.NeverSent, "the deadline passed before the request was sent"}
	}
	a := &attempt{call: c, send: s, id: fmt.Sprintf("%s.%d", c.attemptID(), s.Attempt), upstream: c.entry.runners.at(s.Runner.Addr),
		start: daemon.Clock(), ctx: ctx, cancel: cancel}
	if !c.config.Idempotent && !a.upstream.heardRecently() {
		// A dead idle connection is noticed only after the request was
		// written, and this request can't be sent again. A new connection
		// is known to work in both directions once it is established.
		a.upstream.transport.CloseIdleConnections()
	}
	resp, err := a.roundTrip()
	if err != nil {
		return a.failureEvent()
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
	req.Header.Set(headerRequestID, c.requestID)
	req.Header.Set(headerAttemptID, a.id)
	req.Header.Set(headerDeadline, strconv.FormatInt((c.deadline-a.start).Milliseconds(), 10))
	return a.upstream.transport.RoundTrip(req)
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*upstreamConn)
	if !ok {
		return
	}
	conn.assign(a.call.deadline)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns = append(a.conns, conn)
}

// failureEvent returns the event for an attempt without an answer. It seals the connections
// first, so that nothing more can be written to them.
func (a *attempt) failureEvent() coreEvent {
	a.mu.Lock()
	defer a.mu.Unlock()
	// An attempt that was cancelled because its caller disconnected says nothing
	// about the connection; many such callers must not exhaust the connection limit.
	suspect := a.call.stalled.Load() || a.call.deadlinePassed()
	sent := false
	for _, conn := range a.conns {
		sent = conn.seal() || sent
		if suspect {
			a.upstream.closeSilent(conn)
		} else {
			_ = conn.Close()
		}
	}
	if !sent {
		return attemptFailed{a.call.id, dispatch.NeverSent, "runner " + a.send.Runner.ID + " could not be reached"}
	}
	return attemptFailed{a.call.id, dispatch.MayHaveRun, "runner " + a.send.Runner.ID + " did not answer"}
}

// receive reads an answer whose headers have arrived.
func (a *attempt) receive(resp *http.Response) coreEvent {
	runner := a.send.Runner.ID
	if resp.Header.Get(headerAttemptID) != a.id {
		// A late answer, or one that the runner has mixed up, belongs to another
		// caller's request.
		return attemptFailed{a.call.id, dispatch.MayHaveRun, "runner " + runner + " sent an answer to another request"}
	}
	if resp.Header.Get(headerNotRun) == "true" {
		return attemptFailed{a.call.id, dispatch.Refused, "runner " + runner + " refused the request"}
	}
	answer := &runnerAnswer{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type")}
	if err := a.readBody(resp, answer); err != nil {
		return attemptFailed{a.call.id, dispatch.BadAnswer, "the answer of runner " + runner + " was cut off"}
	}
	answer.whole = true
	return attemptAnswered{a.call.id, daemon.Clock() - a.start, resp.StatusCode >= http.StatusInternalServerError}
}

// readBody reads the body of an answer, and streams it if it is too long to be buffered.
func (a *attempt) readBody(resp *http.Response, answer *runnerAnswer) error {
	c := a.call
	stall := time.AfterFunc(runnerStallTimeout, a.cancel)
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

// buffer reads up to maxBufferedAnswer bytes into memory reserved from the entry's budget.
// It returns true if the body is complete.
func (c *call) buffer(body io.Reader, length int64, answer *runnerAnswer) (bool, error) {
	size := int64(initialAnswerBytes)
	if length >= 0 {
		// One byte more than the body, so that the read reaches EOF.
		size = min(length+1, maxBufferedAnswer)
	}
	for {
		if int64(len(answer.body)) == size {
			if size >= maxBufferedAnswer {
				return false, nil
			}
			size = min(2*size, maxBufferedAnswer)
		}
		if grow := size - int64(cap(answer.body)); grow > 0 {
			if !c.reserveMemory(grow) {
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

// stream copies the rest of an answer to the caller.
func (a *attempt) stream(body io.Reader, length int64, answer *runnerAnswer) error {
	c := a.call
	c.startAnswer(answer.status, answer.contentType, length)
	writeErr := c.write(answer.body)
	chunk := make([]byte, writeChunkBytes)
	for {
		if writeErr != nil && c.config.Idempotent {
			return writeErr
		}
		n, err := body.Read(chunk)
		// If the caller of a non-idempotent request has disconnected, the answer
		// is read to its end, so that the outcome can be recorded for a repeat.
		if writeErr == nil {
			writeErr = c.write(chunk[:n])
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			// The caller has received a part, so no other runner may answer.
			c.entry.post(gone{c.id})
			return err
		}
	}
}

// progressReader restarts the stall timer, which cancels the attempt, before each read.
type progressReader struct {
	r     io.Reader
	stall *time.Timer
}

// Read implements io.Reader.
func (p progressReader) Read(b []byte) (int, error) {
	p.stall.Reset(runnerStallTimeout)
	return p.r.Read(b)
}
