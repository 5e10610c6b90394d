package placement

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// AttemptEnd describes how an attempt of a task ended.
type AttemptEnd struct {
	Worker  string        `json:"worker,omitempty"`
	State   AttemptState  `json:"state"`
	Cause   Cause         `json:"cause,omitempty"`
	Reason  string        `json:"reason,omitempty"`
	RunTime time.Duration `json:"runNanos"`
	// Ago is the time between the attempt's end and the status query.
	Ago time.Duration `json:"agoNanos"`
}

func endReason(m Changed) string {
	if m.Reason != "" {
		return m.Reason
	}
	return string(m.Cause)
}

// TaskStatus is one task as its home sees it.
type TaskStatus struct {
	Index  int    `json:"index"`
	State  string `json:"state"`
	Worker string `json:"worker,omitempty"`
	TaskID string `json:"taskId,omitempty"`
	// Failures counts the attempts that failed since the last stable run.
	Failures int `json:"failures,omitempty"`
	// Avoid names workers on which the task has failed.
	Avoid []string `json:"avoid,omitempty"`
	// Ended are the most recently ended attempts, oldest first.
	Ended []AttemptEnd `json:"ended,omitempty"`
}

// Wait describes what a job waits for.
type Wait struct {
	Reason WaitReason `json:"reason"`
	// Text is a readable explanation.
	Text string `json:"text"`
	// Until is the time until the next retry; zero if only an event can end the
	// wait.
	Until time.Duration `json:"untilNanos,omitempty"`
	// Ahead is how many jobs of the same team and class are served first.
	Ahead int `json:"ahead,omitempty"`
	// Expected is the estimated wait, from the rate at which the team's tasks
	// start.
	Expected time.Duration `json:"expectedNanos,omitempty"`
	// Workers is how many workers were examined by the shards that refused;
	// Removed is how many of them each filter removed.
	Workers int       `json:"workers,omitempty"`
	Removed []Removed `json:"removed,omitempty"`
}

// DisplacedTask is a task that was stopped for another one.
type DisplacedTask struct {
	TaskID string `json:"taskId"`
	Why    string `json:"why"`
}

// maxDisplaced limits the displaced tasks that are kept for a job.
const maxDisplaced = 8

func (j *homeJob) recordDisplaced(list []Displaced) {
	for _, d := range list {
		j.displaced = append(j.displaced, DisplacedTask{TaskID: d.Attempt.TaskID(), Why: d.Why})
	}
	if n := len(j.displaced); n > maxDisplaced {
		j.displaced = j.displaced[n-maxDisplaced:]
	}
}

// JobStatus is one job as its home sees it.
type JobStatus struct {
	ID    string   `json:"id"`
	Team  string   `json:"team"`
	Kind  JobKind  `json:"kind"`
	State JobState `json:"state"`
	// Explanation is a readable summary.
	Explanation string        `json:"explanation"`
	Waited      time.Duration `json:"waitedNanos"`
	// Wait is set while some task waits.
	Wait *Wait `json:"wait,omitempty"`
	// ExpectedRun is the expected run time of a task, learned for the name or
	// else declared.
	ExpectedRun time.Duration `json:"expectedRunNanos,omitempty"`
	// Best are the workers with the highest scores in the last placement.
	Best []Candidate `json:"best,omitempty"`
	// Displaced are the most recent tasks that were stopped for the job's
	// tasks.
	Displaced []DisplacedTask `json:"displaced,omitempty"`
	Tasks     []TaskStatus    `json:"tasks"`
}

// refusal sums up the shards' refusals since the job last started a task.
type refusal struct {
	workers int
	removed map[Filter]int
	shards  map[string]int
	best    []Candidate
}

// maxRefusalShards limits the shards whose refusals are summed up; after that
// the sum is reset.
const maxRefusalShards = 64

func (r *refusal) add(m Placed) {
	if r.shards == nil || len(r.shards) >= maxRefusalShards || r.shards[string(m.Shard)] > 0 {
		r.clear()
		r.shards, r.removed = map[string]int{}, map[Filter]int{}
	}
	r.shards[string(m.Shard)]++
	r.workers += m.Workers
	for _, x := range m.Removed {
		r.removed[x.Filter] += x.Workers
	}
}

func (r *refusal) clear() { r.workers, r.removed, r.shards = 0, nil, nil }

func (r *refusal) list() []Removed {
	var list []Removed
	for f, n := range r.removed {
		list = append(list, Removed{Filter: f, Workers: n})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Workers != list[j].Workers {
			return list[i].Workers > list[j].Workers
		}
		return list[i].Filter < list[j].Filter
	})
	return list
}

