package pool

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// forgottenStartRig is a rig with two workers and a task of which a start on the first one had no answer, and which runs on
// the second one since.
type forgottenStartRig struct {
	*rig
	task          *task
	first, second string
}

// newForgottenStartRig lets the run of the unanswered start end in one of the ways in which it is over.
func newForgottenStartRig(t *testing.T, failed bool) *forgottenStartRig {
	w1, w2 := newWorkerInfo("w1"), newWorkerInfo("w2")
	w1.Born, w2.Born = 100, 100
	r := &forgottenStartRig{rig: newRig(t, w1, w2)}
	r.answer("w1", 100)
	r.answer("w2", 100)
	r.submitJob("j", smallStep(1))
	s := takeActions[Start](r.rig)[0]
	r.task, r.first, r.second = r.core.task(s.Task), s.Worker, "w1"
	if r.first == r.second {
		r.second = "w2"
	}
	if failed {
		r.unanswered(s)
		again := takeActions[Start](r.rig)
		assert.Equal(t, len(again), 1)
		r.step(StartAnswered{Worker: r.first, Token: s.Token, Task: s.Task, Run: s.Run})
		r.answer(r.first, 100, EndedRun{Number: 1, Task: s.Task, Run: s.Run, How: RunFailed})
	} else {
		r.unanswered(s)
		for range maxStartTries - 1 {
			r.unanswered(takeActions[Start](r.rig)[0])
		}
		stop := takeActions[Stop](r.rig)[0]
		r.step(StopAnswered{Worker: r.first, Born: 100, Token: s.Token, Task: s.Task, Run: s.Run})
		assert.Equal(t, stop.Run, s.Run)
	}
	w1.Draining, w2.Draining = r.first == "w1", r.first == "w2" // so that the task goes to the second one
	r.step(WorkersListed{Workers: []WorkerInfo{w1, w2}})
	for n := 0; r.task.run == nil || r.task.run.number == s.Run; n++ {
		assert.Assert(t, n < 20, "the task isn't started again")
		r.advance(100 * time.Millisecond)
		r.answer("w1", 100)
		r.answer("w2", 100)
		r.confirmSaves()
	}
	started := r.acceptStarts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Worker, r.second)
	return r
}

func (r *forgottenStartRig) unanswered(s Start) {
	r.step(StartAnswered{Worker: s.Worker, Token: s.Token, Task: s.Task, Run: s.Run, Outcome: NoAnswer})
}

// answer answers the pending hold of a worker, if there is one, with the task's run if it is there.
func (r *forgottenStartRig) answer(id string, born int64, ended ...EndedRun) {
	r.t.Helper()
	at := slices.IndexFunc(r.actions, func(a Action) bool { h, ok := a.(Hold); return ok && h.Worker == id })
	if at < 0 {
		return
	}
	h := r.takeHold(id)
	a := HoldAnswered{Worker: id, Token: h.Token, SentAt: h.SentAt, Born: born, ClockMs: r.now.Milliseconds(), Ended: ended}
	if r.task != nil && r.task.run != nil && r.task.run.worker.ID == id && r.task.run.phase == running && len(ended) == 0 {
		a.Active = []ActiveRun{{Task: r.task.id(), Run: r.task.run.number}}
	}
	r.step(a)
}

// Guards against a task that runs twice: an earlier start of it without an answer reaches its worker once that has
// started again, before the owner does, while the task runs elsewhere.
func TestRunElsewhereStopsWhenALateStartMayReachANewIncarnation(t *testing.T) {
	for name, failed := range map[string]bool{"the first run has failed": true, "the stop of the first run was confirmed": false} {
		t.Run(name, func(t *testing.T) {
			r := newForgottenStartRig(t, failed)
			run := r.task.run
			r.advance(300 * time.Millisecond)
			r.answer(r.first, 100)
			r.answer(r.second, 100)
			assert.Assert(t, !run.stopping, "the worker answers, and refuses the start")
			for range 20 {
				r.failHolds(r.first)
				r.answer(r.second, 100)
				r.advance(50 * time.Millisecond)
			}
			assert.Assert(t, run.stopping)
			stop := takeActions[Stop](r.rig)[0]
			assert.Equal(t, stop.Worker, r.second)
			r.step(StopAnswered{Worker: r.second, Born: 100, Token: stop.Token, Task: stop.Task, Run: stop.Run})
			r.takeHold(r.second)
			r.step(HoldAnswered{Worker: r.second, SentAt: r.now, Born: 100, ClockMs: r.now.Milliseconds(), Ended: []EndedRun{{Number: 1, Task: stop.Task, Run: stop.Run, How: Stopped}}})
			for range 20 {
				r.failHolds(r.first)
				r.answer(r.second, 100)
				r.advance(50 * time.Millisecond)
				r.confirmSaves()
				assert.Equal(t, len(takeActions[Start](r.rig)), 0, "the start may reach the next incarnation")
			}
			// Its first answer was sent under the former token.
			r.answer(r.first, 200)
			r.advance(50 * time.Millisecond)
			assert.Equal(t, len(takeActions[Start](r.rig)), 0, "it may reach the next incarnation before the new token does")
			for range 10 {
				r.answer(r.first, 200)
				r.answer(r.second, 100)
				r.advance(50 * time.Millisecond)
				r.confirmSaves()
			}
			assert.Equal(t, len(takeActions[Start](r.rig)), 1)
		})
	}
}

// Guards against tasks that are held back for longer than a start may be late.
func TestTaskWaitsNoLongerThanALateStartMayTake(t *testing.T) {
	r := newForgottenStartRig(t, false)
	r.advance(300 * time.Millisecond)
	started := r.now
	for len(takeActions[Start](r.rig)) == 0 {
		assert.Assert(t, r.now-started < lateCallPeriod+2*time.Second)
		r.failHolds(r.first)
		if r.task.run != nil && r.task.run.stopping {
			h := r.takeHold(r.second)
			r.step(HoldAnswered{Worker: r.second, SentAt: h.SentAt, Born: 100, ClockMs: r.now.Milliseconds(), Ended: []EndedRun{{Number: 1, Task: r.task.id(), Run: r.task.run.number, How: Stopped}}})
		} else {
			r.answer(r.second, 100)
		}
		r.advance(50 * time.Millisecond)
		r.confirmSaves()
	}
	assert.Assert(t, r.now-started > lateCallPeriod-2*time.Second, "%v", r.now-started)
}
