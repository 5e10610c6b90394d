package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// silentAfter is the time since a worker's last answer after which it gets no new tasks. Healthy
// workers answer a hold each second.
const silentAfter = holdTimeout + 500*time.Millisecond

// placementRetryDelay is how long a step that found too little free capacity is skipped. In a busy
// pool of 350 workers, hundreds of steps wait while a thousand tasks end each second; trying all of
// them after each event cost an owner 1.3 ms per start.
const placementRetryDelay = 20 * time.Millisecond

// takeoverComplete reports whether this owner knows everything that a predecessor may have started.
// Until then a task of an inherited job may run unnoticed, and starting it again would run it
// twice. The takeover is complete once each worker has either answered under this owner's token,
// after which it rejects the predecessor, and has listed all its ends, or its longest possible lease
// has expired.
func (c *Core) takeoverComplete() bool {
	if !c.listed || c.takenOver {
		return c.takenOver
	}
	for _, w := range c.workerList {
		if w.inherited && !w.reconciled && !w.runsKnown && !c.leaseOver(w) {
			return false
		}
	}
	c.takenOver = true
	return true
}

// canPlace reports whether tasks of the step may be started.
func (c *Core) canPlace(s *step) bool {
	j := s.job
	if !s.ready || s.remaining == 0 || j.state.Ended() || c.now < s.notBefore || c.unixMs < s.dueMs {
		return false
	}
	if !c.policy(s).known {
		return false
	}
	if s.lostRun && !c.wasOwnerAt(c.now-confirmationTTL) {
		return false // a successor may know the ends of lost runs
	}
	return !j.inherited || c.takeoverComplete()
}

// placeTasks starts the tasks that can be started, most urgent steps first.
func (c *Core) placeTasks() {
	if !c.IsConfirmed() {
		return // until the next tick
	}
	waiting := c.waiting[:0]
	takenOver := c.takeoverComplete()
	if takenOver && !c.inheritedChecked {
		c.inheritedChecked = true
		c.markUncounted()
	}
	retryAll := c.retryAllSteps || c.reservationsDue()
	c.retryAllSteps = false
	var exhausted []*job
	for _, s := range c.waitList.waitingSteps() {
		switch {
		case s.job.inherited && !takenOver, !c.canPlace(s) || !s.anyWaiting(c.now):
		case c.isExhausted(s):
			exhausted = append(exhausted, s.job)
		case c.now < s.retryPlacementAt && !retryAll:
			c.replan = true // retry with the next event
		default:
			waiting = append(waiting, s)
		}
	}
	c.waitList.dropIdle()
	for _, j := range exhausted {
		c.failJob(j, failedTooOften)
	}
	waiting = slices.DeleteFunc(waiting, func(s *step) bool { return s.job.state.Ended() })
	c.sortByUrgency(waiting)
	c.measureFreeCapacity()
	c.resetReservations()
	c.resetCapWaits(takenOver)
	for _, s := range waiting {
		c.placeStep(s)
	}
	c.startCopies(takenOver)
	c.logWaitingSteps(takenOver)
	c.migrateFromDraining()
	clear(waiting) // don't keep ended jobs alive
	c.waiting = waiting
}

// failedTooOften is the failure reason of a job whose task has used up its attempts.
const failedTooOften = "a task failed too often"

// isExhausted reports whether a waiting task has failed as often as its queue allows. A failure may
// have been counted before the queue's policy was known, or under a different one.
func (c *Core) isExhausted(s *step) bool {
	attempts := c.policy(s).Attempts
	if s.spec.LongRunning || attempts <= 0 || s.maxFailures < attempts {
		return false
	}
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.isWaiting(c.now) && len(t.failed) >= attempts })
}

// noneWaiting is a step's noneWaitingBefore while only an event can make one of its tasks wait.
const noneWaiting = time.Duration(math.MaxInt64)

// anyWaiting reports whether a task of the step could be started now. It caches a negative result
// in noneWaitingBefore, so that the tasks of fully running steps aren't scanned in each pass.
func (s *step) anyWaiting(now time.Duration) bool {
	if now < s.noneWaitingBefore {
		return false
	}
	s.noneWaitingBefore = noneWaiting
	for _, t := range s.tasks {
		if t.isWaiting(now) {
			s.noneWaitingBefore = 0
			return true
		}
		if !t.done && t.run == nil && t.blockedBy == nil && !t.awaitsVerdict {
			s.noneWaitingBefore = min(s.noneWaitingBefore, t.notBefore)
		}
	}
	return false
}

