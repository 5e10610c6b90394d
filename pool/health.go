package pool

import "time"

const (
	// stallAfter is how long a run may report no progress before its worker counts as stalled.
	// The longest known tasks take 14 s, so a healthy run gains at least 8 % in this time. A
	// run that resumes from a checkpoint starts to progress within 0.25 s.
	stallAfter = 1200 * time.Millisecond
	// moveStalledAfter is when a stalled run is stopped to run elsewhere. It is longer than
	// the 5 to 7 s after which stalled workers usually recover.
	moveStalledAfter = 8 * time.Second
	// unsoundWorkerPause is how long a worker with failed or stalled runs gets no new tasks.
	// Such faults last 5 to 7 s. After each pause, one task probes the worker.
	unsoundWorkerPause = 3 * time.Second
	// maxExclusiveFailures is how many jobs in a row may fail on a worker, each of them on no
	// other worker. One run in 20 fails by its own fault, so two in a row are rare (1 in 400)
	// on a sound worker.
	maxExclusiveFailures = 2
)

// recordProgress records the reported progress of a run.
func (c *Core) recordProgress(r *run, percent int) {
	if percent != r.percent || r.progressAt == 0 {
		r.percent = percent
		r.progressAt = c.now
	}
}

// checkStalledRuns pauses a worker on which a run has stalled. The run itself stays at first:
// most workers recover within 7 s, and moving runs after 1.2 s or 2.5 s reduced the value
// earned on days with such workers by 0.01 to 0.02, as did moving runs that are merely slow. A
// run that stalls for longer than moveStalledAfter is moved, since its worker may never
// recover.
func (c *Core) checkStalledRuns(w *worker) {
	for _, r := range w.sortedRuns() {
		if !r.hasMeaningfulProgress() || c.now-r.progressAt < stallAfter {
			continue
		}
		w.pausedUntil = c.now + unsoundWorkerPause
		if c.now-r.progressAt >= moveStalledAfter {
			c.stop(r, "no progress")
		}
	}
}

// hasMeaningfulProgress reports whether a run's progress says something about its worker.
// Best-effort tasks depend on unused CPU time, long-running tasks don't progress, and a gang
// doesn't progress before all members have started.
func (r *run) hasMeaningfulProgress() bool {
	spec := r.task.step.spec
	if r.phase != running || r.progressAt == 0 || r.stopping || spec.Fills || spec.LongRunning || r.task.done {
		return false
	}
	return !spec.Gang || r.percent > 0
}

// meanRuntime returns the mean run time at typical speed of the step's tasks that are done, or 0 if it
// is unknown.
func (s *step) meanRuntime() time.Duration {
	if s.doneRuns < 2 {
		return 0
	}
	return s.doneTime / time.Duration(s.doneRuns)
}

// recordSuccess learns from a run that ended as done.
func (c *Core) recordSuccess(r *run) {
	w, s := r.worker, r.task.step
	w.exclusiveFailures = nil
	if s.spec.Fills || s.spec.LongRunning || s.spec.Gang || r.resumed || r.answeredAt == 0 {
		return
	}
	took := c.now - r.answeredAt
	c.observeRuntime(s, w, took)
	s.doneRuns++
	s.doneTime += time.Duration(float64(took) / c.newestSlowness(w, s.job.Queue))
}

// recordFailure learns from a failed run. A worker on which several jobs fail in a row that
// fail nowhere else is paused, since each run there costs a job one of its few attempts.
func (c *Core) recordFailure(r *run) {
	w, s := r.worker, r.task.step
	if s.failedOn == nil {
		s.failedOn = map[string]bool{}
	}
	s.failedOn[w.ID] = true
	if len(s.failedOn) > 1 {
		delete(w.exclusiveFailures, s.job.ID)
		return // probably the task is at fault
	}
	if w.exclusiveFailures == nil {
		w.exclusiveFailures = map[string]bool{}
	}
	w.exclusiveFailures[s.job.ID] = true
	if len(w.exclusiveFailures) >= maxExclusiveFailures {
		w.pausedUntil = c.now + unsoundWorkerPause
		c.emit(LogEntry{Event: "worker.unsound", Job: s.job.ID, Worker: w.ID, Reason: "several jobs failed on it in a row"})
	}
}
