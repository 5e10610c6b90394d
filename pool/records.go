package pool

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Prefixes of the keys under which a pool's state is stored. The store keeps the newest record
// of each key forever, so that a new owner reads only the current state.
const (
	jobPrefix      = "j/"
	progressPrefix = "p/"
	cancelPrefix   = "c/"
	wavePrefix     = "w/"
	silentPrefix   = "s/"
	queuePrefix    = "q/"
	capSharePrefix = "u/"
	// progressPartPrefix must not begin with another prefix: older versions would take the record for theirs.
	progressPartPrefix = "t/"
	startsPrefix       = "r/"
	// OwnerKey holds the claim of the pool's owner.
	OwnerKey = "owner"
	// TrackedWorkersKey holds the workers on which the owner may have started tasks.
	TrackedWorkersKey = "held"
	// trackedPartPrefix is that of the keys that hold the workers if they don't fit into one record.
	trackedPartPrefix = "held/"
)

// JobKey returns the key of a submitted job.
func JobKey(id string) string { return jobPrefix + id }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id string) string { return cancelPrefix + id }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id string) string { return progressPrefix + id }

// SilentKey returns the key of a worker's silence record.
func SilentKey(worker string) string { return silentPrefix + worker }

// maxNameInKey is the maximum length of the name of a queue or an organisation in a key, in bytes. The
// store limits keys to 255 bytes.
const maxNameInKey = 200

// MaxWorkerID is the maximum length of a worker's ID, which is part of a key, in bytes.
const MaxWorkerID = maxNameInKey

// QueueKey returns the key that records whether the pool accepts jobs of a queue.
func QueueKey(queue string) string { return queuePrefix + shortened(queue) }

// CapShareKey returns the key of the pool's shares of an organisation's cap.
func CapShareKey(organisation string) string { return capSharePrefix + shortened(organisation) }

