package pool

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answerPart answers the pending hold of a worker's incarnation with some of its ends.
func (r *rig) answerPart(worker string, born int64, truncated bool, ended ...EndedRun) {
	r.t.Helper()
	h := r.takeHold(worker)
	r.step(HoldAnswered{Worker: worker, SentAt: h.SentAt, Born: born, ClockMs: r.now.Milliseconds(), Ended: ended, Truncated: truncated})
}

// takeHold removes and returns the pending hold of a worker.
func (r *rig) takeHold(worker string) Hold {
	r.t.Helper()
	at := slices.IndexFunc(r.actions, func(a Action) bool { h, ok := a.(Hold); return ok && h.Worker == worker })
	assert.Assert(r.t, at >= 0, "no pending hold of %s", worker)
	h := r.actions[at].(Hold)
	r.actions = slices.Delete(r.actions, at, at+1)
	return h
}

// partOfEnds answers the pending hold of a worker with a part of its ends: those after the acknowledged
// ones, two at a time.
func (r *rig) partOfEnds(worker string, ends []EndedRun) {
	r.t.Helper()
	h := r.takeHold(worker)
	ends = slices.DeleteFunc(slices.Clone(ends), func(x EndedRun) bool { return x.Number <= h.Ack })
	listed := ends[:min(2, len(ends))]
	r.step(HoldAnswered{Worker: worker, SentAt: h.SentAt, Born: 100, ClockMs: r.now.Milliseconds(), Ended: listed, Truncated: len(listed) == 2})
}

// newTakeover returns a new owner with an inherited job of six tasks, of which a predecessor started all on a
// worker, and the ends of the first five.
func newTakeover(t *testing.T) (*rig, []EndedRun) {
	r := newRig(t)
	r.step(JobStored{Inherited: true, Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(6)}}})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s", Born: 100}}})
	info, other := newWorkerInfo("w1"), newWorkerInfo("w2")
	info.Born, other.Born = 100, 100
	info.Capacity = Resources{CPU: 6000, Mem: 8000}
	r.step(WorkersListed{Workers: []WorkerInfo{info, other}})
	var ends []EndedRun
	for n := range 5 {
		ends = append(ends, EndedRun{Number: uint64(n + 1), Task: taskID("j", n), Run: 1, How: Done})
	}
	r.partOfEnds("w2", nil)
	return r, ends
}

// startedOrdinals returns the ordinals of the tasks that have been started.
func (r *rig) startedOrdinals() []int {
	var list []int
	for _, s := range r.acceptStarts() {
		list = append(list, s.Task.Ordinal)
	}
	slices.Sort(list)
	return list
}

// Guards against a new owner that takes the first part of a worker's ends for all of them and starts tasks
// again that are done.
func TestTakeoverReadsAllEndsOfAWorker(t *testing.T) {
	r, ends := newTakeover(t)
	for range 2 {
		r.partOfEnds("w1", ends)
		r.advance(saveInterval)
		r.confirmSaves()
		assert.Equal(t, len(r.startedOrdinals()), 0, "a task is started before all ends are read")
	}
	r.partOfEnds("w1", ends)
	assert.DeepEqual(t, r.startedOrdinals(), []int{5})
}

// Guards against tasks that wait without end, since a worker listed some of its ends and then fell silent.
func TestTakeoverGoesOnIfAWorkerFallsSilentBetweenItsEnds(t *testing.T) {
	r, ends := newTakeover(t)
	r.partOfEnds("w1", ends)
	for range 40 {
		r.failHolds("w1")
		r.advance(50 * time.Millisecond)
		for _, s := range takeActions[Save](r) {
			for _, rec := range s.Records {
				assert.Assert(t, !strings.HasPrefix(rec.Key, SilentKey("")), "a successor would take the record for all that may run on the worker")
			}
			r.step(Saved{Seq: s.Seq})
		}
		assert.Equal(t, len(r.startedOrdinals()), 0, "a task is started before the worker's lease has lapsed")
	}
	for range 10 * int(time.Second/saveInterval) {
		for _, id := range []string{"w1", "w2"} {
			if id == "w1" {
				r.failHolds(id)
			} else if slices.ContainsFunc(r.actions, func(a Action) bool { h, ok := a.(Hold); return ok && h.Worker == id }) {
				r.partOfEnds(id, nil)
			}
		}
		r.advance(saveInterval)
		r.confirmSaves()
	}
	assert.DeepEqual(t, r.startedOrdinals(), []int{2, 3, 4, 5})
}

