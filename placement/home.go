package placement

import (
	"fmt"
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/platform"
)

// HomeConfig is the timing and limits of a job home.
type HomeConfig struct {
	// AskAgain is how long an unanswered message waits before it is repeated.
	AskAgain time.Duration
	// Backoff is the wait after a task was refused everywhere or failed; it
	// doubles up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// MaxAttempts is how often a task may fail before its job fails.
	MaxAttempts int
}

// DefaultHomeConfig suits a cell on one site.
var DefaultHomeConfig = HomeConfig{
	AskAgain:    time.Second,
	Backoff:     100 * time.Millisecond,
	MaxBackoff:  5 * time.Second,
	MaxAttempts: 3,
}

type taskPhase int

const (
	taskQueued taskPhase = iota
	taskAsked
	taskHeld
	taskRunning
	taskDone
)

type homeTask struct {
	phase    taskPhase
	attempt  Attempt
	shard    ownership.Unit
	worker   string
	askedAt  time.Duration
	refused  map[ownership.Unit]bool
	failures int
}

type homeJob struct {
	Job
	tasks   []*homeTask
	backoff time.Duration
	readyAt time.Duration
	// waiting says why the job does not start.
	waiting string
	since   time.Duration
	started time.Duration
	ended   bool
}

// Home is the step machine of one job home's owner.
type Home struct {
	unit  ownership.Unit
	epoch platform.Offset
	cfg   HomeConfig
	jobs  map[string]*homeJob
	order []string
	// collected holds the shards that have told what they run for this home.
	collected map[ownership.Unit]bool
	askedAt   map[ownership.Unit]time.Duration
	digests   map[ownership.Unit]Digest
	shards    []ownership.Unit
	complete  bool
	number    int
}

// NewHome returns a home's state under an epoch.
func NewHome(unit ownership.Unit, epoch platform.Offset, cfg HomeConfig) *Home {
	return &Home{unit: unit, epoch: epoch, cfg: cfg, jobs: map[string]*homeJob{},
		collected: map[ownership.Unit]bool{}, askedAt: map[ownership.Unit]time.Duration{},
		digests: map[ownership.Unit]Digest{}}
}

// Epoch is the fencing token of this home.
func (h *Home) Epoch() platform.Offset { return h.epoch }

// SetShards tells the home which shards exist.
func (h *Home) SetShards(shards []ownership.Unit) { h.shards = shards }

// SetDigest notes a shard's free room.
func (h *Home) SetDigest(d Digest) { h.digests[d.Shard] = d }

// AddJob takes in an accepted job.
func (h *Home) AddJob(now time.Duration, j Job) {
	if _, ok := h.jobs[j.Spec.ID]; ok || j.State != JobOpen {
		return
	}
	job := &homeJob{Job: j, since: now, backoff: h.cfg.Backoff}
	for range j.Spec.Tasks {
		job.tasks = append(job.tasks, &homeTask{refused: map[ownership.Unit]bool{}})
	}
	h.jobs[j.Spec.ID] = job
	h.order = append(h.order, j.Spec.ID)
}

// JobEnded drops a job that has ended.
func (h *Home) JobEnded(id string) {
	delete(h.jobs, id)
	for i, o := range h.order {
		if o == id {
			h.order = append(h.order[:i:i], h.order[i+1:]...)
			return
		}
	}
}

// Step returns the messages to send now and the jobs that have ended.
func (h *Home) Step(now time.Duration) ([]Message, []End) {
	out := h.collect(now)
	var ends []End
	for _, id := range h.order {
		job := h.jobs[id]
		if end, ok := h.ended(job); ok {
			if !job.ended {
				job.ended = true
				ends = append(ends, end)
			}
			continue
		}
		// A predecessor may have placed the tasks of jobs accepted before this
		// epoch; they wait until every shard has told what it runs and has
		// fenced the predecessor out.
		if job.Accepted < h.epoch && !h.complete {
			job.waiting = "waiting to hear from every shard what the previous home placed"
			continue
		}
		if now < job.readyAt {
			continue
		}
		out = append(out, h.advance(now, job)...)
	}
	return out, ends
}

func (h *Home) collect(now time.Duration) []Message {
	if h.complete {
		return nil
	}
	var out []Message
	missing := 0
	for _, s := range h.shards {
		if h.collected[s] {
			continue
		}
		missing++
		if at, ok := h.askedAt[s]; !ok || now-at >= h.cfg.AskAgain {
			h.askedAt[s] = now
			out = append(out, Collect{Shard: s, Home: h.unit, HomeEpoch: h.epoch})
		}
	}
	h.complete = missing == 0 && len(h.shards) > 0
	return out
}

func (h *Home) ended(job *homeJob) (End, bool) {
	done := 0
	for i, t := range job.tasks {
		if t.failures >= h.cfg.MaxAttempts {
			return End{ID: job.Spec.ID, State: JobFailed, Reason: fmt.Sprintf("task %d failed %d times: %s", i, t.failures, job.waiting)}, true
		}
		if t.phase == taskDone {
			done++
		}
	}
	if done < len(job.tasks) || job.Spec.Kind == Service {
		return End{}, false
	}
	return End{ID: job.Spec.ID, State: JobDone, Reason: fmt.Sprintf("all %d tasks ran to their end", done)}, true
}