// waitingTasks returns the tasks that could be started now, without those that are quarantined.
func (s *step) waitingTasks(now time.Duration) []*task {
	var list []*task
	for _, t := range s.tasks {
		if t.isWaiting(now) && !t.isQuarantined() {
			list = append(list, t)
		}
	}
	return list
}

// updateFreeCapacity updates the results of measureFreeCapacity after capacity of the picked
// workers was taken or booked. It recomputes c.largestFree only if one of them had the most free
// capacity of some resource.
func (c *Core) updateFreeCapacity(picks []*worker) {
	largestReduced := false
	for _, w := range picks {
		picked := &c.availableWorkers[w.availableIndex]
		before, now := picked.free, w.free()
		picked.free = now
		largestReduced = largestReduced || before.reducesLargest(now, c.largestFree)
	}
	if !largestReduced {
		return
	}
	c.findLargestFree()
}

// minNonzero returns the smaller of two amounts, ignoring an amount of 0.
func minNonzero(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (c *Core) placeStep(s *step) {
	if s.quarantined > 0 {
		c.placeQuarantined(s)
		if s.spec.Gang {
			return
		}
	}
	if !c.capAdmitsAny(s) {
		return
	}
	fitsSomewhere := s.spec.Reserved().Within(c.largestFree)
	if !fitsSomewhere && !c.adviceDue(s, fitsSomewhere) && !(c.reserving && c.needsReservation(s)) {
		return
	}
	tasks := c.placeLateStarts(s, s.waitingTasks(c.now))
	if len(tasks) == 0 {
		return
	}
	if s.spec.Gang && len(tasks) < len(s.tasks) {
		return // members of the previous run still exist
	}
	tasks = tasks[:c.tasksWithinCap(s, len(tasks))]
	var picks []*worker
	limit := c.startLimit(s, len(tasks))
	if fitsSomewhere && limit > 0 {
		picks = c.pickWorkers(s, limit, allowed)
	}
	if s.spec.Gang {
		picks = c.pickGang(s, tasks, picks)
	}
	for i, w := range picks {
		c.start(tasks[i], w)
	}
	c.updateFreeCapacity(picks)
	if len(picks) == limit && limit < len(tasks) {
		c.replan = true
		c.requestTickets(s, len(tasks)-limit)
		return
	}
	if left := len(tasks) - len(picks); left > 0 {
		s.retryPlacementAt = c.now + placementRetryDelay
		c.requestTickets(s, left)
		c.reserveFor(s, left-len(s.booked))
	}
}

// startLimit returns how many of a step's tasks the start budget allows in this pass. A gang is
// started as a whole.
func (c *Core) startLimit(s *step, tasks int) int {
	size := startSize(s.job.Payload)
	switch {
	case c.startBudget <= 0:
		return 0
	case s.spec.Gang || c.startBudget/size >= tasks:
		return tasks
	}
	return c.startBudget/size + 1
}

// requestTickets requests tickets from the advice service, and books the capacity that they are
// meant for.
func (c *Core) requestTickets(s *step, left int) {
	fitsSomewhere := s.spec.Reserved().Within(c.largestFree)
	if !c.adviceDue(s, fitsSomewhere) {
		return
	}
	var picks []*worker
	if fitsSomewhere {
		picks = c.pickWorkers(s, left, renewable)
	}
	if s.spec.Gang && len(picks) < left {
		picks = nil
	}
	var names []string
	for _, w := range picks {
		c.book(s, w)
		// All tickets of a gang are renewed together. One by one, the first would expire before the
		// last arrives, and the gang would never start.
		if (s.spec.Gang || c.permission(s, w) == renewable) && !slices.Contains(names, w.ID) {
			names = append(names, w.ID)
		}
	}
	if len(picks) < left && len(names) > 0 && !s.spec.Gang {
		names = c.addRenewableWorkers(s, names)
	}
	if len(picks) < left && c.moreWorkersCouldHelp(s, left) {
		names = append(names, c.unknownWorkers(s, left, maxWorkersPerRequest-len(names))...)
	}
	if len(names) == 0 {
		c.unbook(s)
		return
	}
	c.updateFreeCapacity(picks)
	c.addPendingLoads(s, names, left)
	c.requestAdvice(s, names)
}

// addRenewableWorkers adds the other workers that may run the step to a request that renews
// tickets. More tasks wait than there is free capacity for now, and capacity that becomes free
// elsewhere while the tickets are valid is then used at once. With a request for each worker that
// got free capacity, a job of wide steps sent 9 requests on average and up to 34 on a crowded
// workshop, and such jobs earned 0.30 of their offered value in place of 0.47; all jobs together
// earned 0.46 in place of 0.50, and those of a wholesaler at 3 times its load 0.805 in place of
// 0.819 (kw-pool-load, 8 simulations).
func (c *Core) addRenewableWorkers(s *step, names []string) []string {
	for _, w := range c.workerList {
		if len(names) == maxWorkersPerRequest {
			break
		}
		if c.permission(s, w) == renewable && c.isEligible(s, w) && !slices.Contains(names, w.ID) {
			names = append(names, w.ID)
		}
	}
	return names
}

// adviceDue reports whether to request advice for a step: when it becomes ready, and again only
// once a task could start. Requesting it all the time made each of the hundreds of steps that wait
// for a full pool of 252 workers scan all of them in each pass: 10 ms for a pass over 300 steps. A
// gang that doesn't fit on the workers known to be allowed requests advice in a full pool too,
// since no workers could be reserved for it otherwise.
func (c *Core) adviceDue(s *step, fitsSomewhere bool) bool {
	if c.policy(s).Advice == nil || s.advice.pending || c.now < s.advice.retryAt {
		return false
	}
	return fitsSomewhere || !s.advice.requested || (c.reserving && c.needsMoreWorkers(s, s.spec.Count))
}

// moreWorkersCouldHelp reports whether more allowed workers could let tasks start now. A gang
// starts as a whole or not at all: when advice was requested for every few workers with free
// capacity, gangs that waited for 5 of them took 0.7 s of the advice service per request, 13 s per
// second in all, and small jobs waited 4 s for their answers.
func (c *Core) moreWorkersCouldHelp(s *step, left int) bool {
	return !s.spec.Gang || !s.advice.requested || c.needsMoreWorkers(s, left) || c.gangCouldStart(s, left)
}

// unknownWorkers returns workers that no advice was requested for and that could run the step when
// empty, those with the most free capacity first. After the first request it returns none unless
// one of them has free capacity now or the known workers can't hold the step; the request then
// lists as many workers as allowed, so that a step needs few requests. When only workers with free
// capacity were listed, wide steps sent up to 16 requests in 2.5 s, each for a few workers, at
// nearly the same cost: at twice the normal load this earned 0.640 of the offered value, and
// listing more workers 0.648 with 0.83 of the requests (3 simulations of kw-pool-load -shape grown
// -overload 2 -refuse). A gang's requests cost more per worker, and it needs the capacity at once,
// so workers without free capacity aren't listed for it.
func (c *Core) unknownWorkers(s *step, left, limit int) []string {
	repeated := s.advice.requested
	includeBusy := !repeated || c.needsMoreWorkers(s, left)
	speedWeight := requestWeight * c.speedWeight(s)
	need := s.spec.Reserved()
	list, anyFree := c.unknownBuffer[:0], false
	for _, w := range c.workerList {
		if c.permission(s, w) != unknown || !c.isEligible(s, w) {
			continue
		}
		hasFree := need.Within(w.free())
		anyFree = anyFree || hasFree
		if includeBusy || hasFree || !s.spec.Gang {
			list = append(list, rankedWorker{worker: w, utilization: c.utilization(w) + w.pendingShare() + speedWeight*(c.slowness(w, s.job.Queue)-1), order: len(list)})
		}
	}
	c.unknownBuffer = list
	if !includeBusy && !anyFree {
		return nil
	}
	if repeated && !s.spec.Gang {
		limit += serviceMaxWorkers - maxWorkersPerRequest
	}
	if s.spec.Gang {
		slices.SortFunc(list, compareRanked)
		limit = max(limit, c.gangRequestSize(s, list, left, repeated && includeBusy))
		list = list[:min(len(list), max(0, limit))]
	} else {
		list = leastUtilized(list, max(0, limit))
	}
	names := make([]string, 0, len(list))
	for _, w := range list {
		names = append(names, w.ID)
	}
	return names
}

// rankedWorker is a worker with its sort key.
type rankedWorker struct {
	*worker
	utilization float64
	order       int // breaks ties of utilization
}

func compareRanked(a, b rankedWorker) int {
	return cmp.Or(cmp.Compare(a.utilization, b.utilization), cmp.Compare(a.order, b.order))
}

// leastUtilized returns the n least utilized workers of a list, least utilized first. It overwrites
// the list. The rest isn't sorted, since a request lists only a few of a service's workers.
func leastUtilized(list []rankedWorker, n int) []rankedWorker {
	n = min(n, len(list))
	if n == 0 {
		return nil
	}
	least := list[:n]
	slices.SortFunc(least, compareRanked)
	for _, w := range list[n:] {
		if compareRanked(w, least[n-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(least, w, compareRanked)
		copy(least[at+1:], least[at:n-1])
		least[at] = w
	}
	return least
}

// isEligible reports whether a worker could run the step's tasks when empty.
func (c *Core) isEligible(s *step, w *worker) bool {
	return w.Service == s.job.Service && w.listed && !w.Draining && !w.inMaintenance && s.spec.Reserved().Within(w.Capacity) &&
		(s.spec.Label == "" || slices.Contains(w.Labels, s.spec.Label))
}

// maxListAge is the maximum age of the list of workers with which tasks are started. A worker whose
// capacity shrinks reports it there, and a start that relies on the former capacity would exceed it.
const maxListAge = 3 * time.Second

// listOutdated reports whether workers may have reported changes long ago that aren't known here.
func (c *Core) listOutdated() bool { return c.listedAsOf != 0 && c.now-c.listedAsOf > maxListAge }

// acceptsTasks reports whether a worker can be sent new tasks now.
func (c *Core) acceptsTasks(w *worker) bool {
	if w.Born != 0 && w.Born != w.incarnation {
		return false // its capacity is that of another incarnation
	}
	if w.restartShown {
		return false // another incarnation may take starts by the known one's clock
	}
	if !c.wasOwnerAt(w.incarnationMetAt) {
		return false // a successor may have reached a former incarnation, and this one takes starts of either
	}
	if w.formerCalls {
		return false // its longest lease can't be told yet
	}
	return !c.listOutdated() && w.tracked && w.fenced && !w.silent && !w.silence.stored && c.now-w.answeredAt < silentAfter && c.now >= w.pausedUntil
}

func (w *worker) free() Resources {
	return w.Capacity.Minus(w.used).Minus(w.booked)
}

// utilization returns the share in use of CPUs or accelerators, whichever is larger.
func (c *Core) utilization(w *worker) float64 {
	utilization := float64(w.used.CPU+w.booked.CPU) / float64(max(1, w.Capacity.CPU))
	if w.Capacity.GPU > 0 {
		utilization = max(utilization, float64(w.used.GPU+w.booked.GPU)/float64(w.Capacity.GPU))
	}
	return utilization
}

func (c *Core) start(t *task, w *worker) {
	number := t.lastRun + 1
	if t.step.spec.Gang {
		number = t.step.gangRun // all members have the same run number
	}
	c.startRun(t, w, number)
}

func (c *Core) startRun(t *task, w *worker, number int) {
	s := t.step
	c.startBudget -= startSize(s.job.Payload)
	t.lastRun = max(t.lastRun, number)
	r := &run{task: t, number: number, worker: w, need: s.spec.Reserved(), answeredAt: c.now, startedAt: c.now,
		resumed: t.checkpoint() != "", pace: fullPace}
	t.run = r
	c.replaceInheritedRun(t)
	r.ticket = s.advice.get(w).ticket
	c.addRun(r)
	if t.isSuspect() || (s.spec.Gang && slices.ContainsFunc(s.tasks, (*task).isSuspect)) {
		c.planRun(r)
		return
	}
	if s.spec.waitsForLateStarts() {
		c.planStart(r)
		return
	}
	c.sendFirstStart(r)
}

func (c *Core) sendFirstStart(r *run) {
	s, id := r.task.step, r.task.id()
	c.admission.starts.count(c.now, 1)
	c.recordDelay(s)
	c.emit(LogEntry{Event: "run.start", Job: id.Job, Task: &id, Run: r.number, Worker: r.worker.ID, Incarnation: r.worker.incarnation, Waited: c.now - s.readySince})
	c.sendStart(r)
}

func (c *Core) sendStart(r *run) {
	r.startsSent++
	r.inFlight = true
	r.task.step.occ.started = true
	w := r.worker
	if len(w.ends) == 0 {
		w.nextHold = c.now // an idle worker may have been polled just now
	}
	c.emit(Start{
		Worker: w.ID, Addr: w.Addr, Token: c.token(w), Task: r.task.id(), Run: r.number,
		Payload: r.task.step.job.Payload, DeadlineMs: c.lease(w), Checkpoint: r.task.checkpoint(), Ticket: r.ticket, SentAt: c.now, NotAfter: r.sendUntil,
	})
}
