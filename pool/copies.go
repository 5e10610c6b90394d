package pool

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/pool/speculation"
)

// A task of a step that permits it may have a second run, the copy, if the first is a straggler. Both
// are runs like any other: they take up capacity, count towards the cap and the attempts, and are stopped
// when the job ends. The first end as done counts. Once one of the two is gone, the other is the task's run.

const (
	// copyCheckInterval is the time between two searches for stragglers. The shortest tasks take half a
	// second.
	copyCheckInterval = 100 * time.Millisecond
	// copyRetryDelay is how long a task gets no other copy after it has lost one of its two runs.
	copyRetryDelay = time.Second
)

// copyState is what the owner keeps of copies. It isn't stored: a new owner finds the runs on the workers.
type copyState struct {
	// candidates are the runs of steps that permit copies, oldest first. Those that are gone are dropped
	// in the next search.
	candidates []*run
	searchedAt time.Duration
}

// permitsCopies reports whether tasks of the step may have a copy. Gangs run as a whole, long-running
// tasks don't end, and a best-effort task is slow because it gets only what others leave.
func (s *StepSpec) permitsCopies() bool {
	return s.Speculative && !s.Gang && !s.LongRunning && !s.Fills
}

// other returns the other run of a task that has two.
func (t *task) other(r *run) *run {
	if t.run == r {
		return t.copy
	}
	return t.run
}

// dropRun notes that a run of the task is gone, and reports whether the task has none left.
func (c *Core) dropRun(t *task, r *run) bool {
	if t.copy != nil {
		t.copyNotBefore = c.now + copyRetryDelay
	}
	switch r {
	case t.copy:
		t.copy = nil
		return false
	case t.run:
		t.run, t.copy = t.copy, nil
		if surplus := c.surplusRuns[t]; t.run == nil && len(surplus) > 0 {
			t.run = surplus[0]
			c.dropSurplus(t, t.run)
		}
		return t.run == nil
	}
	c.dropSurplus(t, r)
	return false
}

// dropSurplus notes that a run isn't active any more beside the task's own, or is the task's own from now on.
func (c *Core) dropSurplus(t *task, r *run) {
	if left := slices.DeleteFunc(c.surplusRuns[t], func(x *run) bool { return x == r }); len(left) > 0 {
		c.surplusRuns[t] = left
	} else {
		delete(c.surplusRuns, t)
	}
}

// stopRuns stops the runs of a task.
func (c *Core) stopRuns(t *task, reason string) {
	for _, r := range [...]*run{t.run, t.copy} {
		if r != nil {
			c.stop(r, reason)
		}
	}
}

// takeCheckpoint takes over a checkpoint of a run; nil: a run that isn't known any more. Of two runs,
// that of the one with more progress is kept.
func (t *task) takeCheckpoint(r *run, checkpoint string) {
	if r != nil && t.step.spec.permitsCopies() && t.newestCheckpoint != "" {
		if o := t.other(r); o != nil && o != r && o.percent > r.percent {
			return
		}
	}
	t.setCheckpoint(checkpoint)
}

// adoptsCopy reports whether a predecessor's second run of a task goes on as its copy.
func (c *Core) adoptsCopy(t *task, r *run) bool {
	return t.step.spec.permitsCopies() && t.copy == nil && t.run.worker != r.worker && !t.isSuspect() && c.attemptsPermitCopy(t)
}

// attemptsPermitCopy reports whether two runs of the task may fail without exceeding the attempts.
func (c *Core) attemptsPermitCopy(t *task) bool {
	attempts := c.policy(t.step).Attempts
	return attempts <= 0 || len(t.failed)+2 <= attempts
}

// settleCopy logs which of two runs of a task ended first as done, and learns from the other one, which
// is stopped: it has taken at least so long.
func (c *Core) settleCopy(t *task, number int) {
	r := t.run
	if r == nil || !t.step.spec.permitsCopies() {
		return
	}
	ran := c.now - r.answeredAt
	c.logRun("run.copy_unneeded", r, fmt.Sprintf("run %d was done first, this one took %.1f cores for %d ms", number, float64(r.need.CPU)/1000, ran.Milliseconds()))
	if r.number < number && r.phase == running && !r.resumed && !r.stopping && !r.worker.silent {
		c.observeRuntime(t.step, r.worker, ran)
	}
}

// startCopies starts copies of stragglers. It is called after all waiting steps were placed.
func (c *Core) startCopies(takenOver bool) {
	if !takenOver || c.now-c.copies.searchedAt < copyCheckInterval {
		return
	}
	c.copies.searchedAt = c.now
	pool := speculation.Pool{}
	late := c.stragglers(&pool)
	if len(late) == 0 {
		return
	}
	for _, w := range c.workerList {
		pool.Running += len(w.runs)
	}
	if pool.Waiting = c.capacityAwaited(); pool.Waiting || !pool.HasBudget() {
		return
	}
	for _, l := range late {
		if c.startBudget <= 0 {
			return
		}
		w, copyTime := c.pickForCopy(l.run)
		if w != nil && speculation.Decide(l.Run, pool, copyTime) == speculation.Due {
			c.startCopy(l, w, copyTime, pool)
			pool.Running++
			pool.Copies++
		}
	}
}

// straggler is a run that may get a copy, with the inputs of the decision.
type straggler struct {
	speculation.Run
	run *run
}

