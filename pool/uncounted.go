package pool

import "fmt"

// A successor doesn't know which tasks its predecessor started last, and on which workers. If one of
// these workers has crashed, and the predecessor ended before it noticed that and stored a silence
// record, any inherited task that waits may have been running there. Such tasks count as suspects
// from then on: their next runs are stored, so that no second crash is missed.

// mayHaveRunUnknownTasks reports whether a predecessor may have started tasks on the worker that this
// owner doesn't know of.
func (w *worker) mayHaveRunUnknownTasks() bool { return w.inherited && !w.fenced && !w.runsKnown }

// workersLostAtTakeover returns the number of a predecessor's workers that have ended, or don't answer,
// without a silence record.
func (c *Core) workersLostAtTakeover() int {
	lost := c.uncountedCrashes
	for _, w := range c.workerList {
		if w.mayHaveRunUnknownTasks() {
			lost++
		}
	}
	return lost
}

// markUncounted marks the tasks that may have been running on a predecessor's worker when it crashed.
// It is called once the takeover is complete, when all that still runs is known.
func (c *Core) markUncounted() {
	lost := c.workersLostAtTakeover()
	if lost == 0 {
		return
	}
	marked := 0
	for _, j := range c.activeJobs {
		if !j.inherited {
			continue
		}
		for _, occ := range j.occurrences {
			marked += c.markUncountedOccurrence(occ)
		}
		j.uncountedBefore = min(j.dueBefore(c.unixMs), j.next+maxOpenOccurrences)
	}
	c.saveAtOnce = true // the tasks have waited for the takeover
	c.emit(LogEntry{Event: "crashes.uncounted",
		Reason: fmt.Sprintf("%d workers of an earlier owner don't answer, and it is unknown what they ran: maybe one of %d waiting tasks", lost, marked)})
}

func (c *Core) markUncountedOccurrence(occ *occurrence) (marked int) {
	for _, s := range occ.steps {
		marked += c.markUncountedTasks(s)
	}
	return marked
}

// markUncountedTasks marks the tasks of a step, and returns how many it has marked.
func (c *Core) markUncountedTasks(s *step) int {
	if !s.ready || s.remaining == 0 {
		return 0
	}
	marked := 0
	for _, t := range s.tasks {
		if t.done || t.run != nil || t.blockedBy != nil || t.isSuspect() {
			continue // the runs of suspects are stored
		}
		t.uncounted = true
		marked++
	}
	if marked > 0 {
		c.markDirty(s.job)
	}
	return marked
}