// shortened returns a name, or its hash if the name is too long for a key.
func shortened(name string) string {
	if len(name) <= maxNameInKey {
		return name
	}
	sum := sha256.Sum256([]byte(name))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// KeyKind is the kind of record that a key holds.
type KeyKind int

// The kinds of keys.
const (
	OtherRecord KeyKind = iota
	JobRecord
	ProgressRecord
	CancelRecord
	OwnerRecord
	TrackedWorkersRecord
	WaveRecord
	SilentRecord
	QueueRecord
	CapShareRecord
	ProgressPartRecord
	StartsRecord
)

// String returns the kind's name in metrics.
func (k KeyKind) String() string {
	return [...]string{"other", "job", "progress", "cancellation", "owner", "tracked_workers", "wave", "silence", "queue", "cap_share", "progress_part", "starts"}[k]
}

// ParseWave returns the wave number in the key of a wave.
func ParseWave(key string) (int, bool) {
	_, suffix := ParseKey(key)
	return parseWave(suffix)
}

// ParseKey returns the kind of a key, and the job, queue, wave or worker that it belongs to.
func ParseKey(key string) (KeyKind, string) {
	switch {
	case key == OwnerKey:
		return OwnerRecord, ""
	case key == TrackedWorkersKey:
		return TrackedWorkersRecord, ""
	case strings.HasPrefix(key, trackedPartPrefix):
		return TrackedWorkersRecord, key[len(trackedPartPrefix):]
	case strings.HasPrefix(key, jobPrefix):
		return JobRecord, key[len(jobPrefix):]
	case strings.HasPrefix(key, progressPrefix):
		return ProgressRecord, key[len(progressPrefix):]
	case strings.HasPrefix(key, wavePrefix):
		return WaveRecord, key[len(wavePrefix):]
	case strings.HasPrefix(key, silentPrefix):
		return SilentRecord, key[len(silentPrefix):]
	case strings.HasPrefix(key, queuePrefix):
		return QueueRecord, key[len(queuePrefix):]
	case strings.HasPrefix(key, capSharePrefix):
		return CapShareRecord, key[len(capSharePrefix):]
	case strings.HasPrefix(key, progressPartPrefix):
		return ProgressPartRecord, key[len(progressPartPrefix):]
	case strings.HasPrefix(key, startsPrefix):
		return StartsRecord, key[len(startsPrefix):]
	case strings.HasPrefix(key, cancelPrefix):
		return CancelRecord, key[len(cancelPrefix):]
	}
	return OtherRecord, ""
}

// TrackedWorker is a worker on which an owner may have started tasks.
type TrackedWorker struct {
	ID string `json:"id"`
	// Born is the incarnation that the owner last knew; 0: unknown.
	Born    int64  `json:"b,omitempty"`
	Addr    string `json:"a"`
	Service string `json:"s"`
	// LongestLease is set if the incarnation may have its longest lease, by calls that were meant for a former one.
	LongestLease bool `json:"l,omitempty"`
}

// SilentTask is a task in a silence record.
type SilentTask struct {
	TaskID
	// Unconfirmed is set if the worker may never have got the start, Stopping if the task was active
	// and had to stop.
	Unconfirmed bool `json:",omitempty"`
	Stopping    bool `json:",omitempty"`
	// LateStart is set if a start of it that had no answer may still be carried out. That may also be so if it is
	// unconfirmed.
	LateStart bool `json:",omitempty"`
	// Lost is set if the task can't run there any more. It counts if the worker has crashed.
	Lost bool `json:",omitempty"`
}

// Begun says whether a worker has confirmed a run of any of a job's tasks.
type Begun int

// The values of Begun.
const (
	BegunUnknown Begun = iota // the record is of an older version, which doesn't say
	NotBegun
	HasBegun
)

// Progress is the stored progress of a job. It may be stored before any task has started.
type Progress struct {
	State State `json:"s"`
	// Begun is set in all records of jobs that haven't ended.
	Begun Begun          `json:"b,omitempty"`
	Steps []StepProgress `json:"t,omitempty"`
	// GivenUp is set if the job failed because a task crashes its workers.
	GivenUp *GivenUp `json:"g,omitempty"`
	// Organisation is the job's once it has ended, since its specification is removed then.
	Organisation string `json:"o,omitempty"`
	// TasksPerPart is the number of tasks of each ProgressPart; 0: the progress isn't in parts. If it is, Steps
	// only repeats which tasks are done, as far as there was room.
	TasksPerPart int `json:"ps,omitempty"`
	// FinishedBefore is the first occurrence that isn't finished, if the progress is in parts.
	FinishedBefore int `json:"fb,omitempty"`
	// Finished holds all finished occurrences. Versions that don't read it find those in Steps that the job's
	// specification doesn't name.
	Finished Spans `json:"fs,omitempty"`
}

// StepProgress is the stored progress of a step of which a run has ended, or may have ended.
type StepProgress struct {
	K    int `json:"k,omitempty"`
	Step int `json:"i"`
	// Done holds a 1 for each task that is done, beginning with the task From. All replaces it if all tasks
	// of the step are done.
	Done string `json:"d,omitempty"`
	// From is the ordinal of the first task in Done. It is 0 unless the progress is in parts.
	From int  `json:"b,omitempty"`
	All  bool `json:"all,omitempty"`
	// Failed holds the numbers of the failed runs by task; entry 0 holds those of a gang.
	Failed map[int][]int `json:"f,omitempty"`
	// Saved holds the newest checkpoint by task; entry 0 holds that of a gang.
	Saved map[int]string `json:"c,omitempty"`
	// Crashes holds the crashes of workers under each task.
	Crashes map[int][]Crash `json:"x,omitempty"`
	// Uncounted holds the tasks under which an earlier owner may not have counted a crash.
	Uncounted []int `json:"u,omitempty"`
	// Suspected holds the planned or active runs of these tasks, which a successor has to count if
	// their workers crash.
	Suspected map[int]Crash `json:"y,omitempty"`
}

// HasBegun returns whether the job has begun, as far as the record shows. Those of older versions show it by what has
// become of runs. A planned run, or a crash under one that no worker has confirmed, shows nothing.
func (p Progress) HasBegun() Begun {
	switch {
	case p.Begun != BegunUnknown:
		return p.Begun
	case p.State.Ended() || len(p.Finished) > 0 || p.FinishedBefore > 0 || slices.ContainsFunc(p.Steps, StepProgress.hasBegun):
		return HasBegun
	}
	return BegunUnknown
}

// hasBegun reports whether the progress shows that a run of the step was active.
func (p StepProgress) hasBegun() bool {
	if p.All || p.Done != "" || p.Failed != nil || p.Saved != nil {
		return true
	}
	for _, crashes := range p.Crashes {
		if slices.ContainsFunc(crashes, func(x Crash) bool { return !x.Doubtful }) {
			return true
		}
	}
	return false
}

// Check returns an error if the progress is invalid.
func (p Progress) Check() error {
	switch p.State {
	case Queued, Running, Completed, Failed, Cancelled:
	default:
		return errors.New("progress: unknown state")
	}
	if p.Begun < BegunUnknown || p.Begun > HasBegun {
		return errors.New("progress: it is unknown whether the job has begun")
	}
	for _, s := range p.Steps {
		if err := s.check(); err != nil {
			return err
		}
	}
	if p.FinishedBefore < 0 || p.TasksPerPart < 0 {
		return errors.New("progress: negative number of occurrences or tasks")
	}
	return errors.Wrap(p.Finished.check(), "progress")
}

// Check returns an error if the part is invalid.
func (p ProgressPart) Check() error {
	for _, s := range p.Steps {
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

func (p StepProgress) check() error {
	if p.K < 0 || p.Step < 0 || p.From < 0 {
		return errors.New("progress: negative occurrence, step or task number")
	}
	return nil
}

// Encode returns the stored form of a value of this package.
func Encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// The types here hold only strings, numbers, maps and slices.
		panic(err)
	}
	return data
}

func (j *job) progress() Progress {
	p := Progress{State: j.state}
	if j.state.Ended() {
		p.GivenUp, p.Organisation = j.givenUp, j.Organisation
		return p
	}
	p.Begun, p.Finished, p.Steps = j.begunRecord(), j.finished, j.listFinished()
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			if sp, any := s.progress(); any {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

// dropRecords returns, once, the records that remove an ended job's specification and
// cancellation, since only its state is queried from then on, for EndedRetention (two minutes).
// After 35 s of 40 jobs per second, an instance read for 1.3 s (at most 2.8 s, over 10 Mbit/s)
// at its start until it was ready, and 0.23 s (at most 0.43 s) without those of ended jobs. They
// follow the final state, at the earliest in the same append, so that a reader always finds one of
// the two.
func (c *Core) dropRecords(j *job) []Record {
	if j.recordsDropped || !j.state.Ended() {
		return nil
	}
	if c.mayHaveRuns(j) {
		c.pendingDrops = append(c.pendingDrops, j)
		return nil
	}
	j.recordsDropped = true
	drop := []Record{{Key: JobKey(j.ID)}}
	if j.state == Cancelled {
		drop = append(drop, Record{Key: CancelKey(j.ID)})
	}
	return drop
}

// mayHaveRuns reports whether runs may exist that count towards the cap of the job's organisation. A
// successor has to know what they use, and needs the specification for that.
func (c *Core) mayHaveRuns(j *job) bool {
	return j.Organisation != "" && (j.runs > 0 || (j.inherited && !c.inheritedChecked))
}

// dropPending removes the records of ended jobs that had runs when their final state was saved.
func (c *Core) dropPending() {
	jobs := c.pendingDrops
	c.pendingDrops = nil
	for _, j := range jobs {
		c.otherRecords = append(c.otherRecords, c.dropRecords(j)...)
	}
}

func (s *step) progress() (StepProgress, bool) {
	if s.remaining == 0 {
		return s.doneProgress()
	}
	return s.taskProgress(0, len(s.tasks))
}

// doneProgress returns which tasks of the step are done, and whether any is.
func (s *step) doneProgress() (StepProgress, bool) {
	p := StepProgress{K: s.id.K, Step: s.id.Step}
	if s.remaining == 0 {
		p.All = true
		return p, true
	}
	p.Done = doneString(s.tasks)
	return p, p.Done != ""
}

// doneString returns a 1 for each task that is done and a 0 for each other one; empty: none is done.
func doneString(tasks []*task) string {
	done := bytes.Repeat([]byte{'0'}, len(tasks))
	for i, t := range tasks {
		if t.done {
			done[i] = '1'
		}
	}
	if !bytes.Contains(done, []byte{'1'}) {
		return ""
	}
	return string(done)
}

// taskProgress returns the progress of the tasks with ordinals from one to before another, and whether
// there is any.
func (s *step) taskProgress(from, to int) (StepProgress, bool) {
	p := StepProgress{K: s.id.K, Step: s.id.Step, Done: doneString(s.tasks[from:to])}
	if p.Done != "" {
		p.From = from
	}
	for i := from; i < to; i++ {
		t := s.tasks[i]
		if len(t.failed) > 0 {
			if p.Failed == nil {
				p.Failed = map[int][]int{}
			}
			p.Failed[i] = t.failed
		}
		if t.newestCheckpoint != "" {
			if p.Saved == nil {
				p.Saved = map[int]string{}
			}
			p.Saved[i] = t.newestCheckpoint
		}
		if t.isSuspect() && !t.done {
			p.addSuspect(i, t)
		}
	}
	return p, p.Done != "" || p.Failed != nil || p.Saved != nil || p.Crashes != nil || p.Uncounted != nil
}

// addSuspect adds the crashes of workers under a task.
func (p *StepProgress) addSuspect(ordinal int, t *task) {
	if len(t.crashes) > 0 {
		if p.Crashes == nil {
			p.Crashes = map[int][]Crash{}
		}
		p.Crashes[ordinal] = t.crashes
	}
	if t.uncounted {
		p.Uncounted = append(p.Uncounted, ordinal)
	}
	if run := t.suspectedRun(); run.Worker != "" {
		if p.Suspected == nil {
			p.Suspected = map[int]Crash{}
		}
		p.Suspected[ordinal] = run
	}
}

// restoreSteps restores the progress of steps, and creates the occurrences that it is about.
func (c *Core) restoreSteps(j *job, steps []StepProgress) {
	j.started = j.started || (!j.saysBegun && slices.ContainsFunc(steps, StepProgress.hasBegun))
	for _, sp := range steps {
		if occ := c.existing(j, sp.K); occ != nil && sp.Step < len(occ.steps) {
			c.restoreStep(occ.steps[sp.Step], sp)
		}
	}
	if j.state.Ended() {
		return // a task was given up
	}
	for _, sp := range steps {
		if i, open := j.find(sp.K); open {
			c.markReadySteps(j.occurrences[i])
		}
	}
	c.completeIfDone(j)
}

func (c *Core) restoreStep(s *step, p StepProgress) {
	s.restoreDone(p)
	for _, i := range p.ordinals() {
		if i < 0 || i >= len(s.tasks) {
			continue
		}
		t := s.tasks[i]
		if numbers, ok := p.Failed[i]; ok {
			t.failed = numbers
			s.maxFailures = max(s.maxFailures, len(t.failed))
		}
		if checkpoint, ok := p.Saved[i]; ok {
			t.newestCheckpoint = checkpoint
		}
		c.restoreCrashes(t, p.Crashes[i], slices.Contains(p.Uncounted, i))
		if x, any := p.Suspected[i]; any && !t.done {
			t.inheritedRun = x
			c.inheritedSuspects = append(c.inheritedSuspects, t)
		}
	}
}

// restoreDone marks the tasks that are done. Those of a gang are done together, but a part may hold only some
// of them.
func (s *step) restoreDone(p StepProgress) {
	if p.All || (s.spec.Gang && strings.Contains(p.Done, "1")) {
		p.From, p.Done = 0, strings.Repeat("1", len(s.tasks))
	}
	for i, done := range []byte(p.Done) {
		if at := p.From + i; done == '1' && at < len(s.tasks) {
			s.markDone(s.tasks[at])
			s.occ.started = true
		}
	}
}

// ordinals returns the tasks about which there is more than whether they are done, in ascending order.
func (p StepProgress) ordinals() []int {
	list := slices.Clone(p.Uncounted)
	list = slices.AppendSeq(list, maps.Keys(p.Failed))
	list = slices.AppendSeq(list, maps.Keys(p.Saved))
	list = slices.AppendSeq(list, maps.Keys(p.Crashes))
	list = slices.AppendSeq(list, maps.Keys(p.Suspected))
	slices.Sort(list)
	return slices.Compact(list)
}
