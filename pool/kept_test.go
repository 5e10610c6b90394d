package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A job ends while the store takes nothing, for longer than two minutes. Until the end is stored
// its caller is shown that it runs. When the store is back, the end is stored, and the next
// save drops it at once, as the two minutes are over: the caller is told that there is no such
// job, and never hears how it ended. Its two minutes begin when the end can be shown.
func TestEndThatWasStoredLateIsKeptForTwoMinutes(t *testing.T) {
	r := newRig(t, box("w1"))
	r.save()
	r.hold("w1", nil)
	r.submit("j", small(1))
	assert.Equal(t, len(r.starts()), 1)
	r.save()
	r.hold("w1", nil, EndedRun{Number: 1, Task: taskOf("j", 0), Run: 1, How: Done})
	r.pass(2*time.Minute + 10*time.Second) // no save is confirmed
	_, known := r.core.JobState("j")
	assert.Check(t, known, "while the store takes nothing")
	r.save()
	for range 110 {
		r.pass(time.Second)
		r.save()
		state, known := r.core.JobState("j")
		assert.Assert(t, known)
		assert.Equal(t, state, Completed)
	}
	r.pass(15 * time.Second)
	_, known = r.core.JobState("j")
	assert.Assert(t, !known, "it is kept for good")
}