// stragglers returns the runs that are late, the latest first, and counts the copies.
func (c *Core) stragglers(pool *speculation.Pool) []straggler {
	var late []straggler
	c.copies.candidates = slices.DeleteFunc(c.copies.candidates, func(r *run) bool {
		t := r.task
		if r.worker.runs[runKey{t.id(), r.number}] != r {
			return true
		}
		if t.copy == r {
			pool.Copies++
		}
		if c.mayCopy(r) {
			if l := (straggler{Run: c.speculationInput(r), run: r}); l.IsLate() {
				late = append(late, l)
			}
		}
		return false
	})
	slices.SortStableFunc(late, func(a, b straggler) int { return cmp.Compare(b.Lateness(), a.Lateness()) })
	return late
}

// mayCopy reports whether the run may get a copy if it is late. If its worker doesn't answer, it may have
// crashed because of the task: then the task is started again only once that is counted.
func (c *Core) mayCopy(r *run) bool {
	t, w := r.task, r.worker
	return t.run == r && t.copy == nil && !t.done && t.blockedBy == nil && !t.awaitsVerdict && c.now >= max(t.notBefore, t.copyNotBefore) &&
		r.phase == running && !r.stopping && !r.quarantined && !w.silent && c.now-w.answeredAt < silentAfter &&
		!t.isSuspect() && !t.lostRun && t.inheritedRun.Worker == "" && c.canPlace(t.step) && c.attemptsPermitCopy(t)
}

func (c *Core) speculationInput(r *run) speculation.Run {
	s := r.task.step
	in := speculation.Run{Elapsed: c.now - r.answeredAt, Quantile: c.typicalQuantile(s, speculation.Share), Slowness: c.slowness(r.worker, s.job.Queue)}
	if r.percent >= minProgressPercent && !r.resumed {
		in.Remaining = c.expectedRemaining(r)
	}
	return in
}

// capacityAwaited reports whether a step waits for capacity that a copy could take. A step that waits
// for its organisation's cap, or for advice while its task fits on a worker, doesn't.
func (c *Core) capacityAwaited() bool {
	for _, s := range c.waitList.waitingSteps() {
		if !c.canPlace(s) || !s.anyWaiting(c.now) || c.waitsForCap(s) || (s.advice.pending && s.spec.Reserved().Within(c.largestFree)) {
			continue
		}
		if slices.ContainsFunc(c.workerList, func(w *worker) bool { return c.isEligible(s, w) }) {
			return true
		}
	}
	return false
}

// capAdmitsCopy reports whether the organisation's cap allows a copy, and none of its steps waits for it.
func (c *Core) capAdmitsCopy(s *step) bool {
	org := s.job.Organisation
	free, limited := c.freeUnderCap(org)
	return !limited || (c.orgs.waiting[org] == nil && s.spec.countedUse().Within(c.leaveHeadroom(s, free)))
}

// pickForCopy returns the fastest worker with free capacity for a copy of the run, and how long the copy
// is expected to take there; nil: there is none. It is on another rack, as what slows a worker down may
// slow down its rack, or it isn't slow.
func (c *Core) pickForCopy(r *run) (*worker, time.Duration) {
	s := r.task.step
	if s.urgency = c.urgencyOf(s); s.urgency.tier == Worthless || !c.capAdmitsCopy(s) {
		return nil, 0
	}
	var best *worker
	need := s.spec.Reserved()
	for i := range c.availableWorkers {
		w := c.availableWorkers[i].worker
		switch {
		case w == r.worker || !need.Within(w.free()) || !c.isEligible(s, w) || !c.acceptsTasks(w) || c.permission(s, w) != allowed:
		case !c.admitsIsolation(s, w) || c.reservedForOther(s, w) || !c.withinPerWorkerLimit(s, w, 0) || s.failedOn[w.ID]:
		case s.spec.DataRack != "" && w.Rack != s.spec.DataRack: // it would run several times as long
		case w.Rack == r.worker.Rack && c.runtimes.IsSlow(w.ID, w.incarnation):
		case best == nil || c.slowness(w, s.job.Queue) < c.slowness(best, s.job.Queue):
			best = w
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, c.expectedRuntimeOn(s, best)
}

// startCopy starts the copy of a straggler.
func (c *Core) startCopy(l straggler, w *worker, copyTime time.Duration, pool speculation.Pool) {
	t := l.run.task
	s := t.step
	c.startBudget -= startSize(s.job.Payload)
	t.lastRun++
	r := &run{task: t, number: t.lastRun, worker: w, need: s.spec.Reserved(), answeredAt: c.now, startedAt: c.now,
		resumed: t.checkpoint() != "", pace: fullPace, ticket: s.advice.get(w).ticket}
	t.copy = r
	c.addRun(r)
	c.updateFreeCapacity([]*worker{w})
	c.logRun("run.copied", r, fmt.Sprintf("run %d on %s (rack %s) has taken %d ms and reports %d%% as of %d ms ago; 95%% of such runs take up to %d ms at its slowness of %.2f; expected here: %d ms; %d copies among %d runs",
		l.run.number, l.run.worker.ID, l.run.worker.Rack, l.Elapsed.Milliseconds(), l.run.percent, (c.now-l.run.worker.answeredAt).Milliseconds(),
		l.Limit().Milliseconds(), l.Slowness, copyTime.Milliseconds(), pool.Copies+1, pool.Running+1))
	c.sendFirstStart(r)
}
