package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/dispatch"
)

// Timeouts and intervals of claims and of the records that finish them.
const (
	// outcomePollInterval is the interval at which the outcome of a request
	// that another attempt runs is polled. Polls are answered from the
	// scheduler's state and cost no append to the log.
	outcomePollInterval = 50 * time.Millisecond
	// recordRetryDelay is the delay before another attempt to record an outcome.
	recordRetryDelay = 500 * time.Millisecond
	// recordTimeout limits one attempt to record an outcome.
	recordTimeout = 5 * time.Second
	// maxUnrecorded limits the outcomes that wait to be recorded in the log.
	maxUnrecorded = 4096
)

var (
	errInDoubt  = errors.New("the log did not confirm the claim")
	errDeadline = errors.New("the deadline has passed")
)

// proposeClaim proposes a claim, the exclusive right to run a non-idempotent request, and
// reports the result to the core. If the result is in doubt, the call never sends the
// request, and it records the outcome "not run": should the claim turn out to be in the log,
// that record releases it, so that a repeated request can run.
func (c *call) proposeClaim() {
	err := c.awaitClaim()
	inDoubt := errors.Is(err, errInDoubt)
	late := err == nil && !c.setClaim(true, nil)
	if inDoubt || late {
		c.entry.recordFinish(c.finishRecord(dispatch.Finished{Outcome: dispatch.NotRun}))
	}
	c.entry.post(claimResult{id: c.id, err: err, mayBeOurs: inDoubt})
}

// awaitClaim repeats the claim until it is granted, refused or in doubt. While another
// attempt runs the request, it waits for the outcome of that attempt. The claim is sent even
// while the log is down, since the scheduler still knows the records that it has read.
func (c *call) awaitClaim() error {
	for {
		left := c.deadline - daemon.Clock()
		if left <= 0 {
			return errDeadline
		}
		a, err := c.entry.schedulerClients.askAny(c.ctx, c.claimRequest(), left)
		switch {
		case errors.Is(err, errNoSchedulerReached):
			return err
		case err != nil || a.Code == api.InDoubt:
			return errInDoubt
		case a.Code == api.OK:
			return nil
		case a.Claimed == nil:
			return errors.New(a.Message)
		}
		// From now on "not run" would be a wrong answer: another attempt may
		// run the request.
		c.setClaim(false, a.Claimed)
		if a.Claimed.Finish != nil || a.Claimed.Claim.Attempt == "" || !pauseFor(c.ctx, min(outcomePollInterval, left)) {
			return errors.New(a.Message)
		}
	}
}

// setClaim stores the result of the claim. It returns false if the call has ended.
func (c *call) setClaim(granted bool, holder *dispatch.ClaimedRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claim.ended {
		return false
	}
	c.claim.granted, c.claim.holder = granted, holder
	return true
}

// endClaim marks the call as ended. It returns whether the claim was granted and, if not,
// the attempt that holds it.
func (c *call) endClaim() (bool, *dispatch.ClaimedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claim.ended = true
	return c.claim.granted, c.claim.holder
}

func (c *call) finishRecord(f dispatch.Finished) dispatch.Finish {
	fin := dispatch.Finish{Team: c.team, Service: c.service, Request: c.requestID, Attempt: c.attemptID(), Outcome: f.Outcome}
	if f.Outcome == dispatch.Done {
		fin.Status, fin.ContentType = c.answer.status, c.answer.contentType
		if c.answer.whole && len(c.answer.body) <= dispatch.MaxKeptBody {
			fin.Body = c.answer.body
		}
	}
	return fin
}

// recordFinish records the outcome of an attempt in the log, and retries until the log has
// it. If this entry crashes before, repeated requests are answered with "unknown", which is
// safe though less precise.
func (e *Entry) recordFinish(fin dispatch.Finish) {
	if e.unrecordedOutcomes.Add(1) > maxUnrecorded {
		e.unrecordedOutcomes.Add(-1)
		e.process.Log.Warn().Str("request", fin.Request).Msg("request.outcome_not_recorded")
		return
	}
	go func() {
		defer e.unrecordedOutcomes.Add(-1)
		for {
			a, err := e.schedulerClients.askAny(e.background, api.Finish{Finish: fin}, recordTimeout)
			// A conflict means that the log already has an outcome of the attempt.
			if err == nil && (a.Code == api.OK || a.Code == api.Conflict) {
				return
			}
			if !pauseFor(e.background, recordRetryDelay) {
				e.process.Log.Warn().Str("request", fin.Request).Msg("request.outcome_not_recorded")
				return
			}
		}
	}()
}

// pauseFor waits for d. It returns false if ctx is cancelled first.
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
