package pool

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// loggedEvents returns the pending log entries with the given event.
func (r *rig) loggedEvents(event string) []LogEntry {
	return slices.DeleteFunc(takeActions[LogEntry](r), func(e LogEntry) bool { return e.Event != event })
}

// Guards against a log that can't tell a start that was carried out late from one that was sent twice.
func TestStartWithoutAnAnswerIsLoggedWithItsIncarnation(t *testing.T) {
	r, start := newTwoWorkerRig(t)
	r.step(StartAnswered{Worker: start.Worker, Token: start.Token, Task: start.Task, Run: start.Run, Outcome: NoAnswer})
	logged := r.loggedEvents("start.unanswered")
	assert.Equal(t, len(logged), 1)
	assert.Equal(t, logged[0].Incarnation, int64(100))
	assert.Equal(t, logged[0].Run, start.Run)
}

// Guards against a log line for each call that another worker answers at a wrong address.
func TestMisdirectedCallsAreLoggedOnceAMinute(t *testing.T) {
	r, _ := newBornRig(t, 1)
	wrong := bornWorker(100)
	wrong.Addr = "other:1"
	r.answerCalls("w1", "w1:1", nil)
	r.step(WorkersListed{Workers: []WorkerInfo{wrong}})
	for range 100 {
		r.advance(200 * time.Millisecond)
		r.answerCalls("w1", "w1:1", nil)
	}
	assert.Equal(t, len(r.loggedEvents("worker.misdirected")), 1)
}
