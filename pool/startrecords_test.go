package pool

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// takeStartRecords removes the pending saves and returns the starts that they record, by key.
func (r *rig) takeStartRecords(into map[string][]StepStarts) (last uint64) {
	r.t.Helper()
	for _, s := range takeActions[Save](r) {
		last = s.Seq
		for _, rec := range s.Records {
			if kind, _ := ParseKey(rec.Key); kind != StartsRecord {
				continue
			}
			delete(into, rec.Key)
			if len(rec.Value) > 0 {
				var list []StepStarts
				assert.NilError(r.t, json.Unmarshal(rec.Value, &list))
				into[rec.Key] = list
			}
		}
	}
	return last
}

// succeed returns the next owner of the pool, which has read the records of starts and whose two workers have answered.
func succeed(t *testing.T, now time.Duration, set func(*Settings), steps []StepSpec, records map[string][]StepStarts) *rig {
	r := newRig(t)
	r.now, r.core.startedAt = now, now
	if set != nil {
		set(&r.core.settings)
	}
	r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: steps}, Inherited: true})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s", Born: 100}, {ID: "w2", Addr: "w2:1", Service: "s", Born: 100}}})
	for key, starts := range records {
		_, suffix := ParseKey(key)
		n, ok := ParseStarts(suffix)
		assert.Assert(t, ok)
		r.step(StartsStored{Record: n, Starts: starts})
	}
	w1, w2 := bornWorker(100), newWorkerInfo("w2")
	w1.Labels, w2.Born = append(w1.Labels, "w1"), 100
	r.step(WorkersListed{Workers: []WorkerInfo{w1, w2}})
	r.answerPart("w1", 100, false)
	r.answerPart("w2", 100, false)
	r.advance(50 * time.Millisecond)
	return r
}

// Guards against a start of which nothing outside the owner knows if the owner is killed right after it has left.
func TestStartLeavesOnceItIsRecorded(t *testing.T) {
	r, _ := newBornRig(t, 0)
	r.keepStarts = true
	r.submitJob("k", smallStep(2))
	assert.Equal(t, len(takeActions[Start](r)), 0)
	recorded := map[string][]StepStarts{}
	last := r.takeStartRecords(recorded)
	assert.DeepEqual(t, recorded, map[string][]StepStarts{StartsKey(0): {{Job: "k", Tasks: []int{0, 1}, Runs: []int{1, 1}, Workers: []string{"w1", "w1"}}}})
	r.step(Saved{Seq: last})
	assert.Equal(t, len(takeActions[Start](r)), 2)
}

// Guards against a successor that starts a task elsewhere while its predecessor's start may be carried out late by the next
// incarnation of its worker, also after a second takeover.
func TestSuccessorStartsATaskOnlyOnTheWorkerOfALateStart(t *testing.T) {
	for _, takeovers := range []int{1, 2} {
		records := map[string][]StepStarts{StartsKey(0): {{Job: "j", Tasks: []int{0}, Runs: []int{1}, Workers: []string{"w2"}}}}
		now := time.Hour
		var r *rig
		for range takeovers {
			r = succeed(t, now, nil, []StepSpec{smallStep(1)}, records)
			now += 5 * time.Second
			r.takeStartRecords(records)
		}
		starts := takeActions[Start](r)
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Worker, "w2")
		assert.Equal(t, starts[0].Run, 1, "a worker that carries out both has two runs")
	}
}

// Guards against a successor that doesn't wait for a late start although its worker can't run the task, and against one that
// waits for longer than the start may be late.
func TestTaskWithALateStartWaitsIfItsWorkerCannotRunIt(t *testing.T) {
	step := smallStep(1)
	step.Label = "w1"
	records := map[string][]StepStarts{StartsKey(0): {{Job: "j", Tasks: []int{0}, Runs: []int{1}, Workers: []string{"w2"}}}}
	claimed := time.Hour
	r := succeed(t, claimed, nil, []StepSpec{step}, records)
	for r.now < claimed+time.Minute && len(takeActions[Start](r)) == 0 {
		for _, w := range []string{"w1", "w2"} {
			if slices.ContainsFunc(r.actions, isHoldOf(w)) {
				r.answerPart(w, 100, false)
			}
		}
		r.advance(50 * time.Millisecond)
	}
	waited, late := r.now-claimed, startTTL+lateCallPeriod
	assert.Assert(t, waited >= late && waited < late+time.Second, "%v", waited)
}

// Guards against an owner that was stopped, or that the store answers late, and that sends a start when a successor doesn't
// allow for it any more.
func TestStartDoesNotLeaveLongAfterItsDecision(t *testing.T) {
	for _, waits := range []time.Duration{startTTL - 50*time.Millisecond, startTTL} {
		r, _ := newBornRig(t, 0)
		r.keepStarts = true
		r.submitJob("k", smallStep(1))
		save := takeActions[Save](r)
		assert.Equal(t, len(save), 1)
		r.now += waits
		r.core.workers["w1"].answeredAt = r.now
		r.actions = append(r.actions, r.core.Step(r.now, Saved{Seq: save[0].Seq})...)
		starts := takeActions[Start](r)
		assert.Equal(t, len(starts) == 1, waits < startTTL, "%v", waits)
		for _, s := range starts {
			assert.Equal(t, s.NotAfter, r.now-waits+startTTL)
		}
	}
}

