package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// finishWithLateStart runs the task of job j to its end on w1, and returns the first start, which got no
// answer and may be carried out at any time.
func finishWithLateStart(r *rig) Start {
	late := takeActions[Start](r)[0]
	r.step(StartAnswered{Worker: "w1", Token: late.Token, Task: late.Task, Run: late.Run, Outcome: NoAnswer})
	r.acceptStarts()
	r.answerAs(100, nil, EndedRun{Number: 1, Task: late.Task, Run: late.Run, How: Done})
	r.advance(saveInterval)
	r.confirmSaves()
	r.answerAs(100, nil)
	r.advance(time.Second)
	assert.Equal(r.t, r.core.jobs["j"].state, Completed)
	return late
}

func newLateStartRig(t *testing.T) *rig {
	r := newRig(t, bornWorker(100))
	r.answerAs(100, nil)
	r.submitJob("j", smallStep(1))
	return r
}

// Guards against a start without an answer that is carried out after its task is done, by a worker that has
// started again under its ID.
func TestLateStartIsFencedAtTheNextIncarnation(t *testing.T) {
	for name, restart := range map[string]func(*rig){
		"it answers first": func(r *rig) { r.answerAs(200, nil) },
		"it is listed first": func(r *rig) {
			r.failHolds("w1")
			r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(200)}})
			r.failHolds("w1")
			r.advance(firstContactRetryDelay)
		},
		"it was removed": func(r *rig) {
			r.failHolds("w1")
			r.step(WorkersListed{})
			r.advance(10 * time.Second)
			r.failHolds("w1")
			r.advance(time.Second)
			assert.Assert(r.t, r.core.workers["w1"] == nil)
			takeActions[Hold](r)
			r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(200)}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newLateStartRig(t)
			late := finishWithLateStart(r)
			restart(r)
			next := takeActions[Hold](r)
			assert.Equal(t, len(next), 1, "a hold is sent at once")
			assert.Assert(t, next[0].Token > late.Token)
		})
	}
}

// Guards against a worker that starts again while connections are scarce, and is called only when the next
// poll of an idle worker is due.
func TestIdlyPolledWorkerIsFencedAtOnce(t *testing.T) {
	r := newLateStartRig(t)
	r.core.settings.MaxWorkerConns = 1
	late := finishWithLateStart(r)
	h := takeActions[Hold](r)[0]
	assert.Equal(t, h.Wait, time.Duration(0))
	r.step(HoldAnswered{Worker: "w1", Token: h.Token, SentAt: h.SentAt, Born: 200, ClockMs: r.now.Milliseconds()})
	assert.Assert(t, takeActions[Hold](r)[0].Token > late.Token)
}

// Guards against calls to a new incarnation, other than holds, that don't fence those to its former one.
func TestAllCallsCarryTheRaisedToken(t *testing.T) {
	r, _ := newBornRig(t, 1)
	r.restart(200)
	starts := takeActions[Start](r)
	assert.Equal(t, len(starts), 1)
	for range maxStartTries {
		r.step(StartAnswered{Worker: "w1", Token: starts[0].Token, Task: starts[0].Task, Run: starts[0].Run, Outcome: NoAnswer})
	}
	stops := takeActions[Stop](r)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, starts[0].Token, uint64(rigToken+1))
	assert.Equal(t, stops[0].Token, uint64(rigToken+1))
}

// Guards against an owner that gives its pool up since a call of its own has overtaken an earlier one.
func TestCallOvertakenByAHigherTokenDeposesNobody(t *testing.T) {
	for name, answer := range map[string]func(token uint64, task TaskID) Event{
		"hold": func(token uint64, _ TaskID) Event { return HoldAnswered{Worker: "w1", Token: token, Outcome: Fenced} },
		"start": func(token uint64, id TaskID) Event {
			return StartAnswered{Worker: "w1", Token: token, Task: id, Run: 9, Outcome: Fenced}
		},
		"stop": func(token uint64, id TaskID) Event {
			return StopAnswered{Worker: "w1", Token: token, Task: id, Run: 9, Outcome: Fenced}
		},
	} {
		for token, deposed := range map[uint64]bool{rigToken: false, rigToken + 1: true} {
			r, _ := newBornRig(t, 1)
			r.restart(200)
			r.step(answer(token, taskID("j", 0)))
			assert.Equal(t, r.core.IsDeposed(), deposed, "%s with token %d", name, token)
		}
	}
}

