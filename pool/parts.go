package pool

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// The store limits the size of a record. The progress of a job with many tasks can exceed it: for each
// task there may be failed runs, a checkpoint, and crashes of workers. Such progress is split into parts
// of a fixed number of tasks, so that no record outgrows the limit whatever happens to the job's tasks, and
// a save holds only the parts that have changed. Versions of this program that don't read parts ignore
// their keys.

const (
	// maxTasksPerPart is the number of tasks of a part, unless the store's limit requires smaller ones.
	maxTasksPerPart = 64
	// maxTaskProgress is the size in bytes that the progress of a task doesn't exceed: maxKeptCrashes and
	// a suspected run, each with the name of a worker, maxKeptFailures and a checkpoint.
	maxTaskProgress = 8 << 10
	// maxKeptFailures and maxKeptCrashes are how many failed runs and crashes of a task are stored.
	maxKeptFailures = 100
	maxKeptCrashes  = 3 * maxCrashes
	// maxCheckpoint is the size in bytes of the largest checkpoint that is kept. A task with a larger one
	// starts from its beginning.
	maxCheckpoint = 1 << 10
)

// ProgressPart is the stored progress of some of the tasks of a job whose Progress is in parts.
type ProgressPart struct {
	Steps []StepProgress `json:"t"`
}

// ProgressPartStored restores a part of a job's progress. It must follow the job's ProgressStored.
type ProgressPartStored struct {
	Job  string
	Part int
	ProgressPart
}

func (ProgressPartStored) event() {}

// ProgressPartKey returns the key of a part of a job's progress.
func ProgressPartKey(job string, part int) string {
	return progressPartPrefix + job + "/" + strconv.Itoa(part)
}

// ParseProgressPart returns the job and the number of a part from its key without the prefix.
func ParseProgressPart(suffix string) (job string, part int, ok bool) {
	at := strings.LastIndexByte(suffix, '/')
	if at < 0 {
		return "", 0, false
	}
	part, err := strconv.Atoi(suffix[at+1:])
	return suffix[:at], part, err == nil && part >= 0
}

// fits reports whether the store accepts a record.
func (c *Core) fits(r Record) bool {
	return c.settings.MaxRecord <= 0 || r.Size() <= c.settings.MaxRecord
}

// isUnstorable reports whether the store would refuse a record at each attempt. It is logged and has to be left
// out of its save, as the save and all later ones would be refused with it.
func (c *Core) isUnstorable(r Record) bool {
	if c.fits(r) {
		return false
	}
	c.emit(LogEntry{Event: "record.unstorable", Reason: fmt.Sprintf("%s: %d bytes, and a record may have %d", r.Key, r.Size(), c.settings.MaxRecord)})
	return true
}

// tasksPerPart returns the number of tasks of a part.
func (c *Core) tasksPerPart() int {
	if c.settings.MaxRecord <= 0 {
		return maxTasksPerPart
	}
	return max(1, min(maxTasksPerPart, c.settings.MaxRecord/maxTaskProgress))
}

// progressRecords returns the records that store what has changed in a job's progress. They may be stored
// in several appends, in this order: whatever precedes a missing append is a state that can be restored.
func (c *Core) progressRecords(j *job) []Record {
	if !j.state.Ended() && !j.inParts {
		r := Record{Key: ProgressKey(j.ID), Value: Encode(j.progress())}
		if c.fits(r) {
			return append(j.dropParts(), r) // an owner of an older version may have left parts behind
		}
	}
	if !j.state.Ended() {
		if records, ok := c.partRecords(j); ok {
			return records
		}
		c.failJob(j, "its progress is too large to be stored")
	}
	final := Record{Key: ProgressKey(j.ID), Value: Encode(j.progress())}
	return append([]Record{final}, j.dropParts()...)
}

// dropParts returns the records that remove the stored parts of a job's progress.
func (j *job) dropParts() []Record {
	var records []Record
	for _, n := range slices.Sorted(maps.Keys(j.parts)) {
		records = append(records, Record{Key: ProgressPartKey(j.ID, n)})
	}
	j.parts = nil
	return records
}

