package dispatch

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/platform"
)

// Record kinds of non-idempotent requests.
const (
	KindClaim  logstream.Kind = "request.claim"
	KindFinish logstream.Kind = "request.finish"
)

// Claim proposes to run a non-idempotent request. The first claim of an ID in
// the log wins; nobody else may send the request to a runner.
type Claim struct {
	Team    string `json:"team"`
	Request string `json:"request"`
	Entry   string `json:"entry"`
}

// Finish records how a claimed request ended.
type Finish struct {
	Team    string  `json:"team"`
	Request string  `json:"request"`
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status,omitempty"`
	// Body is the answer if it is small enough to be kept.
	Body        []byte `json:"body,omitempty"`
	ContentType string `json:"contentType,omitempty"`
}

// MaxKeptBody is the largest answer body, in bytes, that is kept for repeats of
// a non-idempotent request.
const MaxKeptBody = 4096

// keepClaims bounds the claims a process remembers.
const keepClaims = 100000

// ClaimedRequest is a claim and, once known, how it ended.
type ClaimedRequest struct {
	Claim  Claim   `json:"claim"`
	Finish *Finish `json:"finish,omitempty"`
}

// ClaimedError is the ruling on a claim whose request was claimed before.
type ClaimedError struct{ First ClaimedRequest }

func (e *ClaimedError) Error() string {
	if e.First.Finish == nil {
		return "the request was claimed by " + e.First.Claim.Entry + "; its outcome is not known"
	}
	return "the request has ended: " + string(e.First.Finish.Outcome)
}

// Claims is who may run which non-idempotent request. It implements
// logstream.Reducer.
type Claims struct {
	byKey map[string]ClaimedRequest
	order []string
}

// NewClaims returns an empty table.
func NewClaims() *Claims { return &Claims{byKey: map[string]ClaimedRequest{}} }

// Name implements logstream.Reducer.
func (c *Claims) Name() string { return "claims" }

// Kinds implements logstream.Reducer.
func (c *Claims) Kinds() []logstream.Kind { return []logstream.Kind{KindClaim, KindFinish} }

func claimKey(team, request string) string { return team + "\x00" + request }

// Apply implements logstream.Reducer.
func (c *Claims) Apply(_ platform.Offset, rec logstream.Record) error {
	if rec.Kind == KindFinish {
		return c.finish(rec.Body)
	}
	var claim Claim
	if err := json.Unmarshal(rec.Body, &claim); err != nil {
		return errors.Wrap(err, "decode claim")
	}
	key := claimKey(claim.Team, claim.Request)
	if first, ok := c.byKey[key]; ok {
		return &ClaimedError{First: first}
	}
	c.byKey[key] = ClaimedRequest{Claim: claim}
	c.order = append(c.order, key)
	if len(c.order) > keepClaims {
		delete(c.byKey, c.order[0])
		c.order = c.order[1:]
	}
	return nil
}

func (c *Claims) finish(body json.RawMessage) error {
	var f Finish
	if err := json.Unmarshal(body, &f); err != nil {
		return errors.Wrap(err, "decode finish")
	}
	key := claimKey(f.Team, f.Request)
	claimed, ok := c.byKey[key]
	if !ok {
		return errors.Errorf("request %q was never claimed", f.Request)
	}
	if claimed.Finish != nil {
		return errors.Errorf("request %q has ended already", f.Request)
	}
	claimed.Finish = &f
	c.byKey[key] = claimed
	return nil
}

// Lookup returns a claimed request.
func (c *Claims) Lookup(team, request string) (ClaimedRequest, bool) {
	r, ok := c.byKey[claimKey(team, request)]
	return r, ok
}

type claimsSnapshot struct {
	Requests map[string]ClaimedRequest `json:"requests"`
	Order    []string                  `json:"order"`
}

// Snapshot implements logstream.Reducer.
func (c *Claims) Snapshot() (json.RawMessage, error) {
	return json.Marshal(claimsSnapshot{c.byKey, c.order})
}

// Restore implements logstream.Reducer.
func (c *Claims) Restore(data json.RawMessage) error {
	s := claimsSnapshot{Requests: map[string]ClaimedRequest{}}
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode claims snapshot")
	}
	c.byKey, c.order = s.Requests, s.Order
	return nil
}
