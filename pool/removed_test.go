package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner that crashes, or counts the capacity of another worker, as capacity on a worker
// that has been removed is released.
func TestCapacityBookedOnARemovedWorkerIsReleased(t *testing.T) {
	r := newAdviceRig(t, "w1", "w2")
	r.submitJob("j", smallStep(8))
	r.answerAdviceAllowAll()
	assert.Equal(t, len(r.acceptStarts()), 8)
	r.advance(3 * time.Second) // the tickets expire
	var ends []EndedRun
	for n, run := range r.core.workers["w2"].sortedRuns() {
		ends = append(ends, EndedRun{Number: uint64(n + 1), Task: run.task.id(), Run: run.number, How: RunFailed})
	}
	r.answerHold("w2", nil, ends...)
	r.advance(100 * time.Millisecond)
	r.confirmSaves()
	removed := r.core.workers["w2"]
	assert.Assert(t, removed.booked != Resources{}, "nothing is booked on the worker")
	r.step(StopAnswered{Worker: "w2", Outcome: WrongIncarnation})
	assert.Assert(t, r.core.workers["w2"] == nil)
	r.advance(100 * time.Millisecond)
	r.answerAdviceAllowAll() // releases what is booked
	assert.Equal(t, removed.booked, Resources{})
}
