package pool

import (
	"slices"
	"time"
)

// A start without an answer may be carried out seconds later. Its worker refuses it once the run has ended or was
// stopped there, but one that has started again under its ID refuses nothing until a call with a higher token has
// reached it, see fencing. So once a worker falls silent that may still get a late start of a task, a later run of
// the task elsewhere is stopped, and none is started until the worker has answered or the start can't arrive any
// more.

const (
	// restartSuspicion is for how long a worker must be silent before runs elsewhere are stopped, since single calls
	// may get lost.
	restartSuspicion = 400 * time.Millisecond
	// lateStartBackoff is how long the next run of a task waits at least. It is prolonged with each tick.
	lateStartBackoff = 150 * time.Millisecond
)

// lateStart is a start of a task that a worker may still carry out.
type lateStart struct {
	task  *task
	until time.Duration
}

// waitsForLateStarts reports whether tasks of the step are held back while a start of them may be carried out late.
// Those that last have to be started again soon after their worker is lost, and those that permit copies may run twice.
func (s *StepSpec) waitsForLateStarts() bool { return !s.LongRunning && !s.permitsCopies() }

// mayStartLate reports whether a start of the run without an answer may still be carried out. That its worker's
// lease has expired doesn't prevent it: the worker may have started again, with a clock that the start's
// deadline is ahead of.
func (c *Core) mayStartLate(r *run) bool {
	return r.unansweredAt != 0 && c.now-r.unansweredAt < lateCallPeriod && r.task.step.spec.waitsForLateStarts()
}

// noteLateStart notes a start that has had no answer.
func (c *Core) noteLateStart(r *run) {
	w, t := r.worker, r.task
	if r.isOrphan() || !t.step.spec.waitsForLateStarts() {
		return
	}
	i := slices.IndexFunc(w.lateStarts, func(l lateStart) bool { return l.task == t })
	if i < 0 {
		w.lateStarts = append(w.lateStarts, lateStart{task: t})
		i = len(w.lateStarts) - 1
	}
	w.lateStarts[i].until = c.now + lateCallPeriod
}

// guardLateStarts keeps the tasks of late starts from running elsewhere while the worker may have started again.
func (c *Core) guardLateStarts(w *worker) {
	if len(w.lateStarts) == 0 {
		return
	}
	w.lateStarts = slices.DeleteFunc(w.lateStarts, func(l lateStart) bool {
		return c.now >= l.until || l.task.done || l.task.step.job.state.Ended()
	})
	if !w.silent && !c.isOutdated(w, w.seenToken) {
		return
	}
	for _, l := range w.lateStarts {
		t := l.task
		t.notBefore = max(t.notBefore, c.now+lateStartBackoff)
		if t.run == nil || t.run.worker == w || t.run.stopping || (w.silent && c.now-w.silentSince < restartSuspicion) {
			continue
		}
		c.stop(t.run, "an earlier start may reach another worker, which may have started again")
	}
}
