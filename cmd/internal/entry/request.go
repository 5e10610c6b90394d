package entry

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/daemon"
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

// errNoMemory means that the memory budget of all requests is exhausted.
var errNoMemory = errors.New("this entry holds as many request bodies as it may")

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	// A caller that stops sending in the middle of its body would block this
	// goroutine forever, even one that answers early: net/http reads the
	// remaining body before it sends an answer.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(e.bodyTimeout))
	c := &call{entry: e, id: e.nextID.Add(1), team: r.PathValue("team"), service: r.PathValue("service"), requestID: r.Header.Get(headerRequestID), w: w}
	if e.draining.Load() {
		// The caller's retry must go to another entry, on a new connection.
		w.Header().Set("Connection", "close")
		c.refuse(http.StatusServiceUnavailable, "this entry is leaving", time.Second)
		return
	}
	config, ok := e.serviceConfig(c.team, c.service)
	if !ok {
		c.refuse(http.StatusNotFound, fmt.Sprintf("team %q has no service %q in its settings", c.team, c.service), 0)
		return
	}
	c.config = config
	if c.requestID == "" && !config.Idempotent {
		c.refuse(http.StatusBadRequest, "a request to this service needs a Request-Id header, so that it runs at most once", 0)
		return
	}
	if len(c.requestID) > maxRequestID {
		c.requestID = ""
		c.refuse(http.StatusBadRequest, fmt.Sprintf("the Request-Id header is longer than %d bytes", maxRequestID), 0)
		return
	}
	if c.requestID == "" {
		c.requestID = c.attemptID()
	}
	body, err := e.readBody(w, r)
	defer e.memory.release(int64(cap(body)))
	switch {
	case errors.Is(err, errNoMemory):
		c.refuse(http.StatusServiceUnavailable, err.Error(), time.Second)
		return
	case err != nil:
		c.refuse(http.StatusBadRequest, "the request body could not be read: "+err.Error(), 0)
		return
	}
	c.body = body
	c.deadline = daemon.Clock() + config.Deadline.D()
	c.serve(r)
}

func (e *Entry) serviceConfig(team, service string) (settings.Service, bool) {
	for _, t := range e.state.Load().Teams {
		if t.Name == team {
			s, ok := t.Version.Team.Services[service]
			return s, ok
		}
	}
	return settings.Service{}, false
}

// initialBodyBytes is the number of bytes reserved at first for a body of unknown length.
const initialBodyBytes = 4 << 10

// readBody reads the body of a request into memory reserved from the entry's budget. The
// capacity of the result stays reserved, also if an error is returned.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	size := r.ContentLength
	if size > maxRequestBytes {
		return nil, errors.Errorf("it is longer than %d bytes", maxRequestBytes)
	}
	if size < 0 {
		size = initialBodyBytes
	}
	if !e.memory.reserve(size) {
		return nil, errNoMemory
	}
	body := make([]byte, 0, size)
	// The read deadline is cleared once the body is complete: if it expired,
	// net/http would treat the waiting caller as disconnected.
	ctl := http.NewResponseController(w)
	for {
		if len(body) == cap(body) {
			if r.ContentLength >= 0 {
				return body, ctl.SetReadDeadline(time.Time{})
			}
			grown, err := e.grow(body)
			if err != nil {
				return body, err
			}
			body = grown
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, ctl.SetReadDeadline(time.Time{})
		}
		if err != nil {
			return body, errors.WithStack(err)
		}
	}
}

// grow doubles the capacity of a body, up to maxRequestBytes.
func (e *Entry) grow(body []byte) ([]byte, error) {
	if cap(body) >= maxRequestBytes {
		return nil, errors.Errorf("it is longer than %d bytes", maxRequestBytes)
	}
	if !e.memory.reserve(int64(cap(body))) {
		return nil, errNoMemory
	}
	grown := make([]byte, len(body), 2*cap(body))
	copy(grown, body)
	return grown, nil
}
