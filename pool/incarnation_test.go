package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// bornRig is a rig with one worker of a known incarnation that runs the tasks of job j.
func newBornRig(t *testing.T, tasks int) (*rig, []Start) {
	r := newRig(t, bornWorker(100))
	r.answerAs(100, nil)
	r.submitJob("j", smallStep(tasks))
	return r, r.acceptStarts()
}

func bornWorker(born int64) WorkerInfo {
	w := newWorkerInfo("w1")
	w.Born = born
	return w
}

// answerAs answers the pending hold of w1 as one of its incarnations, and returns the hold.
func (r *rig) answerAs(born int64, active []ActiveRun, ended ...EndedRun) Hold {
	r.t.Helper()
	holds := takeActions[Hold](r)
	assert.Equal(r.t, len(holds), 1)
	r.step(HoldAnswered{Worker: "w1", SentAt: holds[0].SentAt, Born: born, ClockMs: r.now.Milliseconds(), Active: active, Ended: ended})
	return holds[0]
}

// restart makes w1 start again: its hold fails, and a second later it answers as another incarnation.
func (r *rig) restart(born int64) {
	r.t.Helper()
	r.advance(time.Second)
	r.failHolds("w1")
	r.advance(time.Second)
	r.answerAs(born, nil)
	r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(born)}})
	r.confirmSaves()
	r.advance(saveInterval)
	r.confirmSaves() // a suspect's planned run
}

// Guards against ends of a new incarnation that are skipped, and acknowledged unread, because an
// earlier one had counted as far.
func TestEndsOfANewIncarnationCount(t *testing.T) {
	r, starts := newBornRig(t, 2)
	assert.Equal(t, len(starts), 2)
	r.answerAs(100, nil, EndedRun{Number: 1, Task: taskID("j", 0), Run: 1, How: RunFailed}, EndedRun{Number: 2, Task: taskID("j", 1), Run: 1, How: RunFailed})
	r.confirmSaves()
	r.restart(200)
	starts = r.acceptStarts()
	assert.Equal(t, len(starts), 2)
	r.advance(500 * time.Millisecond)
	hold := r.answerAs(200, nil, EndedRun{Number: 1, Task: taskID("j", 0), Run: starts[0].Run, How: Done}, EndedRun{Number: 2, Task: taskID("j", 1), Run: starts[1].Run, How: Done})
	assert.Equal(t, hold.Ack, uint64(0))
	assert.Equal(t, r.core.jobs["j"].state, Completed)
	r.confirmSaves()
	r.advance(time.Second)
	assert.Equal(t, r.answerAs(200, nil).Ack, uint64(2))
}

// Guards against an acknowledgement that reaches a new incarnation before it is known, and makes it
// forget ends that nobody has read.
func TestNoAcknowledgementAfterSilence(t *testing.T) {
	r, _ := newBornRig(t, 1)
	r.answerAs(100, nil, EndedRun{Number: 5, Task: taskID("j", 0), Run: 1, How: Done})
	r.advance(saveInterval)
	r.confirmSaves()
	r.advance(time.Second)
	r.failHolds("w1")
	r.advance(time.Second)
	assert.Equal(t, r.answerAs(100, nil).Ack, uint64(0))
	r.advance(time.Second)
	assert.Equal(t, r.answerAs(100, nil).Ack, uint64(5))
}

// Guards against an acknowledgement that reaches a new incarnation, and makes it forget ends that nobody
// has read: the worker wasn't asked while it wasn't listed, or the list names the new incarnation.
func TestNoAcknowledgementToAWorkerThatMayHaveRestarted(t *testing.T) {
	for _, unlisted := range []bool{true, false} {
		r, _ := newBornRig(t, 1)
		r.answerAs(100, nil, EndedRun{Number: 5, Task: taskID("j", 0), Run: 1, How: Done})
		r.advance(saveInterval)
		if unlisted {
			r.step(WorkersListed{}) // the end is stored by now
			r.advance(3 * time.Second)
			assert.Equal(t, len(takeActions[Hold](r)), 0)
			r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(0)}})
			r.advance(50 * time.Millisecond)
		} else {
			r.confirmSaves()
			r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(200)}})
			assert.Equal(t, r.answerAs(100, nil).Ack, uint64(5)) // on its way already
		}
		assert.Equal(t, r.answerAs(200, nil).Ack, uint64(0), "unlisted %t", unlisted)
	}
}

// Guards against a worker whose first list of runs names no incarnation, without a finding, although
// the list of workers names one: it would never get a task.
func TestFirstHoldExpectsTheListedIncarnation(t *testing.T) {
	r := newRig(t, bornWorker(100))
	assert.Equal(t, r.answerAs(100, nil).Born, int64(100))
}

// Guards against runs of an earlier incarnation that are taken for alive, and against a task that
// waits for their lease.
func TestRunsEndWithTheirIncarnation(t *testing.T) {
	r, _ := newBornRig(t, 1)
	r.restart(200)
	starts := r.acceptStarts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Run, 2)
	assert.DeepEqual(t, r.core.task(taskID("j", 0)).crashes, []Crash{{Worker: "w1", Born: 100, Run: 1, Early: true}})
}

