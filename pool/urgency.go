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
	// turn is set while a step that can't earn anything any more has its turn. Then it is placed first, but
	// no workers are reserved for it: those reserved for a gang stay idle until it starts.
	turn     bool
	tier     Tier
	priority int
	// excess is by how much the use of the step's organisation exceeds its share, see fairshare.Capacity.
	// It is 0 if all steps of the tier and priority are of one organisation.
	excess float64
	// overdue is set for a started occurrence past its objective that can still earn something, and work is
	// the remaining work of such a one in core-seconds.
	overdue bool
	work    float64
	// due is the objective. Until then a started job needs no other rank than its due time, which is
	// earlier than those of the jobs that come later.
	due int64 // Unix milliseconds
	// worthUntil is when the job has to be completed to have any value, in Unix milliseconds.
	worthUntil int64
}

// compare orders two steps by urgency. Started jobs past their objectives are finished before others of their
// tier are started, the one with the least remaining work first: in the order of due times each late job
// delays the next. Before their objectives the order of due times earns more: with all started jobs first,
// wide jobs with much slack earned 0.967 of their value in place of 0.999 (kw-pool-load -shape wholesaler).
func (u urgency) compare(o urgency) int {
	if rank := cmp.Or(compareTrueFirst(u.turn, o.turn), u.compareRank(o)); rank != 0 {
		return rank
	}
	return cmp.Or(cmp.Compare(u.excess, o.excess), compareTrueFirst(u.overdue, o.overdue), cmp.Compare(u.work, o.work), cmp.Compare(u.due, o.due))
}

// compareRank orders two steps by tier and priority.
func (u urgency) compareRank(o urgency) int {
	return cmp.Or(cmp.Compare(u.tier, o.tier), cmp.Compare(u.priority, o.priority))
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// moreUrgentThan reports whether a step has a more urgent tier or priority than another, not just
// an earlier due time.
func (u urgency) moreUrgentThan(o urgency) bool {
	return u.compareRank(o) < 0
}

// urgencyOf returns the urgency of a step, based on the value that its job can still earn.
func (c *Core) urgencyOf(s *step) urgency {
	q := c.policy(s)
	start := max(s.acceptedMs, s.dueMs)
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
	case earliestEnd > u.due && !s.occ.nearlyDone():
		u.tier = PastDue
	}
	u.overdue = s.occ.started && earliestEnd > u.due && u.tier != Worthless
	return u
}

// chains returns, for each step, the declared run time of the longest chain of steps that begins with it.
func (j *Job) chains() []int64 {
	chains := make([]int64, len(j.Steps))
	for i := len(chains) - 1; i >= 0; i-- {
		chains[i] += j.Steps[i].EstimateMs
		for _, p := range j.Steps[i].After {
			if p < i {
				chains[p] = max(chains[p], chains[i])
			}
		}
	}
	return chains
}

// criticalPathMs returns the declared run time of the job's critical path.
func (j *Job) criticalPathMs() int64 { return slices.Max(j.chains()) }

// ratedStep is a waiting step with its urgency.
type ratedStep struct {
	urgency
	step *step
}

func (c *Core) sortByUrgency(steps []*step) {
	rated := c.rated[:0]
	for _, s := range steps {
		s.urgency = c.urgencyOf(s)
		if s.urgency.overdue {
			s.urgency.work = s.occ.remainingWork()
		}
		rated = append(rated, ratedStep{s.urgency, s})
	}
	c.giveTurn(rated)
	slices.SortStableFunc(rated, func(a, b ratedStep) int { return a.compare(b.urgency) })
	c.orderByShares(rated)
	for i := range rated {
		steps[i] = rated[i].step
	}
	clear(rated) // don't keep ended jobs alive
	c.rated = rated
}

func compareTasks(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.K, b.K), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Ordinal, b.Ordinal))
}
