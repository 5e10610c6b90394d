// Package pool schedules the jobs of one pool of workers: it decides which task runs where and
// when, and what is stored about it.
//
// Core is a deterministic state machine without I/O: its inputs are events and the time, its
// outputs are actions. It is driven by the one process that owns the pool. The store's fencing
// of writers and the workers' fencing tokens keep a replaced owner from doing harm.
package pool

import (
	"sort"

	"time"

	"github.com/pkg/errors"
)

// Resources are the resources that a task requests or a worker has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int `json:"c,omitempty"`
	// Mem is in megabytes.
	Mem int `json:"m,omitempty"`
	// GPU is the number of accelerators.
	GPU int `json:"g,omitempty"`
}

// Within reports whether r fits into free.
func (r Resources) Within(free Resources) bool {
	return r.CPU <= free.CPU && r.Mem <= free.Mem && r.GPU <= free.GPU
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Mem: r.Mem + o.Mem, GPU: r.GPU + o.GPU}
}

// Minus returns the difference of r and o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Mem: r.Mem - o.Mem, GPU: r.GPU - o.GPU}
}

// largest returns the maximum of r and o, by resource.
func (r Resources) largest(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), Mem: max(r.Mem, o.Mem), GPU: max(r.GPU, o.GPU)}
}

// StepSpec declares one step of a job. All its tasks have the same requirements.
type StepSpec struct {
	Count int       `json:"n"`
	Need  Resources `json:"r"`
	// EstimateMs is the caller's rough estimate of a task's run time.
	EstimateMs int64 `json:"e,omitempty"`
	// After lists the earlier steps whose tasks must all be done before this one starts.
	After []int `json:"a,omitempty"`
	// Gang tasks can only run together, and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack asks for a single rack. A gang that is spread over several racks runs much
	// longer.
	SameRack bool `json:"sr,omitempty"`
	// Label must be among the worker's labels.
	Label string `json:"l,omitempty"`
	// DataRack is the rack that holds the data. Tasks run much longer elsewhere.
	DataRack string `json:"dr,omitempty"`
	// PerWorker limits the tasks of the step on one worker; 0 means no limit.
	PerWorker int `json:"pw,omitempty"`
	// Checkpoints is set if tasks save checkpoints.
	Checkpoints bool `json:"cp,omitempty"`
	// Speculative permits parallel copies of a task.
	Speculative bool `json:"sp,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"lr,omitempty"`
	// Image is the image that the tasks run. Tasks of one image behave alike.
	Image string `json:"i,omitempty"`
	// TargetMs is the tail latency target of a serving task.
	TargetMs int64 `json:"t,omitempty"`
	// Fills marks best-effort tasks, which use only CPU time that others leave unused.
	Fills bool `json:"f,omitempty"`
	// MaxUnavailable limits the tasks that are unavailable because of the scheduler at any
	// time.
	MaxUnavailable int `json:"mu,omitempty"`
}

// Reserved returns the resources that a task takes on a worker. A best-effort task reserves no
// CPU, since it gets what others leave unused.
func (s *StepSpec) Reserved() Resources {
	r := s.Need
	if s.Fills {
		r.CPU = 0
	}
	return r
}

