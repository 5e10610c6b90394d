package pool

import "slices"

// A repeated job may have any number of occurrences that are due. Only some of them are open, that is have steps and
// tasks in memory and in the job's progress: they are opened in the order of their times, as long as few wait, and
// dropped once they are finished. The numbers of the finished ones are kept as ranges.

const (
	// maxPoolWindow is the weight of the occurrences that the repeated jobs of a pool may have open together
	// without running, beyond one each, and maxJobWindow that of a single job.
	maxPoolWindow = 8192
	maxJobWindow  = 256
	// weightPerRun is the additional weight of open occurrences that a job may have for each of its runs.
	weightPerRun = 4
	// maxOpenOccurrences bounds the open occurrences of a job, and thus the ranges of finished ones between
	// them. A job has at most one for each minRangeSpace bytes of the largest record.
	maxOpenOccurrences = 4096
	minRangeSpace      = 64
	// maxRangeSize is the largest size of a stored range, in bytes.
	maxRangeSize = 20
)

// occurrence is an open occurrence of a job.
type occurrence struct {
	number    int
	steps     []*step
	remaining int // steps that aren't done
	// started is set once a run of one of its tasks has existed.
	started bool
	// workLeft is the result of remainingWork until another task is done.
	workLeft float64
}

// unknownWork is the workLeft of an occurrence for which it has to be computed.
const unknownWork = -1

// repeatedJobs sums up the active jobs that have several occurrences.
type repeatedJobs struct {
	jobs int
	// open is the weight of their open occurrences, and oneEach that of one occurrence of each.
	open, oneEach int
}

// countActive counts a job that becomes active, or ends.
func (s *repeatedJobs) countActive(j *job, n int) {
	if j.isRepeated() {
		s.jobs += n
		s.oneEach += n * j.occurrenceWeight
	}
}

// countOpen counts occurrences that are opened or closed.
func (j *job) countOpen(n int) {
	if j.isRepeated() {
		j.sums.open += n * j.occurrenceWeight
	}
}

// find returns the index of an open occurrence, or where it would be.
func (j *job) find(k int) (int, bool) {
	return slices.BinarySearchFunc(j.occurrences, k, func(o *occurrence, k int) int { return o.number - k })
}

// isRepeated reports whether the job has several occurrences.
func (j *Job) isRepeated() bool { return j.Occurrences() > 1 }

