package pool

import (
	"cmp"
	"slices"
	"time"
)

// vanishedSlack is how long after a run was settled it may still be
// missing from a worker's list.
const vanishedSlack = 300 * time.Millisecond

type runKey struct {
	task TaskID
	run  int
}

type phase int

const (
	starting phase = iota // sent, no answer yet
	running
	doubtful // sent, and no answer came
)

// run is one start of a task on a worker. It takes room from the moment it is
// decided until its end is listed, or until it can't exist any more.
type run struct {
	task    *task
	number  int
	worker  *worker
	need    Resources
	phase   phase
	tries   int
	ticket  string
	settled time.Duration // when the worker last answered about it
	// stopping tells that it must end; stopSent is when that was last
	// ordered, stopped when the worker confirmed the order.
	stopping bool
	stopSent time.Duration
	stopped  time.Duration
	percent  int
	usage    int
	// progressAt is when percent last changed.
	progressAt time.Duration
	resumed    bool // from a checkpoint, so its time says little
	pace       int  // of a filling task, in percent
	// kept is the room that its task is to get elsewhere once it has stopped.
	kept *booking
}

// takeActive adopts what a predecessor started, and stops what must not run.
func (c *Core) takeActive(w *worker, e HoldAnswered) {
	for _, a := range e.Active {
		r := w.runs[runKey{a.Task, a.Run}]
		if r == nil {
			r = c.adopt(w, a)
		}
		if r.phase != running {
			r.phase = running
			r.settled = c.now
		}
		c.observe(r, a.Percent)
		r.usage = a.Usage
		if a.Checkpoint != "" && r.task != nil {
			r.task.save(a.Checkpoint)
		}
	}
}

func (c *Core) adopt(w *worker, a ActiveRun) *run {
	// Its pace is unknown, so that it is set anew; its time is too.
	r := &run{number: a.Run, worker: w, phase: running, settled: c.now, resumed: true}
	t := c.task(a.Task)
	if t == nil {
		// Unknown here, so nothing of it may run. How much room it takes is
		// unknown too: until it has stopped the worker counts as full.
		t = &task{step: &step{id: StepID{a.Task.Job, a.Task.K, a.Task.Step}, spec: &StepSpec{}, job: &job{state: Cancelled}}, ordinal: a.Task.Ordinal, done: true}
	}
	r.task = t
	r.need = t.step.spec.Reserved()
	if r.unknown() {
		r.need = w.Capacity
	}
	c.occupy(r)
	if t.done || t.run != nil || t.step.job.state.Ended() {
		c.note("run.unwanted", r, "not the run that this owner wants")
		c.stop(r, "unwanted")
		return r
	}
	t.run = r
	t.lastRun = max(t.lastRun, a.Run)
	t.step.gangRun = max(t.step.gangRun, a.Run)
	t.step.job.begun = true
	c.note("run.adopted", r, "")
	return r
}

// unknown reports whether a run is of a task that this owner doesn't know.
func (r *run) unknown() bool { return r.task.step.occ == nil }

func (c *Core) occupy(r *run) {
	w := r.worker
	w.runs[runKey{r.task.id(), r.number}] = r
	w.used = w.used.Plus(r.need)
	if r.task.step.spec.LongRunning {
		w.lasting = w.lasting.Plus(r.need)
	}
	if r.task.step.spec.Fills {
		w.fills++
	}
	if r.task.step.spec.TargetMs > 0 {
		w.serving++
	}
}

// vacate forgets a run that doesn't exist any more.
func (c *Core) vacate(r *run) {
	w := r.worker
	key := runKey{r.task.id(), r.number}
	if w.runs[key] != r {
		return
	}
	delete(w.runs, key)
	r.giveBack()
	w.used = w.used.Minus(r.need)
	if r.task.step.spec.LongRunning {
		w.lasting = w.lasting.Minus(r.need)
	}
	if r.task.step.spec.Fills {
		w.fills--
	}
	if r.task.step.spec.TargetMs > 0 {
		w.serving--
	}
	if r.task.run == r {
		r.task.run = nil
		r.task.step.noneWaitingBefore = 0
	}
	c.replan = true
}

// findVanished gives up runs that a worker neither runs nor lists as ended. A row that
// can't be read may be any of them: taken for gone, it would start again beside itself.
func (c *Core) findVanished(w *worker, e HoldAnswered) {
	if e.Truncated || e.Unreadable != nil {
		return
	}
	active := map[runKey]bool{}
	for _, a := range e.Active {
		active[runKey{a.Task, a.Run}] = true
	}
	for _, r := range w.sortedRuns() {
		if active[runKey{r.task.id(), r.number}] || r.phase == starting {
			continue
		}
		if r.phase == doubtful {
			// It may still come. Only a confirmed stop makes certain that it doesn't.
			c.stop(r, "start without an answer")
			if r.stopped == 0 || e.SentAt < r.stopped+c.set.StopTimeout {
				continue
			}
		} else if e.SentAt < r.settled+vanishedSlack || (r.stopping && e.SentAt < max(r.stopped, r.settled)+c.set.StopTimeout) {
			continue
		}
		c.note("run.vanished", r, "the worker neither runs it nor lists its end")
		c.vacate(r)
	}
}

// loseRuns gives up all that ran on a worker.
func (c *Core) loseRuns(w *worker, reason string) {
	for _, r := range w.sortedRuns() {
		c.note("run.lost", r, reason)
		c.vacate(r)
	}
	if w.silent {
		c.noteSilence(w) // nothing runs there any more
	}
}

// sortedRuns returns the runs in an order that doesn't depend on map order.
func (w *worker) sortedRuns() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(compareTasks(a.task.id(), b.task.id()), cmp.Compare(a.number, b.number))
	})
	return list
}
