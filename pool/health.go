package pool

import "time"

const (
	// stallAfter is how long a run may show no progress. The longest tasks of
	// today take 14 s, so a healthy one gains at least 8 % in this time; a
	// restored one is back at work after 0.25 s.
	stallAfter = 1200 * time.Millisecond
	// moveAfter is when a run that stands still is moved: later than the 5 to
	// 7 s after which such workers usually come back.
	moveAfter = 8 * time.Second
	// unsoundPause is how long a worker that failed or stalled gets no new
	// tasks. Such troubles last 5 to 7 s; after each pause one task probes it.
	unsoundPause = 3 * time.Second
	// strikesOut is how many jobs may fail on a worker in a row, each of them
	// nowhere else. One run in 20 fails by its own fault, so two in a row are
	// seldom (1 in 400) on a sound worker.
	strikesOut = 2
	// slownessShare is the weight of the newest run in a worker's slowness.
	slownessShare = 0.2
)

// observe takes in what a worker says of a run's progress.
func (c *Core) observe(r *run, percent int) {
	if percent != r.percent || r.progressAt == 0 {
		r.percent = percent
		r.progressAt = c.now
	}
}

// checkRuns keeps new tasks off a worker on which one stands still. The task
// itself stays: most workers come back within 7 s, and moving tasks after 1.2 s or
// 2.5 s cost 0.01 to 0.02 of worth on days with such workers; moving those that
// crawl cost as much. One that stands for longer than that is moved after all,
// since its worker may never come back.
func (c *Core) checkRuns(w *worker) {
	for _, r := range w.sortedRuns() {
		if !r.judged() || c.now-r.progressAt < stallAfter {
			continue
		}
		w.pause = c.now + unsoundPause
		if c.now-r.progressAt >= moveAfter {
			c.stop(r, "stands still")
		}
	}
}

// judged reports whether a run's progress says something of its worker. Filling
// tasks get what is left over, lasting tasks have no progress, and a gang that
// waits for a member has none yet.
func (r *run) judged() bool {
	spec := r.task.step.spec
	if r.phase != running || r.progressAt == 0 || r.stopping || spec.Fills || spec.LongRunning || r.task.done {
		return false
	}
	return !spec.Gang || r.percent > 0
}

// usual is the mean run time of the step's tasks that are done, or 0.
func (s *step) usual() time.Duration {
	if s.doneRuns < 2 {
		return 0
	}
	return s.doneTime / time.Duration(s.doneRuns)
}

// learnDone takes in a run that ended as done.
func (c *Core) learnDone(r *run) {
	w, s := r.worker, r.task.step
	w.strikes = nil
	if s.spec.Fills || s.spec.LongRunning || s.spec.Gang || r.resumed || r.settled == 0 {
		return
	}
	took := c.now - r.settled
	c.learnRatio(s, took)
	if usual := s.usual(); usual > 0 {
		w.slowness += slownessShare * (float64(took)/float64(usual) - 1 - w.slowness)
	}
	s.doneRuns++
	s.doneTime += took
}

// learnFailed takes in a run that failed. A worker on which several jobs fail in
// a row that fail nowhere else is left alone for a while: there, each run costs
// a job one of its few attempts.
func (c *Core) learnFailed(r *run) {
	w, s := r.worker, r.task.step
	if s.failedOn == nil {
		s.failedOn = map[string]bool{}
	}
	s.failedOn[w.ID] = true
	if len(s.failedOn) > 1 {
		delete(w.strikes, s.job.ID)
		return // it is the task, as likely as not
	}
	if w.strikes == nil {
		w.strikes = map[string]bool{}
	}
	w.strikes[s.job.ID] = true
	if len(w.strikes) >= strikesOut {
		w.pause = c.now + unsoundPause
		c.do(Noted{Event: "worker.unsound", Job: s.job.ID, Worker: w.ID, Reason: "several jobs failed on it in a row"})
	}
}
