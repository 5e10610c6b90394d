// Package placement decides which task starts next and where. Jobs are divided
// among job homes by the hash of their ID. The owner of a home orders its jobs
// and decides what to start next; the owner of a worker shard (the workers of
// one rack) chooses the worker and is the only one that commits its resources.
// Both are deterministic state machines without I/O that exchange the messages
// of this package.
package placement

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// JobKind determines how the tasks of a job are scheduled.
type JobKind string

// The kinds of job.
const (
	Service JobKind = "service"
	Batch   JobKind = "batch"
	Gang    JobKind = "gang"
)

// MaxTasks bounds the tasks of one job.
const MaxTasks = 10000

// JobSpec is a job as its team submits it.
type JobSpec struct {
	// ID is chosen by the submitter; submitting the same ID twice is one job.
	ID string `json:"id"`
	// Team is the team that the job belongs to; it must have settings in force.
	Team string `json:"team"`
	// Name is shared by jobs that do the same work, so that resource needs and
	// run times can be learned from earlier jobs.
	Name string `json:"name"`
	// Kind is "service" for tasks that run until they are cancelled, "batch"
	// for tasks that each end, or "gang" for tasks that all start together.
	Kind JobKind `json:"kind"`
	// Tasks is how many tasks the job has.
	Tasks int `json:"tasks"`
	// Need is the resources that each task needs on one worker.
	Need infra.Resources `json:"need"`
	// Urgent work starts ahead of all teams' work that is not urgent, and may
	// displace it, except services of higher priority.
	Urgent bool `json:"urgent"`
	// Checkpointable tasks may be stopped and resumed without losing work.
	Checkpointable bool `json:"checkpointable"`
	// ExpectedRun is the declared run time of one task; zero if unknown.
	ExpectedRun jsonc.Duration `json:"expectedRun"`
	// Payload is passed to the worker unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Validate implements jsonc.Validator.
func (s *JobSpec) Validate(report func(path, message string)) {
	if s.ID == "" || strings.ContainsAny(s.ID, "/ \n") {
		report("id", "must be set, without slashes or spaces")
	}
	if s.Team == "" {
		report("team", "must be set")
	}
	if s.Kind != Service && s.Kind != Batch && s.Kind != Gang {
		report("kind", fmt.Sprintf("%q is not a kind of job; known are service, batch and gang", s.Kind))
	}
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		report("tasks", fmt.Sprintf("must be between 1 and %d", MaxTasks))
	}
	if s.Need.MilliCPU <= 0 || s.Need.MemoryMiB <= 0 || s.Need.Accelerators < 0 {
		report("need", "milliCpu and memoryMiB must be above zero, accelerators not negative")
	}
	if s.ExpectedRun < 0 {
		report("expectedRun", "must not be negative")
	}
}

// Attempt identifies one attempt to run a task. The epoch of the home's owner
// that made it distinguishes attempts of successive owners.
type Attempt struct {
	Job    string
	Index  int
	Epoch  infra.Offset
	Number int
}

// TaskID is the attempt's ID at a worker.
func (a Attempt) TaskID() string {
	return fmt.Sprintf("%s/%d/%d.%d", a.Job, a.Index, a.Epoch, a.Number)
}

// ParseAttempt reads a task ID written by TaskID.
func ParseAttempt(id string) (Attempt, error) {
	parts := strings.Split(id, "/")
	if len(parts) != 3 {
		return Attempt{}, errors.Errorf("task ID %q is not job/index/epoch.number", id)
	}
	epoch, number, _ := strings.Cut(parts[2], ".")
	index, err1 := strconv.Atoi(parts[1])
	e, err2 := strconv.ParseUint(epoch, 10, 64)
	n, err3 := strconv.Atoi(number)
	if err1 != nil || err2 != nil || err3 != nil {
		return Attempt{}, errors.Errorf("task ID %q is not job/index/epoch.number", id)
	}
	return Attempt{Job: parts[0], Index: index, Epoch: infra.Offset(e), Number: n}, nil
}

// Record kinds of jobs.
const (
	KindAccept logstream.Kind = "job.accept"
	KindCancel logstream.Kind = "job.cancel"
	KindEnd    logstream.Kind = "job.end"
)

// JobState is the state of a job as the log knows it.
type JobState string

// The states of a job.
const (
	JobOpen      JobState = "open"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// End proposes that a job has ended.
type End struct {
	ID    string   `json:"id"`
	State JobState `json:"state"`
	// Reason is a readable explanation.
	Reason string `json:"reason"`
}

// Job is an accepted job.
type Job struct {
	Spec     JobSpec      `json:"spec"`
	Accepted infra.Offset `json:"accepted"`
	State    JobState     `json:"state"`
	Reason   string       `json:"reason,omitempty"`
}

// maxEndedJobs is how many ended jobs stay in the registry for status queries.
const maxEndedJobs = 2000

// Registry holds all open jobs and the most recently ended ones. It implements
// logstream.Reducer.
type Registry struct {
	jobs  map[string]Job
	ended []string
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{jobs: map[string]Job{}} }

// Name implements logstream.Reducer.
func (r *Registry) Name() string { return "jobs" }

// Kinds implements logstream.Reducer.
func (r *Registry) Kinds() []logstream.Kind {
	return []logstream.Kind{KindAccept, KindCancel, KindEnd}
}

// Apply implements logstream.Reducer.
func (r *Registry) Apply(at infra.Offset, rec logstream.Record) error {
	if rec.Kind == KindAccept {
		return r.accept(at, rec.Body)
	}
	var e End
	if err := json.Unmarshal(rec.Body, &e); err != nil {
		return errors.Wrap(err, "decode end of job")
	}
	if rec.Kind == KindCancel {
		e.State = JobCancelled
	}
	job, ok := r.jobs[e.ID]
	if !ok {
		return errors.Errorf("no job %q", e.ID)
	}
	if job.State != JobOpen {
		return errors.Errorf("job %q is already %s", e.ID, job.State)
	}
	job.State, job.Reason = e.State, e.Reason
	r.jobs[e.ID] = job
	r.ended = append(r.ended, e.ID)
	if len(r.ended) > maxEndedJobs {
		delete(r.jobs, r.ended[0])
		r.ended = r.ended[1:]
	}
	return nil
}

func (r *Registry) accept(at infra.Offset, body json.RawMessage) error {
	var spec JobSpec
	if err := json.Unmarshal(body, &spec); err != nil {
		return errors.Wrap(err, "decode job")
	}
	if _, ok := r.jobs[spec.ID]; ok {
		return errors.Errorf("job %q exists", spec.ID)
	}
	r.jobs[spec.ID] = Job{Spec: spec, Accepted: at, State: JobOpen}
	return nil
}

// Job returns a job.
func (r *Registry) Job(id string) (Job, bool) {
	j, ok := r.jobs[id]
	return j, ok
}

// Each calls f for every job the registry holds, in no particular order.
func (r *Registry) Each(f func(Job)) {
	for _, j := range r.jobs {
		f(j)
	}
}

type registrySnapshot struct {
	Jobs  map[string]Job `json:"jobs"`
	Ended []string       `json:"ended"`
}

// Snapshot implements logstream.Reducer.
func (r *Registry) Snapshot() (json.RawMessage, error) {
	return json.Marshal(registrySnapshot{r.jobs, r.ended})
}

// Restore implements logstream.Reducer.
func (r *Registry) Restore(data json.RawMessage) error {
	s := registrySnapshot{Jobs: map[string]Job{}}
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode jobs snapshot")
	}
	r.jobs, r.ended = s.Jobs, s.Ended
	return nil
}
