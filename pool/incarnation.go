package pool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// A worker may start again under the ID that it had. The new incarnation runs nothing, has seen no
// fencing token, stop or acknowledgement, and counts its ends and its clock anew. So nothing that is
// known of the former incarnation may be applied to it. The incarnation is named by its start, which
// the worker reports in the list of workers and with its lists of runs.

// clockSetBackAfter is the time without an answer of the known incarnation after which one that names an
// earlier start is a newer one, whose host's clock was set back. An answer is at most holdTimeout late.
const clockSetBackAfter = 2 * holdTimeout

// checkIncarnation handles the incarnation that a hold's answer names, and reports whether the answer
// is from the newest one.
func (c *Core) checkIncarnation(w *worker, e *HoldAnswered) bool {
	if e.Born != 0 && e.Born >= w.incarnation && e.Born < w.Born && e.SentAt > w.bornListedAt {
		// It has answered after its entry named a later one.
		w.bornWrong, w.fencing.born = true, w.incarnation
	}
	if e.Born > w.incarnation || e.Born == w.incarnation && e.SentAt > w.restartShownAt {
		w.restartShown = false
	}
	switch {
	case e.Born == 0 || e.Born == w.incarnation:
		return true
	case e.Born < w.incarnation && e.SentAt < w.answeredAt+clockSetBackAfter:
		w.nextHold = c.now + retryDelay
		return false
	case e.Born < w.incarnation:
		w.fencing.born = min(w.fencing.born, e.Born-1)
	}
	c.fenceFormerIncarnation(w, e.Born)
	w.formerCalls = c.mayHaveFormerCalls(w, e.Born)
	if w.incarnation != 0 {
		c.workerRestarted(w, e)
	}
	w.incarnation, w.incarnationMetAt = e.Born, c.now
	return true
}

// trackIncarnation stores which incarnation of the worker may run tasks, where, and whether it may have its longest lease.
// One that may gets tasks only once this is stored.
func (c *Core) trackIncarnation(w *worker) {
	h, ok := c.trackedWorkers[w.ID]
	if !ok {
		return
	}
	before := h
	h.Born, h.Addr, h.LongestLease = w.incarnation, cmp.Or(w.answeredAddr, w.Addr), c.mayHaveLongestLease(w)
	if h == before {
		return
	}
	c.trackedWorkers[w.ID], w.longestLeaseTracked = h, h.LongestLease
	c.trackedChanged = true
	if h.LongestLease && (!before.LongestLease || h.Born != before.Born) {
		w.tracked, w.trackedSave = false, 0
		c.workersChanged()
	}
}

// hasUnmetIncarnation reports whether the list of workers or a worker's clock shows a later incarnation than the one that has
// answered a hold here. Its clock isn't known.
func (w *worker) hasUnmetIncarnation() bool {
	return w.restartShown || w.incarnation != 0 && w.Born > w.incarnation && !w.bornWrong
}

// leastClock returns the earliest time that the clock of the known incarnation may show at a moment.
func (w *worker) leastClock(at time.Duration) int64 {
	since := float64(at-w.clockReadAt) / float64(time.Millisecond)
	return w.clockMs + int64(math.Floor(min(since/clockDriftFactor, since*clockDriftFactor)))
}

// checkClock notes that another incarnation has answered a start if the worker's clock shows an earlier time than that of the
// known one did when the start was sent. Its lease may be the longest: the start has a deadline by the known one's clock. If the
// start went out so late that the other clock had caught up, the lease lasts until the deadline at most.
func (c *Core) checkClock(w *worker, e StartAnswered) {
	if e.ClockMs == 0 || e.Outcome == WrongIncarnation {
		return
	}
	leaseMs := min(c.settings.MaxLease.Milliseconds(), e.DeadlineMs-e.ClockMs)
	c.extendLease(w, time.Duration(max(0, leaseMs))*time.Millisecond)
	if w.incarnation == 0 || e.ClockMs >= w.leastClock(e.SentAt) {
		return
	}
	w.restartShown, w.restartShownAt = true, c.now
	c.noteFormerClock(w, fmt.Sprintf("its clock went back to %d ms", e.ClockMs))
	c.trackIncarnation(w)
}

