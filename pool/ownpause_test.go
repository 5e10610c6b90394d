package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sleep lets time pass in which the owner's process is stopped.
func (r *rig) sleep(d time.Duration) {
	r.now += d
	r.step(Tick{UnixMs: r.unixMs()})
}

// Guards against a task that is started again by an owner that was stopped for longer than its leases, although the task is
// done: the worker lists the end in its next answer.
func TestOwnerThatWasStoppedAsksBeforeItStartsTasksAgain(t *testing.T) {
	r := newRig(t, newWorkerInfo("w1"), newWorkerInfo("w2"))
	r.answerHold("w1", nil)
	r.answerHold("w2", nil)
	r.submitJob("j", smallStep(1))
	first := r.acceptStarts()
	assert.Equal(t, len(first), 1)
	busy, idle := first[0].Worker, "w1"
	if busy == "w1" {
		idle = "w2"
	}
	active := []ActiveRun{{Task: first[0].Task, Run: first[0].Run}}
	r.answerHold(busy, active)
	r.sleep(8 * time.Second)
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1"), newWorkerInfo("w2")}, AsOf: r.now})
	r.answerHold(idle, nil)
	assert.Equal(t, len(takeActions[Start](r)), 0, "started again before the worker was asked")
	r.failHolds(busy) // its timer has run out meanwhile
	r.answerHold(idle, nil)
	assert.Equal(t, len(takeActions[Start](r)), 0, "started again although the hold was sent before the stop")
	r.advance(50 * time.Millisecond)
	r.answerHold(busy, nil, EndedRun{Number: 1, Task: first[0].Task, Run: first[0].Run, How: Done})
	r.advance(time.Second)
	r.confirmSaves()
	assert.Equal(t, len(takeActions[Start](r)), 0)
	state, _ := r.core.JobState("j")
	assert.Equal(t, state, Completed)
}

// Guards against a new owner that is stopped before all workers have answered it, and that takes the others' leases for over
// without having asked again.
func TestNewOwnerThatWasStoppedAsksBeforeItStartsInheritedTasks(t *testing.T) {
	r := newCutOffTakeover(t, 0)
	r.answerHold("w2", nil)
	r.sleep(8 * time.Second)
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1"), newWorkerInfo("w2"), newWorkerInfo("w3")}, AsOf: r.now})
	r.answerHold("w2", nil)
	r.failHolds("w1")
	r.failHolds("w3")
	r.confirmSaves()
	assert.Assert(t, !r.core.takeoverComplete(), "nothing runs on the other workers, which haven't been asked")
	r.advance(firstContactRetryDelay)
	r.answerHold("w1", nil, EndedRun{Number: 1, Task: taskID("j", 0), Run: 1, How: Done})
	r.answerHold("w3", nil)
	r.advance(time.Second)
	r.confirmSaves()
	assert.Equal(t, len(takeActions[Start](r)), 0)
	state, _ := r.core.JobState("j")
	assert.Equal(t, state, Completed)
}

// Guards against an acknowledgement that reaches a worker's next incarnation and makes it forget ends that nobody has read: the
// answer of the former one was handled late, as the owner was stopped or had much to do.
func TestAnswerThatIsHandledLateAllowsNoAcknowledgement(t *testing.T) {
	for _, stopped := range []bool{true, false} {
		r, _ := newBornRig(t, 1)
		hold := r.takeHold("w1")
		received := r.now
		if stopped {
			r.sleep(2 * time.Second)
			received = r.now // it was read from the connection after the stop
		} else {
			r.advance(500 * time.Millisecond)
		}
		end := EndedRun{Number: 5, Task: taskID("j", 0), Run: 1, How: Done}
		r.step(HoldAnswered{Worker: "w1", SentAt: hold.SentAt, ReceivedAt: received, Born: 100, ClockMs: r.now.Milliseconds(), Ended: []EndedRun{end}})
		r.confirmSaves()
		r.advance(saveInterval)
		r.confirmSaves()
		assert.Equal(t, r.answerAs(100, nil, end).Ack, uint64(0), "stopped %t", stopped)
		assert.Equal(t, r.answerAs(100, nil).Ack, uint64(5), "stopped %t", stopped)
	}
}
