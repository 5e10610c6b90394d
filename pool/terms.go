package pool

import "time"

// Terms are the parts of its queue's policy under which a job was accepted. A later configuration may lack the
// queue or change it, and the job still has to be completed.
type Terms struct {
	Priority int     `json:"p,omitempty"`
	Attempts int     `json:"a,omitempty"`
	Slack    float64 `json:"s,omitempty"`
	TargetMs int64   `json:"t,omitempty"`
	// Advice is nil if any worker may run the queue's steps.
	Advice *AdviceTerms `json:"v,omitempty"`
}

// Terms returns the terms of a job that is accepted under the policy.
func (q Queue) Terms() *Terms {
	return &Terms{Priority: q.Priority, Attempts: q.Attempts, Slack: q.Slack, TargetMs: q.Target.Milliseconds(), Advice: q.Advice}
}

func (t *Terms) equal(o *Terms) bool {
	if t == nil || o == nil {
		return t == o
	}
	a, b := *t, *o
	a.Advice, b.Advice = nil, nil
	sameAdvice := t.Advice == o.Advice || (t.Advice != nil && o.Advice != nil && *t.Advice == *o.Advice)
	return a == b && sameAdvice
}

// queuePolicy returns the policy that applies to a job. Its attempts are those of the job's terms, and all else
// is that of the queue as long as it is configured.
func (c *Core) queuePolicy(j *job) (Queue, bool) {
	q, known := c.queues[j.Queue]
	t := j.Terms
	if t == nil || j.Queue == "" { // a queue that a newer version hides
		return q, known
	}
	if !known {
		q = Queue{Name: j.Queue, Service: j.Service, Priority: t.Priority, Slack: t.Slack, Target: time.Duration(t.TargetMs) * time.Millisecond}
	}
	q.Attempts = t.Attempts
	if q.Advice == nil { // the workers may still ask for tickets
		q.Advice = t.Advice
	}
	return q, true
}

// changeQueues replaces the queues. Jobs that an older version has stored without terms get those of a queue that
// is removed.
func (c *Core) changeQueues(queues map[string]Queue) {
	for _, j := range c.activeJobs {
		former, known := c.queues[j.Queue]
		if _, remains := queues[j.Queue]; known && !remains && j.Terms == nil {
			j.Terms, j.specChanged = former.Terms(), true
			c.markDirty(j)
		}
	}
	c.queues = queues
	c.policyVersion++
	c.replan = true
}

// countActive counts a job that becomes active, or ends.
func (c *Core) countActive(j *job, n int) {
	if c.jobsByService[j.Service] += n; c.jobsByService[j.Service] == 0 {
		delete(c.jobsByService, j.Service)
	}
	c.repeated.countActive(j, n)
	c.memory += int64(n) * j.memory()
}

// HasJobsOf reports whether accepted jobs of a service haven't ended.
func (c *Core) HasJobsOf(service string) bool { return c.jobsByService[service] > 0 }
