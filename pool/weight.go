package pool

import (
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
)

// An organisation that submits many times its usual (a noisy neighbour) must not delay the others. Its
// jobs beyond its weight, in jobs per second, come after the jobs that are within their organisations'
// weights, and are the first to be refused when the pool can't keep up.

// countTowardsWeight counts a job, and reports whether it is beyond its organisation's weight. Jobs without
// an organisation aren't.
func (c *Core) countTowardsWeight(j *Job, at time.Duration) (beyond bool) {
	o, known := c.orgs.byName[j.Organisation]
	if !known {
		return false
	}
	bucket := c.orgs.weights[o.Name]
	if bucket == nil {
		bucket = &organisation.WeightBucket{}
		c.orgs.weights[o.Name] = bucket
	}
	return !bucket.Take(o.Weight, at)
}

// isBeyondWeight reports whether a job that is submitted now is beyond its organisation's weight. It doesn't
// count the job.
func (c *Core) isBeyondWeight(j *Job) bool {
	o, known := c.orgs.byName[j.Organisation]
	if !known {
		return false
	}
	bucket := c.orgs.weights[o.Name]
	if bucket == nil {
		bucket = &organisation.WeightBucket{}
	}
	return !bucket.Within(o.Weight, c.now)
}

// isShort reports whether a job beyond a weight would delay others: jobs of its queue wait, the owner lags
// behind its events, or another organisation's job within its weight was refused and its caller comes back.
func (c *Core) isShort(j *Job, limit time.Duration) bool {
	lags := c.laggedAt != 0 && c.now-c.laggedAt < caughtUpAfter
	return lags || c.refusesWithinWeight(j, limit) || c.admission.observedWait(c.now, waitClass{j.Queue, true}) >= time.Duration(minWaitShare*float64(limit))
}

// refusesWithinWeight reports whether a job of the same queue within its weight was refused just now, or
// holds a place that becomes due soon.
func (c *Core) refusesWithinWeight(j *Job, limit time.Duration) (refused bool) {
	h := &c.admission
	if last, ok := h.lastShort[j.Queue]; ok && c.now-last < resumeWindow {
		return true
	}
	h.returns.Promised(c.now, "", limit, func(w *refusedWork) {
		refused = refused || (w.queue == j.Queue && w.organisation != j.Organisation && !w.beyondWeight && w.forWantOfPool)
	})
	return refused
}

// refuseBeyondWeight decides on a job beyond its organisation's weight.
func (c *Core) refuseBeyondWeight(j *Job, q Queue, entry *backlogEntry, runTime time.Duration) Admission {
	c.refreshBacklog()
	limit := time.Duration(q.Slack*float64(runTime)) + q.Target
	if profile := c.admission.profiles[j.Service]; profile == nil || !profile.estimable || !c.isShort(j, limit) {
		return Admission{}
	}
	return Admission{Refused: true, Estimated: true, Bottleneck: WeightBottleneck, Wait: c.admission.observedWait(c.now, waitClass{j.Queue, true}), RunTime: runTime,
		Limit: limit, Takes: c.takesOfWeight(j, entry)}
}

// takesOfWeight returns the time for which a job uses its organisation's weight, or the pool if the
// organisation has none.
func (c *Core) takesOfWeight(j *Job, entry *backlogEntry) time.Duration {
	if weight := c.orgs.byName[j.Organisation].Weight; weight > 0 {
		return time.Second / time.Duration(weight)
	}
	return entry.demand.timeAt(c.admission.profiles[j.Service].fullRate)
}
