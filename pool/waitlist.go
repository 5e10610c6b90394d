package pool

import (
	"cmp"
	"slices"
)

// waitList holds the steps of which a task may be waiting, in the order in which their jobs were stored.
// A pass goes over these steps instead of those of all jobs: most steps either run or wait for
// predecessors. Events add steps where a task can become waiting; a pass drops those without one.
type waitList struct {
	steps []*step // sorted by compareStored
	added []*step // since the last pass, not sorted
}

// mayWait adds a step to the list of steps of which a task may be waiting. It has to be called when the step becomes
// ready and when a task that isn't done stops running, stops being blocked, or gets its verdict.
func (c *Core) mayWait(s *step) {
	s.noneWaitingBefore = 0
	if s.inWaitList || !s.ready || s.occ == nil {
		return // a step that isn't ready is added once it is
	}
	s.inWaitList = true
	c.waitList.added = append(c.waitList.added, s)
}

// waitingSteps returns the steps of which a task may be waiting, by when their jobs were stored.
func (l *waitList) waitingSteps() []*step {
	if len(l.added) > 0 {
		slices.SortFunc(l.added, compareStored)
		l.steps = mergeSteps(l.steps, l.added)
		clear(l.added)
		l.added = l.added[:0]
	}
	return l.steps
}

// mergeSteps merges a sorted list of steps into another one.
func mergeSteps(into, list []*step) []*step {
	from := len(into) - 1
	into = append(into, list...)
	n := len(list) - 1
	for to := len(into) - 1; n >= 0; to-- {
		if from >= 0 && compareStored(into[from], list[n]) > 0 {
			into[to] = into[from]
			from--
		} else {
			into[to] = list[n]
			n--
		}
	}
	return into
}

// dropIdle removes the steps of which no task can be waiting before an event adds them again.
func (l *waitList) dropIdle() {
	l.steps = slices.DeleteFunc(l.steps, func(s *step) bool {
		s.inWaitList = s.mayStillWait()
		return !s.inWaitList
	})
}

// mayStillWait reports whether a task of the step may be waiting, or may be after a pause, without another event.
func (s *step) mayStillWait() bool {
	return s.remaining > 0 && !s.job.state.Ended() && s.noneWaitingBefore != noneWaiting
}

// compareStored orders steps by when their jobs were stored, then by occurrence and step.
func compareStored(a, b *step) int {
	return cmp.Or(cmp.Compare(a.job.storedAs, b.job.storedAs), cmp.Compare(a.id.K, b.id.K), cmp.Compare(a.id.Step, b.id.Step))
}
