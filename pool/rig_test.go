package pool

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rig drives a core step by step: workers and the store answer only what a test tells them to.
type rig struct {
	t       *testing.T
	core    *Core
	now     time.Duration
	actions []Action // not yet answered
	// storeAway is set while the store confirms nothing.
	storeAway bool
	// keepStarts is set while saves that hold nothing but starts aren't confirmed at once.
	keepStarts bool
}

// rigToken and the next ones are the fencing tokens of a rig's core.
const (
	rigToken  = 7
	rigTokens = 10
)

func newRig(t *testing.T, workers ...WorkerInfo) *rig {
	r := &rig{t: t, now: time.Hour}
	r.core = New(Settings{Token: rigToken, Tokens: rigTokens, Generation: 3, MaxLease: 6 * time.Second, StopTimeout: 200 * time.Millisecond,
		EndedRetention: 2 * time.Minute}, r.now)
	r.step(Tick{UnixMs: r.unixMs()})
	r.step(QueuesChanged{Queues: map[string]Queue{"q": {Name: "q", Service: "s", Attempts: 3, Slack: 2, Target: time.Second}}})
	if len(workers) > 0 {
		r.step(WorkersListed{Workers: workers})
	}
	return r
}

func (r *rig) unixMs() int64 { return 1_000_000 + r.now.Milliseconds() }

func (r *rig) step(ev Event) {
	r.actions = append(r.actions, r.core.Step(r.now, ev)...)
	checkIncremental(r.t, r.core)
	r.actions = append(r.actions, r.core.Plan(r.now)...)
	checkIncremental(r.t, r.core)
	if _, ok := ev.(WorkersListed); ok {
		r.confirmSaves() // until the workers are stored as tracked, they get no tasks
	}
	r.confirmStarts()
}

// confirmStarts confirms the pending saves up to the last one that holds starts, unless the store is away.
func (r *rig) confirmStarts() {
	if r.storeAway || r.keepStarts {
		return
	}
	last := uint64(0)
	for _, a := range r.actions {
		if s, ok := a.(Save); ok && slices.ContainsFunc(s.Records, holdsStarts) {
			last = s.Seq
		}
	}
	if last == 0 {
		return
	}
	r.actions = slices.DeleteFunc(r.actions, func(a Action) bool { s, ok := a.(Save); return ok && s.Seq <= last })
	r.step(Saved{Seq: last})
}

func holdsStarts(rec Record) bool {
	kind, _ := ParseKey(rec.Key)
	return kind == StartsRecord && len(rec.Value) > 0
}

// advance advances the clock in ticks.
func (r *rig) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += 50 * time.Millisecond
		r.step(Tick{UnixMs: r.unixMs()})
	}
}

// takeActions removes and returns the pending actions of one type.
func takeActions[A Action](r *rig) []A {
	var found []A
	var others []Action
	for _, a := range r.actions {
		if x, ok := a.(A); ok {
			found = append(found, x)
		} else {
			others = append(others, a)
		}
	}
	r.actions = others
	return found
}

// confirmSaves confirms every save, including those that follow from a confirmation.
func (r *rig) confirmSaves() {
	for !r.storeAway {
		saves := takeActions[Save](r)
		if len(saves) == 0 {
			return
		}
		for _, s := range saves {
			r.step(Saved{Seq: s.Seq})
		}
	}
}

// answerHold answers the pending holds of a worker, and fails the test if there are none.
func (r *rig) answerHold(worker string, active []ActiveRun, ended ...EndedRun) {
	r.t.Helper()
	var others []Action
	found := false
	for _, h := range takeActions[Hold](r) {
		if h.Worker != worker {
			others = append(others, h)
			continue
		}
		found = true
		r.step(HoldAnswered{Worker: worker, SentAt: h.SentAt, ClockMs: r.now.Milliseconds(), Active: active, Ended: ended})
	}
	r.actions = append(r.actions, others...)
	assert.Assert(r.t, found, "no pending hold of %s", worker)
}

// failHolds reports that the pending holds of a worker got no answer.
func (r *rig) failHolds(worker string) {
	var others []Action
	for _, h := range takeActions[Hold](r) {
		if h.Worker != worker {
			others = append(others, h)
			continue
		}
		r.step(HoldAnswered{Worker: worker, SentAt: h.SentAt, Outcome: NoAnswer})
	}
	r.actions = append(r.actions, others...)
}

// acceptStarts answers all pending starts with OK and returns them.
func (r *rig) acceptStarts() []Start {
	list := takeActions[Start](r)
	for _, s := range list {
		r.step(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run})
	}
	return list
}

// newWorkerInfo returns a worker of 4 cores.
func newWorkerInfo(id string) WorkerInfo {
	return WorkerInfo{ID: id, Addr: id + ":1", Service: "s", Rack: "r1", Kind: "a", Labels: []string{"a", "r1"},
		Capacity: Resources{CPU: 4000, Mem: 8000}}
}

// smallStep returns a step of n tasks of one core each, with an estimate of 0.5 s.
func smallStep(n int) StepSpec {
	return StepSpec{Count: n, Need: Resources{CPU: 1000, Mem: 100}, EstimateMs: 500}
}

func (r *rig) submitJob(id string, steps ...StepSpec) {
	r.step(JobStored{Job: Job{ID: id, Queue: "q", Service: "s", Payload: "p", Steps: steps, AcceptedMs: r.unixMs()}})
}

func taskID(job string, ordinal int) TaskID { return TaskID{Job: job, Ordinal: ordinal} }