// noteEarlierEntry handles an entry that names an earlier start than the known incarnation's. One that hasn't done so before
// may be newer than that incarnation: its host's clock was set back before the worker started again.
func (c *Core) noteEarlierEntry(w *worker, born int64) {
	if born == 0 || born >= w.incarnation || born == w.Born || born == w.earlierBorn {
		return
	}
	w.earlierBorn = born
	c.noteRestart(w)
}

// noteRestart notes that the list of workers may show another incarnation than the known one.
func (c *Core) noteRestart(w *worker) {
	w.restartShown, w.restartShownAt = true, c.now
	c.noteUnmetIncarnation(w)
}

// noteUnmetIncarnation allows for calls that have reached a later incarnation than the one that they were meant for. Those
// that renew leases have ended once the worker's are over.
func (c *Core) noteUnmetIncarnation(w *worker) {
	if w.hasUnmetIncarnation() && !c.leaseOver(w) {
		w.inheritsLongestLease = true
		c.noteFormerClock(w, "the list of workers names a later incarnation")
		c.trackIncarnation(w) // a successor may find no entry any more
	}
}

// workerRestarted drops what is known of a worker's former incarnation. Runs that the answer lists are
// the new incarnation's.
func (c *Core) workerRestarted(w *worker, e *HoldAnswered) {
	c.emit(LogEntry{Event: "worker.restarted", Worker: w.ID, Runs: len(w.runs),
		Reason: fmt.Sprintf("incarnation %d after %d, last end %d, acknowledged %d", e.Born, w.incarnation, w.lastEnd, w.ack)})
	ended, undecided := w.formerRuns(e)
	c.rememberLostRuns(w, ended)
	for _, r := range undecided {
		if r.countsIfLost() && !w.Draining && !w.inMaintenance {
			r.former = &formerRun{worker: w.crash(true), lost: w.lostRun(r)}
		}
	}
	c.workerCrashed(w, true)
	w.incarnation, w.earlierBorn = e.Born, w.incarnation
	w.restarts++
	for _, r := range ended {
		if r.startsSent > 1 || r.phase == unconfirmed {
			c.blockLateStart(r)
			continue
		}
		c.logLostRun(r, "its worker started again")
		c.removeRun(r)
	}
	w.lastEnd, w.ack, w.ends = 0, 0, nil
	w.pausedUntil, w.slowness, w.exclusiveFailures = 0, nil, nil
	w.pace, w.paceAt = fullPace, 0
	w.isolation, w.reserved = isolation{}, nil
	// Advice and tickets are kept by index. Those of the former incarnation aren't valid any more.
	w.index = c.workersSeen
	c.workersSeen++
	c.replan, c.retryAllSteps = true, true
}

// formerRun is a run as it was lost if it ended with the former incarnation of its worker.
type formerRun struct {
	worker crashedWorker
	lost   lostRun
}

// formerRuns returns the runs that the answer of a new incarnation shows to have ended with the former
// one. A start that has no answer yet may be on its way to the new one. If the answer lists only some of
// the ends, a run that no answer has listed may be among the others: it is undecided, until
// removeVanishedRuns finds that a full answer lacks it.
func (w *worker) formerRuns(e *HoldAnswered) (ended, undecided []*run) {
	for _, r := range w.sortedRuns() {
		key := runKey{r.task.id(), r.number}
		isListed := slices.ContainsFunc(e.Active, func(a ActiveRun) bool { return runKey{a.Task, a.Run} == key }) ||
			slices.ContainsFunc(e.Ended, func(x EndedRun) bool { return runKey{x.Task, x.Run} == key })
		switch {
		case isListed || r.phase == starting || r.phase == planned || e.SentAt < r.answeredAt+vanishedGrace:
		case e.Truncated && r.listedIn == 0:
			undecided = append(undecided, r)
		default:
			ended = append(ended, r)
		}
	}
	return ended, undecided
}

// blockLateStart makes sure that a run which ended with the former incarnation isn't started again by a
// late start: the new incarnation must confirm a stop.
func (c *Core) blockLateStart(r *run) {
	r.phase, r.stopping, r.stopConfirmedAt = unconfirmed, false, 0
	c.stop(r, "a start without an answer, and its worker started again")
}
