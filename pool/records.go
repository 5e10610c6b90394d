package pool

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
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
	// OwnerKey holds the claim of the pool's owner.
	OwnerKey = "owner"
	// TrackedWorkersKey holds the workers on which the owner may have started tasks.
	TrackedWorkersKey = "held"
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
)

// String returns the kind's name in metrics.
func (k KeyKind) String() string {
	return [...]string{"other", "job", "progress", "cancellation", "owner", "tracked_workers", "wave", "silence", "queue", "cap_share"}[k]
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
}

// SilentTask is a task in a silence record.
type SilentTask struct {
	TaskID
	// Unconfirmed is set if the worker may never have got the start, Stopping if the task was active
	// and had to stop.
	Unconfirmed bool `json:",omitempty"`
	Stopping    bool `json:",omitempty"`
	// Lost is set if the task can't run there any more. It counts if the worker has crashed.
	Lost bool `json:",omitempty"`
}

// Progress is the stored progress of a job.
type Progress struct {
	State State          `json:"s"`
	Steps []StepProgress `json:"t,omitempty"`
	// GivenUp is set if the job failed because a task crashes its workers.
	GivenUp *GivenUp `json:"g,omitempty"`
	// Organisation is the job's once it has ended, since its specification is removed then.
	Organisation string `json:"o,omitempty"`
}

// StepProgress is the stored progress of a step of which a run has ended, or may have ended.
type StepProgress struct {
	K    int `json:"k,omitempty"`
	Step int `json:"i"`
	// Done holds a 1 for each task that is done. It is set only while some tasks are done and
	// others aren't; All replaces it.
	Done string `json:"d,omitempty"`
	All  bool   `json:"all,omitempty"`
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

// anyStarted reports whether a run of the step has started.
func (p StepProgress) anyStarted() bool {
	return p.All || p.Done != "" || p.Failed != nil || p.Saved != nil || p.Crashes != nil || p.Suspected != nil
}

// Check returns an error if the progress is invalid.
func (p Progress) Check() error {
	switch p.State {
	case Queued, Running, Completed, Failed, Cancelled:
	default:
		return errors.New("progress: unknown state")
	}
	for _, s := range p.Steps {
		if s.K < 0 || s.Step < 0 {
			return errors.New("progress: negative occurrence or step number")
		}
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
	p := StepProgress{K: s.id.K, Step: s.id.Step}
	if s.remaining == 0 {
		p.All = true
		return p, true
	}
	done := make([]byte, len(s.tasks))
	any := false
	for i, t := range s.tasks {
		done[i] = '0'
		if t.done {
			done[i] = '1'
			any = true
		}
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
			if len(t.crashes) > 0 {
				if p.Crashes == nil {
					p.Crashes = map[int][]Crash{}
				}
				p.Crashes[i] = t.crashes
			}
			if t.uncounted {
				p.Uncounted = append(p.Uncounted, i)
			}
			if run := t.suspectedRun(); run.Worker != "" {
				if p.Suspected == nil {
					p.Suspected = map[int]Crash{}
				}
				p.Suspected[i] = run
			}
		}
	}
	if any {
		p.Done = string(done)
	}
	return p, any || p.Failed != nil || p.Saved != nil || p.Crashes != nil || p.Uncounted != nil
}

func (c *Core) restoreStep(s *step, p StepProgress) {
	for i, t := range s.tasks {
		if p.All || (i < len(p.Done) && p.Done[i] == '1') {
			s.markDone(t)
			s.occ.started = true
		}
		t.failed = p.Failed[i]
		s.maxFailures = max(s.maxFailures, len(t.failed))
		t.newestCheckpoint = p.Saved[i]
		c.restoreCrashes(t, p.Crashes[i], slices.Contains(p.Uncounted, i))
		if x, any := p.Suspected[i]; any && !t.done {
			t.inheritedRun = x
			c.inheritedSuspects = append(c.inheritedSuspects, t)
		}
	}
}