// weight is the number of steps and tasks of an occurrence, which take most of its memory.
func (j *Job) weight() int {
	n := len(j.Steps)
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// openDueOccurrences opens the occurrences that have become due, as long as there is room for them.
func (c *Core) openDueOccurrences(j *job) {
	for !j.state.Ended() {
		j.next = j.finished.nextMissing(j.next)
		if j.next >= j.Occurrences() || j.DueMs(j.next) > c.unixMs {
			return
		}
		if _, open := j.find(j.next); !open {
			if !c.mayOpenAnother(j) {
				return
			}
			occ := c.openOccurrence(j, j.next)
			if j.next < j.uncountedBefore {
				c.markUncountedOccurrence(occ)
			}
		}
		j.next++
	}
}

// mayOpenAnother reports whether one more occurrence of a job may be opened: one may always be open, and others in
// proportion to what runs.
func (c *Core) mayOpenAnother(j *job) bool {
	open := len(j.occurrences)
	if open == 0 {
		return true
	}
	if open >= maxOpenOccurrences || (c.settings.MaxRecord > 0 && open >= c.settings.MaxRecord/minRangeSpace) {
		return false
	}
	window, running := min(maxJobWindow, maxPoolWindow/max(1, c.repeated.jobs)), weightPerRun*j.runs
	return (open+1)*j.occurrenceWeight <= window+running && c.repeated.open+j.occurrenceWeight <= c.repeated.oneEach+maxPoolWindow+running
}

// openOccurrence creates the steps and tasks of an occurrence, which is neither open nor finished.
func (c *Core) openOccurrence(j *job, k int) *occurrence {
	occ := &occurrence{number: k, remaining: len(j.Steps), steps: make([]*step, len(j.Steps)), workLeft: unknownWork}
	path := int64(0) // the longest of those that begin with this step or a later one
	for i := len(j.Steps) - 1; i >= 0; i-- {
		path = max(path, j.chains[i])
		s := &step{job: j, occ: occ, id: StepID{Job: j.ID, K: k, Step: i}, spec: &j.Steps[i], remaining: j.Steps[i].Count,
			remainingPathMs: path, pathMs: j.chains[i], dueMs: j.DueMs(k), acceptedMs: j.AcceptedMs}
		tasks := make([]task, j.Steps[i].Count)
		s.tasks = make([]*task, len(tasks))
		for n := range tasks {
			tasks[n] = task{step: s, ordinal: n, lastRun: j.firstRun}
			s.tasks[n] = &tasks[n]
		}
		occ.steps[i] = s
	}
	for _, s := range occ.steps {
		s.criticalPathMs = path
	}
	i, _ := j.find(k)
	j.occurrences = slices.Insert(j.occurrences, i, occ)
	j.countOpen(1)
	c.markReadySteps(occ)
	return occ
}

// finish removes an occurrence whose tasks are all done from the open ones.
func (j *job) finish(occ *occurrence) {
	if i, open := j.find(occ.number); open {
		j.occurrences = slices.Delete(j.occurrences, i, i+1)
		j.countOpen(-1)
	}
	j.finished = j.finished.add(occ.number, occ.number+1)
}

// occurrenceFinished ends what is left of a finished occurrence, and opens others in its place.
func (c *Core) occurrenceFinished(j *job, occ *occurrence) {
	c.stopOccurrence(occ, "its occurrence is finished")
	c.openDueOccurrences(j)
	c.completeIfDone(j)
}

// stopOccurrence stops the runs of an occurrence that is over, and releases what its steps have booked.
func (c *Core) stopOccurrence(occ *occurrence, reason string) {
	for _, s := range occ.steps {
		c.unbook(s)
		for _, t := range s.tasks {
			for _, r := range [...]*run{t.run, t.copy} {
				if r != nil && !r.endedWithGang() {
					c.stop(r, reason)
				}
			}
		}
	}
}

// existing returns an occurrence that a predecessor has opened, opening it if need be; nil: it is finished, or there
// is none with this number. It may be due by the predecessor's clock but not yet by this instance's.
func (c *Core) existing(j *job, k int) *occurrence {
	if i, open := j.find(k); open {
		return j.occurrences[i]
	}
	if j.state.Ended() || k < 0 || k >= j.Occurrences() || j.finished.contains(k) {
		return nil
	}
	return c.openOccurrence(j, k)
}

// task returns a task of an open occurrence; nil: there is none.
func (c *Core) task(id TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	i, open := j.find(id.K)
	if !open {
		return nil
	}
	return j.occurrences[i].task(id)
}

func (o *occurrence) task(id TaskID) *task {
	if id.Step < 0 || id.Step >= len(o.steps) {
		return nil
	}
	tasks := o.steps[id.Step].tasks
	if id.Ordinal < 0 || id.Ordinal >= len(tasks) {
		return nil
	}
	return tasks[id.Ordinal]
}

// reportedTask returns the task that a worker or a predecessor's silence record names, of which something may still
// be to be done; nil: there is none.
func (c *Core) reportedTask(id TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	if occ := c.existing(j, id.K); occ != nil {
		return occ.task(id)
	}
	return nil
}

// finishedTask returns a stand-in for a task of an occurrence that is finished, of which a run may still be active; nil:
// there is no such task.
func (c *Core) finishedTask(id TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil || !j.finished.contains(id.K) || id.Step < 0 || id.Step >= len(j.Steps) || id.Ordinal < 0 || id.Ordinal >= j.Steps[id.Step].Count {
		return nil
	}
	s := &step{job: j, occ: &occurrence{number: id.K, started: true}, id: StepID{Job: id.Job, K: id.K, Step: id.Step}, spec: &j.Steps[id.Step]}
	t := &task{step: s, ordinal: id.Ordinal, done: true}
	s.tasks = []*task{t}
	return t
}
