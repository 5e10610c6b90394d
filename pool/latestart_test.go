package pool

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newTwoWorkerRig returns a rig with two workers that have answered, and a job of one task whose start was sent.
func newTwoWorkerRig(t *testing.T) (*rig, Start) {
	w2 := newWorkerInfo("w2")
	w2.Born = 100
	r := newRig(t, bornWorker(100), w2)
	r.answerPart("w1", 100, false)
	r.answerPart("w2", 100, false)
	r.submitJob("j", smallStep(1))
	starts := takeActions[Start](r)
	assert.Equal(t, len(starts), 1)
	return r, starts[0]
}

// loseWorker lets time pass in which one of the two workers is silent and the other answers.
func (r *rig) loseWorker(id string, d time.Duration) {
	r.t.Helper()
	other := map[string]string{"w1": "w2", "w2": "w1"}[id]
	for end := r.now + d; r.now < end; {
		r.failHolds(id)
		r.answerPart(other, 100, false)
		r.advance(50 * time.Millisecond)
	}
}

// Guards against a task that is started elsewhere while a start without an answer may still be carried out by
// its worker's next incarnation.
func TestLostRunWithALateStartIsNotRepeatedElsewhere(t *testing.T) {
	for name, outcomes := range map[string][]Outcome{
		"no start was answered":      {NoAnswer, NoAnswer, NoAnswer},
		"a later start was answered": {NoAnswer, OK},
	} {
		t.Run(name, func(t *testing.T) {
			r, start := newTwoWorkerRig(t)
			for _, o := range outcomes {
				r.step(StartAnswered{Worker: start.Worker, Token: start.Token, Task: start.Task, Run: start.Run, Outcome: o})
			}
			takeActions[Start](r)
			r.loseWorker(start.Worker, lateCallPeriod-time.Second)
			assert.Equal(t, len(takeActions[Start](r)), 0)
			r.loseWorker(start.Worker, 2*time.Second)
			assert.Equal(t, len(takeActions[Start](r)), 1)
		})
	}
}

// Guards against a task in a silence record that waits for a late start although its worker has answered the new
// owner, and refuses all calls of the predecessor from then on.
func TestTaskOfASilenceRecordStartsOnceItsWorkerHasAnswered(t *testing.T) {
	r := newRig(t)
	r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s"}, {ID: "w2", Addr: "w2:1", Service: "s"}}})
	r.step(SilenceStored{Worker: "w1", Tasks: []SilentTask{{TaskID: taskID("j", 0), Unconfirmed: true, LateStart: true}}})
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1"), newWorkerInfo("w2")}})
	r.advance(50 * time.Millisecond)
	r.answerHold("w2", nil)
	assert.Equal(t, len(takeActions[Start](r)), 0, "the task may run on w1")
	r.answerHold("w1", nil)
	var starts []Start
	for end := r.now + time.Second; len(starts) == 0 && r.now < end; {
		r.advance(50 * time.Millisecond)
		r.confirmSaves()
		starts = takeActions[Start](r)
	}
	assert.Equal(t, len(starts), 1, "the task waits for a call that w1 refuses")
}

// Guards against a new owner that starts a task of a silence record while a late start may bring it to life on the next
// incarnation of its worker, which has left the list of workers.
func TestTaskOfASilenceRecordWaitsForALateStart(t *testing.T) {
	r := newRig(t)
	claimed := r.now
	r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Steps: []StepSpec{smallStep(2)}}, Inherited: true})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s"}, {ID: "w2", Addr: "w2:1", Service: "s"}}})
	r.step(SilenceStored{Worker: "w1", Tasks: []SilentTask{{TaskID: taskID("j", 0), Stopping: true, LateStart: true}, {TaskID: taskID("j", 1), Stopping: true}}})
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w2")}})
	r.advance(50 * time.Millisecond)
	startedAt := map[int]time.Duration{}
	var active []ActiveRun
	for len(startedAt) < 2 && r.now < claimed+20*time.Second {
		r.failHolds("w1")
		for i := range active {
			active[i].Percent = int((r.now - claimed) / time.Second) // it doesn't stall
		}
		if slices.ContainsFunc(r.actions, isHoldOf("w2")) {
			r.answerHold("w2", active)
		}
		r.advance(50 * time.Millisecond)
		r.confirmSaves()
		for _, s := range r.acceptStarts() {
			startedAt[s.Task.Ordinal] = r.now - claimed
			active = append(active, ActiveRun{Task: s.Task, Run: s.Run})
		}
	}
	assert.Assert(t, startedAt[0] >= lateCallPeriod && startedAt[0] < lateCallPeriod+time.Second, "started after %v", startedAt[0])
	assert.Assert(t, startedAt[1] > leaseDuration && startedAt[1] < lateCallPeriod-2*time.Second, "started after %v", startedAt[1])
}

// isHoldOf returns whether an action is a hold of a worker.
func isHoldOf(worker string) func(Action) bool {
	return func(a Action) bool { h, ok := a.(Hold); return ok && h.Worker == worker }
}

// Guards against an owner that was stopped and that renews, with a start that it sends again, the leases of a worker that
// has been silent for longer than a successor waits for it.
func TestStartIsNotSentAgainOnceItsWorkerHasBeenSilentForLong(t *testing.T) {
	r, start := newTwoWorkerRig(t)
	r.now += leaseDuration + 3*time.Second
	r.step(StartAnswered{Worker: start.Worker, Token: start.Token, Task: start.Task, Run: start.Run, Outcome: NoAnswer})
	for _, s := range takeActions[Start](r) {
		t.Errorf("sent to %s with a lease up to %d ms of its clock", s.Worker, s.DeadlineMs)
	}
}

// Guards against a task that waits for its worker's lease and for late starts although no start of it was ever sent, as the
// worker's process is gone.
func TestStartThatWasNotSentIsRepeatedElsewhereAtOnce(t *testing.T) {
	r, start := newTwoWorkerRig(t)
	r.step(StartAnswered{Worker: start.Worker, Token: start.Token, Task: start.Task, Run: start.Run, Outcome: NotSent})
	r.loseWorker(start.Worker, 500*time.Millisecond)
	starts := takeActions[Start](r)
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Worker != start.Worker)
}
