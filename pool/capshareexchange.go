package pool

import (
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/organisation/capshare"
)

// capShareExchangeInterval is the time between two exchanges of shares with the owners of other pools, and
// shortCapShareExchangeInterval that while tasks wait for a cap here.
const (
	capShareExchangeInterval      = time.Second
	shortCapShareExchangeInterval = 150 * time.Millisecond
)

func (c *Core) capShareRootKnown(e CapShareRootKnown) {
	if e.Pool == c.settings.Pool {
		c.orgs.ledger.SetRoot()
		c.replan, c.retryAllSteps = true, true
	}
}

// capShareOffered takes what another pool gives, and gives it what it needs more.
func (c *Core) capShareOffered(e CapShareOffered) {
	if e.Offer.From == c.settings.Pool {
		return
	}
	c.recordIdleShares(e.Offer)
	if c.orgs.ledger.Handle(e.Offer, c.totalCapacity(), c.organisationDemands()) {
		c.replan, c.retryAllSteps = true, true
	}
	if c.orgs.ledger.HasChanges() {
		c.saveAtOnce = true
	}
}

// capShareRecords returns the records of changed shares for a save.
func (c *Core) capShareRecords() (records []Record) {
	for _, r := range c.orgs.ledger.Changes(c.saveSeq) {
		records = append(records, Record{Key: CapShareKey(r.Organisation), Value: Encode(r)})
	}
	return records
}

// CapShareExchangeDue reports whether an offer is to be sent to the owners of other pools now.
func (c *Core) CapShareExchangeDue(now time.Duration) bool {
	o := &c.orgs
	interval := capShareExchangeInterval
	if len(o.waiting) > 0 {
		interval = shortCapShareExchangeInterval
	}
	if !c.hasCaps() || (now-o.exchangedAt < interval && !o.exchangeSoon) {
		return false
	}
	o.exchangedAt, o.exchangeSoon = now, false
	return true
}

func (c *Core) hasCaps() bool {
	for name := range c.orgs.byName {
		if c.orgs.ledger.IsLimited(name) {
			return true
		}
	}
	return false
}

// CapShareOffer returns the message to the owner of another pool.
func (c *Core) CapShareOffer(to int) capshare.Offer {
	return c.orgs.ledger.Offer(to, c.totalCapacity(), c.organisationDemands())
}

func (c *Core) totalCapacity() (sum organisation.Amounts) {
	for _, w := range c.workerList {
		if w.listed && !w.Draining {
			sum = sum.Plus(w.Capacity.Amounts())
		}
	}
	return sum
}

// organisationDemands returns what the organisations use and want in this pool. They want no more than
// the pool has free capacity for, since they would keep it from other pools without using it; but
// always enough for the step that waits for the cap.
func (c *Core) organisationDemands() map[string]capshare.Demand {
	c.estimateInheritedUse(c.takeoverComplete())
	demands := map[string]capshare.Demand{}
	waiting := c.waitingByOrganisation()
	free := c.freeCapacity()
	for name := range c.orgs.byName {
		if !c.orgs.ledger.IsLimited(name) {
			continue
		}
		d := capshare.Demand{Use: c.usedBy(name)}
		if s := c.orgs.waiting[name]; s != nil && s.remaining > 0 && !s.job.state.Ended() {
			d.Unit, d.SinceMs = s.unitOfCap(), max(1, s.job.AcceptedMs, s.job.DueMs(s.id.K))
		}
		for r := range d.Want {
			d.Want[r] = d.Use[r] + max(d.Unit[r], min(waiting[name][r], free[r]))
		}
		demands[name] = d
	}
	return demands
}

// waitingByOrganisation returns what the waiting tasks would use, by organisation.
func (c *Core) waitingByOrganisation() map[string]organisation.Amounts {
	sum := map[string]organisation.Amounts{}
	for _, j := range c.activeJobs {
		if !c.orgs.ledger.IsLimited(j.Organisation) {
			continue
		}
		for _, occ := range j.occurrences {
			for _, s := range occ.steps {
				if s.ready && s.remaining > 0 && s.anyWaiting(c.now) {
					sum[j.Organisation] = sum[j.Organisation].Plus(s.spec.countedUse().Times(s.countWaiting(c.now)))
				}
			}
		}
	}
	return sum
}

// countWaiting returns the number of tasks that could be started now.
func (s *step) countWaiting(now time.Duration) (n int64) {
	for _, t := range s.tasks {
		if t.isWaiting(now) {
			n++
		}
	}
	return n
}

func (c *Core) freeCapacity() (sum organisation.Amounts) {
	for _, w := range c.workerList {
		if !w.listed || w.Draining || !c.acceptsTasks(w) {
			continue
		}
		for r, amount := range w.free().Amounts() {
			sum[r] += max(0, amount)
		}
	}
	return sum
}
