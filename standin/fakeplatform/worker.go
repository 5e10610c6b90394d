package fakeplatform

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/platform"
)

// TaskPlan is the payload that the stand-in's workers understand.
type TaskPlan struct {
	// RunMillis is how long the task runs; 0 runs until it is stopped.
	RunMillis int64 `json:"runMillis"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail"`
}

type runningTask struct {
	platform.TaskReport
	plan    TaskPlan
	started time.Time
	ended   time.Time
}

// fakeWorker runs tasks under a lease, as docs/PLATFORM.md promises.
type fakeWorker struct {
	platform.Worker
	token    platform.Offset
	sequence uint64
	leaseEnd time.Time
	tasks    map[string]*runningTask
	frozen   bool
	failAll  bool
}

// fleet is all workers, and the referee that watches what is promised of them.
type fleet struct {
	mu         sync.Mutex
	start      time.Time
	version    uint64
	workers    map[string]*fakeWorker
	violations []string
	starts     int
}

func newFleet(list []platform.Worker) *fleet {
	f := &fleet{start: time.Now(), version: 1, workers: map[string]*fakeWorker{}}
	for _, w := range list {
		f.workers[w.ID] = &fakeWorker{Worker: w, tasks: map[string]*runningTask{}}
	}
	return f
}

func (f *fleet) list(since uint64) platform.WorkerList {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := platform.WorkerList{Version: f.version}
	if since == f.version {
		return out
	}
	for _, w := range f.workers {
		out.Workers = append(out.Workers, w.Worker)
	}
	sort.Slice(out.Workers, func(i, j int) bool { return out.Workers[i].ID < out.Workers[j].ID })
	return out
}

// sync carries out a request. The second result is false for a worker that does
// not answer.
func (f *fleet) sync(id string, req platform.SyncRequest) (platform.SyncReply, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.workers[id]
	if !ok || w.frozen {
		return platform.SyncReply{}, false
	}
	now := time.Now()
	w.advance(now)
	reply := platform.SyncReply{Reading: now.Sub(f.start).Milliseconds() + 1}
	switch {
	case req.Token < w.token:
		reply.Refused = fmt.Sprintf("token %d is older than %d", req.Token, w.token)
	case req.Token == w.token && req.Sequence <= w.sequence:
		reply.Refused = fmt.Sprintf("sequence %d is not newer than %d", req.Sequence, w.sequence)
	default:
		w.token, w.sequence = req.Token, req.Sequence
		f.obey(w, now, req)
	}
	reply.Token = w.token
	for _, t := range w.tasks {
		reply.Tasks = append(reply.Tasks, t.TaskReport)
	}
	sort.Slice(reply.Tasks, func(i, j int) bool { return reply.Tasks[i].Task.ID < reply.Tasks[j].Task.ID })
	return reply, true
}

func (f *fleet) obey(w *fakeWorker, now time.Time, req platform.SyncRequest) {
	if req.AsOf > 0 {
		end := f.start.Add(time.Duration(req.AsOf+req.LeaseMillis) * time.Millisecond)
		if end.After(w.leaseEnd) {
			w.leaseEnd = end
		}
	}
	for _, id := range req.Forgets {
		if t, ok := w.tasks[id]; ok && t.State.Ended() {
			delete(w.tasks, id)
		}
	}
	for _, id := range req.Stops {
		if t, ok := w.tasks[id]; ok && !t.State.Ended() {
			t.end(now, platform.TaskStopped, "stopped by its owner")
		}
	}
	if now.After(w.leaseEnd) {
		return
	}
	for _, t := range req.Starts {
		if _, ok := w.tasks[t.ID]; !ok {
			f.startTask(w, now, t)
		}
	}
}

func (f *fleet) startTask(w *fakeWorker, now time.Time, t platform.Task) {
	run := &runningTask{TaskReport: platform.TaskReport{Task: t, State: platform.TaskRunning, Usage: t.Need}, started: now}
	_ = json.Unmarshal(t.Payload, &run.plan)
	if w.failAll {
		run.plan = TaskPlan{RunMillis: 1, Fail: true}
	}
	w.tasks[t.ID] = run
	f.starts++
	f.referee(w, now, t.ID)
}

// referee notes when a promise is broken: a worker overfilled, or a task that
// runs in two places.
func (f *fleet) referee(w *fakeWorker, now time.Time, id string) {
	used := platform.Resources{}
	for _, t := range w.tasks {
		if t.State == platform.TaskRunning {
			used = used.Add(t.Task.Need)
		}
	}
	if !used.Fits(w.Capacity) {
		f.violations = append(f.violations, fmt.Sprintf("worker %s overfilled by %s: %s of %s", w.ID, id, used, w.Capacity))
	}
	name := taskName(id)
	for _, other := range f.workers {
		other.advance(now)
		for oid, t := range other.tasks {
			if oid != id && t.State == platform.TaskRunning && taskName(oid) == name {
				f.violations = append(f.violations, fmt.Sprintf("task %s runs as %s on %s and as %s on %s", name, id, w.ID, oid, other.ID))
			}
		}
	}
}

// taskName is a task ID without its last part, the attempt.
func taskName(id string) string {
	if cut := strings.LastIndex(id, "/"); cut >= 0 {
		return id[:cut]
	}
	return id
}

// advance lets a worker's tasks reach their ends up to now.
func (w *fakeWorker) advance(now time.Time) {
	for _, t := range w.tasks {
		if t.State.Ended() {
			continue
		}
		planned := t.started.Add(time.Duration(t.plan.RunMillis) * time.Millisecond)
		switch {
		case t.plan.RunMillis > 0 && !planned.After(now) && !planned.After(w.leaseEnd):
			state := platform.TaskDone
			if t.plan.Fail {
				state = platform.TaskFailed
			}
			t.end(planned, state, "")
		case w.leaseEnd.Before(now):
			t.end(w.leaseEnd, platform.TaskStopped, "the lease lapsed")
		default:
			t.RunTime = now.Sub(t.started).Milliseconds()
		}
	}
}

func (t *runningTask) end(at time.Time, state platform.TaskState, reason string) {
	t.State, t.Reason, t.ended = state, reason, at
	t.RunTime = at.Sub(t.started).Milliseconds()
	if state == platform.TaskFailed {
		t.Reason = "the task exited with an error"
	}
}

// Report is what the referee has seen.
type Report struct {
	Starts     int      `json:"starts"`
	Running    int      `json:"running"`
	Violations []string `json:"violations"`
	// Used and Total sum up what runs and what the workers have.
	Used  platform.Resources `json:"used"`
	Total platform.Resources `json:"total"`
	// Appends counts the appends the log has taken.
	Appends uint64 `json:"appends"`
}

func (f *fleet) report() Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := Report{Starts: f.starts, Violations: append([]string{}, f.violations...)}
	now := time.Now()
	for _, w := range f.workers {
		w.advance(now)
		r.Total = r.Total.Add(w.Capacity)
		for _, t := range w.tasks {
			if t.State == platform.TaskRunning {
				r.Running++
				r.Used = r.Used.Add(t.Task.Need)
			}
		}
	}
	return r
}
