package pool

import (
	"slices"
	"time"
)

const (
	// settleTime is how long ago the newest start on a worker must be before a quarantined task is
	// started there: a crash after that has another cause than those starts.
	settleTime = minProvenLife
	// isolationTime is how long nothing else is started on a worker after a quarantined task. It includes
	// the time until a crash is noticed.
	isolationTime = minProvenLife + holdTimeout
	// maxCalmWait is how long a quarantined task waits at most for a time without crashes.
	maxCalmWait = 5 * time.Second
	// longCalm is how long no worker must have crashed before a task is started again under which
	// longCalmCrashes workers may have crashed.
	longCalm        = 5 * time.Second
	longCalmCrashes = maxCrashes - 1
	// preparationTime is how long a worker stays prepared for a quarantined task after the last
	// pass in which the task waited.
	preparationTime = time.Second
	// maxQuarantineShare bounds the share of a pool's workers that run quarantined tasks at a time,
	// since each of them may crash.
	maxQuarantineShare = 0.4
)

// isolation keeps other tasks off a worker: while it is prepared for a quarantined task of a step,
// or after the start of such a task, when step is nil.
type isolation struct {
	step         *step
	since, until time.Duration
	early        bool // workers have crashed right after earlier starts of the task
}

// isActive reports whether the worker was isolated after the start of a quarantined task at a time.
func (i isolation) isActive(at time.Duration) bool { return i.step == nil && at < i.until }

// isolationMode selects the workers that pickWorkers returns.
type isolationMode int

const (
	// notIsolated is for tasks that aren't quarantined: on workers that aren't isolated.
	notIsolated isolationMode = iota
	// preparing is for workers to be prepared for a quarantined task.
	preparing
	// isolated is for quarantined tasks: on workers without recent starts.
	isolated
)

// endIsolation ends the isolation for a run that the worker has survived.
func (w *worker) endIsolation(ended *run) {
	if ended.quarantined && !slices.ContainsFunc(w.sortedRuns(), func(r *run) bool { return r.quarantined }) {
		w.isolation = isolation{}
	}
}

// admitsIsolation reports whether the worker's isolation admits tasks of the step.
func (c *Core) admitsIsolation(s *step, w *worker) bool {
	isIsolated := c.now < w.isolation.until
	if c.isolationMode == notIsolated {
		return !isIsolated
	}
	if (isIsolated && w.isolation.step != s) || c.isolatedRacks[w.Rack] {
		return false
	}
	return c.isolationMode == preparing || w.isSettled(c.now)
}

// findIsolatedRacks notes the racks of workers that are isolated. If another worker of the rack was
// isolated too and both crashed, it would be unknown whether the tasks or the rack's power supply is
// the cause.
func (c *Core) findIsolatedRacks() {
	c.isolatedRacks = map[string]bool{}
	for _, w := range c.workerList {
		if w.Rack != "" && w.isolation.isActive(c.now) {
			c.isolatedRacks[w.Rack] = true
		}
	}
}

// isSettled reports whether no run on the worker is so new that it could be the cause of a crash.
func (w *worker) isSettled(now time.Duration) bool {
	for _, r := range w.runs {
		if r.phase != running || now-r.startedAt < settleTime {
			return false
		}
	}
	return true
}

// placeQuarantined starts quarantined tasks of the step, each on a worker of its own. The members of
// a gang with such a task are all started in isolation.
func (c *Core) placeQuarantined(s *step) {
	tasks := slices.DeleteFunc(s.quarantinedTasks(c.now), func(t *task) bool { return c.lateStartOf(t) != nil })
	room := c.quarantineRoom()
	if len(tasks) == 0 || room <= 0 || (s.spec.Gang && len(tasks) < len(s.tasks)) {
		return
	}
	calm := slices.DeleteFunc(slices.Clone(tasks), func(t *task) bool { return !c.calmEnough(t) })
	if len(calm) == 0 || (s.spec.Gang && len(calm) < len(tasks)) {
		return
	}
	if calm = calm[:c.tasksWithinCap(s, len(calm))]; len(calm) == 0 {
		return
	}
	c.isolationMode = isolated
	defer func() { c.isolationMode = notIsolated }()
	c.findIsolatedRacks()
	if left := c.startQuarantined(s, calm, room); left > 0 {
		s.retryPlacementAt = c.now + placementRetryDelay
		c.prepareWorkers(s, left)
	}
}

// calmEnough reports whether a crash under the task would say something about it. During an outage
// it wouldn't, and the task can't be started once more after each outage.
func (c *Core) calmEnough(t *task) bool {
	if t.possibleCrashes() >= longCalmCrashes {
		return c.now-c.startedAt >= longCalm && c.calmFor(longCalm)
	}
	return c.calmFor(outageWindow) || c.now-t.crashedAt >= maxCalmWait
}

