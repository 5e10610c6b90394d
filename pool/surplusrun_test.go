package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a task that is started while a second run of it, which an earlier owner's late start has begun, is
// still being stopped: the first one was lost or has failed meanwhile.
func TestTaskWaitsUntilASecondRunHasStopped(t *testing.T) {
	r := newRig(t, newWorkerInfo("w1"), newWorkerInfo("w2"))
	r.answerHold("w1", nil)
	r.answerHold("w2", nil)
	r.submitJob("j", smallStep(1))
	starts := r.acceptStarts()
	assert.Equal(t, len(starts), 1)
	first, second := "w1", "w2"
	if starts[0].Worker == second {
		first, second = second, first
	}
	r.advance(500 * time.Millisecond)
	late := ActiveRun{Task: starts[0].Task, Run: 2001}
	r.answerHold(second, []ActiveRun{late})
	stops := takeActions[Stop](r)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, late.Run)
	r.answerHold(first, nil, EndedRun{Number: 1, Task: starts[0].Task, Run: starts[0].Run, How: RunFailed})
	for range 4 {
		r.advance(100 * time.Millisecond)
		r.confirmSaves()
		assert.Equal(t, len(takeActions[Start](r)), 0, "the second run is still active")
	}
	r.answerHold(second, nil, EndedRun{Number: 1, Task: late.Task, Run: late.Run, How: Stopped})
	r.advance(100 * time.Millisecond)
	assert.Equal(t, len(r.acceptStarts()), 1)
}

// Guards against a planned run that is started although a worker turns out to run the task already: an earlier owner's
// late start has begun there.
func TestPlannedRunGivesWayToAnActiveOne(t *testing.T) {
	r := newRig(t, newWorkerInfo("w1"), newWorkerInfo("w2"))
	r.answerHold("w1", nil)
	r.answerHold("w2", nil)
	r.submitJob("j", smallStep(1))
	starts := r.acceptStarts()
	assert.Equal(t, len(starts), 1)
	crashed, other := starts[0].Worker, "w1"
	if crashed == other {
		other = "w2"
	}
	r.storeAway = true
	r.step(HoldAnswered{Worker: crashed, Outcome: WrongIncarnation}) // the next run is planned
	task := r.core.task(starts[0].Task)
	r.advance(100 * time.Millisecond)
	assert.Assert(t, task.run != nil && task.run.phase == planned)
	late := ActiveRun{Task: starts[0].Task, Run: 2001}
	r.answerHold(other, []ActiveRun{late})
	r.storeAway = false
	r.advance(100 * time.Millisecond)
	r.confirmSaves()
	assert.Equal(t, len(takeActions[Start](r)), 0, "the task is active already")
	assert.Assert(t, task.run != nil && task.run.number == late.Run && !task.run.stopping)
}
