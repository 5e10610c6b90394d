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

// errNoMemory says that all requests together hold as many bytes as they may.
var errNoMemory = errors.New("this entry holds as many request bodies as it may")

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	// A caller that goes silent in the middle of its body would hold a
	// goroutine for good, also that of an early answer: net/http reads the rest
	// of a body before it sends one.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(e.bodyTimeout))
	c := &call{entry: e, id: e.nextID.Add(1), team: r.PathValue("team"), service: r.PathValue("service"), name: r.Header.Get(headerRequestID), w: w}
	if e.draining.Load() {
		// The caller comes back to another entry, on a new connection.
		w.Header().Set("Connection", "close")
		c.refuse(http.StatusServiceUnavailable, "this entry is leaving", time.Second)
		return
	}
	rules, ok := e.rules(c.team, c.service)
	if !ok {
		c.refuse(http.StatusNotFound, fmt.Sprintf("team %q has no service %q in its settings", c.team, c.service), 0)
		return
	}
	c.rules = rules
	if c.name == "" && !rules.Idempotent {
		c.refuse(http.StatusBadRequest, "a request to this service needs a Request-Id header, so that it runs at most once", 0)
		return
	}
	if len(c.name) > maxRequestID {
		c.name = ""
		c.refuse(http.StatusBadRequest, fmt.Sprintf("the Request-Id header is longer than %d bytes", maxRequestID), 0)
		return
	}
	if c.name == "" {
		c.name = c.attempt()
	}
	body, err := e.readBody(w, r)
	defer e.memory.give(int64(cap(body)))
	switch {
	case errors.Is(err, errNoMemory):
		c.refuse(http.StatusServiceUnavailable, err.Error(), time.Second)
		return
	case err != nil:
		c.refuse(http.StatusBadRequest, "the request body could not be read: "+err.Error(), 0)
		return
	}
	c.body = body
	c.until = daemon.Clock() + rules.Deadline.D()
	c.serve(r)
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

// firstBodyBytes is reserved for a body of unknown length.
const firstBodyBytes = 4 << 10

// readBody reads a request's body within the memory of all requests. The
// capacity of the result is reserved, also with an error.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	size := r.ContentLength
	if size > maxRequestBytes {
		return nil, errors.Errorf("it is longer than %d bytes", maxRequestBytes)
	}
	if size < 0 {
		size = firstBodyBytes
	}
	if !e.memory.take(size) {
		return nil, errNoMemory
	}
	body := make([]byte, 0, size)
	// The deadline goes once the body is whole: with it, net/http would take
	// the waiting caller for gone.
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

// grow doubles the capacity of a body.
func (e *Entry) grow(body []byte) ([]byte, error) {
	if cap(body) >= maxRequestBytes {
		return nil, errors.Errorf("it is longer than %d bytes", maxRequestBytes)
	}
	if !e.memory.take(int64(cap(body))) {
		return nil, errNoMemory
	}
	grown := make([]byte, len(body), 2*cap(body))
	copy(grown, body)
	return grown, nil
}
