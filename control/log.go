package control

import (
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings"
)

// LogDown reports whether the log counts as unavailable.
func (c *Core) LogDown(now time.Duration) bool { return c.health.Down(now) }

// propose queues a record of the core's own. Its result is seen in the view; what did not take
// effect is proposed again in a later step.
func (c *Core) propose(now time.Duration, kind logstream.Kind, body any) {
	c.nextTicket++
	_ = c.committer.Propose(now, c.nextTicket, kind, body)
}

func (c *Core) commit(now time.Duration) {
	batch, res := c.committer.Step(now)
	c.resolve(res)
	if batch != nil {
		c.actions = append(c.actions, AppendLog{Batch: batch, Cause: c.committer.LastCause()})
	}
}

// NextRead returns the next read of the log to perform.
func (c *Core) NextRead() logstream.ReadRequest { return c.follower.Next() }

func (c *Core) logRead(now time.Duration, ev LogRead) {
	expired := errors.Is(ev.Err, infra.ErrExpired)
	if ev.Err != nil && !expired {
		c.health.RecordRead(now, ev.Err)
		c.resolve(c.committer.SetDown(c.LogDown(now)))
		return
	}
	c.health.RecordRead(now, nil)
	// Without this, a request between this read and the next tick would be rejected as if the
	// log were still unavailable.
	c.resolve(c.committer.SetDown(c.LogDown(now)))
	restored := c.follower.HandleRead(ev.Read, ev.Page, ev.Err, func(out logstream.Outcome) { c.applyOutcome(now, out) })
	if c.follower.CaughtUp() && !c.ready {
		c.ready = true
		c.version++
	}
	if restored || c.ownersChanged {
		c.syncOwnership(now)
	}
	if restored {
		c.viewRestored(now)
	}
	if c.follower.CaughtUp() {
		c.prober.recordRead(ev.StartedAt, c.view.Offset())
		for _, s := range c.shards {
			s.ConfirmOwner(ev.StartedAt)
		}
	}
}

// viewRestored updates the owned homes and shards after the view skipped records by adopting a
// snapshot: jobs may have been accepted or ended in between.
func (c *Core) viewRestored(now time.Duration) {
	c.version++
	c.resolve(c.committer.HandleRestore(c.view.Writer(c.cfg.ID)))
	c.health.RecordReadBack()
	for _, u := range c.ownedHomes() {
		h := c.homes[u]
		for _, name := range c.tree.Teams() {
			v, _ := c.tree.Team(name)
			h.SetTeam(now, name, v.Team)
		}
		for _, id := range h.Jobs() {
			if j, ok := c.registry.Job(id); !ok || j.State != placement.JobOpen {
				h.JobEnded(now, id)
			}
		}
		for _, j := range c.openJobs(u) {
			h.AddJob(now, j)
		}
	}
	c.markAllHomes()
	c.sweep()
}

// listedSchedulers returns the number of schedulers in the platform's list. Without it, a
// scheduler that is partitioned from the others would use their shares of the append budget.
func (c *Core) listedSchedulers() int {
	n := 0
	for _, i := range c.instances {
		if i.Service == SchedService {
			n++
		}
	}
	return n
}

// appendDone handles the result of an append. It decides nothing about the records and only
// updates the health of the log.
func (c *Core) appendDone(now time.Duration, ev AppendDone) {
	// The answer of an append may be lost after the record was read back. If that counted as a
	// failure, the log would count as unavailable permanently: nothing is in flight whose retry
	// could show that appends work, and new proposals are rejected.
	if _, inflight := c.committer.Pending(); ev.Err == nil || inflight > 0 {
		c.health.RecordAppend(now, ev.Err)
	}
	c.resolve(c.committer.SetDown(c.LogDown(now)))
}

// openJobs returns the open jobs of a home in the order of their acceptance.
func (c *Core) openJobs(u ownership.Unit) []placement.Job {
	var open []placement.Job
	c.registry.Each(func(j placement.Job) {
		if j.State == placement.JobOpen && ownership.HomeOf(j.Spec.ID) == u {
			open = append(open, j)
		}
	})
	sort.Slice(open, func(i, k int) bool { return open[i].Accepted < open[k].Accepted })
	return open
}

// applyOutcome handles the outcome of a record in the view.
func (c *Core) applyOutcome(now time.Duration, out logstream.Outcome) {
	if out.Record.Writer == c.cfg.ID && out.Record.Incarnation == c.cfg.Incarnation {
		c.health.RecordReadBack()
	}
	c.resolve(c.committer.ReadBack(out))
	if out.Err != nil {
		return
	}
	if slices.Contains(stateKinds, out.Record.Kind) {
		c.version++
	}
	// Settings, owners and ends of jobs may unblock any home; a new job only its own.
	switch out.Record.Kind {
	case placement.KindEnd, placement.KindCancel, settings.KindChange, ownership.KindClaim:
		c.markAllHomes()
	}
	switch out.Record.Kind {
	case placement.KindAccept:
		c.jobAccepted(now, out)
	case placement.KindEnd, placement.KindCancel:
		c.jobEnded(now, out)
	case settings.KindChange:
		c.teamChanged(now, out)
	case ownership.KindClaim:
		c.ownersChanged = true
		c.countTakeover(now, out.Record)
		c.ownerChanged(now, out)
	}
}

// resolve answers the requests whose proposals were decided.
func (c *Core) resolve(list []logstream.Resolution) {
	for _, r := range list {
		if r.Ticket >= ownTicketBit {
			continue
		}
		delete(c.tickets, r.Ticket)
		c.answer(r.Ticket, answerTo(r))
	}
}
