package pool

import (
	"slices"
	"time"
)

// failurePause delays the next run of a task after one that failed, so that a
// task that fails at once doesn't take a worker's attention for nothing.
const failurePause = 20 * time.Millisecond

// save keeps a task's newest checkpoint; a gang's counts for all members.
func (t *task) save(checkpoint string) {
	if t.step.spec.Gang {
		t = t.step.tasks[0]
	}
	t.saved = checkpoint
}

// checkpoint is where the next run resumes.
func (t *task) checkpoint() string {
	if t.step.spec.Gang {
		return t.step.tasks[0].saved
	}
	return t.saved
}

// takeEnds takes in the ends that a worker lists. An end is noted at the worker
// only after the store holds it: otherwise a new owner would run the task again.
func (c *Core) takeEnds(w *worker, e HoldAnswered) {
	for _, x := range e.Ended {
		if x.Number <= w.seen {
			continue
		}
		w.seen = x.Number
		unsaved := c.takeEnd(w, x)
		w.ends = append(w.ends, end{number: x.Number, unsaved: unsaved, save: c.saveSeq})
	}
}

// takeEnd takes in one end, and reports whether it changed what is to be saved.
func (c *Core) takeEnd(w *worker, x EndedRun) bool {
	t := c.task(x.Task)
	r := w.runs[runKey{x.Task, x.Run}]
	if t == nil {
		if r != nil {
			c.vacate(r)
		}
		return false
	}
	t.lastRun = max(t.lastRun, x.Run)
	t.step.gangRun = max(t.step.gangRun, x.Run)
	if r != nil {
		c.learn(r, x.How)
		c.vacate(r)
	}
	if x.Checkpoint != "" {
		t.save(x.Checkpoint)
	}
	j := t.step.job
	c.do(Noted{Event: "run.ended", Job: j.ID, Task: &x.Task, Run: x.Run, Worker: w.ID, Reason: x.How.String()})
	if j.state.Ended() {
		// How the job ended may not be stored yet. An end that was noted before
		// it would be forgotten by the worker and unknown to a successor, which
		// would run the task again.
		return j.dirty
	}
	c.markDirty(j)
	j.begun = true
	switch x.How {
	case Done:
		c.taskDone(t, x.Run)
	case RunFailed:
		c.taskFailed(t, x.Run)
	default:
		if t.step.spec.Gang {
			c.stopGang(t.step, "a member ended")
		}
	}
	return true
}

func (c *Core) learn(r *run, how How) {
	switch how {
	case Done:
		c.headroom.runsDone++
		c.learnDone(r)
	case RunFailed:
		c.headroom.runsFailed++
		c.learnFailed(r)
	}
}

func (c *Core) taskDone(t *task, number int) {
	s := t.step
	if s.spec.LongRunning {
		return // it starts again
	}
	if s.spec.Gang {
		s.doneRun = number
		for _, m := range s.tasks {
			s.finish(m)
		}
	} else {
		s.finish(t)
		if t.run != nil {
			c.stop(t.run, "the task is done")
		}
	}
	if s.remaining == 0 {
		c.turnSteps(s.occ)
		c.settle(s.job)
	}
}

func (c *Core) taskFailed(t *task, number int) {
	s := t.step
	t.notBefore = c.now + failurePause
	if s.spec.Gang {
		c.stopGang(s, "a member failed")
		t = s.tasks[0]
		s.notBefore = c.now + failurePause
	}
	// A gang's run is counted with its first member. And an end that a
	// predecessor has stored, but could not note at the worker, is listed again:
	// counted twice, it would make a job fail that may still be tried. Workers
	// list ends in any order, so the newest number alone doesn't tell.
	if slices.Contains(t.failed, number) {
		return
	}
	t.failed = append(t.failed, number)
	s.mostFailed = max(s.mostFailed, len(t.failed))
	if attempts := c.queues[s.job.Queue].Attempts; !s.spec.LongRunning && attempts > 0 && len(t.failed) >= attempts {
		c.fail(s.job, failedTooOften)
	}
}

// stopGang stops what is left of a gang's run: its members work only together.
func (c *Core) stopGang(s *step, reason string) {
	for _, m := range s.tasks {
		if m.run != nil {
			c.stop(m.run, reason)
		}
	}
}

// saveEnds marks which save holds a worker's ends.
func (w *worker) saveEnds(seq uint64) {
	for i := range w.ends {
		if w.ends[i].unsaved {
			w.ends[i].unsaved, w.ends[i].save = false, seq
		}
	}
}

// ackSaved moves a worker's cursor over the ends that the store holds.
func (c *Core) ackSaved(w *worker, seq uint64) {
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

// String names an end in logs.
func (h How) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "otherwise"}[h]
}
