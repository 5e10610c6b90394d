package pool

import (
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
)

// holdBackAfter is how long a step must have waited for its organisation's cap before less urgent steps
// of the organisation leave it what becomes free.
const holdBackAfter = time.Second

// countedUse returns what a task counts towards its organisation's cap. That of a best-effort task
// includes the CPU that it doesn't reserve.
func (s *StepSpec) countedUse() organisation.Amounts { return s.Need.Amounts() }

// atOnce returns how many tasks of the step can only start together.
func (s *StepSpec) atOnce() int {
	if s.Gang {
		return s.Count
	}
	return 1
}

// unitOfCap returns what has to be free under the cap for the next task of the step, or the gang.
func (s *step) unitOfCap() organisation.Amounts {
	return s.spec.countedUse().Times(int64(s.spec.atOnce()))
}

// ExceededCap returns the first step that can never run within an organisation's cap, and the
// resource; -1: all steps can.
func (j *Job) ExceededCap(o *organisation.Organisation) (step int, r organisation.Resource) {
	for i := range j.Steps {
		s := &j.Steps[i]
		if r, exceeded := o.Exceeds(s.countedUse().Times(int64(s.atOnce()))); exceeded {
			return i, r
		}
	}
	return -1, 0
}

// resetCapWaits begins a pass over all waiting steps.
func (c *Core) resetCapWaits(takenOver bool) {
	c.estimateInheritedUse(takenOver)
	clear(c.orgs.waiting)
	clear(c.orgs.heldBack)
}

// freeUnderCap returns what an organisation may use in addition; ok is false if it has no cap.
func (c *Core) freeUnderCap(org string) (free organisation.Amounts, ok bool) {
	if org == "" || !c.orgs.ledger.IsLimited(org) {
		return free, false
	}
	return c.orgs.ledger.Level(org).Minus(c.usedBy(org)), true
}

// capAdmitsAny reports whether the organisation's cap allows to start a task of the step, or the gang.
func (c *Core) capAdmitsAny(s *step) bool { return c.tasksWithinCap(s, s.spec.atOnce()) > 0 }

// tasksWithinCap returns how many of a step's waiting tasks its organisation's cap allows to start. A
// gang is allowed as a whole or not at all.
func (c *Core) tasksWithinCap(s *step, tasks int) int {
	free, limited := c.freeUnderCap(s.job.Organisation)
	if !limited {
		return tasks
	}
	free = c.leaveHeadroom(s, free)
	heldBack := c.orgs.heldBack[s.job.Organisation]
	fitting := int64(tasks)
	for r, amount := range s.spec.countedUse() {
		switch {
		case amount == 0:
		case heldBack[r]:
			fitting = 0
		default:
			fitting = min(fitting, max(0, free[r])/amount)
		}
	}
	if s.spec.Gang && int(fitting) < tasks {
		fitting = 0
	}
	if int(fitting) < tasks {
		c.waitForCap(s, free)
	}
	return int(fitting)
}

// waitForCap notes that a step waits for its organisation's cap. If it has waited for long, less
// urgent steps of the organisation leave it the resources that it lacks; otherwise a gang would wait
// as long as small tasks take each gap. They don't while the organisation uses less than half of its
// cap: then others can run beside it.
func (c *Core) waitForCap(s *step, free organisation.Amounts) {
	org := s.job.Organisation
	if c.orgs.waiting[org] == nil {
		c.orgs.waiting[org] = s
	}
	if c.now-s.readySince < holdBackAfter {
		return
	}
	unit, limit, used := s.unitOfCap(), c.orgs.byName[org].Cap, c.usedBy(org)
	heldBack := c.orgs.heldBack[org]
	for r := range unit {
		if unit[r] > free[r] && 2*used[r] >= limit[r] {
			heldBack[r] = true
		}
	}
	c.orgs.heldBack[org] = heldBack
}

// waitsForCap reports whether the next task of the step, or the gang, exceeds its organisation's cap.
func (c *Core) waitsForCap(s *step) bool {
	free, limited := c.freeUnderCap(s.job.Organisation)
	return limited && !s.unitOfCap().Within(c.leaveHeadroom(s, free))
}
