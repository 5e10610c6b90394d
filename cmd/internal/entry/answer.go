package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/knapweedweir/knapweedweir/dispatch"
)

// outcomeBody is the JSON body of every answer that is not a runner's.
type outcomeBody struct {
	Outcome          dispatch.Outcome `json:"outcome"`
	RequestID        string           `json:"requestId"`
	Reason           string           `json:"reason"`
	RetryAfterMillis int64            `json:"retryAfterMillis,omitempty"`
}

// finish gives the caller the final answer.
func (c *call) finish(f dispatch.Finished) {
	c.measure(f)
	granted, first := c.endClaim()
	if granted {
		c.entry.record(c.finishRecord(f))
	}
	if c.hasStreamed() {
		c.endStream(f)
		return
	}
	switch {
	case first != nil:
		c.repeat(first.Finish)
	case f.Outcome == dispatch.Done:
		c.deliver(c.answer.status, c.answer.contentType, c.answer.body)
	case f.Outcome == dispatch.NotRun:
		c.refuse(http.StatusServiceUnavailable, f.Reason, f.RetryAfter)
	default:
		c.reply(http.StatusGatewayTimeout, outcomeBody{Outcome: dispatch.Unknown, RequestID: c.name, Reason: f.Reason})
	}
}

// endStream ends an answer that was passed on as it came. One that is not whole
// must not look whole, so its connection is broken.
func (c *call) endStream(f dispatch.Finished) {
	c.breakOff()
	// Nobody may write to the caller once the handler has returned.
	<-c.done
	if f.Outcome != dispatch.Done || !c.answer.whole {
		panic(http.ErrAbortHandler)
	}
}

// repeat answers a repeated non-idempotent request with its first outcome.
func (c *call) repeat(fin *dispatch.Finish) {
	switch {
	case fin == nil || fin.Outcome == dispatch.Unknown:
		c.reply(http.StatusGatewayTimeout, outcomeBody{Outcome: dispatch.Unknown, RequestID: c.name, Reason: "the request was sent before; its outcome is not known"})
	case fin.Body == nil && fin.Status != http.StatusNoContent:
		c.reply(http.StatusConflict, outcomeBody{Outcome: dispatch.Done, RequestID: c.name, Reason: "the request ran before; its answer is no longer kept"})
	default:
		c.deliver(fin.Status, fin.ContentType, fin.Body)
	}
}

// startAnswer writes the head of a runner's answer.
func (c *call) startAnswer(status int, contentType string, length int64) {
	h := c.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set(headerRequestID, c.name)
	h.Set(headerOutcome, string(dispatch.Done))
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(status)
}

func (c *call) deliver(status int, contentType string, body []byte) {
	c.startAnswer(status, contentType, int64(len(body)))
	if err := c.write(body); err != nil {
		// The caller has seen part of the answer only.
		panic(http.ErrAbortHandler)
	}
}

// writePiece is how much is written under one deadline.
const writePiece = 64 << 10

// write writes in pieces, each under its own deadline. A caller that goes silent
// would otherwise hold its goroutine, the answer's memory and, while an answer
// is passed on, the runner's slot for good.
func (c *call) write(b []byte) error {
	ctl := http.NewResponseController(c.w)
	for len(b) > 0 {
		n := min(len(b), writePiece)
		// Writers of tests have no deadlines; those of net/http all do.
		_ = ctl.SetWriteDeadline(time.Now().Add(c.entry.callerStall))
		if _, err := c.w.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// refuse says that the request did not run, and when to come back.
func (c *call) refuse(status int, reason string, retryAfter time.Duration) {
	c.reply(status, outcomeBody{dispatch.NotRun, c.name, reason, retryAfter.Milliseconds()})
}

func (c *call) reply(status int, b outcomeBody) {
	h := c.w.Header()
	if b.RetryAfterMillis > 0 {
		h.Set("Retry-After", strconv.FormatInt((b.RetryAfterMillis+999)/1000, 10))
	}
	h.Set(headerRequestID, c.name)
	h.Set(headerOutcome, string(b.Outcome))
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(c.entry.callerStall))
	writeJSON(c.w, status, b)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
