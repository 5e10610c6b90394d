package fakeplatform

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// TaskPlan is the task payload that the stand-in's workers interpret.
type TaskPlan struct {
	// RunMillis is the duration of the task; 0 means until it is stopped.
	RunMillis int64 `json:"runMillis"`
	// Fail makes the task fail when it ends.
	Fail bool `json:"fail"`
}

type runningTask struct {
	infra.TaskReport
	plan    TaskPlan
	started time.Time
	ended   time.Time
	// change is the worker's change counter at the task's last change.
	change uint64
}

// fakeWorker runs tasks under a lease, as specified in docs/PLATFORM.md.
type fakeWorker struct {
	infra.Worker
	token    infra.Offset
	sequence uint64
	leaseEnd time.Time
	tasks    map[string]*runningTask
	frozen   bool
	failAll  bool
	gone     bool
	referee  *referee
	change   uint64
	// wake is closed when a delayed reply must be evaluated again.
	wake chan struct{}
}

// recordChange advances the change counter for a change of a task.
func (w *fakeWorker) recordChange(t *runningTask) {
	w.change++
	t.change = w.change
}

func (w *fakeWorker) wakeUp() {
	close(w.wake)
	w.wake = make(chan struct{})
}

// fleet is the set of all workers with the referee that checks them.
type fleet struct {
	mu      sync.Mutex
	start   time.Time
	version uint64
	workers map[string]*fakeWorker
	referee *referee
}

func newFleet(list []infra.Worker) *fleet {
	f := &fleet{start: time.Now(), version: 1, workers: map[string]*fakeWorker{}, referee: newReferee()}
	for _, w := range list {
		f.workers[w.ID] = &fakeWorker{Worker: w, tasks: map[string]*runningTask{}, referee: f.referee, wake: make(chan struct{})}
	}
	return f
}

func (f *fleet) list(since uint64) infra.WorkerList {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := infra.WorkerList{Version: f.version}
	if since == f.version {
		return out
	}
	for _, w := range f.workers {
		if !w.gone {
			out.Workers = append(out.Workers, w.Worker)
		}
	}
	sort.Slice(out.Workers, func(i, j int) bool { return out.Workers[i].ID < out.Workers[j].ID })
	return out
}

// sync applies a request. The second result is false for a worker that doesn't answer.
func (f *fleet) sync(id string, req infra.SyncRequest) (infra.SyncReply, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncAt(time.Now(), id, req)
}

func (f *fleet) syncAt(now time.Time, id string, req infra.SyncRequest) (infra.SyncReply, bool) {
	w, ok := f.workers[id]
	if !ok || w.frozen {
		return infra.SyncReply{}, false
	}
	w.advance(now)
	reply := infra.SyncReply{Reading: now.Sub(f.start).Milliseconds() + 1}
	switch {
	case req.Token < w.token:
		reply.Refused = fmt.Sprintf("token %d is older than %d", req.Token, w.token)
	case req.Token == w.token && req.Sequence <= w.sequence:
		reply.Refused = fmt.Sprintf("sequence %d is not newer than %d", req.Sequence, w.sequence)
	default:
		w.token, w.sequence = req.Token, req.Sequence
		f.applyRequest(w, now, req)
		w.wakeUp()
	}
	f.fillReply(w, req, &reply)
	return reply, true
}

// fillReply adds the tasks to a reply: all, or those that have changed since the state
// that the owner knows.
func (f *fleet) fillReply(w *fakeWorker, req infra.SyncRequest, reply *infra.SyncReply) {
	reply.Token, reply.Change = w.token, w.change
	reply.Partial = req.Known > 0 && req.Known <= w.change
	for _, t := range w.tasks {
		if reply.Partial && t.change <= req.Known {
			continue
		}
		report := t.TaskReport
		report.Task = t.Task.Reported(reply.Partial)
		reply.Tasks = append(reply.Tasks, report)
		if reply.Refused == "" && t.State == infra.TaskDone {
			f.referee.recordReported(w, t.Task)
		}
	}
	sort.Slice(reply.Tasks, func(i, j int) bool { return reply.Tasks[i].Task.ID < reply.Tasks[j].Task.ID })
}