// Guards against an answer or a list entry of an earlier incarnation that arrives late.
func TestLateNewsOfAFormerIncarnationIsIgnored(t *testing.T) {
	r, _ := newBornRig(t, 1)
	r.restart(200)
	starts := r.acceptStarts()
	small := bornWorker(100)
	small.Capacity.CPU = 1
	r.step(WorkersListed{Workers: []WorkerInfo{small}})
	assert.Equal(t, r.core.workers["w1"].Capacity.CPU, 4000)
	r.step(HoldAnswered{Worker: "w1", SentAt: r.now, Born: 100, Ended: []EndedRun{{Number: 1, Task: taskID("j", 0), Run: starts[0].Run, How: Done}}})
	assert.Assert(t, !r.core.task(taskID("j", 0)).done)
}

// Guards against a start that relies on the capacity of the worker's earlier incarnation.
func TestNoStartBeforeTheNewIncarnationIsListed(t *testing.T) {
	r, _ := newBornRig(t, 1)
	r.advance(time.Second)
	r.failHolds("w1")
	r.advance(time.Second)
	r.answerAs(200, nil)
	for range 2 {
		r.confirmSaves()
		r.advance(saveInterval)
	}
	assert.Equal(t, len(r.acceptStarts()), 0)
	r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(200)}})
	r.advance(saveInterval)
	r.confirmSaves() // the suspect's planned run
	assert.Equal(t, len(r.acceptStarts()), 1)
}

// Guards against a task that runs twice because the stop of its unanswered start was confirmed by an
// incarnation that has ended since.
func TestStopOfAFormerIncarnationConfirmsNothing(t *testing.T) {
	r := newRig(t, bornWorker(100))
	r.answerAs(100, nil)
	r.submitJob("j", smallStep(1))
	for range maxStartTries {
		s := takeActions[Start](r)[0]
		r.step(StartAnswered{Worker: "w1", Task: s.Task, Run: s.Run, Outcome: NoAnswer})
	}
	unanswered := r.now
	former := takeActions[Stop](r)
	assert.Equal(t, len(former), 1)
	r.restart(200)
	r.step(StopAnswered{Worker: "w1", Born: former[0].Born, Task: former[0].Task, Run: former[0].Run})
	assert.Equal(t, len(r.acceptStarts()), 0)
	again := takeActions[Stop](r)
	newest := again[len(again)-1]
	assert.Equal(t, newest.Born, int64(200))
	r.step(StopAnswered{Worker: "w1", Born: 200, Task: newest.Task, Run: newest.Run})
	started := 0
	for range 30 { // only a hold that is sent after the stop counts, and the start may still reach a further incarnation
		r.advance(500 * time.Millisecond)
		r.answerAs(200, nil)
		r.confirmSaves()
		started += len(r.acceptStarts())
		if started > 0 {
			assert.Assert(t, r.now >= unanswered+lateCallPeriod)
			break
		}
	}
	assert.Equal(t, started, 1)
}

// Guards against a restart that a successor doesn't notice, as only its predecessor knew the earlier
// incarnation. Records of older builds name none.
func TestSuccessorNoticesARestart(t *testing.T) {
	for tracked, crashes := range map[int64]int{100: 1, 200: 0, 0: 0} {
		r := newRig(t)
		r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
		r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s", Born: tracked}}})
		r.step(SilenceStored{Worker: "w1", Tasks: []SilentTask{{TaskID: taskID("j", 0)}}})
		r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(200)}})
		r.answerAs(200, nil)
		r.confirmSaves()
		assert.Equal(t, len(r.core.task(taskID("j", 0)).crashes), crashes, "tracked %d", tracked)
		r.advance(100 * time.Millisecond)
		r.confirmSaves()
		assert.Equal(t, len(r.acceptStarts()), 1, "tracked %d", tracked)
	}
}

// Guards against an acknowledgement that reaches a worker which has started again between two holds, and
// makes it forget its first ends: the hold came late, as the ends had to be stored first.
func TestLateHoldCarriesNoAcknowledgement(t *testing.T) {
	for _, test := range []struct {
		pause time.Duration // between the worker's answer and the next hold
		ack   uint64
	}{{50 * time.Millisecond, 5}, {100 * time.Millisecond, 5}, {150 * time.Millisecond, 0}, {250 * time.Millisecond, 0}, {time.Second, 0}} {
		r, _ := newBornRig(t, 1)
		for range 2 {
			r.advance(saveInterval)
			r.confirmSaves()
		}
		r.answerAs(100, nil, EndedRun{Number: 5, Task: taskID("j", 0), Run: 1, How: Done})
		saves := takeActions[Save](r)
		assert.Equal(t, len(saves), 1)
		r.now += test.pause
		r.step(Saved{Seq: saves[0].Seq})
		assert.Equal(t, r.answerAs(100, nil).Ack, test.ack, "%v", test.pause)
		assert.Equal(t, r.answerAs(100, nil).Ack, uint64(5), "%v, the next hold", test.pause)
	}
}
