package pool

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// savedProgress confirms all saves and returns the newest progress that they hold for a job.
func (r *rig) savedProgress(id string) Progress {
	r.t.Helper()
	var p Progress
	found := false
	for _, s := range takeActions[Save](r) {
		for _, rec := range s.Records {
			if rec.Key == ProgressKey(id) {
				assert.NilError(r.t, json.Unmarshal(rec.Value, &p))
				found = true
			}
		}
		r.step(Saved{Seq: s.Seq})
	}
	assert.Assert(r.t, found, "no progress was saved for %s", id)
	return p
}

// singleActiveRun returns the list of a worker with one active run.
func singleActiveRun(t TaskID, run int) []ActiveRun {
	return []ActiveRun{{Task: t, Run: run, Percent: 100}}
}

// The owner stores that a run failed, loses the connection to the worker before it can
// acknowledge the end there, and dies. The worker lists the end again to the successor. Guards
// against counting it twice: it would be the second of three attempts, and the job would fail
// too early.
func TestStoredFailureIsNotCountedAgain(t *testing.T) {
	r := newRig(t, newWorkerInfo("w1"))
	r.confirmSaves()
	r.answerHold("w1", nil)
	r.submitJob("j", smallStep(1))
	assert.Equal(t, len(r.acceptStarts()), 1)
	r.keepStarts = true
	r.answerHold("w1", nil, EndedRun{Number: 1, Task: taskID("j", 0), Run: 1, How: RunFailed})
	r.advance(100 * time.Millisecond)
	p := r.savedProgress("j")

	next := newRig(t)
	next.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
	next.step(ProgressStored{Job: "j", Progress: p})
	next.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1")}})
	next.answerHold("w1", nil, EndedRun{Number: 1, Task: taskID("j", 0), Run: 1, How: RunFailed})
	next.advance(100 * time.Millisecond)
	assert.DeepEqual(t, next.core.jobs["j"].occurrences[0].steps[0].tasks[0].failed, []int{1})
}

// After a long outage of the store, a successor gets several ends of one task at once, each
// from another worker, the newest first. Guards against skipping older ends: a task that always
// fails would run more often than the attempts of its queue allow.
func TestFailuresListedInAnyOrderAllCount(t *testing.T) {
	r := newRig(t)
	r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1"), newWorkerInfo("w2"), newWorkerInfo("w3")}})
	r.answerHold("w1", nil, EndedRun{Number: 1, Task: taskID("j", 0), Run: 3, How: RunFailed})
	r.answerHold("w2", nil, EndedRun{Number: 1, Task: taskID("j", 0), Run: 1, How: RunFailed})
	r.answerHold("w3", nil, EndedRun{Number: 1, Task: taskID("j", 0), Run: 2, How: RunFailed})
	r.advance(time.Second)
	assert.Equal(t, len(r.acceptStarts()), 0)
	assert.Equal(t, r.core.jobs["j"].state, Failed)
}

// Two members of a gang end as done on two workers. The first end completes the job, and the
// second is listed before the completion is stored. Guards against acknowledging the second end
// at that point: if the owner and the first worker were lost before the store has the end of
// the job, the gang would run again.
func TestEndsOfACompletedJobWaitUntilItIsStored(t *testing.T) {
	r := newRig(t, newWorkerInfo("w1"), newWorkerInfo("w2"))
	r.confirmSaves()
	r.answerHold("w1", nil)
	r.answerHold("w2", nil)
	gang := smallStep(2)
	gang.Gang, gang.PerWorker = true, 1
	r.submitJob("j", gang)
	assert.Equal(t, len(r.acceptStarts()), 2)
	on := map[int]string{}
	for _, w := range r.core.workerList {
		for key := range w.runs {
			on[key.task.Ordinal] = w.ID
		}
	}
	r.answerHold(on[0], nil, EndedRun{Number: 1, Task: taskID("j", 0), Run: 1, How: Done})
	r.answerHold(on[1], nil, EndedRun{Number: 1, Task: taskID("j", 1), Run: 1, How: Done})
	r.advance(2 * time.Second)
	for _, h := range takeActions[Hold](r) {
		assert.Equal(t, h.Ack, uint64(0), "%s got an acknowledgement of an end that is not stored", h.Worker)
	}
	r.confirmSaves()
	r.advance(2 * time.Second)
	state, _ := r.core.JobState("j")
	assert.Equal(t, state, Completed)
}

