package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/dispatch"
	"github.com/knapweedweir/knapweedweir/settings"
)

// Headers of the callers' and the runners' protocol; docs/API.md describes them.
const (
	headerRequestID = "Request-Id"
	headerAttemptID = "Attempt-Id"
	headerOutcome   = "Outcome"
	headerNotRun    = "Not-Run"
	headerDeadline  = "Deadline-Millis"
)

// outcomeBody is the JSON body of every answer that is not a runner's.
type outcomeBody struct {
	Outcome          dispatch.Outcome `json:"outcome"`
	RequestID        string           `json:"requestId"`
	Reason           string           `json:"reason"`
	RetryAfterMillis int64            `json:"retryAfterMillis,omitempty"`
}

// runnerAnswer is a runner's whole answer.
type runnerAnswer struct {
	status      int
	contentType string
	body        []byte
}

// call is one request of a caller in progress.
type call struct {
	entry   *Entry
	id      uint64
	team    string
	service string
	name    string
	rules   settings.Service
	body    []byte
	until   time.Duration
	answer  *runnerAnswer
	first   *dispatch.ClaimedRequest
	claimed bool
}

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	c := &call{entry: e, id: e.nextID.Add(1), team: r.PathValue("team"), service: r.PathValue("service"), name: r.Header.Get(headerRequestID)}
	if e.draining.Load() {
		c.refuse(w, http.StatusServiceUnavailable, "this entry is leaving", time.Second)
		return
	}
	rules, ok := e.rules(c.team, c.service)
	if !ok {
		c.refuse(w, http.StatusNotFound, fmt.Sprintf("team %q has no service %q in its settings", c.team, c.service), 0)
		return
	}
	c.rules = rules
	if c.name == "" && !rules.Idempotent {
		c.refuse(w, http.StatusBadRequest, "a request to this service needs a Request-Id header, so that it runs at most once", 0)
		return
	}
	if c.name == "" {
		c.name = c.attempt()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		c.refuse(w, http.StatusBadRequest, "the request body could not be read: "+err.Error(), 0)
		return
	}
	c.body = body
	c.until = daemon.Clock() + rules.Deadline.D()
	c.serve(w, r)
}

func (e *Entry) rules(team, service string) (settings.Service, bool) {
	for _, t := range e.state.Load().Teams {
		if t.Name == team {
			s, ok := t.Version.Team.Services[service]
			return s, ok
		}
	}
	return settings.Service{}, false
}

// serve follows the core's actions until the request has its final answer.
func (c *call) serve(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), c.until-daemon.Clock())
	defer cancel()
	actions := make(chan dispatch.Action, actionsPerWaiter)
	c.entry.post(arrive{dispatch.Request{ID: c.id, Team: c.team, Service: c.service, Name: c.name,
		Worth: c.rules.Worth, Idempotent: c.rules.Idempotent, Deadline: c.until}, actions})
	for {
		select {
		case a := <-actions:
			if f, ok := a.(dispatch.Finished); ok {
				c.finish(w, f)
				return
			}
			c.entry.post(c.perform(ctx, a))
		case <-c.entry.done:
			c.refuse(w, http.StatusServiceUnavailable, "this entry has stopped", time.Second)
			return
		}
	}
}

func (c *call) perform(ctx context.Context, a dispatch.Action) coreEvent {
	switch a := a.(type) {
	case dispatch.AskClaim:
		return c.claim()
	case dispatch.Send:
		return c.send(ctx, a)
	}
	return expire{}
}

// claim asks for the right to run a non-idempotent request.
func (c *call) claim() coreEvent {
	q := api.Claim{Claim: dispatch.Claim{Team: c.team, Service: c.service, Request: c.name, Entry: c.entry.settings.ID, Attempt: c.attempt()}}
	a, err := c.entry.scheds.ask(q)
	switch {
	case err != nil || a.Code == api.InDoubt:
		// The claim may still win. Nothing is ever sent under it, and the
		// record of that frees the request for a repeat.
		c.record(dispatch.Finished{Outcome: dispatch.NotRun})
		return claimed{id: c.id, err: errors.New("in doubt"), mayBeOurs: true}
	case a.Code == api.OK:
		c.claimed = true
		return claimed{id: c.id}
	case a.Claimed != nil:
		c.first = a.Claimed
	}
	return claimed{id: c.id, err: errors.New(a.Message)}
}

// attempt identifies this call among all calls at all entries.
func (c *call) attempt() string {
	return fmt.Sprintf("%s-%x-%d", c.entry.settings.ID, c.entry.process.Incarnation, c.id)
}

