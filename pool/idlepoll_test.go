package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newRigWithConnections returns a rig of idle workers w0, w1 and so on whose owner may have the given
// number of connections to workers open.
func newRigWithConnections(t *testing.T, conns, workers int) *rig {
	r := newRig(t)
	r.core.settings.MaxWorkerConns = conns
	var list []WorkerInfo
	for n := range workers {
		list = append(list, newWorkerInfo(fmt.Sprint("w", n)))
	}
	r.step(WorkersListed{Workers: list})
	for n := range workers {
		r.answerHold(fmt.Sprint("w", n), nil)
	}
	return r
}

// Resource exhaustion: a hold that waits occupies a connection of each worker of a large pool, and starts
// found none. Holds of idle workers return at once while there are fewer than two connections a worker.
func TestHoldsOfIdleWorkersDoNotWaitWhileConnectionsAreScarce(t *testing.T) {
	for _, c := range []struct {
		name    string
		conns   int
		waiting bool
	}{
		{"no limit", 0, true},
		{"two a worker", 8, true},
		{"fewer than two a worker", 7, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRigWithConnections(t, c.conns, 4)
			r.advance(idlePollInterval)
			holds := takeActions[Hold](r)
			assert.Equal(t, len(holds), 4)
			for _, h := range holds {
				assert.Equal(t, h.Wait > 0, c.waiting, "hold of %s waits for %v", h.Worker, h.Wait)
			}
		})
	}
}

// Guards against ends that are seen late, since the worker was polled as an idle one just before its start.
func TestWorkerIsHeldFromItsFirstStartOn(t *testing.T) {
	r := newRigWithConnections(t, 7, 4)
	r.advance(idlePollInterval)
	for n := range 4 {
		r.answerHold(fmt.Sprint("w", n), nil) // the next poll is due in a second
	}
	r.submitJob("j", smallStep(1))
	starts := r.acceptStarts()
	assert.Equal(t, len(starts), 1)
	r.advance(50 * time.Millisecond)
	holds := takeActions[Hold](r)
	assert.Equal(t, len(holds), 1)
	assert.Equal(t, holds[0].Worker, starts[0].Worker)
	assert.Equal(t, holds[0].Wait, holdWait)
}
