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

// isShort reports whether jobs of a queue wait, or the owner lags behind its events, so that jobs beyond
// a weight would delay others.
func (c *Core) isShort(queue string, limit time.Duration) bool {
	lags := c.laggedAt != 0 && c.now-c.laggedAt < caughtUpAfter
	return lags || c.admission.observedWait(c.now, queue) >= time.Duration(minWaitShare*float64(limit))
}

// refuseBeyondWeight decides on a job beyond its organisation's weight.
func (c *Core) refuseBeyondWeight(j *Job, q Queue, runTime time.Duration) Admission {
	c.refreshBacklog()
	limit := time.Duration(q.Slack*float64(runTime)) + q.Target
	if profile := c.admission.profiles[j.Service]; profile == nil || !profile.estimable || !c.isShort(j.Queue, limit) {
		return Admission{}
	}
	after := c.orgs.weights[j.Organisation].Recovery(c.orgs.byName[j.Organisation].Weight)
	return Admission{Refused: true, Estimated: true, Bottleneck: WeightBottleneck, Wait: c.admission.observedWait(c.now, j.Queue), RunTime: runTime, Limit: limit,
		RetryAfter: addRetryJitter(j.ID, c.now, min(max(after, minRetryAfter), maxRetryAfter))}
}
