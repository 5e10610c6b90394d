package control

import (
	"time"

	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings"
)

// LogDown reports whether the log has been silent for too long.
func (c *Core) LogDown(now time.Duration) bool { return now-c.logHeardAt >= c.cfg.LogDownAfter }

// propose queues a record of this core's own. What becomes of it is seen in
// the view, and what did not take effect is proposed again by the next step.
func (c *Core) propose(now time.Duration, kind logstream.Kind, body any) {
	c.nextTicket++
	_ = c.committer.Propose(now, c.nextTicket, kind, body)
}

func (c *Core) commit(now time.Duration) {
	batch, res := c.committer.Step(now)
	c.resolve(res)
	if batch != nil {
		c.actions = append(c.actions, AppendLog{Batch: batch})
	}
}

func (c *Core) logRead(now time.Duration, ev LogRead) {
	if ev.Err != nil {
		return
	}
	c.logHeardAt = now
	// Without this a question that comes between this read and the next tick
	// would be turned away as if the log were still down; SetDown(false) only
	// lifts the refusal and resolves nothing.
	c.committer.SetDown(false)
	changed := false
	for _, e := range ev.Page.Entries {
		before := c.view.Offset()
		out, ok := c.view.Apply(e)
		changed = changed || c.view.Offset() != before
		if ok {
			c.ruled(now, out)
		}
	}
	c.caughtUp = c.view.Offset() >= ev.Page.Tail
	if c.caughtUp && !c.ready {
		c.ready, changed = true, true
	}
	if changed {
		c.version++
		c.takeOver(now)
	}
	if c.caughtUp {
		for _, s := range c.shards {
			s.ConfirmOwner(ev.Began)
		}
	}
	for _, u := range c.ownedHomes() {
		c.stepHome(now, c.homes[u])
	}
}

// ruled acts on a ruling of the view.
func (c *Core) ruled(now time.Duration, out logstream.Outcome) {
	c.resolve(c.committer.ReadBack(out))
	if out.Err != nil {
		return
	}
	switch out.Record.Kind {
	case placement.KindAccept:
		c.jobAccepted(now, out)
	case placement.KindEnd, placement.KindCancel:
		c.jobEnded(now, out)
	case settings.KindChange:
		c.teamChanged(now, out)
	}
}

// resolve answers the questions whose proposals were decided.
func (c *Core) resolve(list []logstream.Resolution) {
	for _, r := range list {
		if r.Ticket >= ownTickets {
			continue
		}
		delete(c.tickets, r.Ticket)
		c.answer(r.Ticket, answerTo(r))
	}
}
