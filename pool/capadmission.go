package pool

import (
	"math"
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/organisation/capshare"
	"github.com/knapweedweir/knapweedweir/pool/capload"
)

// CapEstimate explains the estimate of the wait for an organisation's cap. Amounts are in thousandths of a
// core, megabytes and accelerators.
type CapEstimate struct {
	// Level is what the organisation may use here, its idle share in other pools included; 0: no limit.
	Level organisation.Amounts `json:"level"`
	Used  organisation.Amounts `json:"used"`
	// AheadCoreSeconds is the organisation's waiting work that goes before the job.
	AheadCoreSeconds float64 `json:"aheadCoreSeconds"`
	WaitMillis       int64   `json:"waitMillis"`
}

// capWaitClass is a class of steps whose waits for a cap are observed together.
type capWaitClass struct{ organisation, queue string }

// refreshCapLoads recomputes what runs under each cap.
func (c *Core) refreshCapLoads() {
	c.admission.capLoads, c.admission.capWaits = nil, map[capWaitClass]time.Duration{}
	if !c.hasCaps() {
		return
	}
	runs := map[string][]capload.Run{}
	for _, w := range c.workerList {
		for _, r := range w.runs {
			if org := r.task.step.job.Organisation; org != "" && c.orgs.ledger.IsLimited(org) {
				runs[org] = append(runs[org], capload.Run{Use: r.task.step.spec.countedUse(), Left: c.expectedRemaining(r)})
			}
		}
	}
	c.admission.capLoads = map[string]*capload.Load{}
	for org := range c.orgs.byName {
		if c.orgs.ledger.IsLimited(org) {
			c.admission.capLoads[org] = capload.New(c.reachableLevel(org), runs[org])
		}
	}
}

// reachableLevel returns what an organisation may use in this pool, with what it doesn't use of its share
// in others: they give that away when something waits for it here.
func (c *Core) reachableLevel(org string) organisation.Amounts {
	level, idle := c.orgs.ledger.Level(org), c.orgs.idle.Of(c.now, org)
	for r := range level {
		if limit := c.orgs.byName[org].Cap[r]; limit > 0 {
			level[r] = min(limit, level[r]+idle[r])
		}
	}
	return level
}

// recordIdleShares records what another pool doesn't use of the caps' shares that it holds.
func (c *Core) recordIdleShares(o capshare.Offer) {
	idle := map[string]organisation.Amounts{}
	for org, account := range o.Accounts {
		limit := c.orgs.byName[org].Cap
		var amounts organisation.Amounts
		for r := range amounts {
			held := int64(float64(limit[r]) * float64(account.Held[r]) / capshare.Whole)
			amounts[r] = max(0, held-max(account.Use[r], account.Want[r]))
		}
		if amounts != (organisation.Amounts{}) {
			idle[org] = amounts
		}
	}
	c.orgs.idle.Record(c.now, o.From, idle)
}

// estimateCap adds the wait for the organisation's cap to an estimate, and refuses the job if it can't earn
// anything because of that. It takes nothing from other organisations until then; refusals from the
// objective on cost the organisation 0.04 of what it offered. While no step of the organisation and
// queue is seen to wait for the cap, nothing is refused.
func (c *Core) estimateCap(j *Job, entry *backlogEntry, a *Admission) {
	load := c.admission.capLoads[j.Organisation]
	if load == nil || !c.orgs.ledger.IsLimited(j.Organisation) {
		return
	}
	ahead, unit := c.workUnderCap(j.ID, entry, a.Limit)
	drained := load.Drained(ahead, unit)
	wait := load.Fits(entry.unit, drained)
	own := capWork(entry.demand)
	// Work ahead that doesn't use all of the cap runs beside the job, and the job beside what comes after.
	end := max(wait, load.Drained(ahead.Plus(own), unit))
	level := c.reachableLevel(j.Organisation)
	for r := range level {
		if level[r] == math.MaxInt64 {
			level[r] = 0
		}
	}
	a.Cap = &CapEstimate{Level: level, Used: load.Used(), AheadCoreSeconds: ahead[organisation.CPU] / 1000, WaitMillis: wait.Milliseconds()}
	runTime := max(a.RunTime, end-wait)
	worthFor := worthlessFactor * a.Limit
	excess := time.Duration(waitSafetyFactor*float64(wait)) + runTime - (worthFor - a.SinceFirstTry)
	refused := excess > 0 && wait >= time.Duration(minWaitShare*float64(a.Limit)) && c.isWaitingForCap(j)
	if refused || wait > a.Wait {
		a.Bottleneck, a.Wait, a.RunTime, a.Excess = CapBottleneck, wait, runTime, excess
		a.Takes = capload.New(c.reachableLevel(j.Organisation), nil).Drained(own, entry.unit)
	}
	a.Refused = refused
}

// workUnderCap returns the organisation's work that goes before a job, in any service, and the largest
// amount that it needs at once.
func (c *Core) workUnderCap(job string, entry *backlogEntry, limit time.Duration) (ahead capload.Work, unit organisation.Amounts) {
	h := &c.admission
	unit = entry.unit
	add := func(x *backlogEntry, share float64) {
		if x.organisation == entry.organisation && x.goesBefore(entry) {
			ahead = ahead.Plus(capWork(x.demand.scaled(share)))
			unit = largestAmounts(unit, x.unit)
		}
	}
	for i := range h.backlog {
		add(&h.backlog[i], 1)
	}
	for i := range h.admitted {
		add(&h.admitted[i].entry, 1)
	}
	h.returns.Promised(c.now, job, limit, func(w *refusedWork) {
		if w.organisation != entry.organisation {
			return
		}
		x := w.backlogEntry
		x.due = min(x.due, entry.due)
		add(&x, h.returns.ReturnShare())
	})
	return ahead, unit
}

// isWaitingForCap reports whether a step of the job's organisation and queue is seen to wait for the cap.
func (c *Core) isWaitingForCap(j *Job) bool {
	return c.admission.capWaits[capWaitClass{j.Organisation, j.Queue}] > 0
}

func capWork(d demand) capload.Work {
	return capload.Work{organisation.CPU: d.cpu, organisation.Mem: d.mem, organisation.GPU: d.gpu}
}

func largestAmounts(a, b organisation.Amounts) organisation.Amounts {
	for r := range a {
		a[r] = max(a[r], b[r])
	}
	return a
}