// The start of a gang member gets no answer, and its repeat is refused because the ticket has
// expired meanwhile. The first request may still arrive, so the run is stopped, and the gang
// has to start again once the worker has confirmed the stop. Guards against a gang that waits
// forever because the run still counts as one whose answer is pending.
func TestGangStartsAgainAfterADoubtfulRefusal(t *testing.T) {
	r := newRig(t, newWorkerInfo("w1"))
	r.confirmSaves()
	r.answerHold("w1", nil)
	gang := smallStep(2)
	gang.Gang = true
	r.submitJob("j", gang)
	first := takeActions[Start](r)
	assert.Equal(t, len(first), 2)
	r.step(StartAnswered{Worker: "w1", Task: first[0].Task, Run: 1, Outcome: NoAnswer})
	r.step(StartAnswered{Worker: "w1", Task: first[1].Task, Run: 1})
	takeActions[Start](r)
	refused := r.now
	r.step(StartAnswered{Worker: "w1", Task: first[0].Task, Run: 1, Outcome: InvalidTicket})
	for _, s := range takeActions[Stop](r) {
		r.step(StopAnswered{Worker: "w1", Task: s.Task, Run: s.Run})
	}
	r.answerHold("w1", singleActiveRun(first[1].Task, 1))
	r.advance(400 * time.Millisecond)
	r.answerHold("w1", nil, EndedRun{Number: 1, Task: first[1].Task, Run: 1, How: Stopped})
	r.advance(300 * time.Millisecond)
	r.confirmSaves()
	var again []Start
	for stopped := r.now; len(again) == 0 && r.now < stopped+lateCallPeriod+time.Second; {
		r.advance(100 * time.Millisecond)
		r.confirmSaves()
		if slices.ContainsFunc(r.actions, isHoldOf("w1")) {
			r.answerHold("w1", nil)
		}
		again = r.acceptStarts()
		assert.Assert(t, len(again) == 0 || r.now >= refused+lateCallPeriod, "the first request may still arrive")
	}
	assert.Equal(t, len(again), 2)
	assert.Equal(t, again[0].Run, 2)
}

// Two members of a gang end as done on two workers, and the first end is listed. The second
// member needs no stop because it has ended too. But a newer run of the gang, started while the
// end of an earlier run under a predecessor was not known yet, continues and must be stopped.
func TestOnlyAnotherRunOfADoneGangIsStopped(t *testing.T) {
	for _, c := range []struct {
		ended, stops int
	}{{ended: 1, stops: 0}, {ended: 0, stops: 2}} {
		r := newRig(t, newWorkerInfo("w1"), newWorkerInfo("w2"))
		r.confirmSaves()
		r.answerHold("w1", nil)
		r.answerHold("w2", nil)
		gang := smallStep(2)
		gang.Gang, gang.PerWorker = true, 1
		r.submitJob("j", gang)
		starts := r.acceptStarts()
		assert.Equal(t, len(starts), 2)
		first := starts[0]
		active := singleActiveRun(first.Task, 1)
		if c.ended == 1 {
			active = nil
		}
		r.answerHold(first.Worker, active, EndedRun{Number: 1, Task: first.Task, Run: c.ended, How: Done})
		assert.Equal(t, len(takeActions[Stop](r)), c.stops)
	}
}

// The store is slow: the next end comes before the answer to the previous save. The second save
// is sent while the first is pending, since an end would otherwise wait for two answers before
// its caller sees it. Guards against taking the answer to the first save for a confirmation of
// ends that only the second holds: shown and acknowledged early, an end would be lost together
// with this owner.
func TestEndsAreVisibleOnlyAfterTheirOwnSave(t *testing.T) {
	r := newRig(t, newWorkerInfo("w1"))
	r.confirmSaves()
	r.answerHold("w1", nil)
	r.advance(100 * time.Millisecond)
	r.confirmSaves()
	r.submitJob("a", smallStep(2))
	r.submitJob("b", smallStep(1))
	assert.Equal(t, len(r.acceptStarts()), 3)
	r.answerHold("w1", nil, EndedRun{Number: 1, Task: taskID("a", 0), Run: 1, How: Done})
	r.advance(100 * time.Millisecond)
	first := takeActions[Save](r)
	assert.Equal(t, len(first), 1)
	r.advance(time.Second)
	r.answerHold("w1", nil, EndedRun{Number: 1, Task: taskID("a", 0), Run: 1, How: Done},
		EndedRun{Number: 2, Task: taskID("a", 1), Run: 1, How: Done}, EndedRun{Number: 3, Task: taskID("b", 0), Run: 1, How: Done})
	r.advance(100 * time.Millisecond)
	second := takeActions[Save](r)
	assert.Equal(t, len(second), 1, "the end waits for the answer to the previous save")

	shown := func(job string, want State) {
		t.Helper()
		state, found := r.core.JobState(job)
		assert.Assert(t, found)
		assert.Equal(t, state, want)
	}
	r.step(Saved{Seq: first[0].Seq})
	shown("a", Running)
	shown("b", Running)
	assert.Equal(t, r.core.workers["w1"].ack, uint64(1))
	r.step(Saved{Seq: second[0].Seq})
	shown("a", Completed)
	shown("b", Completed)
	assert.Equal(t, r.core.workers["w1"].ack, uint64(3))
}