// startQuarantined starts as many tasks as possible, and returns how many are left of those that may
// be started now. Unless no worker has crashed for long, several tasks that crash their workers right
// after their start must not be started at the same time, since that would look like an outage.
func (c *Core) startQuarantined(s *step, tasks []*task, room int) int {
	n := 1
	if s.spec.Gang {
		n = len(tasks)
	}
	left := len(tasks[:min(len(tasks), max(n, room))])
	for len(tasks) > 0 && room > 0 {
		early := slices.ContainsFunc(tasks[:n], (*task).crashesEarly)
		if early && c.now-c.lastEarlyIsolationAt < outageWindow && !c.calmFor(longCalm) {
			return 0
		}
		picks := c.pickWorkers(s, n, allowed)
		if len(picks) < n {
			return left
		}
		if s.spec.Gang {
			s.gangRun = max(s.gangRun, s.tasks[0].lastRun) + 1
		}
		for i, w := range picks {
			c.start(tasks[i], w)
			tasks[i].run.quarantined = true
			w.isolation = isolation{since: c.now, until: c.now + isolationTime, early: early}
		}
		if early {
			c.lastEarlyIsolationAt = c.now
		}
		c.findIsolatedRacks()
		c.updateFreeCapacity(picks)
		tasks, room, left = tasks[n:], room-n, left-n
	}
	return left
}

// quarantineRoom returns how many more quarantined tasks may be started now.
func (c *Core) quarantineRoom() int {
	listed, active := 0, 0
	for _, w := range c.workerList {
		if w.listed {
			listed++
		}
		if w.isolation.isActive(c.now) {
			active++
		}
	}
	return max(1, int(maxQuarantineShare*float64(listed))) - active
}

// quarantinedTasks returns the waiting tasks of the step that are quarantined, or all waiting
// members of a gang with such a task.
func (s *step) quarantinedTasks(now time.Duration) []*task {
	var list []*task
	for _, t := range s.tasks {
		if t.isWaiting(now) && (s.spec.Gang || t.isQuarantined()) {
			list = append(list, t)
		}
	}
	return list
}

// prepareWorkers keeps other tasks off workers on which quarantined tasks of the step are to start
// once they are settled, and requests tickets for them.
func (c *Core) prepareWorkers(s *step, tasks int) {
	c.isolationMode = preparing
	prepared := c.preparedWorkers(s)
	if missing := tasks - len(prepared); missing > 0 {
		more := c.pickWorkers(s, missing, renewable)
		if len(more) == 0 {
			more = c.leastUsedWorker(s)
		}
		prepared = append(prepared, more...)
	}
	for _, w := range prepared {
		w.isolation = isolation{step: s, since: c.now, until: c.now + preparationTime}
	}
	if c.policy(s).Advice == nil || !c.adviceDue(s, true) {
		return
	}
	var names []string
	renew := s.spec.Gang && len(prepared) < tasks // tickets of a gang are renewed together
	for _, w := range prepared {
		names = append(names, w.ID)
		renew = renew || c.permission(s, w) != allowed
	}
	switch {
	case len(names) == 0 || (s.spec.Gang && len(names) < tasks):
		c.requestTickets(s, tasks)
	case renew:
		slices.Sort(names)
		c.requestAdvice(s, slices.Compact(names)) // members of a gang may share a worker
	}
}

// preparedWorkers returns the workers that are prepared for the step and can still be used.
func (c *Core) preparedWorkers(s *step) []*worker {
	var list []*worker
	for _, w := range c.workerList {
		if w.isolation.step == s && c.now < w.isolation.until && !c.isolatedRacks[w.Rack] && c.isEligible(s, w) && c.acceptsTasks(w) && c.permission(s, w) <= renewable {
			list = append(list, w)
		}
	}
	return list
}

// leastUsedWorker returns the least utilized worker that could run a task of the step once tasks
// there have ended, or none. Without it, a quarantined task would never start in a full pool.
func (c *Core) leastUsedWorker(s *step) []*worker {
	var best *worker
	for _, w := range c.workerList {
		if !c.isEligible(s, w) || !c.acceptsTasks(w) || c.permission(s, w) > renewable || !c.admitsIsolation(s, w) || c.tasksThatFitOn(s, w, true) < 1 {
			continue
		}
		if best == nil || c.utilization(w) < c.utilization(best) {
			best = w
		}
	}
	if best == nil {
		return nil
	}
	return []*worker{best}
}
