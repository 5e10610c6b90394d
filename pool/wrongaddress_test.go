package pool

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answerCalls answers all pending calls to a worker as its address does: if the worker is there, it runs the
// given runs, and if it isn't, another worker answers.
func (r *rig) answerCalls(id, at string, active []ActiveRun) {
	for _, h := range takeActions[Hold](r) {
		answer := HoldAnswered{Worker: id, Addr: h.Addr, Token: h.Token, SentAt: h.SentAt, Outcome: WrongIncarnation}
		if h.Addr == at {
			answer.Outcome, answer.Born, answer.ClockMs, answer.Active = OK, 100, r.now.Milliseconds(), active
		}
		r.step(answer)
	}
	for _, s := range takeActions[Start](r) {
		answer := StartAnswered{Worker: id, Addr: s.Addr, Token: s.Token, Task: s.Task, Run: s.Run}
		if s.Addr != at {
			answer.Outcome = WrongIncarnation
		}
		r.step(answer)
	}
	for _, s := range takeActions[Stop](r) {
		answer := StopAnswered{Worker: id, Addr: s.Addr, Born: s.Born, Token: s.Token, Task: s.Task, Run: s.Run}
		if s.Addr != at {
			answer.Outcome = WrongIncarnation
		}
		r.step(answer)
	}
}

// Guards against tasks that run twice since the list of workers names another worker's address for a sound one,
// and that worker says that it is another.
func TestRunsAreKeptWhenAnotherWorkerAnswersAtAWrongAddress(t *testing.T) {
	info := bornWorker(100)
	r := newRig(t, info)
	r.answerCalls("w1", info.Addr, nil)
	r.submitJob("j", smallStep(1))
	r.answerCalls("w1", info.Addr, nil)
	task := r.core.task(taskID("j", 0))
	run := task.run
	assert.Assert(t, run != nil && run.phase == running)
	active := []ActiveRun{{Task: taskID("j", 0), Run: run.number}}
	wrong := info
	wrong.Addr = "other:1"
	r.step(WorkersListed{Workers: []WorkerInfo{wrong}})
	for range 20 {
		r.advance(50 * time.Millisecond)
		r.answerCalls("w1", info.Addr, active)
		assert.Assert(t, task.run == run, "the run is taken for lost although nobody has said so")
	}
	r.submitJob("k", smallStep(1)) // the start reaches the other worker
	r.answerCalls("w1", info.Addr, active)
	assert.Assert(t, task.run == run)
	r.step(WorkersListed{Workers: []WorkerInfo{info}})
	r.advance(200 * time.Millisecond)
	r.answerCalls("w1", info.Addr, active)
	assert.Assert(t, task.run == run && !r.core.workers["w1"].silent)
	r.step(HoldAnswered{Worker: "w1", Addr: wrong.Addr, Outcome: WrongIncarnation}) // a late answer
	assert.Assert(t, task.run == run)
	r.step(HoldAnswered{Worker: "w1", Addr: info.Addr, Outcome: WrongIncarnation})
	assert.Assert(t, task.run == nil, "its own address has another worker now, so it has ended")
}

// Guards against a new owner that takes a worker for gone since its predecessor's record, or the list of workers,
// names an address that isn't the worker's any more, and starts its tasks again.
func TestTakeoverWaitsForAWorkerThatHasMoved(t *testing.T) {
	info := bornWorker(100)
	for _, test := range []struct {
		name            string
		tracked, listed string
		callFirst       bool // the worker is called before the list of workers is read
	}{
		{"the record is outdated", "other:1", info.Addr, true},
		{"the list is wrong", info.Addr, "other:1", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
			r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: test.tracked, Service: "s", Born: 100}}})
			if test.callFirst {
				r.advance(50 * time.Millisecond)
			}
			listed, other := info, newWorkerInfo("w2")
			listed.Addr = test.listed
			r.step(WorkersListed{Workers: []WorkerInfo{listed, other}})
			r.partOfEnds("w2", nil)
			for range 3 {
				r.answerOneCall("w1", info.Addr)
				r.confirmSaves()
				r.advance(saveInterval)
				r.confirmSaves()
				assert.Equal(t, len(takeActions[Start](r)), 0, "the task may run on w1")
			}
		})
	}
}

// answerOneCall answers the pending hold of a worker if another worker is at the address that was called.
func (r *rig) answerOneCall(id, at string) {
	if h := r.takeHold(id); h.Addr != at {
		r.step(HoldAnswered{Worker: id, Addr: h.Addr, Token: h.Token, SentAt: h.SentAt, Outcome: WrongIncarnation})
	} else {
		r.actions = append(r.actions, h)
	}
}

// Guards against a successor that calls a worker at the address of its former incarnation, where another worker says that it
// has ended.
func TestStoredAddressFollowsTheWorker(t *testing.T) {
	r := newRig(t, bornWorker(100))
	r.answerCalls("w1", bornWorker(100).Addr, nil)
	moved := bornWorker(200)
	moved.Addr = "w1:2"
	r.step(WorkersListed{Workers: []WorkerInfo{moved}})
	r.advance(50 * time.Millisecond)
	takeActions[Save](r)
	for range 2 { // the first call was sent before
		for _, h := range takeActions[Hold](r) {
			r.step(HoldAnswered{Worker: "w1", Addr: "w1:2", Token: h.Token, SentAt: h.SentAt, Born: 200, ClockMs: 1})
		}
		r.advance(saveInterval)
	}
	var stored []TrackedWorker
	for _, rec := range r.savedRecords() {
		if rec.Key == TrackedWorkersKey {
			assert.NilError(t, json.Unmarshal(rec.Value, &stored))
		}
	}
	assert.DeepEqual(t, stored, []TrackedWorker{{ID: "w1", Addr: "w1:2", Service: "s", Born: 200}})
}
