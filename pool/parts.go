package pool

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
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

// PartID identifies a part of a job's progress. Tasks is the number of tasks of each part. Parts of another
// size than the job's Progress names are left over.
type PartID struct{ Tasks, Number int }

func comparePartIDs(a, b PartID) int {
	return cmp.Or(cmp.Compare(a.Tasks, b.Tasks), cmp.Compare(a.Number, b.Number))
}

// ProgressPartStored restores a part of a job's progress. It must follow the job's ProgressStored.
type ProgressPartStored struct {
	Job string
	ID  PartID
	ProgressPart
}

func (ProgressPartStored) event() {}

// ProgressPartKey returns the key of a part of a job's progress.
func ProgressPartKey(job string, id PartID) string {
	return fmt.Sprintf("%s%s/%d/%d", progressPartPrefix, job, id.Tasks, id.Number)
}

// ParseProgressPart returns the job and the part from a key without its prefix.
func ParseProgressPart(suffix string) (job string, id PartID, ok bool) {
	fields := strings.Split(suffix, "/")
	if len(fields) < 3 {
		return "", PartID{}, false
	}
	n := len(fields) - 2
	var tasksErr, numberErr error
	id.Tasks, tasksErr = strconv.Atoi(fields[n])
	id.Number, numberErr = strconv.Atoi(fields[n+1])
	return strings.Join(fields[:n], "/"), id, tasksErr == nil && numberErr == nil && id.Tasks > 0 && id.Number >= 0
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
	if !j.state.Ended() && j.tasksPerPart == 0 {
		j.compact(maxListedSteps)
		r := Record{Key: ProgressKey(j.ID), Value: Encode(j.progress())}
		if c.fits(r) {
			// An owner of an older version may have left parts behind.
			return slices.Concat(j.specRecords(len(j.compacted) > 0), j.dropParts(), []Record{r})
		}
	}
	if !j.state.Ended() {
		for _, size := range [...]int{j.tasksPerPart, c.tasksPerPart()} {
			if records, ok := c.partRecords(j, size); ok {
				return records
			}
		}
		c.failJob(j, "its progress is too large to be stored")
	}
	final := Record{Key: ProgressKey(j.ID), Value: Encode(j.progress())}
	return append([]Record{final}, j.dropParts()...)
}

// dropParts returns the records that remove the stored parts of a job's progress.
func (j *job) dropParts() []Record {
	var records []Record
	for _, id := range j.storedParts() {
		records = append(records, Record{Key: ProgressPartKey(j.ID, id)})
	}
	j.parts = nil
	return records
}

func (j *job) storedParts() []PartID {
	return slices.SortedFunc(maps.Keys(j.parts), comparePartIDs)
}

