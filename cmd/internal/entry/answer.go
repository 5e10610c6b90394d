package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/knapweedweir/knapweedweir/dispatch"
)

// outcomeBody is the JSON body of every answer that the entry itself gives.
type outcomeBody struct {
	Outcome          dispatch.Outcome `json:"outcome"`
	RequestID        string           `json:"requestId"`
	Reason           string           `json:"reason"`
	RetryAfterMillis int64            `json:"retryAfterMillis,omitempty"`
}

// finish sends the final answer to the caller.
func (c *call) finish(f dispatch.Finished) {
	c.measure(f)
	granted, holder := c.endClaim()
	if granted {
		c.entry.recordFinish(c.finishRecord(f))
	}
	if c.hasStreamed() {
		c.endStream(f)
		return
	}
	switch {
	case holder != nil:
		c.replyFirstOutcome(holder.Finish)
	case f.Outcome == dispatch.Done:
		c.writeAnswer(c.answer.status, c.answer.contentType, c.answer.body)
	case f.Outcome == dispatch.NotRun:
		c.refuse(http.StatusServiceUnavailable, f.Reason, f.RetryAfter)
	default:
		c.reply(http.StatusGatewayTimeout, outcomeBody{Outcome: dispatch.Unknown, RequestID: c.requestID, Reason: f.Reason})
	}
}

// endStream ends a streamed answer. If the answer is incomplete, the connection is aborted,
// so that the caller can't take it for complete.
func (c *call) endStream(f dispatch.Finished) {
	c.cancelAttempt()
	// net/http allows no writes to the ResponseWriter once the handler has returned.
	<-c.attemptDone
	if f.Outcome != dispatch.Done || !c.answer.whole {
		panic(http.ErrAbortHandler)
	}
}

// replyFirstOutcome answers a repeated non-idempotent request with the outcome of its
// first run.
func (c *call) replyFirstOutcome(fin *dispatch.Finish) {
	switch {
	case fin == nil || fin.Outcome == dispatch.Unknown:
		c.reply(http.StatusGatewayTimeout, outcomeBody{Outcome: dispatch.Unknown, RequestID: c.requestID, Reason: "the request was sent before; its outcome is not known"})
	case fin.Body == nil && fin.Status != http.StatusNoContent:
		c.reply(http.StatusConflict, outcomeBody{Outcome: dispatch.Done, RequestID: c.requestID, Reason: "the request ran before; its answer is no longer kept"})
	default:
		c.writeAnswer(fin.Status, fin.ContentType, fin.Body)
	}
}

// startAnswer writes the status and headers of a runner's answer.
func (c *call) startAnswer(status int, contentType string, length int64) {
	h := c.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set(headerRequestID, c.requestID)
	h.Set(headerOutcome, string(dispatch.Done))
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(status)
}

func (c *call) writeAnswer(status int, contentType string, body []byte) {
	c.startAnswer(status, contentType, int64(len(body)))
	if err := c.write(body); err != nil {
		// The caller has received only part of the answer.
		panic(http.ErrAbortHandler)
	}
}

// writeChunkBytes is the number of bytes written under one deadline.
const writeChunkBytes = 64 << 10

// write writes in chunks, each with a deadline of its own. A caller that stops reading
// would otherwise occupy its goroutine, the memory of the answer and, while an answer is
// streamed, the slot at the runner forever.
func (c *call) write(b []byte) error {
	ctl := http.NewResponseController(c.w)
	for len(b) > 0 {
		n := min(len(b), writeChunkBytes)
		// The error is ignored: ResponseWriters in tests support no deadlines, those of
		// net/http always do.
		_ = ctl.SetWriteDeadline(time.Now().Add(c.entry.callerWriteTimeout))
		if _, err := c.w.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// refuse answers that the request was not run, and when to retry.
func (c *call) refuse(status int, reason string, retryAfter time.Duration) {
	c.reply(status, outcomeBody{dispatch.NotRun, c.requestID, reason, retryAfter.Milliseconds()})
}

func (c *call) reply(status int, b outcomeBody) {
	h := c.w.Header()
	if b.RetryAfterMillis > 0 {
		h.Set("Retry-After", strconv.FormatInt((b.RetryAfterMillis+999)/1000, 10))
	}
	h.Set(headerRequestID, c.requestID)
	h.Set(headerOutcome, string(b.Outcome))
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(c.entry.callerWriteTimeout))
	writeJSON(c.w, status, b)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
