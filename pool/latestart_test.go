package pool

import (
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
