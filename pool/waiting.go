package pool

import (
	"slices"
	"time"
)

const (
	// waitLogInterval is how often an owner logs what steps wait for: often enough to see which
	// wait grows within the 30 s that callers wait, and at most 4 lines per second.
	waitLogInterval = 2 * time.Second
	// minLoggedWait is how long a step must have waited to be counted in the log. Half of all steps
	// start within 0.1 s of becoming ready, and those of a busy pool within 2 s.
	minLoggedWait = 5 * time.Second
)

// What a step waits for. It tells operators whether workers, the advice service or an unresponsive
// worker is the cause.
const (
	waitOlderRuns       = "workers that may run older tasks"
	waitFailurePause    = "a pause after a failed run"
	waitGangMembers     = "members of the gang's last run"
	waitAdvice          = "the advice service's answer"
	waitAdviceRetry     = "a pause after a failed advice request"
	waitCapacity        = "room"
	waitCap             = "its organisation's cap"
	waitAllowedWorkers  = "more eligible workers"
	waitReservedWorkers = "workers reserved for other steps"
	waitWorkerList      = "a current list of workers"
	waitIsolation       = "a worker without recent starts, after crashes under it"
	waitRunStored       = "its planned run to be stored"
	waitQueue           = "a configuration with its queue"
	waitVerdict         = "the verdict whether it is given up"
	waitLateStart       = "a start without an answer that may still be carried out"
)

// waitSummary sums up steps that wait for the same reason.
type waitSummary struct {
	steps  int
	oldest *step
}

// logWaitingSteps logs at regular intervals how many steps have waited for long, for what, and how
// long the oldest of them has waited.
func (c *Core) logWaitingSteps(takenOver bool) {
	if c.now-c.waitingLoggedAt < waitLogInterval {
		return
	}
	c.waitingLoggedAt = c.now
	c.logShares(takenOver)
	waits := map[string]waitSummary{}
	for _, j := range c.activeJobs {
		for _, occ := range j.occurrences {
			for _, s := range occ.steps {
				if s.ready && s.remaining > 0 && c.now-s.readySince >= minLoggedWait {
					reason := c.waitReason(s, takenOver)
					waits[reason] = waits[reason].including(s)
				}
			}
		}
	}
	for _, reason := range [...]string{waitOlderRuns, waitFailurePause, waitGangMembers, waitAdvice, waitAdviceRetry, waitCapacity, waitCap, waitAllowedWorkers, waitReservedWorkers, waitWorkerList, waitIsolation, waitRunStored, waitQueue, waitVerdict, waitLateStart} {
		if w := waits[reason]; w.steps > 0 {
			c.emit(LogEntry{Event: "steps.waiting", Job: w.oldest.job.ID, Steps: w.steps, Reason: reason, Waited: c.now - w.oldest.readySince})
		}
	}
}

func (w waitSummary) including(s *step) waitSummary {
	w.steps++
	if w.oldest == nil || s.readySince < w.oldest.readySince {
		w.oldest = s
	}
	return w
}

// waitReason returns what a step with tasks that don't run waits for; empty if none wait.
func (c *Core) waitReason(s *step, takenOver bool) string {
	var waiting, running, blocked, planned int
	for _, t := range s.tasks {
		switch {
		case t.done:
		case t.run != nil && t.run.isPlanned():
			planned++
		case t.run != nil:
			running++
		case t.blockedBy != nil:
			blocked++
		default:
			waiting++
		}
	}
	switch {
	case blocked > 0 || (waiting > 0 && s.job.inherited && !takenOver):
		return waitOlderRuns
	case planned > 0:
		return waitRunStored
	case waiting == 0:
		return ""
	case !c.policy(s).known:
		return waitQueue
	case slices.ContainsFunc(s.tasks, func(t *task) bool { return t.awaitsVerdict }):
		return waitVerdict
	case !s.anyWaiting(c.now) || c.now < s.notBefore:
		return waitFailurePause
	case s.spec.Gang && running > 0:
		return waitGangMembers
	case s.advice.pending:
		return waitAdvice
	case c.policy(s).Advice != nil && c.now < s.advice.retryAt:
		return waitAdviceRetry
	}
	if c.listOutdated() {
		return waitWorkerList
	}
	if slices.ContainsFunc(s.tasks, func(t *task) bool { return t.isWaiting(c.now) && c.lateStartOf(t) != nil }) {
		return waitLateStart
	}
	if c.waitsForCap(s) {
		return waitCap
	}
	if s.quarantined > 0 && len(s.waitingTasks(c.now)) == 0 {
		return waitIsolation
	}
	return c.workerWaitReason(s, waiting)
}

// workerWaitReason returns which workers are missing.
func (c *Core) workerWaitReason(s *step, tasks int) string {
	if !s.spec.Gang {
		tasks = 1 // each task can start by itself
	}
	var total, free, notReserved int // numbers of tasks that fit on eligible workers
	need := s.spec.Reserved()
	for _, w := range c.workerList {
		if !c.isEligible(s, w) || c.permission(s, w) > renewable {
			continue
		}
		total += c.tasksThatFit(s, w.Capacity)
		if !c.acceptsTasks(w) || !need.Within(w.free()) {
			continue
		}
		fitting := c.tasksThatFit(s, w.free())
		free += fitting
		if !c.reservedForOther(s, w) {
			notReserved += fitting
		}
	}
	switch {
	case total < tasks:
		return waitAllowedWorkers
	case free >= tasks && notReserved < tasks:
		return waitReservedWorkers
	}
	return waitCapacity
}