// partRecords returns the records that store a job's progress in parts of the given number of tasks, and false
// if one of them is too large.
func (c *Core) partRecords(j *job, size int) ([]Record, bool) {
	if size == 0 {
		return nil, false
	}
	parts := map[PartID][]byte{}
	for n, part := range j.progressParts(size) {
		parts[PartID{Tasks: size, Number: n}] = Encode(part)
	}
	var changed, leftOver, removed []Record
	for _, id := range slices.SortedFunc(maps.Keys(parts), comparePartIDs) {
		r := Record{Key: ProgressPartKey(j.ID, id), Value: parts[id]}
		if !c.fits(r) {
			return nil, false
		}
		if !bytes.Equal(r.Value, j.parts[id]) {
			changed = append(changed, r)
		}
	}
	for _, id := range j.storedParts() {
		r := Record{Key: ProgressPartKey(j.ID, id)}
		switch _, kept := parts[id]; {
		case kept:
		case id.Tasks == size && j.tasksPerPart != size:
			leftOver = append(leftOver, r)
		default:
			removed = append(removed, r)
		}
	}
	spec, progress := c.summaryRecords(j, size)
	if !c.fits(progress) {
		j.specChanged = j.specChanged || len(spec) > 0
		return nil, false
	}
	j.parts = parts
	if j.tasksPerPart == size {
		// The progress record names the finished occurrences before the parts leave them out.
		return slices.Concat(spec, []Record{progress}, changed, removed), true
	}
	// The parts count once the progress record names their size. Those that a former owner has left must be gone
	// by then, and those of another size count until then.
	j.tasksPerPart = size
	c.logJob("progress.split", j, fmt.Sprintf("into %d parts of %d tasks, since a record may have %d bytes", len(parts), size, c.settings.MaxRecord))
	return slices.Concat(spec, changed, leftOver, []Record{progress}, removed), true
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
	for _, occ := range j.occurrences {
		first := occ.number * tasks // number of the step's first task
		for _, s := range occ.steps {
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

// maxListedSteps is the number of steps of finished occurrences that a progress record lists at most.
const maxListedSteps = 64

// compact makes the job's specification name its finished occurrences if their steps are too many to be listed with
// each progress record. An older version that doesn't read this would run them again, so the specification then hides
// the job's queue: nothing is started of a job whose queue isn't known.
func (j *job) compact(maxSteps int) {
	if (j.finished.count()-j.compacted.count())*len(j.Steps) <= maxSteps {
		return
	}
	j.compacted, j.specChanged = slices.Clone(j.finished), true
	if prefix := j.finished.prefix(); (j.finished.count()-prefix.count())*len(j.Steps) <= maxSteps/2 {
		j.compacted = prefix // which more of the older versions read
	}
}

// listFinished returns the steps of the finished occurrences that the specification doesn't name.
func (j *job) listFinished() (list []StepProgress) {
	j.finished.without(j.compacted, func(k int) {
		for i := range j.Steps {
			list = append(list, StepProgress{K: k, Step: i, All: true})
		}
	})
	return list
}

// summaryRecords returns the progress record of a job whose progress is in parts of a size, and the record of the
// job's specification if it changes. The former repeats which tasks are done for versions that don't read parts.
// If there is no room for that, the specification hides the job's queue from them.
func (c *Core) summaryRecords(j *job, size int) (spec []Record, progress Record) {
	j.compact(maxListedSteps)
	p, complete := c.summary(j, size)
	if !complete {
		j.compact(0)
		p, complete = c.summary(j, size)
	}
	return j.specRecords(len(j.compacted) > 0 || !complete), Record{Key: ProgressKey(j.ID), Value: Encode(p)}
}

// specRecords returns the record of the job's specification if it has changed, or if its queue has to be hidden and
// isn't yet.
func (j *job) specRecords(hide bool) []Record {
	if (j.hidden || !hide) && !j.specChanged {
		return nil
	}
	j.hidden, j.specChanged = j.hidden || hide, false
	spec := j.Job
	spec.HiddenQueue, spec.ConcealedQueue, spec.FinishedBefore, spec.Finished = "", "", 0, nil
	if j.hidden {
		spec.Queue = ""
		if prefix := j.compacted.prefix(); len(prefix) == len(j.compacted) {
			spec.HiddenQueue, spec.FinishedBefore = j.Queue, prefix.nextMissing(0)
		} else {
			spec.ConcealedQueue, spec.Finished = j.Queue, j.compacted
		}
	}
	return []Record{{Key: JobKey(j.ID), Value: Encode(spec)}}
}

// summary returns the progress of a job whose progress is in parts of a size, with the done tasks as far as the
// record has room, and whether all are included.
func (c *Core) summary(j *job, size int) (p Progress, complete bool) {
	p = Progress{State: j.state, Begun: j.begunRecord(), TasksPerPart: size, FinishedBefore: j.finished.nextMissing(0), Finished: j.finished}
	room := c.settings.MaxRecord - len(ProgressKey(j.ID)) - len(Encode(p)) - summaryMargin
	list := j.listFinished()
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			if done, any := s.doneProgress(); any {
				list = append(list, done)
			}
		}
	}
	for _, done := range list {
		if room -= len(Encode(done)) + 1; room < 0 && c.settings.MaxRecord > 0 {
			return p, false
		}
		p.Steps = append(p.Steps, done)
	}
	return p, true
}

const (
	// summaryMargin is what the list of steps itself takes in a progress record, in bytes.
	summaryMargin = 64
	// hiddenMargin is what hiding its queue adds to a job's record, in bytes.
	hiddenMargin = 48
)

// DecodeJob decodes a stored job.
func DecodeJob(value []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(value, &j); err != nil {
		return Job{}, errors.Wrap(err, "job")
	}
	if j.isHidden() {
		j.Queue = cmp.Or(j.ConcealedQueue, j.HiddenQueue)
	}
	return j, nil
}

// restorePart restores a part of a job's progress. Parts that the progress record doesn't announce, or whose
// job has ended, are removed.
func (c *Core) restorePart(e ProgressPartStored) {
	j := c.jobs[e.Job]
	switch {
	case j == nil:
		return // its record can't be read; a later owner may be able to
	case j.state.Ended():
		c.otherRecords = append(c.otherRecords, Record{Key: ProgressPartKey(e.Job, e.ID)})
		return
	}
	if j.parts == nil {
		j.parts = map[PartID][]byte{}
	}
	j.parts[e.ID] = Encode(e.ProgressPart)
	if j.tasksPerPart == e.ID.Tasks {
		c.restoreSteps(j, e.Steps)
	}
}

// stepProgressSize is the size in bytes that the stored progress of a step takes in addition to one byte for
// each task.
const stepProgressSize = 48

// MaxOccurrences limits how often a job may be repeated: once a second for three years.
const MaxOccurrences = 100_000_000

func (j *Job) checkOccurrences() error {
	if j.Repeat > MaxOccurrences {
		return errors.Errorf("%d, and at most %d are possible", j.Repeat, MaxOccurrences)
	}
	if j.Repeat > 0 && j.IntervalMs > (math.MaxInt64-j.FirstRunMs)/int64(j.Repeat) {
		return errors.New("the last one has no time")
	}
	return nil
}

// CheckSize returns an error if the store can't hold the job or its progress, or an owner an occurrence of it, given
// the sizes of the job's record, of the largest record and of a process's memory (0: unknown), in bytes. Which tasks
// of an occurrence are done must fit into one record.
func (j *Job) CheckSize(size, maxRecord int, maxMemory int64) error {
	if err := j.checkOccurrences(); err != nil {
		return errors.Wrap(err, "occurrences")
	}
	if limit := maxMemory / jobMemoryFraction; limit > 0 && j.memory() > limit {
		return errors.Errorf("steps: an occurrence takes %d bytes of memory, and at most %d are possible", j.memory(), limit)
	}
	ranges := 0
	if j.isRepeated() {
		ranges = min(maxOpenOccurrences, maxRecord/minRangeSpace) * maxRangeSize
	}
	if size += len(j.Queue) + hiddenMargin + ranges; size > maxRecord {
		return errors.Errorf("the job takes %d bytes to store, and at most %d are possible", size, maxRecord)
	}
	progress := len(ProgressKey(j.ID)) + summaryMargin + ranges
	for i := range j.Steps {
		progress += stepProgressSize + j.Steps[i].Count
	}
	if progress > maxRecord {
		return errors.Errorf("steps: the progress of all their tasks takes %d bytes to store, and at most %d are possible", progress, maxRecord)
	}
	return nil
}
