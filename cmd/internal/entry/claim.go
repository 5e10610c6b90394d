package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/dispatch"
)

// Timing of claims and finishes.
const (
	// repeatLook is the pause between two looks at the outcome of a request
	// that another attempt runs. Looks are answered from the scheduler's
	// view and cost no append.
	repeatLook = 50 * time.Millisecond
	// recordRetry is the pause between two tries to record a finish.
	recordRetry = 500 * time.Millisecond
	// recordTimeout bounds one try.
	recordTimeout = 5 * time.Second
	// maxUnrecorded bounds the finishes that wait for the log.
	maxUnrecorded = 4096
)

var (
	errInDoubt  = errors.New("the log did not confirm the claim")
	errDeadline = errors.New("the deadline has passed")
)

// askClaim asks for the right to run a non-idempotent request and tells the core
// the ruling. If the claim is in doubt, the call never sends anything, and the
// record of that frees the request for a repeat, should the claim still win.
func (c *call) askClaim() {
	err := c.settleClaim()
	inDoubt := errors.Is(err, errInDoubt)
	late := err == nil && !c.noteClaim(true, nil)
	if inDoubt || late {
		c.entry.record(c.finishRecord(dispatch.Finished{Outcome: dispatch.NotRun}))
	}
	c.entry.post(claimed{id: c.id, err: err, mayBeOurs: inDoubt})
}

// settleClaim asks until the claim is granted, refused or in doubt. While another
// attempt runs the request it waits for the first outcome. It also asks while
// the log is down: what the scheduler has read before is still known there.
func (c *call) settleClaim() error {
	for {
		left := c.until - daemon.Clock()
		if left <= 0 {
			return errDeadline
		}
		a, err := c.entry.scheds.askAny(c.ctx, c.claimQuestion(), left)
		switch {
		case errors.Is(err, errNobodyAsked):
			return err
		case err != nil || a.Code == api.InDoubt:
			return errInDoubt
		case a.Code == api.OK:
			return nil
		case a.Claimed == nil:
			return errors.New(a.Message)
		}
		// The caller must not be told "not run" from now on: another attempt
		// may run the request.
		c.noteClaim(false, a.Claimed)
		if a.Claimed.Finish != nil || a.Claimed.Claim.Attempt == "" || !pauseFor(c.ctx, min(repeatLook, left)) {
			return errors.New(a.Message)
		}
	}
}

// noteClaim keeps what is known of the claim; false if the call is over.
func (c *call) noteClaim(granted bool, first *dispatch.ClaimedRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claim.ended {
		return false
	}
	c.claim.granted, c.claim.first = granted, first
	return true
}

// endClaim ends the call's use of its claim. It reports whether the claim was
// granted and who holds the request otherwise.
func (c *call) endClaim() (bool, *dispatch.ClaimedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claim.ended = true
	return c.claim.granted, c.claim.first
}

func (c *call) finishRecord(f dispatch.Finished) dispatch.Finish {
	fin := dispatch.Finish{Team: c.team, Service: c.service, Request: c.name, Attempt: c.attempt(), Outcome: f.Outcome}
	if f.Outcome == dispatch.Done {
		fin.Status, fin.ContentType = c.answer.status, c.answer.contentType
		if c.answer.whole && len(c.answer.body) <= dispatch.MaxKeptBody {
			fin.Body = c.answer.body
		}
	}
	return fin
}

// record notes in the log how an attempt ended, and tries until the log has it.
// Should this entry die before, repeats are told "unknown", which is true as
// far as it goes.
func (e *Entry) record(fin dispatch.Finish) {
	if e.unrecorded.Add(1) > maxUnrecorded {
		e.unrecorded.Add(-1)
		e.process.Log.Warn().Str("request", fin.Request).Msg("request.outcome_not_recorded")
		return
	}
	go func() {
		defer e.unrecorded.Add(-1)
		for {
			a, err := e.scheds.askAny(e.background, api.Finish{Finish: fin}, recordTimeout)
			// A conflict means that the log has an end of the attempt already.
			if err == nil && (a.Code == api.OK || a.Code == api.Conflict) {
				return
			}
			if !pauseFor(e.background, recordRetry) {
				e.process.Log.Warn().Str("request", fin.Request).Msg("request.outcome_not_recorded")
				return
			}
		}
	}()
}

// pauseFor waits; false if the context ended first.
func pauseFor(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