func (f *fleet) applyRequest(w *fakeWorker, now time.Time, req infra.SyncRequest) {
	if req.AsOf > 0 {
		end := f.start.Add(time.Duration(req.AsOf+req.LeaseMillis) * time.Millisecond)
		if end.After(w.leaseEnd) {
			w.leaseEnd = end
		}
	}
	f.referee.recordRequest(w, req, f.start)
	for _, id := range req.Forgets {
		if t, ok := w.tasks[id]; ok && t.State.Ended() {
			delete(w.tasks, id)
		}
	}
	for _, id := range req.Stops {
		if t, ok := w.tasks[id]; ok && !t.State.Ended() {
			w.end(t, now, infra.TaskStopped, "stopped by its owner")
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

func (f *fleet) startTask(w *fakeWorker, now time.Time, t infra.Task) {
	run := &runningTask{TaskReport: infra.TaskReport{Task: t, State: infra.TaskRunning, Usage: t.Need}, started: now}
	_ = json.Unmarshal(t.Payload, &run.plan)
	if w.failAll {
		run.plan = TaskPlan{RunMillis: 1, Fail: true}
	}
	w.tasks[t.ID] = run
	w.recordChange(run)
	f.referee.recordStart(w, now, t)
}

// advance ends the worker's tasks that are due at the given time.
func (w *fakeWorker) advance(now time.Time) {
	for _, t := range w.tasks {
		if t.State.Ended() {
			continue
		}
		planned := t.started.Add(time.Duration(t.plan.RunMillis) * time.Millisecond)
		switch {
		case t.plan.RunMillis > 0 && !planned.After(now) && !planned.After(w.leaseEnd):
			state := infra.TaskDone
			if t.plan.Fail {
				state = infra.TaskFailed
			}
			w.end(t, planned, state, "")
		case w.leaseEnd.Before(now):
			w.end(t, w.leaseEnd, infra.TaskStopped, "the lease lapsed")
		default:
			t.RunTime = now.Sub(t.started).Milliseconds()
		}
	}
}

func (w *fakeWorker) end(t *runningTask, at time.Time, state infra.TaskState, reason string) {
	w.referee.recordEnd(w, at, t.Task, state)
	t.State, t.Reason, t.ended = state, reason, at
	w.recordChange(t)
	t.RunTime = at.Sub(t.started).Milliseconds()
	if state == infra.TaskFailed {
		t.Reason = "the task exited with an error"
	}
}

// Report is the report of the referee.
type Report struct {
	Starts  int `json:"starts"`
	Running int `json:"running"`
	// StartsOf counts the attempts at each task.
	StartsOf map[string]int `json:"startsOf"`
	// Violations lists the violated guarantees.
	Violations []string `json:"violations"`
	// Used and Total are the resources of the running tasks and of all workers.
	Used  infra.Resources `json:"used"`
	Total infra.Resources `json:"total"`
	// Appends counts the appends to the log.
	Appends uint64 `json:"appends"`
	// ReadBytes counts the bytes sent to readers of the log.
	ReadBytes uint64 `json:"readBytes"`
}

func (f *fleet) report() Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	r := Report{StartsOf: map[string]int{}}
	for _, w := range f.workers {
		w.advance(now)
		r.Total = r.Total.Add(w.Capacity)
		for _, t := range w.tasks {
			if t.State == infra.TaskRunning {
				r.Running++
				r.Used = r.Used.Add(t.Task.Need)
			}
		}
	}
	f.referee.audit(now)
	for name, n := range f.referee.starts {
		r.StartsOf[name] = n
	}
	r.Starts, r.Violations = f.referee.started, append([]string{}, f.referee.violations...)
	if f.referee.dropped > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("and %d more", f.referee.dropped))
	}
	return r
}
