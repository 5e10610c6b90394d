package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/infra"
)

// polled is a shard of one worker that runs one task, with a poll under way.
func polled(t *testing.T) (*rig, SyncOrder) {
	r := newRig(machine("w", 4000, 4000, 0))
	r.s.cfg = simConfig()
	assert.Assert(t, r.place(work("a", 1000, 1000, 0)).OK)
	r.pass(time.Second)
	r.now += time.Second
	orders, _ := r.s.Step(r.now)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Request.WaitMillis, int64(1000))
	return r, orders[0]
}

// The answer that tells of a task's end is lost on its way. The next request must
// ask for it again, or the home would wait for that end for good.
func TestLostAnswerOfAPollIsAskedForAgain(t *testing.T) {
	r, order := polled(t)
	task := r.workers["w"].tasks[sortedIDs(r.workers["w"].tasks)[0]]
	r.workers["w"].end(task, infra.TaskDone)
	lost := r.obey(r.workers["w"], order.Request, r.now)
	assert.Equal(t, len(lost.Tasks), 1)
	r.told = nil
	r.pass(5 * time.Second)
	assert.Assert(t, len(r.told) > 0)
	assert.Equal(t, r.told[0].State, AttemptDone)
}

// A task is placed while the worker holds back the answer to a poll. Its start
// goes out at once; waiting for the poll would cost the task the poll's time.
func TestStartGoesPastAPoll(t *testing.T) {
	r, poll := polled(t)
	assert.Assert(t, r.place(work("b", 1000, 1000, 0)).OK)
	orders, _ := r.s.Step(r.now)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, len(orders[0].Request.Starts), 1)
	// The poll's answer comes late and tells of a time before the start.
	r.hear(r.s.Synced(r.now, "w", poll.Request, r.tell(r.workers["w"], poll.Request, ""), nil))
	assert.Equal(t, r.s.Digest().Free.MilliCPU, int64(2000))
}

// The connection under a poll has gone silent. The shard sends a new request as
// soon as the poll's time and the timeout are over, well within the lease.
func TestSilentPollIsReplaced(t *testing.T) {
	r, _ := polled(t)
	limit := r.now + r.s.cfg.PollWait + r.s.cfg.SyncTimeout
	for r.now < limit-100*time.Millisecond {
		r.now += 50 * time.Millisecond
		orders, _ := r.s.Step(r.now)
		assert.Equal(t, len(orders), 0)
	}
	r.now = limit
	orders, _ := r.s.Step(r.now)
	assert.Equal(t, len(orders), 1)
}

// A worker lists only changes although all tasks were asked for. Taken for the
// whole truth, the report would hide a task that runs and free its room.
func TestPartialReportIsNotTakenForAWhole(t *testing.T) {
	r, _ := polled(t)
	w := r.s.workers["w"]
	w.fullAt = r.now - r.s.cfg.FullEvery
	w.inflight = false
	r.now += r.s.cfg.SyncEvery
	orders, _ := r.s.Step(r.now)
	assert.Equal(t, orders[0].Request.Known, uint64(0))
	heardAt := w.heardAt
	r.hear(r.s.Synced(r.now, "w", orders[0].Request, infra.SyncReply{Token: 10, Boot: 1, Reading: 1, Partial: true}, nil))
	assert.Equal(t, w.heardAt, heardAt)
}
