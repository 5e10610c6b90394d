package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A caller's lasting task is on a worker that dies without a word. The owner
// keeps asking the worker, and none of its questions is answered. Once the lease
// that the worker last got is over, the task has to run elsewhere: questions
// that renewed the lease each time would put that moment off for good.
func TestTasksOfADeadWorkerRunElsewhere(t *testing.T) {
	r := newRig(t, box("w1"), box("w2"))
	r.hold("w1", nil)
	r.hold("w2", nil)
	r.submit("j", small(1))
	first := r.starts()
	assert.Equal(t, len(first), 1)
	dead, other := first[0].Worker, "w2"
	if dead == "w2" {
		other = "w1"
	}
	var again []Start
	for waited := time.Duration(0); waited < 12*time.Second && len(again) == 0; waited += 100 * time.Millisecond {
		r.silence(dead)
		r.hold(other, nil)
		r.pass(100 * time.Millisecond)
		if again = r.starts(); len(again) > 0 {
			assert.Assert(t, waited > 5*time.Second, "after %v the task may still run on the dead worker", waited)
		}
	}
	assert.Equal(t, len(again), 1, "the task never ran again")
	assert.Equal(t, again[0].Worker, other)
	assert.Equal(t, again[0].Run, 2)
}
