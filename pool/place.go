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
	return w.Service == s.job.Service && w.listed && !w.Draining && s.spec.Reserved().Within(w.Capacity) &&
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

// pick returns workers for up to n tasks of a step, one for each, among those
// with at least the given permission. It may name a worker several times.
func (c *Core) pick(s *step, n int, least permission) []*worker {
	var candidates []*worker
	for _, w := range c.byID {
		if c.fits(s, w) && c.inTouch(w) && c.permission(s, w) <= least && !c.keptForOther(s, w) {
			candidates = append(candidates, w)
		}
	}
	if s.spec.Gang && s.spec.SameRack {
		return c.pickInRack(s, n, candidates)
	}
	return c.pickAmong(s, n, candidates)
}

// pickInRack picks within one rack. If no rack has the room for it even when
// empty, any racks will do: late is better than never.
func (c *Core) pickInRack(s *step, n int, candidates []*worker) []*worker {
	racks := map[string][]*worker{}
	var names []string
	for _, w := range candidates {
		if racks[w.Rack] == nil {
			names = append(names, w.Rack)
		}
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	slices.Sort(names)
	for _, rack := range names {
		if picks := c.pickAmong(s, n, racks[rack]); len(picks) == n {
			return picks
		}
	}
	if c.rackCouldHold(s, n) {
		return nil
	}
	return c.pickAmong(s, n, candidates)
}

func (c *Core) rackCouldHold(s *step, n int) bool {
	room := map[string]int{}
	for _, w := range c.byID {
		if c.fits(s, w) && c.permission(s, w) != forbidden {
			room[w.Rack] += c.copiesWithin(s, w.Capacity)
		}
	}
	for _, copies := range room {
		if copies >= n {
			return true
		}
	}
	return false
}

// copiesWithin is how many tasks of a step fit into some room.
func (c *Core) copiesWithin(s *step, room Resources) int {
	copies := s.spec.Count
	need := s.spec.Reserved()
	for _, r := range [...][2]int{{need.CPU, room.CPU}, {need.Mem, room.Mem}, {need.GPU, room.GPU}} {
		if r[0] > 0 {
			copies = min(copies, r[1]/r[0])
		}
	}
	if s.spec.PerWorker > 0 {
		copies = min(copies, s.spec.PerWorker)
	}
	return max(0, copies)
}

func (c *Core) pickAmong(s *step, n int, candidates []*worker) []*worker {
	extra := map[*worker]int{}
	need := s.spec.Reserved()
	var picks []*worker
	for range n {
		var best *worker
		var bestScore float64
		for _, w := range candidates {
			free := w.free()
			for range extra[w] {
				free = free.Minus(need)
			}
			if !need.Within(free) || !c.underLimit(s, w, extra[w]) {
				continue
			}
			score := c.score(s, w, free, extra[w])
			if best == nil || score < bestScore {
				best, bestScore = w, score
			}
		}
		if best == nil {
			return picks
		}
		extra[best]++
		picks = append(picks, best)
	}
	return picks
}

// underLimit reports whether one more task of the step may run on the worker.
func (c *Core) underLimit(s *step, w *worker, extra int) bool {
	if s.spec.PerWorker == 0 {
		return true
	}
	count := extra
	for _, b := range s.booked {
		if b.worker == w {
			count++
		}
	}
	for _, r := range w.runs {
		if r.task.step == s {
			count++
		}
	}
	return count < s.spec.PerWorker
}

// Weights of a placement's score, in shares of a worker: the lower the better.
const (
	// awayFromData makes the data's rack win over any packing: elsewhere a
	// task runs several times as long.
	awayFromData = 10
	// besideServing keeps filling tasks and serving tasks apart while there
	// is room elsewhere: a filler slows what serves.
	besideServing = 3
	// failedHere sends the tasks of a step elsewhere than where one has failed:
	// it may have been the worker's fault, and attempts are few.
	failedHere = 4
	// sameStep spreads the tasks of a lasting step, so that one worker's loss
	// takes few of them.
	sameStep = 0.2
)

// score rates a worker for one more task of a step; free is its room before.
func (c *Core) score(s *step, w *worker, free Resources, extra int) float64 {
	score := 0.0
	if s.spec.DataRack != "" && w.Rack != s.spec.DataRack {
		score += awayFromData
	}
	if s.failedOn[w.ID] {
		score += failedHere
	}
	if s.spec.Fills {
		// Fillers live off unused processors: the emptiest worker, and few fillers on each.
		score += c.fullness(w) + float64((w.fills+extra)*s.spec.Need.CPU)/float64(max(1, w.Capacity.CPU))
		return score + besideServing*float64(min(1, w.serving))
	}
	score += max(0, w.slowness)
	left := free.Minus(s.spec.Reserved())
	// Best fit: the least room left, so that large tasks find whole workers.
	score += float64(left.CPU) / float64(max(1, w.Capacity.CPU))
	if w.Capacity.GPU > 0 {
		score += float64(left.GPU) / float64(w.Capacity.GPU)
	}
	if s.spec.LongRunning {
		score += sameStep * float64(extra)
	}
	if s.spec.TargetMs > 0 {
		score += besideServing * float64(min(1, w.fills))
	}
	return score
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
