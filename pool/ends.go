package pool

import (
	"slices"
	"time"
)

// failureBackoff delays the next run of a task after a failed one, so that a task that fails
// immediately doesn't keep a worker busy.
const failureBackoff = 20 * time.Millisecond

// setCheckpoint stores a task's newest checkpoint. A gang's checkpoint is shared by all
// members.
func (t *task) setCheckpoint(checkpoint string) {
	if len(checkpoint) > maxCheckpoint {
		checkpoint = ""
	}
	if t.step.spec.Gang {
		t = t.step.tasks[0]
	}
	t.newestCheckpoint = checkpoint
}

// checkpoint returns the checkpoint from which the next run resumes.
func (t *task) checkpoint() string {
	if t.step.spec.Gang {
		return t.step.tasks[0].newestCheckpoint
	}
	return t.newestCheckpoint
}

// processEnds handles the ends that a worker lists. An end is acknowledged to the worker only
// once the store holds it: otherwise a new owner would run the task again.
func (c *Core) processEnds(w *worker, e HoldAnswered) {
	for _, x := range e.Ended {
		if x.Number <= w.lastEnd {
			continue
		}
		w.lastEnd = x.Number
		unsaved := c.processEnd(w, x)
		w.ends = append(w.ends, pendingEnd{number: x.Number, unsaved: unsaved, save: c.saveSeq})
	}
}

// processEnd handles one end, and reports whether it changed the state to be saved.
func (c *Core) processEnd(w *worker, x EndedRun) bool {
	t := c.reportedTask(x.Task)
	r := w.runs[runKey{x.Task, x.Run}]
	if r != nil && !r.isOrphan() {
		t = r.task // also if its occurrence is finished
	}
	if t == nil {
		if r != nil {
			c.removeRun(r)
		}
		c.keepUnclaimedEnd(x)
		// What finished the task's occurrence may not be stored yet.
		j := c.jobs[x.Task.Job]
		return j != nil && j.dirty
	}
	t.lastRun = max(t.lastRun, x.Run)
	t.endLateStart(x.Run)
	t.step.gangRun = max(t.step.gangRun, x.Run)
	if r != nil {
		c.recordOutcome(r, x.How)
		c.removeRun(r)
		w.endIsolation(r)
	}
	if x.Checkpoint != "" {
		t.takeCheckpoint(r, x.Checkpoint)
	}
	j := t.step.job
	c.emit(LogEntry{Event: "run.ended", Job: j.ID, Task: &x.Task, Run: x.Run, Worker: w.ID, Incarnation: w.incarnation, Reason: x.How.String()})
	if j.state.Ended() {
		// The job's final state may not be stored yet. If the end was acknowledged before,
		// the worker would forget it, and a successor that doesn't know it would run the task
		// again.
		return j.dirty
	}
	c.markDirty(j)
	j.started = true
	switch x.How {
	case Done:
		c.clearCrashes(t)
		c.taskDone(t, x.Run)
	case RunFailed:
		c.clearCrashes(t)
		if !t.done || !t.step.spec.permitsCopies() { // one of two runs may fail after the other was done
			c.taskFailed(t, x.Run)
		}
	default:
		if t.step.spec.Gang {
			c.stopGang(t.step, "a member ended")
		}
	}
	return true
}

func (c *Core) recordOutcome(r *run, how EndReason) {
	switch how {
	case Done:
		c.admission.runsDone++
		c.recordSuccess(r)
	case RunFailed:
		c.admission.runsFailed++
		c.recordFailure(r)
	}
}

func (c *Core) taskDone(t *task, number int) {
	s := t.step
	if s.spec.LongRunning {
		return // it is started again
	}
	if s.spec.Gang {
		s.doneRun = number
		for _, m := range s.tasks {
			s.markDone(m)
			if m.run != nil && m.run.number != number {
				c.stop(m.run, "the task is done")
			}
		}
	} else {
		s.markDone(t)
		c.settleCopy(t, number)
		c.stopRuns(t, "the task is done")
	}
	switch {
	case s.remaining > 0:
	case s.occ.remaining == 0:
		c.occurrenceFinished(s.job, s.occ)
	default:
		c.markReadySteps(s.occ)
	}
}

func (c *Core) taskFailed(t *task, number int) {
	s := t.step
	t.notBefore = c.now + failureBackoff
	if s.spec.Gang {
		c.stopGang(s, "a member failed")
		t = s.tasks[0]
		s.notBefore = c.now + failureBackoff
	}
	// The failure of a gang's run is counted once, in its first member. An end that a
	// predecessor stored but couldn't acknowledge to the worker is listed again. Counting it
	// twice could fail a job that has attempts left. Workers list ends in any order, so
	// comparing with the newest number isn't enough.
	if slices.Contains(t.failed, number) {
		return
	}
	attempts := c.policy(s).Attempts
	t.recordFailure(number, attempts)
	s.maxFailures = max(s.maxFailures, len(t.failed))
	if !s.spec.LongRunning && attempts > 0 && len(t.failed) >= attempts {
		c.failJob(s.job, failedTooOften)
	}
}

// recordFailure adds a failed run. Tasks that run until their job is cancelled may fail any number of times,
// and of their failures only the newest is kept.
func (t *task) recordFailure(number, attempts int) {
	keep := max(maxKeptFailures, attempts)
	if t.step.spec.LongRunning {
		keep = 1
	}
	t.failed = append(t.failed, number)
	if excess := len(t.failed) - keep; excess > 0 {
		slices.Sort(t.failed)
		t.failed = slices.Clone(t.failed[excess:])
	}
}

// stopGang stops the remaining members of a gang's run, since they can only run together.
func (c *Core) stopGang(s *step, reason string) {
	for _, m := range s.tasks {
		if m.run != nil {
			c.stop(m.run, reason)
		}
	}
}

// assignSave records which save holds the worker's ends that were in none so far.
func (w *worker) assignSave(seq uint64) {
	for i := range w.ends {
		if w.ends[i].unsaved {
			w.ends[i].unsaved, w.ends[i].save = false, seq
		}
	}
}

// ackStoredEnds advances the worker's acknowledgement cursor over the ends that the store
// holds.
func (c *Core) ackStoredEnds(w *worker, seq uint64) {
	n := 0
	for n < len(w.ends) && !w.ends[n].unsaved && w.ends[n].save <= seq {
		w.ack = w.ends[n].number
		n++
	}
	if n == 0 {
		return
	}
	w.ends = w.ends[n:]
	if len(w.ends) == 0 {
		w.nextHold = c.now
		c.tickWorker(w)
	}
}

// String returns the name of an end reason for logs.
func (h EndReason) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "otherwise"}[h]
}
