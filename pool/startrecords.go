package pool

import (
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// A start without an answer may be carried out seconds later, by the next incarnation of its worker, which has seen no
// fencing token. Whoever starts the task elsewhere meanwhile runs it twice, so an owner has to know of each such start, and
// its successor too. An owner can end right after a start has left. Therefore the store holds a record of each start
// before it leaves: the run is planned, saved and only then sent. In an outage of the store nothing new is started but what
// needs no record, see waitsForLateStarts.
//
// The starts of one save share a record. Its key is a number that is used again once all of its starts are settled, so that
// the store holds few of them whatever number of tasks run.

// startTTL is how long after its decision a start may leave. What a successor finds was stored before its claim, so that it
// allows for starts that leave until startTTL after that, also of an owner that is frozen or cut off.
const startTTL = 3 * time.Second

const (
	// maxStartsPerRecord bounds the size of a record of starts.
	maxStartsPerRecord = 500
	// maxStartRecords bounds the numbers of records, in case another program has written one. At a save each 4 ms that has
	// an unanswered start, 3,000 are in use.
	maxStartRecords = 1 << 16
)

// StepStarts are starts of tasks of one step in a record of starts: Runs and Workers belong to the task in Tasks with the
// same index.
type StepStarts struct {
	Job     string   `json:"j"`
	K       int      `json:"k,omitempty"`
	Step    int      `json:"i,omitempty"`
	Tasks   []int    `json:"t"`
	Runs    []int    `json:"n"`
	Workers []string `json:"w"`
}

// StartsStored restores a predecessor's record of starts.
type StartsStored struct {
	Record int // number of the record
	Starts []StepStarts
}

func (StartsStored) event() {}

// Check returns an error if the record is invalid.
func (e StartsStored) Check() error {
	for _, s := range e.Starts {
		if len(s.Runs) != len(s.Tasks) || len(s.Workers) != len(s.Tasks) || s.K < 0 || s.Step < 0 {
			return errors.New("starts: numbers of tasks, runs and workers differ, or a negative number")
		}
	}
	return nil
}

// StartsKey returns the key of a record of starts.
func StartsKey(record int) string { return startsPrefix + strconv.Itoa(record) }

// ParseStarts returns the number of a record of starts from its key without the prefix.
func ParseStarts(suffix string) (int, bool) {
	n, err := strconv.Atoi(suffix)
	return n, err == nil && n >= 0 && n < maxStartRecords
}

// startRecord is the state of a record of starts.
type startRecord struct {
	number int
	stored bool // the store may hold it
	open   int  // number of its runs whose newest start has no answer yet
	// lateUntil is until when a start in it that had no answer may be carried out.
	lateUntil time.Duration
	inherited bool // written by a predecessor
}

// lateStart is a start of a task that may still be carried out, by the next incarnation of its worker. Until then the task
// isn't started elsewhere. If no other start of the run was made, it may be sent to that worker again: with the same run
// number, so that whichever incarnation carries out both starts has one run.
type lateStart struct {
	worker string // empty: any worker
	run    int
	until  time.Duration // of a start that this owner has sent
	// inherited is set if a predecessor has sent it, see Core.inheritedStartsEnd.
	inherited bool
	// mustWait is set if the run may have ended or been stopped on the worker, which would refuse another start of it.
	mustWait bool
}

// unknownLateStart stands for starts of a predecessor that doesn't record them.
var unknownLateStart = &lateStart{inherited: true, mustWait: true}

// planStart decides a run whose start is sent once the next save is confirmed.
func (c *Core) planStart(r *run) {
	r.phase, r.planSave, r.plannedFor = planned, c.saveSeq+1, r.worker.incarnation
	c.plannedRuns = append(c.plannedRuns, r)
	if r.task.step.spec.waitsForLateStarts() {
		r.sendUntil = c.now + startTTL
		c.unrecordedStarts = append(c.unrecordedStarts, r)
		c.saveAtOnce = true
	}
}

// startRecordsForSave returns the records of the starts that are planned since the last save, and the removal of a record
// that isn't needed any more.
func (c *Core) startRecordsForSave() []Record {
	runs := slices.DeleteFunc(c.unrecordedStarts, func(r *run) bool { return !r.isPlanned() })
	c.unrecordedStarts = nil
	var records []Record
	for len(runs) > 0 {
		n := min(len(runs), maxStartsPerRecord)
		record := c.recordStarts(runs[:n])
		for n > 1 && !c.fits(record) {
			n /= 2
			record = c.recordStarts(runs[:n])
		}
		records = append(records, record)
		runs = runs[n:]
	}
	return append(records, c.removeSettledRecord()...)
}

// recordStarts returns the record of some starts.
func (c *Core) recordStarts(runs []*run) Record {
	var list []StepStarts
	for _, r := range runs {
		id := r.task.step.id
		if n := len(list); n == 0 || (StepID{list[n-1].Job, list[n-1].K, list[n-1].Step}) != id {
			list = append(list, StepStarts{Job: id.Job, K: id.K, Step: id.Step})
		}
		s := &list[len(list)-1]
		s.Tasks, s.Runs, s.Workers = append(s.Tasks, r.task.ordinal), append(s.Runs, r.number), append(s.Workers, r.worker.ID)
	}
	record := c.settledRecord()
	record.stored, record.open = true, len(runs)
	for _, r := range runs {
		if r.record != nil {
			r.record.open-- // it was too large with this one
		}
		r.record = record
	}
	return Record{Key: StartsKey(record.number), Value: Encode(list)}
}

// settledRecord returns the first record that may be overwritten.
func (c *Core) settledRecord() *startRecord {
	for _, s := range c.startRecords {
		if s.isSettled(c.now) {
			return s
		}
	}
	s := &startRecord{number: len(c.startRecords)}
	c.startRecords = append(c.startRecords, s)
	return s
}

func (s *startRecord) isSettled(now time.Duration) bool {
	return s.open == 0 && now >= s.lateUntil && !s.inherited
}

// removeSettledRecord returns the removal of a record that a successor would read in vain.
func (c *Core) removeSettledRecord() []Record {
	for _, s := range slices.Backward(c.startRecords) {
		if s.stored && s.isSettled(c.now) {
			s.stored = false
			return []Record{{Key: StartsKey(s.number)}}
		}
	}
	return nil
}

// startSettled notes that the run's newest start has been answered, or never will be.
func (c *Core) startSettled(r *run, answered bool) {
	if r.inFlight && !answered {
		r.unansweredAt = c.now
	}
	r.inFlight = false
	if s := r.record; s != nil && r.unansweredAt != 0 {
		s.lateUntil = max(s.lateUntil, r.unansweredAt+lateCallPeriod)
	}
}

// releaseRecord notes that a run needs its record of starts no more, except for late starts of it.
func (c *Core) releaseRecord(r *run) {
	if r.record != nil {
		r.record.open--
		r.record = nil
	}
}

// keepLateStart remembers a start of a run that is removed and that may still be carried out.
func (c *Core) keepLateStart(r *run) {
	c.startSettled(r, false)
	c.releaseRecord(r)
	t := r.task
	if r.unansweredAt == 0 || r.isOrphan() || !t.step.spec.waitsForLateStarts() {
		return
	}
	l := &lateStart{worker: r.worker.ID, run: r.number, until: r.unansweredAt + lateCallPeriod, mustWait: true}
	if former := c.lateStartOf(t); former != nil {
		l.inherited, l.until = former.inherited, max(l.until, former.until)
	}
	t.late = l
}

// endLateStart notes that the run of a late start has ended or was stopped on its worker.
func (t *task) endLateStart(number int) {
	if t.late != nil && t.late.run <= number {
		t.late.mustWait = true
	}
}

// startsStored restores a predecessor's record of starts. Of two starts of a task the later one counts: an owner sends it
// only if the earlier one can't be carried out any more, or to the same worker.
func (c *Core) startsStored(e StartsStored) {
	for len(c.startRecords) <= e.Record {
		c.startRecords = append(c.startRecords, &startRecord{number: len(c.startRecords)})
	}
	s := c.startRecords[e.Record]
	s.stored, s.inherited = true, true
	for _, x := range e.Starts {
		for i, ordinal := range x.Tasks {
			t := c.reportedTask(TaskID{x.Job, x.K, x.Step, ordinal})
			if t == nil || t.done || !t.step.spec.waitsForLateStarts() || (t.late != nil && t.late.run > x.Runs[i]) {
				continue
			}
			t.late = &lateStart{worker: x.Workers[i], run: x.Runs[i], inherited: true, mustWait: t.hasFailed(x.Runs[i])}
		}
	}
}

// hasFailed reports whether a run of the task is known to have failed.
func (t *task) hasFailed(number int) bool {
	if t.step.spec.Gang {
		t = t.step.tasks[0]
	}
	return slices.Contains(t.failed, number)
}

// inheritedStartsEnd returns until when starts of predecessors may be carried out.
func (c *Core) inheritedStartsEnd() time.Duration { return c.startedAt + startTTL + lateCallPeriod }

// settleInheritedRecords lets the records of predecessors be removed once their starts can't be carried out any more.
func (c *Core) settleInheritedRecords() {
	if c.now < c.inheritedStartsEnd() {
		return
	}
	for _, s := range c.startRecords {
		s.inherited = false
	}
}

// ExpectUnrecordedStarts makes tasks of inherited jobs wait for starts of predecessors that no record in the store names.
func (c *Core) ExpectUnrecordedStarts() { c.settings.UnrecordedStarts = true }

// RecordsStarts reports whether the store holds all starts that may still be carried out.
func (c *Core) RecordsStarts() bool {
	return !c.settings.UnrecordedStarts || c.now >= c.inheritedStartsEnd()
}

// lateStartOf returns the start of the task that may still be carried out; nil: there is none.
func (c *Core) lateStartOf(t *task) *lateStart {
	l := t.late
	if l == nil {
		if c.settings.UnrecordedStarts && t.step.job.inherited && t.step.spec.waitsForLateStarts() && c.now < c.inheritedStartsEnd() {
			return unknownLateStart
		}
		return nil
	}
	if c.now < c.lateStartEnd(l) {
		return l
	}
	t.late = nil
	return c.lateStartOf(t)
}

// lateStartEnd returns when no run that a late start may bring to life is active any more, except on a worker that has
// started again without being known to.
func (c *Core) lateStartEnd(l *lateStart) time.Duration {
	end := l.until
	if l.inherited {
		end = max(end, c.inheritedStartsEnd())
	}
	if w := c.workers[l.worker]; w != nil {
		end += c.lateStartLease(w)
	}
	return end
}

// placeLateStarts starts tasks with a late start on the worker of that, if it has room, and returns the others, which any worker may
// run. Members of a gang are started together, see pickGang.
func (c *Core) placeLateStarts(s *step, tasks []*task) []*task {
	if s.spec.Gang {
		return tasks
	}
	return slices.DeleteFunc(tasks, func(t *task) bool {
		l := c.lateStartOf(t)
		if l == nil {
			return false
		}
		if w := c.workers[l.worker]; w != nil && !l.mustWait && c.canStartBesideLateStart(s, w) {
			c.startRun(t, w, l.run)
			c.updateFreeCapacity([]*worker{w})
		}
		return true
	})
}

// canStartBesideLateStart reports whether a task of the step may be started on the worker of its late start.
func (c *Core) canStartBesideLateStart(s *step, w *worker) bool {
	return c.startBudget > 0 && w.isAvailable && s.spec.Reserved().Within(w.free()) && c.isEligible(s, w) && c.permission(s, w) == allowed &&
		c.admitsIsolation(s, w) && !c.reservedForOther(s, w) && c.withinPerWorkerLimit(s, w, 0) && c.tasksWithinCap(s, 1) == 1
}

// pickLateGang returns the workers of the late starts of a gang's members and their run number, if all members may be sent there
// again.
func (c *Core) pickLateGang(s *step, tasks []*task) (picks []*worker, number int) {
	taken := map[*worker]int{}
	for _, t := range tasks {
		l := c.lateStartOf(t)
		if l == nil || l.mustWait || (number != 0 && l.run != number) {
			return nil, 0
		}
		w := c.workers[l.worker]
		if w == nil || !c.canStartBesideLateStart(s, w) || c.tasksThatFit(s, w.free()) <= taken[w] {
			return nil, 0
		}
		taken[w]++
		picks, number = append(picks, w), l.run
	}
	return picks, number
}

// pickGang returns the workers for the members of a gang's next run, and sets the run's number; none: it can't be started.
func (c *Core) pickGang(s *step, tasks []*task, picks []*worker) []*worker {
	if slices.ContainsFunc(tasks, func(t *task) bool { return c.lateStartOf(t) != nil }) {
		late, number := c.pickLateGang(s, tasks)
		if len(late) > 0 {
			s.gangRun = number
		}
		return late
	}
	if len(picks) == 0 || len(picks) < len(tasks) {
		return nil
	}
	s.gangRun = max(s.gangRun, s.tasks[0].lastRun) + 1
	return picks
}
