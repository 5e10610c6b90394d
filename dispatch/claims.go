package dispatch

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
)

// Record kinds of non-idempotent requests.
const (
	KindClaim  logstream.Kind = "request.claim"
	KindFinish logstream.Kind = "request.finish"
)

// Every instance reads these records, so they use short keys.

// Claim proposes to run a non-idempotent request. The first claim of a request in the log wins.
// Nobody else may send the request to a runner unless a Finish records that the winner did not
// run it.
type Claim struct {
	Team    string `json:"t"`
	Service string `json:"s"`
	Request string `json:"r"`
	// Attempt identifies one call of a caller at one entry. Only that call may send the request,
	// so the same attempt may be proposed more than once.
	Attempt string `json:"a"`
}

// Finish records how an attempt to run a request ended.
type Finish struct {
	Team    string  `json:"t"`
	Service string  `json:"s"`
	Request string  `json:"r"`
	Attempt string  `json:"a"`
	Outcome Outcome `json:"o"`
	Status  int     `json:"c,omitempty"`
	// Body is the answer if it is small enough to be stored.
	Body        []byte `json:"b,omitempty"`
	ContentType string `json:"y,omitempty"`
}

// MaxKeptBody is the size limit, in bytes, of an answer body stored for repeats of a
// non-idempotent request.
const MaxKeptBody = 4096

// ClaimedRequest is the winning claim and, once known, its result.
type ClaimedRequest struct {
	Claim  Claim   `json:"claim"`
	Finish *Finish `json:"finish,omitempty"`
	// Abandoned are attempts that were given up while it was unknown whether their claims are in
	// the log. Such a claim may still reach the log. If it won then, nobody would ever send the
	// request, and all its repeats would get "unknown".
	Abandoned []string `json:"abandoned,omitempty"`
}

// maxAbandoned bounds the abandoned attempts stored per request. An unconfirmed claim reaches
// the log within seconds or never, so the newest few are sufficient.
const maxAbandoned = 8

// isUnclaimed reports whether another attempt may run the request.
func (r *ClaimedRequest) isUnclaimed() bool { return r.Finish != nil && r.Finish.Outcome == NotRun }

// publicCopy returns the part that callers of the reducer get. It shares no data that changes
// later.
func (r *ClaimedRequest) publicCopy() ClaimedRequest {
	return ClaimedRequest{Claim: r.Claim, Finish: r.Finish}
}

func (r *ClaimedRequest) abandon(attempt string) {
	r.Abandoned = append(r.Abandoned, attempt)
	if extra := len(r.Abandoned) - maxAbandoned; extra > 0 {
		r.Abandoned = slices.Delete(r.Abandoned, 0, extra)
	}
}

// ClaimedError rejects a claim whose request is held, or was run, by another attempt. First is
// zero if only the fact of the claim is still stored.
type ClaimedError struct{ First ClaimedRequest }

func (e *ClaimedError) Error() string {
	switch {
	case e.First.Claim.Attempt == "":
		return "the request was claimed long ago; its outcome is no longer kept"
	case e.First.Finish == nil:
		return "the request was claimed by attempt " + e.First.Claim.Attempt + "; its outcome is not known"
	}
	return "the request has ended: " + string(e.First.Finish.Outcome)
}

// errAbandoned rejects a claim that its own caller has given up.
var errAbandoned = errors.New("the attempt was given up before its claim was read")

// Claims records which attempt may run which non-idempotent request. It implements
// logstream.Reducer.
type Claims struct {
	memory claimMemory
}

// NewClaims returns an empty table.
func NewClaims() *Claims { return &Claims{memory: newClaimMemory(defaultClaimLimits)} }

// Name implements logstream.Reducer.
func (c *Claims) Name() string { return "claims" }

// Kinds implements logstream.Reducer.
func (c *Claims) Kinds() []logstream.Kind { return []logstream.Kind{KindClaim, KindFinish} }

func claimKey(team, service, request string) string {
	return team + "\x00" + service + "\x00" + request
}

// Apply implements logstream.Reducer.
func (c *Claims) Apply(_ infra.Offset, rec logstream.Record) error {
	if rec.Kind == KindFinish {
		var f Finish
		if err := json.Unmarshal(rec.Body, &f); err != nil {
			return errors.Wrap(err, "decode finish")
		}
		return c.finish(f)
	}
	var claim Claim
	if err := json.Unmarshal(rec.Body, &claim); err != nil {
		return errors.Wrap(err, "decode claim")
	}
	return c.claim(claim)
}

func (c *Claims) claim(claim Claim) error {
	granted, err := c.Decision(claim)
	if granted || err != nil {
		return err
	}
	key := claimKey(claim.Team, claim.Service, claim.Request)
	next := &ClaimedRequest{Claim: claim}
	if old, ok := c.memory.records[key]; ok {
		next.Abandoned = old.Abandoned
	}
	c.memory.put(key, next)
	return nil
}

// Decision returns what is already decided about a claim: granted, or rejected with an error.
// With neither, the claim would win if it came next in the log.
func (c *Claims) Decision(claim Claim) (granted bool, err error) {
	key := claimKey(claim.Team, claim.Service, claim.Request)
	r, ok := c.memory.records[key]
	switch {
	case !ok && c.memory.fingerprints.has(key):
		return false, &ClaimedError{}
	case !ok:
		return false, nil
	case slices.Contains(r.Abandoned, claim.Attempt):
		return false, errAbandoned
	case r.isUnclaimed():
		return false, nil
	case r.Claim.Attempt == claim.Attempt && r.Finish == nil:
		return true, nil
	}
	return false, &ClaimedError{First: r.publicCopy()}
}

func (c *Claims) finish(f Finish) error {
	key := claimKey(f.Team, f.Service, f.Request)
	r, ok := c.memory.records[key]
	switch {
	case ok && r.Claim.Attempt == f.Attempt && r.Finish == nil:
		r.Finish = &f
		if f.Outcome == NotRun {
			r.abandon(f.Attempt)
		}
		c.memory.addBody(key, r)
		return nil
	case ok && r.Claim.Attempt == f.Attempt:
		return errors.Errorf("attempt %q has ended already", f.Attempt)
	case f.Outcome != NotRun:
		return errors.Errorf("attempt %q does not hold request %q", f.Attempt, f.Request)
	case ok:
		r.abandon(f.Attempt)
		return nil
	case c.memory.fingerprints.has(key):
		return nil
	}
	// The finish record arrived before the claim that it belongs to.
	r = &ClaimedRequest{Claim: Claim{Team: f.Team, Service: f.Service, Request: f.Request, Attempt: f.Attempt}, Finish: &f}
	r.abandon(f.Attempt)
	c.memory.put(key, r)
	return nil
}

// Lookup returns a claimed request.
func (c *Claims) Lookup(team, service, request string) (ClaimedRequest, bool) {
	r, ok := c.memory.records[claimKey(team, service, request)]
	if !ok {
		return ClaimedRequest{}, false
	}
	return r.publicCopy(), true
}

// Snapshot implements logstream.Reducer.
func (c *Claims) Snapshot() (json.RawMessage, error) { return c.memory.snapshot() }

// Restore implements logstream.Reducer.
func (c *Claims) Restore(data json.RawMessage) error { return c.memory.restore(data) }
