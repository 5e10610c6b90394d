package pool

import "slices"

// A successor has to count the crash of a worker under a suspect, a task under which workers have
// crashed. So the run of a suspect is first only planned: it takes up its resources, and its start is
// sent once its job's progress names the worker. Other runs are planned, too, but only until their start is recorded,
// see startRecord.

// planRun decides a run that starts once the next save is confirmed. That save holds all changed jobs,
// and so also the task's crashes.
func (c *Core) planRun(r *run) {
	c.planStart(r)
	r.inProgress = true
	if r.task.isSuspect() {
		c.suspects[r.task] = true
	}
	c.markDirty(r.task.step.job)
}

// startPlanned sends the starts of the planned runs that the store now holds.
func (c *Core) startPlanned() {
	for c.IsConfirmed() && len(c.plannedRuns) > 0 && c.plannedRuns[0].planSave <= c.savedSeq {
		r := c.plannedRuns[0]
		c.plannedRuns = c.plannedRuns[1:]
		if !r.isPlanned() {
			continue
		}
		runs := []*run{r}
		if s := r.task.step; s.spec.Gang {
			runs = s.plannedMembers()
		}
		if !c.canStartPlanned(runs) {
			for _, x := range runs {
				c.dropPlanned(x)
			}
			continue
		}
		for _, x := range runs {
			c.sendPlanned(x)
		}
	}
}

// isPlanned reports whether the run is planned and hasn't been dropped.
func (r *run) isPlanned() bool { return r.phase == planned && r.task.run == r }

// plannedMembers returns the planned runs of a gang.
func (s *step) plannedMembers() []*run {
	var runs []*run
	for _, t := range s.tasks {
		if t.run != nil && t.run.isPlanned() {
			runs = append(runs, t.run)
		}
	}
	return runs
}

// canStartPlanned reports whether planned runs may still be started: all members of a gang, or none.
func (c *Core) canStartPlanned(runs []*run) bool {
	s := runs[0].task.step
	if until := runs[0].sendUntil; until != 0 && c.now >= until {
		return false
	}
	return c.canPlace(s) && (!s.spec.Gang || len(runs) == len(s.tasks)) && !slices.ContainsFunc(runs, func(r *run) bool {
		w := r.worker
		return w.incarnation != r.plannedFor || !c.acceptsTasks(w) || !c.isEligible(s, w) || c.permission(s, w) != allowed ||
			!w.used.Within(w.Capacity) || (r.quarantined && !w.isolation.isActive(c.now))
	})
}

func (c *Core) sendPlanned(r *run) {
	w := r.worker
	r.phase, r.answeredAt, r.startedAt = starting, c.now, c.now
	r.ticket = r.task.step.advice.get(w).ticket
	if r.quarantined {
		w.isolation.since, w.isolation.until = c.now, c.now+isolationTime
		if w.isolation.early {
			c.lastEarlyIsolationAt = c.now
		}
	}
	c.sendFirstStart(r)
}

// dropPlanned removes a planned run, of which no start was sent.
func (c *Core) dropPlanned(r *run) {
	c.removeRun(r)
	r.worker.endIsolation(r)
	if r.inProgress {
		c.markDirty(r.task.step.job)
	}
}

// plannedSize returns the size of the starts that are planned and not sent yet.
func (c *Core) plannedSize() int {
	size := 0
	for _, r := range c.plannedRuns {
		if r.isPlanned() {
			size += startSize(r.task.step.job.Payload)
		}
	}
	return size
}
