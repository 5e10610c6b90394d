package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A worker that this owner has never reached starts again, after a successor which only its electors don't know has reached it.
// Guards against an owner that starts tasks on the new incarnation, which refuses nobody, while its successor has counted the
// worker as one that refuses predecessors, and starts them elsewhere.
func TestFirstAnswerOfALaterIncarnationGetsNoTasksBeforeTheStoreConfirmsTheOwner(t *testing.T) {
	w1, w2 := newWorkerInfo("w1"), newWorkerInfo("w2")
	w1.Born, w2.Born = 100, 100
	r := newRig(t, w1, w2)
	r.core.settings.NeedsConfirmation = true
	r.core.Confirm(r.now, r.now)
	r.step(HoldAnswered{Worker: "w1", Born: 100, SentAt: r.now, ClockMs: r.now.Milliseconds()})
	r.advanceConfirmed(2*time.Second, "w2")
	w2.Born = 200
	r.step(WorkersListed{Workers: []WorkerInfo{w1, w2}, AsOf: r.now})
	r.core.Confirm(r.now, 0)
	r.step(HoldAnswered{Worker: "w2", Born: 200, SentAt: r.now, ClockMs: r.now.Milliseconds()})
	w := r.core.workers["w2"]
	assert.Assert(t, w.fenced && w.incarnation == 200 && r.core.IsConfirmed())
	assert.Assert(t, !r.core.acceptsTasks(w), "it gets tasks")
	r.core.Confirm(r.now, r.now)
	assert.Assert(t, r.core.acceptsTasks(w))
}
