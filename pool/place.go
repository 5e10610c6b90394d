package pool

import (
	"cmp"
	"slices"
	"time"
)

// silentAfter is how long after its last answer a worker gets no new tasks.
// Holds are answered each second.
const silentAfter = holdTimeout + 500*time.Millisecond

// settled reports whether this owner knows of everything that a predecessor may
// have started. Until then a task of an older job might run unseen, and a second
// start would run it twice. Every worker has either answered under our token,
// after which it refuses the predecessor, or its longest lease has run out.
func (c *Core) settled() bool {
	if !c.listed {
		return false
	}
	for _, w := range c.byID {
		if w.inherited && !w.fenced && c.now < w.lapse {
			return false
		}
	}
	return true
}

// mayPlace reports whether tasks of the step may be started.
func (c *Core) mayPlace(s *step) bool {
	j := s.job
	if !s.turn || s.remaining == 0 || j.state.Ended() || c.now < s.notBefore {
		return false
	}
	if _, known := c.queues[j.Queue]; !known {
		return false
	}
	return !j.inherited || c.settled()
}

// place starts what can be started, most urgent first.
func (c *Core) place() {
	var waiting []*step
	settled := c.settled()
	for _, j := range c.order {
		if j.inherited && !settled {
			continue
		}
		for _, occ := range j.occurrences {
			if occ.remaining == 0 {
				continue
			}
			for _, s := range occ.steps {
				if c.mayPlace(s) && s.anyWaiting(c.now) {
					waiting = append(waiting, s)
				}
			}
		}
	}
	c.sortByUrgency(waiting)
	c.pass++
	c.reserved = 0
	c.largest = c.largestFree()
	for _, s := range waiting {
		c.placeStep(s)
	}
}

func (s *step) anyWaiting(now time.Duration) bool {
	for _, t := range s.tasks {
		if t.waits(now) {
			return true
		}
	}
	return false
}

func (s *step) waitingTasks(now time.Duration) []*task {
	var list []*task
	for _, t := range s.tasks {
		if t.waits(now) {
			list = append(list, t)
		}
	}
	return list
}

// largestFree is, by resource, the most that is free on any worker. Most passes
// come while the pool is full; what needs more than this is passed over at once.
func (c *Core) largestFree() Resources {
	var most Resources
	for _, w := range c.byID {
		if !w.listed || w.Draining || !c.inTouch(w) {
			continue
		}
		free := w.free()
		most = Resources{CPU: max(most.CPU, free.CPU), Mem: max(most.Mem, free.Mem), GPU: max(most.GPU, free.GPU)}
	}
	return most
}

func (c *Core) placeStep(s *step) {
	tasks := s.waitingTasks(c.now)
	if len(tasks) == 0 {
		return
	}
	if s.spec.Gang && len(tasks) < len(s.tasks) {
		return // members of the last run are still there
	}
	var picks []*worker
	if s.spec.Reserved().Within(c.largest) {
		picks = c.pick(s, len(tasks), allowed)
	}
	if s.spec.Gang && len(picks) < len(tasks) {
		picks = nil
	}
	if s.spec.Gang && len(picks) > 0 {
		s.gangRun = max(s.gangRun, s.tasks[0].lastRun) + 1
	}
	for i, w := range picks {
		c.start(tasks[i], w)
	}
	if left := len(tasks) - len(picks); left > 0 {
		c.askFor(s, left)
		c.reserve(s, left-len(s.booked))
	}
}

// askFor asks the advice service for tickets, and books the room that is meant
// for them.
func (c *Core) askFor(s *step, left int) {
	if c.queues[s.job.Queue].Advice == nil || s.advice.asking || c.now < s.advice.retryAt {
		return
	}
	var picks []*worker
	if s.spec.Reserved().Within(c.largest) {
		picks = c.pick(s, left, renewable)
	}
	if s.spec.Gang && len(picks) < left {
		picks = nil
	}
	var names []string
	for _, w := range picks {
		c.book(s, w)
		if c.permission(s, w) == renewable && !slices.Contains(names, w.ID) {
			names = append(names, w.ID)
		}
	}
	if len(picks) < left {
		names = append(names, c.unknownWorkers(s, maxNamed-len(names))...)
	}
	if len(names) == 0 {
		c.unbook(s)
		return
	}
	c.ask(s, names)
}

// unknownWorkers names workers that the advice service has not been asked about
// and that could run the step when empty, those with most free room first.
func (c *Core) unknownWorkers(s *step, most int) []string {
	var list []*worker
	for _, w := range c.byID {
		if c.permission(s, w) == unknown && c.fits(s, w) {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b *worker) int { return cmp.Compare(c.fullness(a), c.fullness(b)) })
	var names []string
	for _, w := range list[:min(len(list), max(0, most))] {
		names = append(names, w.ID)
	}
	return names
}

// fits reports whether a worker could run the step's tasks when empty.
func (c *Core) fits(s *step, w *worker) bool {
	return w.Service == s.job.Service && w.listed && !w.Draining && !w.leaving && s.spec.Reserved().Within(w.Capacity) &&
		(s.spec.Label == "" || slices.Contains(w.Labels, s.spec.Label))
}

// inTouch reports whether a worker takes new tasks now.
func (c *Core) inTouch(w *worker) bool {
	return w.fenced && !w.silent && c.now-w.answered < silentAfter && c.now >= w.pause
}

func (w *worker) free() Resources {
	return w.Capacity.Minus(w.used).Minus(w.booked)
}

// fullness is the larger share in use of processors and accelerators.
func (c *Core) fullness(w *worker) float64 {
	full := float64(w.used.CPU+w.booked.CPU) / float64(max(1, w.Capacity.CPU))
	if w.Capacity.GPU > 0 {
		full = max(full, float64(w.used.GPU+w.booked.GPU)/float64(w.Capacity.GPU))
	}
	return full
}

func (c *Core) start(t *task, w *worker) {
	s := t.step
	number := t.lastRun + 1
	if s.spec.Gang {
		number = s.gangRun // all members carry the same
	}
	t.lastRun = number
	r := &run{task: t, number: number, worker: w, need: s.spec.Reserved(), settled: c.now,
		resumed: t.checkpoint() != "", pace: fullPace}
	t.run = r
	r.ticket = s.advice.verdicts[w.ID].ticket
	c.occupy(r)
	id := t.id()
	c.do(Noted{Event: "run.start", Job: id.Job, Task: &id, Run: number, Worker: w.ID, Waited: c.now - s.waitingSince})
	c.sendStart(r)
}

func (c *Core) sendStart(r *run) {
	r.tries++
	w := r.worker
	c.do(Start{
		Worker: w.ID, Addr: w.Addr, Token: c.set.Token, Task: r.task.id(), Run: r.number,
		Payload: r.task.step.job.Payload, DeadlineMs: c.lease(w), Checkpoint: r.task.checkpoint(), Ticket: r.ticket,
	})
}
