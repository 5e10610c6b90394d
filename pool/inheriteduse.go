package pool

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
)

// inheritedUseInterval is the time between two estimates of what a predecessor's runs may use. An older
// estimate is never too low.
const inheritedUseInterval = 50 * time.Millisecond

// estimateInheritedUse bounds what a predecessor's runs may use that this owner doesn't know of yet:
// the tasks that may have such a run, and for those that can only run on workers that haven't answered
// yet, the capacity of these workers.
func (c *Core) estimateInheritedUse(takenOver bool) {
	known := takenOver && !c.hasBlockedTasks()
	if known == c.orgs.inheritedUseFinal && (known || c.now-c.orgs.inheritedUseAt < inheritedUseInterval) {
		return
	}
	c.orgs.inheritedUse, c.orgs.inheritedUseAt, c.orgs.inheritedUseFinal = nil, c.now, known
	if known {
		return
	}
	use := map[string]organisation.Amounts{}
	blocked := c.blockedUseOfFinished()
	for _, j := range c.jobs {
		if !j.inherited || j.Organisation == "" {
			continue
		}
		if !takenOver {
			use[j.Organisation] = use[j.Organisation].Plus(j.copiesOfFinished())
		}
		for _, occ := range j.occurrences {
			for _, s := range occ.steps {
				for _, t := range s.tasks {
					switch {
					case s.spec.permitsCopies():
						blockers, others := c.unknownRuns(t, takenOver)
						blocked[j.Organisation] = blocked[j.Organisation].Plus(s.spec.countedUse().Times(blockers))
						use[j.Organisation] = use[j.Organisation].Plus(s.spec.countedUse().Times(others))
					case t.done || t.run != nil:
					case t.blockedBy != nil:
						blocked[j.Organisation] = blocked[j.Organisation].Plus(s.spec.countedUse())
					case !takenOver:
						use[j.Organisation] = use[j.Organisation].Plus(s.spec.countedUse())
					}
				}
			}
		}
	}
	limit := c.unknownCapacity()
	for org, amounts := range use {
		for r := range amounts {
			amounts[r] = min(amounts[r], limit[r])
		}
		use[org] = amounts
	}
	for org, amounts := range blocked {
		use[org] = use[org].Plus(amounts)
	}
	c.orgs.inheritedUse = use
}

// blockedUseOfFinished returns what the second runs of tasks of finished occurrences may use, as far as a silence
// record names them, by organisation.
func (c *Core) blockedUseOfFinished() map[string]organisation.Amounts {
	use := map[string]organisation.Amounts{}
	for _, w := range c.workerList {
		for _, t := range w.silence.blockedTasks {
			if org := t.step.job.Organisation; org != "" && t.step.job.finished.contains(t.step.id.K) {
				use[org] = use[org].Plus(t.step.spec.countedUse())
			}
		}
	}
	return use
}

// maxCountedCopies bounds the number of second runs that are counted for a step.
const maxCountedCopies = 1_000_000

// copiesOfFinished returns what second runs of tasks of finished occurrences may use.
func (j *job) copiesOfFinished() (sum organisation.Amounts) {
	finished := int64(j.finished.count())
	for i := range j.Steps {
		if s := &j.Steps[i]; s.permitsCopies() {
			sum = sum.Plus(s.countedUse().Times(min(2*finished*int64(s.Count), maxCountedCopies)))
		}
	}
	return sum
}

// unknownRuns returns how many runs a predecessor may have left of a task that may have two: those of its
// silence records, and those on workers that haven't answered yet. One may go on after the task is done.
func (c *Core) unknownRuns(t *task, takenOver bool) (blockers, others int64) {
	for i := 0; t.blockedBy != nil && i < len(c.workerList); i++ {
		if slices.Contains(c.workerList[i].silence.blockedTasks, t) {
			blockers++
		}
	}
	if takenOver {
		return blockers, 0
	}
	others = 2 - blockers
	for _, r := range [...]*run{t.run, t.copy} {
		if r != nil {
			others--
		}
	}
	return blockers, max(0, others)
}

func (c *Core) hasBlockedTasks() bool {
	return slices.ContainsFunc(c.workerList, func(w *worker) bool { return len(w.silence.blockedTasks) > 0 })
}

// unknownCapacity returns the capacity of the workers on which a predecessor's runs may be that this
// owner doesn't know of. A best-effort task may use more CPU than a worker has free, and the capacity
// of a worker that isn't listed is unknown.
func (c *Core) unknownCapacity() (sum organisation.Amounts) {
	unlimited := organisation.Amounts{math.MaxInt64, math.MaxInt64, math.MaxInt64}
	if !c.listed {
		return unlimited
	}
	for _, w := range c.workerList {
		if !w.inherited || w.fenced || w.runsKnown || c.leaseOver(w) {
			continue
		}
		if !w.listed {
			return unlimited
		}
		sum = sum.Plus(w.Capacity.Amounts())
	}
	return sum
}