// Status returns the status of a job.
func (h *Home) Status(now time.Duration, id string) (JobStatus, bool) {
	job, ok := h.jobs[id]
	if !ok {
		return JobStatus{}, false
	}
	st := JobStatus{ID: id, Team: job.Spec.Team, Kind: job.Spec.Kind, State: job.State,
		ExpectedRun: h.learner.expectedRun(job.Spec), Best: job.refusal.best, Displaced: job.displaced}
	for _, t := range job.tasks {
		st.Tasks = append(st.Tasks, t.status(now))
	}
	st.Waited = now - job.addedAt
	if job.startedAt > 0 {
		st.Waited = max(0, job.startedAt-job.addedAt)
	}
	running, done := job.counts[taskRunning], job.counts[taskDone]
	st.Explanation = fmt.Sprintf("%d of %d tasks run, %d are done, %d wait", running, len(job.tasks), done, len(job.tasks)-running-done)
	if w := h.waitOf(now, job); w.Reason != WaitNone {
		st.Wait = &w
		st.Explanation += ": " + w.Text
	}
	return st, true
}

func (t *homeTask) status(now time.Duration) TaskStatus {
	s := TaskStatus{Index: t.index, State: phaseNames[t.phase], Failures: t.failures, Avoid: t.avoidWorkers}
	if t.phase == taskRunning || t.phase == taskDone || t.phase == taskStopping {
		s.Worker, s.TaskID = t.worker, t.attempt.TaskID()
	}
	for _, e := range t.history {
		e.Ago = now - e.Ago
		s.Ended = append(s.Ended, e)
	}
	return s
}

// waitOf returns what a job waits for.
func (h *Home) waitOf(now time.Duration, job *homeJob) Wait {
	c := job.class
	switch {
	case job.end != nil:
		return Wait{Reason: WaitLog, Text: "it has ended (" + job.end.Reason + "); its end waits for the log"}
	case job.Accepted <= h.epoch && !h.collectDone:
		return Wait{Reason: WaitPredecessor, Text: fmt.Sprintf("waiting to hear from %d shards what the previous home placed", len(h.uncollected))}
	case job.counts[taskStopping] > 0:
		return Wait{Reason: WaitGangStops, Text: "a task was lost, so the whole gang is brought back; tasks still stop"}
	case c == nil && len(job.queued) > 0 && now < job.readyAt:
		return Wait{Reason: WaitBackoff, Until: job.readyAt - now, Text: "pausing after " + job.lastEnd()}
	case h.reserving == job:
		return h.capacityWait(now, job, WaitReservation, "shards keep room for it as it comes free")
	case c == nil && job.counts[taskPlacing]+job.counts[taskHeld]+job.counts[taskStarting] > 0:
		return Wait{Reason: WaitAnswer, Text: "shards were asked and have not all answered"}
	case c == nil:
		return Wait{}
	case c.blocked == WaitCapacity:
		return h.capacityWait(now, job, WaitCapacity, "no worker has room for "+job.need.String()+" now")
	case c.blocked == WaitQuota:
		return h.queueWait(job, WaitQuota, fmt.Sprintf("the team's quota is used up here: %s of %s", limited(job.team.used, job.team.quota), job.team.level))
	case c.blocked == WaitOverQuota:
		return Wait{Reason: WaitOverQuota, Text: fmt.Sprintf("it needs more at once than the team's whole quota, %s", limits(job.team.quota, job.team.borrow))}
	}
	return h.queueWait(job, WaitQueue, "other work goes first")
}

func (j *homeJob) lastEnd() string {
	for _, t := range j.tasks {
		if n := len(t.history); n > 0 && t.phase == taskQueued {
			e := t.history[n-1]
			return fmt.Sprintf("task %d ended as %s on %s: %s %s", t.index, e.State, e.Worker, e.Cause, e.Reason)
		}
	}
	return "no room was found for all tasks of the gang at once"
}

func (h *Home) queueWait(job *homeJob, reason WaitReason, text string) Wait {
	w := Wait{Reason: reason, Text: text}
	for o := job.prev; o != nil; o = o.prev {
		w.Ahead++
	}
	if per := job.team.starts.perSecond; per > 0 {
		w.Expected = time.Duration(float64(w.Ahead+1) / per * float64(time.Second))
	}
	return w
}

func (h *Home) capacityWait(now time.Duration, job *homeJob, reason WaitReason, text string) Wait {
	w := h.queueWait(job, reason, text)
	w.Workers, w.Removed = job.refusal.workers, job.refusal.list()
	if c := job.class; c != nil {
		w.Until = max(0, c.retryAt-now)
	}
	if len(w.Removed) > 0 {
		var parts []string
		for _, r := range w.Removed {
			parts = append(parts, fmt.Sprintf("%d %s", r.Workers, r.Filter))
		}
		w.Text += fmt.Sprintf(" (of %d workers asked: %s)", w.Workers, strings.Join(parts, ", "))
	}
	return w
}

// rate is an exponentially weighted rate of events.
type rate struct {
	last      time.Duration
	perSecond float64
}

// rateWeight is the weight of the newest interval.
const rateWeight = 0.1

func (r *rate) add(now time.Duration) {
	gap := max(now-r.last, time.Millisecond).Seconds()
	r.last = now
	r.perSecond += rateWeight * (1/gap - r.perSecond)
}
