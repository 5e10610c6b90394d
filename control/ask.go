package control

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/dispatch"
	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/membership"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// logRetryAfter is the retry delay for requests rejected because the log is unavailable.
const logRetryAfter = 5 * time.Second

// startRetryAfter is the retry delay for requests rejected by a starting scheduler.
const startRetryAfter = time.Second

func (c *Core) handleQuestion(now time.Duration, ev Asked) {
	// A scheduler that has just started knows no team and no job. If it decided, it would reject
	// a valid job permanently with "team has no settings in force".
	if !c.ready {
		c.answer(ev.Ticket, api.Answer{Code: api.Starting, Message: "the scheduler is reading the log; nothing was accepted", RetryAfter: startRetryAfter})
		return
	}
	switch q := ev.Question.(type) {
	case api.JobQuery:
		c.answer(ev.Ticket, c.jobStatus(now, q.Job))
	case api.ListJobs:
		page := c.listJobs(q)
		c.answer(ev.Ticket, api.Answer{Code: api.OK, Jobs: &page})
	case api.Publish:
		if _, findings := q.Change.Check(); len(findings) > 0 {
			c.answer(ev.Ticket, api.Answer{Code: api.Invalid, Message: "the settings are not valid", Findings: findings})
			return
		}
		c.proposeFor(now, ev, settings.KindChange, q.Change)
	case api.PublishKeys:
		if err := q.Change.Check(); err != nil {
			c.answer(ev.Ticket, api.Answer{Code: api.Invalid, Message: err.Error()})
			return
		}
		c.proposeFor(now, ev, settings.KindKeys, q.Change)
	case api.Submit:
		if findings := c.checkJob(q.Job); len(findings) > 0 {
			c.answer(ev.Ticket, api.Answer{Code: api.Invalid, Message: "the job can't be accepted", Findings: findings})
			return
		}
		c.proposeFor(now, ev, placement.KindAccept, q.Job)
	case api.Cancel:
		c.proposeFor(now, ev, placement.KindCancel, placement.End{ID: q.Job, Reason: q.Reason})
	case api.Claim:
		// A decision that is already in the view needs no append.
		granted, err := c.claims.Decision(q.Claim)
		if granted || err != nil {
			c.answer(ev.Ticket, answerTo(logstream.Resolution{Err: err}))
			return
		}
		c.proposeFor(now, ev, dispatch.KindClaim, q.Claim)
	case api.Finish:
		c.proposeFor(now, ev, dispatch.KindFinish, q.Finish)
	default:
		c.answer(ev.Ticket, api.Answer{Code: api.Invalid, Message: fmt.Sprintf("unknown question %T", q)})
	}
}

func (c *Core) answer(ticket uint64, a api.Answer) {
	c.actions = append(c.actions, Answered{Ticket: ticket, Answer: a})
}

func (c *Core) proposeFor(now time.Duration, ev Asked, kind logstream.Kind, body any) {
	if err := c.committer.Propose(now, ev.Ticket, kind, body); err != nil {
		c.answer(ev.Ticket, api.Answer{Code: api.Unavailable, Message: err.Error(), RetryAfter: logRetryAfter})
		return
	}
	c.tickets[ev.Ticket] = ev.Question
}

func answerTo(r logstream.Resolution) api.Answer {
	var findings jsonc.Findings
	var conflict *settings.ConflictError
	var claim *dispatch.ClaimedError
	var forbidden *settings.ForbiddenError
	switch {
	case r.Err == nil:
		return api.Answer{Code: api.OK, Offset: r.Outcome.Offset}
	case errors.Is(r.Err, logstream.ErrOutcomeUnknown):
		return api.Answer{Code: api.InDoubt, Message: r.Err.Error(), RetryAfter: logRetryAfter}
	case errors.Is(r.Err, logstream.ErrLogDown), errors.Is(r.Err, logstream.ErrLost):
		return api.Answer{Code: api.Unavailable, Message: r.Err.Error(), RetryAfter: logRetryAfter}
	case errors.As(r.Err, &findings):
		return api.Answer{Code: api.Invalid, Message: "the settings are not valid", Findings: findings}
	case errors.As(r.Err, &forbidden):
		return api.Answer{Code: api.Forbidden, Message: r.Err.Error()}
	case errors.As(r.Err, &conflict):
		return api.Answer{Code: api.Conflict, Message: r.Err.Error(), Offset: conflict.Current}
	case errors.As(r.Err, &claim):
		return api.Answer{Code: api.Conflict, Message: r.Err.Error(), Claimed: &claim.First}
	default:
		return api.Answer{Code: api.Conflict, Message: r.Err.Error()}
	}
}

// checkJob returns what is wrong with a job, including that no worker of the cell could hold one
// of its tasks.
func (c *Core) checkJob(spec placement.JobSpec) jsonc.Findings {
	var findings jsonc.Findings
	add := func(path, message string) {
		findings = append(findings, jsonc.Finding{File: "job", Line: 1, Column: 1, Path: path, Message: message})
	}
	spec.Validate(add)
	if _, ok := c.tree.Team(spec.Team); !ok && spec.Team != "" {
		add("team", fmt.Sprintf("team %q has no settings in force", spec.Team))
	}
	if message, ok := c.checkWorkerFit(spec.Need); !ok {
		add("need", message)
	}
	return findings
}

func (c *Core) checkWorkerFit(need infra.Resources) (string, bool) {
	var best infra.Worker
	var bestShare float64 = -1
	for _, w := range c.workerList {
		if need.Fits(w.Capacity) {
			return "", true
		}
		if share := coveredShare(need, w.Capacity); share > bestShare {
			best, bestShare = w, share
		}
	}
	if bestShare < 0 {
		return "", true
	}
	return fmt.Sprintf("no worker can ever hold one task: needs %s, the nearest, %s, has %s", need, best.ID, best.Capacity), false
}

// coveredShare returns the smallest share of a required resource that a capacity covers.
func coveredShare(need, capacity infra.Resources) float64 {
	share := 1.0
	for _, p := range [][2]int64{{need.MilliCPU, capacity.MilliCPU}, {need.MemoryMiB, capacity.MemoryMiB}, {need.Accelerators, capacity.Accelerators}} {
		if p[0] > 0 {
			share = min(share, float64(p[1])/float64(p[0]))
		}
	}
	return share
}

func (c *Core) jobStatus(now time.Duration, id string) api.Answer {
	j, ok := c.registry.Job(id)
	if !ok {
		return api.Answer{Code: api.NotFound, Message: fmt.Sprintf("no job %q", id)}
	}
	if j.State != placement.JobOpen {
		st := placement.JobStatus{ID: id, Team: j.Spec.Team, Kind: j.Spec.Kind, State: j.State, Explanation: j.Reason}
		return api.Answer{Code: api.OK, Job: &st, Offset: j.Accepted}
	}
	unit := ownership.HomeOf(id)
	if h, ok := c.homes[unit]; ok {
		if st, ok := h.Status(now, id); ok {
			return api.Answer{Code: api.OK, Job: &st, Offset: j.Accepted}
		}
	}
	owner := c.table.Holder(unit).Owner
	if owner == "" || owner == c.self {
		return api.Answer{Code: api.Unavailable, Message: "the job's home is changing hands", RetryAfter: time.Second}
	}
	return api.Answer{Code: api.Elsewhere, Owner: membership.ID(owner)}
}