// send sends the request to a runner and reads the whole answer, so that the
// caller never sees the beginning of an answer whose end is lost.
func (c *call) send(ctx context.Context, s dispatch.Send) coreEvent {
	start := daemon.Clock()
	attempt := fmt.Sprintf("%s.%d", c.attempt(), s.Attempt)
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+s.Runner.Addr+"/run", bytes.NewReader(c.body))
	if err != nil {
		return failed{c.id, dispatch.NeverSent, err.Error()}
	}
	req.Header.Set(headerRequestID, c.name)
	req.Header.Set(headerAttemptID, attempt)
	req.Header.Set(headerDeadline, strconv.FormatInt((c.until-start).Milliseconds(), 10))
	resp, err := c.entry.runners.Do(req)
	if err != nil {
		if !connected {
			return failed{c.id, dispatch.NeverSent, "runner " + s.Runner.ID + " could not be reached"}
		}
		return failed{c.id, dispatch.MayHaveRun, "runner " + s.Runner.ID + " did not answer"}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil || len(body) > maxAnswerBytes:
		return failed{c.id, dispatch.MayHaveRun, "the answer of runner " + s.Runner.ID + " was cut off or too large"}
	case resp.Header.Get(headerAttemptID) != attempt:
		// A mixed-up or late answer belongs to another caller.
		return failed{c.id, dispatch.MayHaveRun, "runner " + s.Runner.ID + " sent an answer to another request"}
	case resp.Header.Get(headerNotRun) == "true":
		return failed{c.id, dispatch.Refused, "runner " + s.Runner.ID + " refused the request"}
	}
	c.answer = &runnerAnswer{resp.StatusCode, resp.Header.Get("Content-Type"), body}
	return answered{c.id, daemon.Clock() - start}
}

// finish gives the caller the final answer.
func (c *call) finish(w http.ResponseWriter, f dispatch.Finished) {
	c.entry.process.Metrics.Tagged(map[string]string{"outcome": string(f.Outcome), "team": c.team}).Counter("requests").Inc(1)
	if c.first != nil {
		c.repeat(w)
		return
	}
	if c.claimed {
		c.record(f)
	}
	switch f.Outcome {
	case dispatch.Done:
		c.deliver(w, c.answer.status, c.answer.contentType, c.answer.body)
	case dispatch.NotRun:
		c.refuse(w, http.StatusServiceUnavailable, f.Reason, f.RetryAfter)
	default:
		c.reply(w, http.StatusGatewayTimeout, outcomeBody{Outcome: dispatch.Unknown, RequestID: c.name, Reason: f.Reason})
	}
}

// record notes in the log how a claimed request ended, for repeats. If that
// fails, a repeat is told "unknown", which is true as far as it goes.
func (c *call) record(f dispatch.Finished) {
	fin := dispatch.Finish{Team: c.team, Service: c.service, Request: c.name, Attempt: c.attempt(), Outcome: f.Outcome}
	if f.Outcome == dispatch.Done {
		fin.Status, fin.ContentType = c.answer.status, c.answer.contentType
		if len(c.answer.body) <= dispatch.MaxKeptBody {
			fin.Body = c.answer.body
		}
	}
	go func() {
		if _, err := c.entry.scheds.ask(api.Finish{Finish: fin}); err != nil {
			c.entry.process.Log.Warn().Err(err).Str("request", c.name).Msg("request.outcome_not_recorded")
		}
	}()
}

// repeat answers a repeated non-idempotent request with its first outcome.
func (c *call) repeat(w http.ResponseWriter) {
	fin := c.first.Finish
	switch {
	case fin == nil || fin.Outcome == dispatch.Unknown:
		c.reply(w, http.StatusGatewayTimeout, outcomeBody{Outcome: dispatch.Unknown, RequestID: c.name, Reason: "the request was sent before; its outcome is not known"})
	case fin.Body == nil && fin.Status != http.StatusNoContent:
		c.reply(w, http.StatusConflict, outcomeBody{Outcome: dispatch.Done, RequestID: c.name, Reason: "the request ran before; its answer is no longer kept"})
	default:
		c.deliver(w, fin.Status, fin.ContentType, fin.Body)
	}
}

func (c *call) deliver(w http.ResponseWriter, status int, contentType string, body []byte) {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.Header().Set(headerRequestID, c.name)
	w.Header().Set(headerOutcome, string(dispatch.Done))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// refuse says that the request did not run, and when to come back.
func (c *call) refuse(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	c.reply(w, status, outcomeBody{dispatch.NotRun, c.name, reason, retryAfter.Milliseconds()})
}

func (c *call) reply(w http.ResponseWriter, status int, b outcomeBody) {
	if b.RetryAfterMillis > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((b.RetryAfterMillis+999)/1000, 10))
	}
	w.Header().Set(headerRequestID, c.name)
	w.Header().Set(headerOutcome, string(b.Outcome))
	writeJSON(w, status, b)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