// Job is a submitted job as it is stored.
type Job struct {
	ID string `json:"id"`
	// Organisation submitted the job; empty: a caller without a key did, or an older version of this
	// program stored the job.
	Organisation string     `json:"o,omitempty"`
	Queue        string     `json:"q"`
	Service      string     `json:"s"`
	Payload      string     `json:"p"`
	Steps        []StepSpec `json:"st"`
	// AcceptedMs is when the job was submitted, in Unix milliseconds.
	AcceptedMs int64 `json:"at"`
	// Repeat is the number of occurrences; 0 means one that is due at once.
	Repeat     int   `json:"n,omitempty"`
	FirstRunMs int64 `json:"fr,omitempty"`
	IntervalMs int64 `json:"iv,omitempty"`
	// FinishedBefore is the first occurrence that may not be finished, and Finished holds the finished ones if they
	// aren't all before it.
	FinishedBefore int   `json:"fb,omitempty"`
	Finished       Spans `json:"fs,omitempty"`
	// HiddenQueue is the queue of a job whose record hides it from versions that don't read FinishedBefore, and
	// ConcealedQueue from those that don't read Finished either: Queue is empty in the store then, and set by
	// DecodeJob.
	HiddenQueue    string `json:"hq,omitempty"`
	ConcealedQueue string `json:"cq,omitempty"`
	// Terms are missing in jobs that older versions of this program have stored.
	Terms *Terms `json:"tm,omitempty"`
}

// MaxTasks limits the tasks of one step. The largest known step has 84.
const MaxTasks = 10000

// Check returns an error if the job can't be run: if it has a step without tasks, a step that
// depends on itself or a later one, or a negative value. Such a step would crash the pool's
// owner, and each instance that takes over after it.
func (j *Job) Check() error {
	if len(j.Steps) == 0 {
		return errors.New("steps: at least one is needed")
	}
	if j.Repeat < 0 || j.FirstRunMs < 0 || j.IntervalMs < 0 || j.FinishedBefore < 0 {
		return errors.New("occurrences: an amount below 0")
	}
	if err := j.Finished.check(); err != nil {
		return err
	}
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return errors.Wrapf(err, "steps[%d]", i)
		}
	}
	return nil
}

func (s *StepSpec) check(number int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return errors.Errorf("count: must be from 1 to %d", MaxTasks)
	}
	for _, p := range s.After {
		if p < 0 || p >= number {
			return errors.Errorf("after: %d is no earlier step", p)
		}
	}
	if !(Resources{}).Within(s.Need) || s.EstimateMs < 0 || s.PerWorker < 0 || s.TargetMs < 0 || s.MaxUnavailable < 0 {
		return errors.New("an amount below 0")
	}
	return nil
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// DueMs returns when an occurrence may start, in Unix milliseconds.
func (j *Job) DueMs(k int) int64 {
	if j.Repeat == 0 {
		return 0
	}
	return j.FirstRunMs + int64(k)*j.IntervalMs
}

// dueBefore returns the first occurrence that isn't due at a time, in Unix milliseconds.
func (j *Job) dueBefore(unixMs int64) int {
	return sort.Search(j.Occurrences(), func(k int) bool { return j.DueMs(k) > unixMs })
}

// isHidden reports whether the job's record hides its queue from older versions.
func (j *Job) isHidden() bool { return j.HiddenQueue != "" || j.ConcealedQueue != "" }

// TaskID identifies a task of one occurrence.
type TaskID struct {
	Job     string
	K       int
	Step    int
	Ordinal int
}

// StepID identifies a step of one occurrence.
type StepID struct {
	Job  string
	K    int
	Step int
}

// AdviceTerms are the costs of a request to the advice service, for a queue whose steps may run
// only on the workers that this service allows.
type AdviceTerms struct {
	Decision  time.Duration `json:"d,omitempty"`
	PerWorker time.Duration `json:"w,omitempty"`
	Validity  time.Duration `json:"v,omitempty"`
}

// cost returns the processing time of a request that lists the given number of workers.
func (t *AdviceTerms) cost(workers int) time.Duration {
	return t.Decision + time.Duration(workers)*t.PerWorker
}

// Queue is the scheduling policy of a queue.
type Queue struct {
	Name     string
	Service  string
	Priority int // 0 is the most urgent
	Attempts int
	// Slack and Target set the objective of a job: Slack times its critical path plus Target.
	Slack  float64
	Target time.Duration
	Advice *AdviceTerms // nil: any worker may run the queue's steps
}

// State is the state of a job as seen by callers.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the job is in a final state.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }
