package pool

import (
	"math"
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
)

// An organisation's long tasks of little urgency may use all of its cap, and its urgent short jobs then
// wait until one of them ends: a priority inversion under the cap. So less urgent steps leave
// headroom: as much as the organisation's more urgent tasks used at the same time recently.

// headroomHalfLife is the time in which the headroom halves without urgent tasks.
const headroomHalfLife = 10 * time.Second

// urgentUse is what an organisation's tasks use, by priority of their queue.
type urgentUse struct {
	byPriority map[int]organisation.Amounts
	// peaks are the recent peaks of what all tasks more urgent than a priority used together.
	peaks map[int]*usePeak
}

// usePeak is a maximum that decays.
type usePeak struct {
	amounts [organisation.Resources]float64
	at      time.Duration
}

// update decays the peak and raises it to what is in use, which was also in use since the last update.
func (p *usePeak) update(now time.Duration, use organisation.Amounts) {
	share := math.Exp2(-float64(now-p.at) / float64(headroomHalfLife))
	for r := range use {
		p.amounts[r] = max(float64(use[r]), share*p.amounts[r])
	}
	p.at = now
}

// moreUrgentThan returns what the tasks use that are more urgent than a priority.
func (u *urgentUse) moreUrgentThan(priority int) (sum organisation.Amounts) {
	for p, amounts := range u.byPriority {
		if p < priority {
			sum = sum.Plus(amounts)
		}
	}
	return sum
}

// count adds the use of tasks of a priority.
func (u *urgentUse) count(now time.Duration, priority int, amounts organisation.Amounts) {
	for p, peak := range u.peaks {
		if p > priority {
			before := u.moreUrgentThan(p)
			peak.update(now, before) // the tasks were in use until now
			peak.update(now, before.Plus(amounts))
		}
	}
	u.byPriority[priority] = u.byPriority[priority].Plus(amounts)
}

// headroom returns what tasks of a priority leave for more urgent ones.
func (u *urgentUse) headroom(now time.Duration, priority int) organisation.Amounts {
	use := u.moreUrgentThan(priority)
	if u.peaks[priority] == nil {
		u.peaks[priority] = &usePeak{at: now}
	}
	peak := u.peaks[priority]
	peak.update(now, use)
	var left organisation.Amounts
	for r := range left {
		left[r] = int64(math.Round(peak.amounts[r])) - use[r]
	}
	return left
}

func (c *Core) urgentUse(org string) *urgentUse {
	u := c.orgs.urgent[org]
	if u == nil {
		u = &urgentUse{byPriority: map[int]organisation.Amounts{}, peaks: map[int]*usePeak{}}
		c.orgs.urgent[org] = u
	}
	return u
}

// leaveHeadroom reduces what is free under an organisation's cap by the headroom that a step leaves to
// more urgent ones. Half of the cap is open to all steps, so that none waits while most of it is unused.
func (c *Core) leaveHeadroom(s *step, free organisation.Amounts) organisation.Amounts {
	org := s.job.Organisation
	headroom := c.urgentUse(org).headroom(c.now, c.policy(s).Priority)
	limit, used := c.orgs.byName[org].Cap, c.usedBy(org)
	for r := range free {
		if limit[r] > 0 && headroom[r] > 0 {
			free[r] = max(free[r]-headroom[r], min(free[r], limit[r]/2-used[r]))
		}
	}
	return free
}
