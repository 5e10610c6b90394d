package pool

import (
	"cmp"
	"slices"
)

// worthlessFactor is the multiple of its objective after which a job has no value any more.
const worthlessFactor = 3

// Tier ranks a step by the value that its job can still earn.
type Tier int

// The tiers, most urgent first.
const (
	OnTime Tier = iota
	PastDue
	// BeyondWeight is the tier of jobs beyond their organisations' weights that can still earn value.
	BeyondWeight
	Worthless
)

// urgency determines the order in which waiting steps get capacity.
type urgency struct {
	tier     Tier
	priority int
	due      int64 // Unix milliseconds
	// worthUntil is when the job has to be completed to have any value, in Unix milliseconds.
	worthUntil int64
}

// compare orders two steps by urgency.
func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.tier, o.tier), cmp.Compare(u.priority, o.priority), cmp.Compare(u.due, o.due))
}

// moreUrgentThan reports whether a step has a more urgent tier or priority than another, not just
// an earlier due time.
func (u urgency) moreUrgentThan(o urgency) bool {
	return cmp.Or(cmp.Compare(u.tier, o.tier), cmp.Compare(u.priority, o.priority)) < 0
}

// urgencyOf returns the urgency of a step, based on the value that its job can still earn.
func (c *Core) urgencyOf(s *step) urgency {
	q := c.policy(s)
	start := max(s.job.AcceptedMs, s.job.DueMs(s.id.K))
	objective := int64(q.Slack*float64(s.criticalPathMs)) + q.Target.Milliseconds()
	u := urgency{priority: q.Priority, due: start + objective, worthUntil: start + worthlessFactor*objective}
	if s.spec.LongRunning {
		return u // has value as long as it runs
	}
	earliestEnd := c.unixMs + s.remainingPathMs
	switch {
	case s.job.beyondWeight && earliestEnd <= u.worthUntil:
		u.tier = BeyondWeight
	case earliestEnd > u.worthUntil:
		u.tier = Worthless
	case earliestEnd > u.due:
		u.tier = PastDue
	}
	return u
}

// criticalPathMs returns the declared run time of the critical path from a step on.
func (j *Job) criticalPathMs(from int) int64 {
	longest := make([]int64, len(j.Steps))
	best := int64(0)
	for i := range j.Steps {
		if i < from {
			continue
		}
		for _, p := range j.Steps[i].After {
			if p < i {
				longest[i] = max(longest[i], longest[p])
			}
		}
		longest[i] += j.Steps[i].EstimateMs
		best = max(best, longest[i])
	}
	return best
}

// ratedStep is a waiting step with its urgency.
type ratedStep struct {
	urgency
	step *step
}

func (c *Core) sortByUrgency(steps []*step) {
	rated := c.rated[:0]
	for _, s := range steps {
		s.urgency = c.urgencyOf(s)
		rated = append(rated, ratedStep{s.urgency, s})
	}
	slices.SortStableFunc(rated, func(a, b ratedStep) int { return a.compare(b.urgency) })
	for i := range rated {
		steps[i] = rated[i].step
	}
	clear(rated) // don't keep ended jobs alive
	c.rated = rated
}

func compareTasks(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.K, b.K), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Ordinal, b.Ordinal))
}