// partRecords returns the records that store a job's progress in parts, and false if one of them is too
// large.
func (c *Core) partRecords(j *job) ([]Record, bool) {
	var changed, removed []Record
	parts := map[int][]byte{}
	for n, part := range j.progressParts(c.tasksPerPart()) {
		parts[n] = Encode(part)
	}
	for _, n := range slices.Sorted(maps.Keys(parts)) {
		r := Record{Key: ProgressPartKey(j.ID, n), Value: parts[n]}
		if !c.fits(r) {
			return nil, false
		}
		if !bytes.Equal(r.Value, j.parts[n]) {
			changed = append(changed, r)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(j.parts)) {
		if _, ok := parts[n]; !ok {
			removed = append(removed, Record{Key: ProgressPartKey(j.ID, n)})
		}
	}
	main := Record{Key: ProgressKey(j.ID), Value: Encode(c.partedProgress(j))}
	if !c.fits(main) {
		return nil, false
	}
	j.parts = parts
	if j.inParts {
		// The job's record names the finished occurrences before the parts leave them out.
		return slices.Concat([]Record{main}, changed, removed), true
	}
	// The parts count once the job's record says so. Those that a former owner has left must be gone by then.
	j.inParts = true
	c.logJob("progress.split", j, fmt.Sprintf("into %d parts, since a record may have %d bytes", len(parts), c.settings.MaxRecord))
	return slices.Concat(changed, removed, []Record{main}), true
}

// progressParts returns the parts of the job's progress, by number. The tasks of all occurrences are
// numbered consecutively, and each part holds tasksPerPart of them. Occurrences before the first unfinished
// one are in no part.
func (j *job) progressParts(tasksPerPart int) map[int]ProgressPart {
	parts := map[int]ProgressPart{}
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	for k := j.firstUnfinished(); k < len(j.occurrences); k++ {
		first := k * tasks // number of the step's first task
		for _, s := range j.occurrences[k].steps {
			for from := 0; from < len(s.tasks); {
				n := (first + from) / tasksPerPart
				to := min(len(s.tasks), (n+1)*tasksPerPart-first)
				if p, any := s.taskProgress(from, to); any {
					parts[n] = ProgressPart{Steps: append(parts[n].Steps, p)}
				}
				from = to
			}
			first += len(s.tasks)
		}
	}
	return parts
}

// firstUnfinished returns the first occurrence that isn't finished, or the number of occurrences so far.
func (j *job) firstUnfinished() int {
	for j.finishedBefore < len(j.occurrences) && j.occurrences[j.finishedBefore].remaining == 0 {
		j.finishedBefore++
	}
	return j.finishedBefore
}

// partedProgress returns the progress of a job whose progress is in parts. It repeats which tasks are done,
// as far as the record has room: versions that don't read parts must not run them again.
func (c *Core) partedProgress(j *job) Progress {
	p := Progress{State: j.state, InParts: true, FinishedBefore: j.firstUnfinished()}
	room := c.settings.MaxRecord - len(ProgressKey(j.ID)) - len(Encode(p)) - partedMargin
	for k := p.FinishedBefore; k < len(j.occurrences); k++ {
		for _, s := range j.occurrences[k].steps {
			done, any := s.doneProgress()
			if !any {
				continue
			}
			if room -= len(Encode(done)) + 1; room < 0 && c.settings.MaxRecord > 0 {
				return p
			}
			p.Steps = append(p.Steps, done)
		}
	}
	return p
}

// partedMargin is what the list of steps itself takes in a record, in bytes.
const partedMargin = 64

// restorePart restores a part of a job's progress. Parts that the job's record doesn't announce, or whose
// job has ended, are removed.
func (c *Core) restorePart(e ProgressPartStored) {
	j := c.jobs[e.Job]
	switch {
	case j == nil:
		return // its record can't be read; a later owner may be able to
	case j.state.Ended():
		c.otherRecords = append(c.otherRecords, Record{Key: ProgressPartKey(e.Job, e.Part)})
		return
	}
	if j.parts == nil {
		j.parts = map[int][]byte{}
	}
	j.parts[e.Part] = Encode(e.ProgressPart)
	if j.inParts {
		c.restoreSteps(j, e.Steps)
	}
}

// stepProgressSize is the size in bytes that the stored progress of a step takes in addition to one byte for
// each task.
const stepProgressSize = 48

// CheckSize returns an error if the store can't hold the job or its progress, given the size of the job's
// record and of the largest record, in bytes. Which tasks of an occurrence are done must fit into one record.
func (j *Job) CheckSize(size, maxRecord int) error {
	if size > maxRecord {
		return errors.Errorf("the job takes %d bytes to store, and at most %d are possible", size, maxRecord)
	}
	progress := len(ProgressKey(j.ID)) + partedMargin
	for i := range j.Steps {
		progress += stepProgressSize + j.Steps[i].Count
	}
	if progress > maxRecord {
		return errors.Errorf("steps: the progress of all their tasks takes %d bytes to store, and at most %d are possible", progress, maxRecord)
	}
	return nil
}