func (h *Home) advance(now time.Duration, job *homeJob) []Message {
	var out []Message
	held, waiting := 0, 0
	for i, t := range job.tasks {
		switch t.phase {
		case taskQueued:
			out = append(out, h.ask(now, job, i, t)...)
		case taskAsked:
			if now-t.askedAt >= h.cfg.AskAgain {
				t.askedAt = now
				out = append(out, h.place(job, t))
			}
		case taskHeld:
			held++
		}
		if t.phase == taskQueued || t.phase == taskAsked {
			waiting++
		}
	}
	if job.Spec.Kind == Gang && held > 0 && waiting == 0 {
		out = append(out, h.confirm(now, job)...)
	}
	return out
}

// confirm starts a gang whose tasks are all held.
func (h *Home) confirm(now time.Duration, job *homeJob) []Message {
	var out []Message
	for _, t := range job.tasks {
		if t.phase == taskHeld && (t.askedAt == 0 || now-t.askedAt >= h.cfg.AskAgain) {
			t.askedAt = now
			out = append(out, Confirm{Shard: t.shard, Home: h.unit, HomeEpoch: h.epoch, Attempt: t.attempt})
		}
	}
	return out
}

// ask chooses a shard for a task: the one with the most free room among those
// that have not refused it and have room for it.
func (h *Home) ask(now time.Duration, job *homeJob, index int, t *homeTask) []Message {
	var best ownership.Unit
	var bestFree int64
	for _, s := range h.shards {
		d, ok := h.digests[s]
		if !ok || t.refused[s] || !job.Spec.Need.Fits(d.Free) {
			continue
		}
		if best == "" || d.Free.MilliCPU > bestFree {
			best, bestFree = s, d.Free.MilliCPU
		}
	}
	if best == "" {
		h.wait(now, job)
		return h.releaseAll(job)
	}
	h.number++
	t.phase, t.shard, t.askedAt = taskAsked, best, now
	t.attempt = Attempt{Job: job.Spec.ID, Index: index, Epoch: h.epoch, Number: h.number}
	d := h.digests[best]
	d.Free = d.Free.Sub(job.Spec.Need)
	h.digests[best] = d
	return []Message{h.place(job, t)}
}

func (h *Home) wait(now time.Duration, job *homeJob) {
	if job.waiting == "" {
		job.waiting = "no shard has room for " + job.Spec.Need.String() + " now"
	}
	job.readyAt = now + job.backoff
	job.backoff = min(2*job.backoff, h.cfg.MaxBackoff)
	for _, t := range job.tasks {
		clear(t.refused)
	}
}

// releaseAll gives back what a gang holds, so that two gangs that each hold
// half of what they need can't block each other for good.
func (h *Home) releaseAll(job *homeJob) []Message {
	if job.Spec.Kind != Gang {
		return nil
	}
	var out []Message
	for _, t := range job.tasks {
		if t.phase == taskHeld || t.phase == taskAsked {
			out = append(out, Release{Shard: t.shard, Home: h.unit, HomeEpoch: h.epoch, Attempt: t.attempt})
			t.phase = taskQueued
		}
	}
	return out
}

func (h *Home) place(job *homeJob, t *homeTask) Message {
	return Place{Shard: t.shard, Home: h.unit, HomeEpoch: h.epoch, Attempt: t.attempt, Team: job.Spec.Team,
		Kind: job.Spec.Kind, Need: job.Spec.Need, Payload: job.Spec.Payload, Hold: job.Spec.Kind == Gang}
}

// Handle takes in a message from a shard.
func (h *Home) Handle(now time.Duration, m Message) []Message {
	switch m := m.(type) {
	case Placed:
		return h.placed(now, m)
	case Changed:
		return h.changed(now, m)
	case Collected:
		return h.take(now, m)
	}
	return nil
}

func (h *Home) task(a Attempt) (*homeJob, *homeTask) {
	job, ok := h.jobs[a.Job]
	if !ok || a.Index >= len(job.tasks) {
		return nil, nil
	}
	return job, job.tasks[a.Index]
}

func (h *Home) placed(now time.Duration, m Placed) []Message {
	job, t := h.task(m.Attempt)
	if t == nil || t.attempt != m.Attempt {
		// The answer came after the home had given the attempt up; what was
		// placed must not run on beside its replacement.
		if m.OK {
			return []Message{Stop{Shard: m.Shard, Home: h.unit, HomeEpoch: h.epoch, Attempt: m.Attempt}}
		}
		return nil
	}
	if t.phase != taskAsked {
		return nil
	}
	if !m.OK {
		t.phase, t.refused[m.Shard], job.waiting = taskQueued, true, m.Reason
		return nil
	}
	t.worker = m.Worker
	if m.Held {
		t.phase, t.askedAt = taskHeld, 0
		return nil
	}
	h.runs(now, job, t)
	return nil
}