// Guards against a task that isn't started again after its start was refused, as it had been sent to the
// worker's former incarnation.
func TestStartRefusedByANewIncarnationIsRepeated(t *testing.T) {
	r := newLateStartRig(t)
	sent := takeActions[Start](r)
	assert.Equal(t, len(sent), 1)
	r.restart(200)
	r.step(StartAnswered{Worker: "w1", Token: sent[0].Token, Task: sent[0].Task, Run: sent[0].Run, Outcome: Fenced})
	r.advance(saveInterval)
	again := takeActions[Start](r)
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Token > sent[0].Token)
}

// Guards against a worker that is removed and comes back without having started again, and refuses the
// owner's calls since they have a lower token than before.
func TestTokenOfARemovedWorkerIsKept(t *testing.T) {
	r, _ := newBornRig(t, 0)
	r.restart(200)
	r.step(WorkersListed{})
	r.advance(5 * time.Minute)
	takeActions[Hold](r)
	r.advance(time.Second)
	assert.Assert(t, r.core.workers["w1"] == nil)
	r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(200)}})
	assert.Equal(t, r.answerAs(200, nil).Token, uint64(rigToken+1))
}

// Guards against records of removed workers that grow with the number of all workers that there ever were.
func TestTokensOfRemovedWorkersAreForgotten(t *testing.T) {
	r := newRig(t)
	for n := range 20 {
		w := bornWorker(int64(100 + n))
		w.ID = "gone" + string(rune('a'+n))
		r.step(WorkersListed{Workers: []WorkerInfo{w}})
		r.step(HoldAnswered{Worker: w.ID, Born: w.Born, ClockMs: 1})
		r.step(WorkersListed{})
		r.advance(20 * time.Second)
		r.failHolds(w.ID)
	}
	assert.Assert(t, len(r.core.formerFencing) <= 4, "%d", len(r.core.formerFencing))
}

// Guards against a token that the next owner's calls may be lower than.
func TestOwnerWithoutFurtherTokensGivesThePoolUp(t *testing.T) {
	r, _ := newBornRig(t, 0)
	for n := range rigTokens - 1 {
		assert.Assert(t, !r.core.IsDeposed())
		r.restart(int64(200 + n))
	}
	assert.Assert(t, !r.core.IsDeposed())
	assert.Equal(t, r.core.token(r.core.workers["w1"]), uint64(rigToken+rigTokens-1))
	r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(300)}})
	assert.Assert(t, r.core.IsDeposed())
	assert.Equal(t, len(takeActions[Deposed](r)), 1)
}

// Guards against an owner that learns only a second later what a worker runs that has started again: a late start may
// have reached it before the raised token did, and the task was started elsewhere meanwhile.
func TestFirstHoldWithARaisedTokenDoesNotWait(t *testing.T) {
	r, _ := newBornRig(t, 1)
	answer := func(born int64) Hold {
		h := r.takeHold("w1")
		r.step(HoldAnswered{Worker: "w1", Token: h.Token, SentAt: h.SentAt, Born: born, ClockMs: r.now.Milliseconds()})
		return h
	}
	before := answer(100)
	assert.Equal(t, answer(200).Token, before.Token)
	raised := answer(200)
	assert.Assert(t, raised.Token > before.Token)
	assert.Equal(t, raised.Wait, time.Duration(0))
	assert.Equal(t, answer(200).Wait, holdWait)
}