// Guards against a failed run whose number is used again, so that its next failure isn't counted.
func TestFailedRunIsNotSentAgain(t *testing.T) {
	r := newRig(t)
	r.step(JobStored{Inherited: true, Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}})
	r.step(ProgressStored{Job: "j", Progress: Progress{State: Queued, Steps: []StepProgress{{Failed: map[int][]int{0: {1}}}}}})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s", Born: 100}}})
	r.step(StartsStored{Starts: []StepStarts{{Job: "j", Tasks: []int{0}, Runs: []int{1}, Workers: []string{"w1"}}}})
	r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(100)}})
	for r.now < time.Hour+30*time.Second {
		if slices.ContainsFunc(r.actions, isHoldOf("w1")) {
			r.answerPart("w1", 100, false)
		}
		r.advance(50 * time.Millisecond)
		for _, s := range takeActions[Start](r) {
			assert.Assert(t, s.Run > 1)
			return
		}
	}
	t.Fatal("the task was never started")
}

// Guards against an owner that stops a run whose start has no answer, and starts its task again while the start may be carried
// out by the next incarnation of its worker.
func TestTaskOfAStoppedRunWaitsForItsLateStart(t *testing.T) {
	r, start := newTwoWorkerRig(t)
	for range maxStartTries {
		r.step(StartAnswered{Worker: start.Worker, Token: start.Token, Task: start.Task, Run: start.Run, Outcome: NoAnswer})
	}
	takeActions[Start](r)
	for _, s := range takeActions[Stop](r) {
		r.step(StopAnswered{Worker: s.Worker, Born: 100, Token: s.Token, Task: s.Task, Run: s.Run})
	}
	stopped := r.now
	var again []Start
	for len(again) == 0 && r.now < stopped+time.Minute {
		r.advance(50 * time.Millisecond)
		for _, w := range []string{"w1", "w2"} {
			if slices.ContainsFunc(r.actions, isHoldOf(w)) {
				r.answerPart(w, 100, false)
			}
		}
		again = takeActions[Start](r)
	}
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Run > start.Run)
	waited := r.now - stopped
	assert.Assert(t, waited >= lateCallPeriod && waited < lateCallPeriod+time.Second, "%v", waited)
}

// Guards against a run that is removed while its start is on its way, so that nobody notes that the start had no answer.
func TestRunThatIsRemovedBeforeItsStartIsAnsweredKeepsTheLateStart(t *testing.T) {
	r, start := newTwoWorkerRig(t)
	c := r.core
	run := c.workers[start.Worker].runs[runKey{start.Task, start.Run}]
	c.removeRun(run)
	assert.Assert(t, c.lateStartOf(run.task) != nil)
	assert.Equal(t, c.startRecords[0].open, 0)
	assert.Assert(t, !c.startRecords[0].isSettled(r.now+lateCallPeriod-1))
	assert.Assert(t, c.startRecords[0].isSettled(r.now+lateCallPeriod))
}

// Guards against records of starts that grow with the number of starts.
func TestRecordsOfStartsAreUsedAgain(t *testing.T) {
	r, _ := newBornRig(t, 0)
	for n := range 50 {
		r.submitJob(smallJobID(n), smallStep(1))
		for _, s := range r.acceptStarts() {
			r.answerAs(100, nil, EndedRun{Number: uint64(n + 1), Task: s.Task, Run: s.Run, How: Done})
		}
		r.advance(saveInterval)
	}
	assert.Assert(t, len(r.core.startRecords) <= 2, "%d", len(r.core.startRecords))
}

// Guards against a successor that starts tasks whose starts its predecessor, of an older version, hasn't recorded.
func TestTasksOfAnOwnerWithoutRecordsWaitForLateStarts(t *testing.T) {
	r := succeed(t, time.Hour, func(s *Settings) { s.UnrecordedStarts = true }, []StepSpec{smallStep(1)}, nil)
	assert.Equal(t, len(takeActions[Start](r)), 0)
	assert.Assert(t, !r.core.RecordsStarts())
	r.submitJob("new", smallStep(1))
	assert.Equal(t, len(takeActions[Start](r)), 1)
	r.core.setTime(r.now + startTTL + lateCallPeriod)
	assert.Assert(t, r.core.RecordsStarts())
}

// Guards against members of a gang that are started elsewhere than on the workers of their late starts.
func TestGangIsStartedOnTheWorkersOfItsLateStarts(t *testing.T) {
	gang := gangStep(2, 1000, time.Second)
	records := map[string][]StepStarts{StartsKey(3): {{Job: "j", Tasks: []int{0, 1}, Runs: []int{1, 1}, Workers: []string{"w2", "w2"}}}}
	r := succeed(t, time.Hour, nil, []StepSpec{gang}, records)
	starts := takeActions[Start](r)
	assert.Equal(t, len(starts), 2)
	for _, s := range starts {
		assert.Equal(t, s.Worker, "w2")
		assert.Equal(t, s.Run, 1)
	}
}