func (h *Home) runs(now time.Duration, job *homeJob, t *homeTask) {
	t.phase, job.waiting, job.backoff = taskRunning, "", h.cfg.Backoff
	if job.started == 0 {
		job.started = now
	}
}

func (h *Home) changed(now time.Duration, m Changed) []Message {
	job, t := h.task(m.Attempt)
	if t == nil {
		return nil
	}
	if t.attempt != m.Attempt {
		return h.foreign(now, job, t, m)
	}
	switch m.State {
	case AttemptRunning:
		h.runs(now, job, t)
		t.worker = m.Worker
		return nil
	case AttemptDone:
		if job.Spec.Kind != Service {
			t.phase = taskDone
			return []Message{Noted{Shard: m.Shard, Home: h.unit, HomeEpoch: h.epoch, Attempt: m.Attempt}}
		}
	case AttemptFailed:
		t.failures++
	}
	if m.State == AttemptHeld {
		return nil
	}
	job.waiting = m.Reason
	job.readyAt = now + h.cfg.Backoff
	t.phase = taskQueued
	return []Message{Forget{Shard: m.Shard, Home: h.unit, HomeEpoch: h.epoch, Attempt: m.Attempt}}
}

// foreign deals with an attempt of an earlier epoch. The first one found
// running or done is adopted; any other is stopped or forgotten.
func (h *Home) foreign(now time.Duration, job *homeJob, t *homeTask, m Changed) []Message {
	adoptable := m.State == AttemptRunning || m.State == AttemptDone
	if t.phase == taskQueued && adoptable {
		t.attempt, t.shard, t.worker = m.Attempt, m.Shard, m.Worker
		h.runs(now, job, t)
		if m.State == AttemptDone {
			t.phase = taskDone
		}
		return h.noteIfDone(m)
	}
	order := Confirm{Shard: m.Shard, Home: h.unit, HomeEpoch: h.epoch, Attempt: m.Attempt}
	if m.State == AttemptRunning {
		return []Message{Stop(order)}
	}
	if m.State == AttemptHeld {
		return []Message{Release(order)}
	}
	return []Message{Forget(order)}
}

func (h *Home) noteIfDone(m Changed) []Message {
	if m.State != AttemptDone {
		return nil
	}
	return []Message{Noted{Shard: m.Shard, Home: h.unit, HomeEpoch: h.epoch, Attempt: m.Attempt}}
}

func (h *Home) take(now time.Duration, m Collected) []Message {
	if m.HomeEpoch != h.epoch {
		return nil
	}
	h.collected[m.Shard] = true
	var out []Message
	for _, a := range m.Attempts {
		out = append(out, h.changed(now, a)...)
	}
	return out
}

// TaskStatus is one task as its home sees it.
type TaskStatus struct {
	Index  int    `json:"index"`
	State  string `json:"state"`
	Worker string `json:"worker,omitempty"`
	TaskID string `json:"taskId,omitempty"`
}

// JobStatus is one job as its home sees it.
type JobStatus struct {
	ID    string   `json:"id"`
	Team  string   `json:"team"`
	Kind  JobKind  `json:"kind"`
	State JobState `json:"state"`
	// Explanation is a sentence for people.
	Explanation string        `json:"explanation"`
	Waited      time.Duration `json:"waitedNanos"`
	Tasks       []TaskStatus  `json:"tasks"`
}

var phaseNames = map[taskPhase]string{
	taskQueued: "queued", taskAsked: "placing", taskHeld: "held", taskRunning: "running", taskDone: "done",
}

// Status describes a job.
func (h *Home) Status(now time.Duration, id string) (JobStatus, bool) {
	job, ok := h.jobs[id]
	if !ok {
		return JobStatus{}, false
	}
	st := JobStatus{ID: id, Team: job.Spec.Team, Kind: job.Spec.Kind, State: job.State}
	count := map[taskPhase]int{}
	for i, t := range job.tasks {
		count[t.phase]++
		ts := TaskStatus{Index: i, State: phaseNames[t.phase]}
		if t.phase == taskRunning || t.phase == taskDone {
			ts.Worker, ts.TaskID = t.worker, t.attempt.TaskID()
		}
		st.Tasks = append(st.Tasks, ts)
	}
	st.Waited = now - job.since
	if job.started > 0 {
		st.Waited = job.started - job.since
	}
	st.Explanation = fmt.Sprintf("%d of %d tasks run, %d are done, %d wait", count[taskRunning], len(job.tasks),
		count[taskDone], len(job.tasks)-count[taskRunning]-count[taskDone])
	if job.waiting != "" {
		st.Explanation += ": " + job.waiting
	}
	return st, true
}

// Jobs returns the IDs of the home's open jobs in order.
func (h *Home) Jobs() []string {
	ids := append([]string(nil), h.order...)
	sort.Strings(ids)
	return ids
}
