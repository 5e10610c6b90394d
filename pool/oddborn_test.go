package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a worker that gets no tasks any more, and whose ends are never acknowledged, since an entry of
// the list of workers named an incarnation that there has never been.
func TestWorkerIsUsedAgainAfterAnEntryWithAWrongIncarnation(t *testing.T) {
	r, starts := newBornRig(t, 1)
	assert.Equal(t, len(starts), 1)
	r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(1 << 50)}})
	r.advance(50 * time.Millisecond)
	for range 2 { // the first hold was sent before
		r.answerAs(100, nil, EndedRun{Number: 1, Task: taskID("j", 0), Run: 1, How: Done})
		r.confirmSaves()
		r.advance(unsavedHoldDelay)
		r.confirmSaves()
	}
	r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(100)}})
	r.advance(50 * time.Millisecond)
	r.answerAs(100, nil)
	r.submitJob("k", smallStep(1))
	assert.Equal(t, len(r.acceptStarts()), 1, "the worker gets no tasks")
	hold := r.answerAs(100, nil)
	assert.Equal(t, hold.Ack, uint64(1), "its ends aren't acknowledged")
}

// Guards against a late start that the worker's next incarnation carries out, since an entry of the list of workers
// named a wrong incarnation before and the calls to the next one carry no higher token.
func TestNextIncarnationGetsAHigherTokenAfterAWrongEntry(t *testing.T) {
	r, starts := newBornRig(t, 1)
	r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(1 << 50)}})
	active := []ActiveRun{{Task: starts[0].Task, Run: starts[0].Run}}
	for range 2 {
		r.advance(50 * time.Millisecond)
		r.answerAs(100, active)
	}
	r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(100)}})
	r.advance(50 * time.Millisecond)
	before := r.answerAs(100, active).Token
	r.restart(200)
	r.advance(50 * time.Millisecond)
	assert.Assert(t, r.answerAs(200, nil).Token > before)
}