// Guards against a worker whose ends were read in part, has started again, and is waited for without end.
func TestTakeoverGoesOnIfAWorkerRestartsBetweenItsEnds(t *testing.T) {
	r, ends := newTakeover(t)
	r.partOfEnds("w1", ends)
	r.advance(saveInterval)
	r.confirmSaves()
	assert.Equal(t, len(r.startedOrdinals()), 0)
	r.answerPart("w1", 200, false)
	r.advance(saveInterval)
	r.confirmSaves()
	started := r.startedOrdinals()
	assert.DeepEqual(t, started, []int{2, 3, 4, 5}) // the other ends are gone with the former incarnation
}

// Guards against tasks of a silence record that are started again while the worker has yet to list all of its ends.
func TestSilentTasksWaitForAllEndsOfTheirWorker(t *testing.T) {
	r := newRig(t)
	r.step(JobStored{Inherited: true, Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(6)}}})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s", Born: 100}}})
	var silent []SilentTask
	var ends []EndedRun
	for n := range 5 {
		silent = append(silent, SilentTask{TaskID: taskID("j", n)})
		ends = append(ends, EndedRun{Number: uint64(n + 1), Task: taskID("j", n), Run: 1, How: Done})
	}
	r.step(SilenceStored{Worker: "w1", Tasks: silent})
	info, other := newWorkerInfo("w1"), newWorkerInfo("w2")
	info.Born, other.Born = 100, 100
	r.step(WorkersListed{Workers: []WorkerInfo{info, other}})
	r.partOfEnds("w2", nil)
	started := r.startedOrdinals()
	for range 3 {
		r.partOfEnds("w1", ends)
		r.advance(saveInterval)
		r.confirmSaves()
		started = append(started, r.startedOrdinals()...)
	}
	assert.DeepEqual(t, started, []int{5})
}

// Guards against runs that ended on a worker that has just started again, that are beyond the first part of its
// ends, and that are taken for those of its former incarnation: their tasks run again.
func TestRunsBeyondTheFirstEndsOfANewIncarnationAreNotLost(t *testing.T) {
	info, other := newWorkerInfo("w1"), newWorkerInfo("w2")
	info.Born, info.Capacity = 100, Resources{CPU: 6000, Mem: 8000}
	r := newRig(t, info)
	r.partOfEnds("w1", nil)
	r.submitJob("j", smallStep(5))
	var ends []EndedRun
	for n, s := range r.acceptStarts() { // the new incarnation has got them
		ends = append(ends, EndedRun{Number: uint64(n + 1), Task: s.Task, Run: s.Run, How: Done})
	}
	assert.Equal(t, len(ends), 5)
	r.step(WorkersListed{Workers: []WorkerInfo{info, other}})
	r.advance(500 * time.Millisecond)
	r.failHolds("w1")
	r.partOfEnds("w2", nil)
	r.answerPart("w1", 200, true, ends[:2]...)
	for range 3 {
		r.advance(saveInterval)
		r.confirmSaves()
	}
	started := r.startedOrdinals()
	r.answerPart("w1", 200, false, ends[2:]...)
	r.advance(time.Second)
	r.confirmSaves()
	assert.DeepEqual(t, append(started, r.startedOrdinals()...), []int(nil))
	state, _ := r.core.JobState("j")
	assert.Equal(t, state, Completed)
}

// Guards against a task that crashes its worker and isn't counted, since the worker's next incarnation lists its
// ends in parts.
func TestCrashBeforeAPartOfTheEndsCounts(t *testing.T) {
	info := newWorkerInfo("w1")
	info.Born = 100
	r := newRig(t, info)
	r.partOfEnds("w1", nil)
	r.submitJob("j", smallStep(3))
	starts := r.acceptStarts()
	assert.Equal(t, len(starts), 3)
	r.advance(500 * time.Millisecond)
	r.failHolds("w1")
	end := func(n int) EndedRun {
		return EndedRun{Number: uint64(n), Task: starts[n].Task, Run: starts[n].Run, How: Done}
	}
	r.answerPart("w1", 200, true, end(1))
	r.advance(saveInterval)
	r.confirmSaves()
	r.answerPart("w1", 200, false, end(2))
	tasks := r.core.jobs["j"].occurrences[0].steps[0].tasks
	assert.Equal(t, len(tasks[0].crashes), 1, "the task was lost with the former incarnation")
	assert.Equal(t, tasks[0].crashes[0].Born, int64(100))
	assert.Assert(t, tasks[0].run == nil || tasks[0].run.phase == planned)
	for _, x := range tasks[1:] {
		assert.Assert(t, x.done && len(x.crashes) == 0)
	}
}
