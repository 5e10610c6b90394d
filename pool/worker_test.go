package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A worker with a task dies without notice, and none of the holds that the owner keeps sending
// is answered. The task has to run elsewhere once the last lease of the worker has expired.
// Guards against unanswered holds that extend the lease, which would postpone that forever.
func TestTasksOfADeadWorkerRunElsewhere(t *testing.T) {
	r := newRig(t, newWorkerInfo("w1"), newWorkerInfo("w2"))
	r.answerHold("w1", nil)
	r.answerHold("w2", nil)
	r.submitJob("j", smallStep(1))
	first := r.acceptStarts()
	assert.Equal(t, len(first), 1)
	dead, other := first[0].Worker, "w2"
	if dead == "w2" {
		other = "w1"
	}
	var again []Start
	for waited := time.Duration(0); waited < 12*time.Second && len(again) == 0; waited += 100 * time.Millisecond {
		r.failHolds(dead)
		r.answerHold(other, nil)
		r.advance(100 * time.Millisecond)
		if again = r.acceptStarts(); len(again) > 0 {
			assert.Assert(t, waited > 5*time.Second, "after %v the task may still run on the dead worker", waited)
		}
	}
	assert.Equal(t, len(again), 1, "the task never ran again")
	assert.Equal(t, again[0].Worker, other)
	assert.Equal(t, again[0].Run, 2)
}

// Two jobs fail on one worker, one after the other, and nowhere else. Guards against starting
// the task of a third job there soon afterwards: each run there uses up one of the few attempts
// of a job, and after the last one the job fails.
func TestWorkerThatFailsSeveralJobsIsAvoided(t *testing.T) {
	r := newRig(t, newWorkerInfo("bad"), newWorkerInfo("good"))
	r.confirmSaves()
	r.answerHold("bad", nil)
	r.answerHold("good", nil)
	r.core.workers["good"].pausedUntil = r.now + time.Hour // so that both jobs go to the bad worker
	r.core.workersChanged()
	var ended []EndedRun
	for n, id := range []string{"j1", "j2"} {
		r.submitJob(id, smallStep(1))
		assert.Equal(t, len(r.acceptStarts()), 1)
		ended = append(ended, EndedRun{Number: uint64(n + 1), Task: taskID(id, 0), Run: 1, How: RunFailed})
		r.answerHold("bad", nil, ended...)
		r.confirmSaves()
		r.advance(300 * time.Millisecond)
		takeActions[Start](r)
	}
	r.core.workers["good"].pausedUntil = 0
	r.core.workersChanged()
	r.core.workers["good"].answeredAt = r.now
	r.submitJob("j3", smallStep(1))
	for _, s := range r.acceptStarts() {
		assert.Equal(t, s.Worker, "good", "%s went to the bad worker", s.Task.Job)
	}
}

// A task makes no progress. Its worker gets no new tasks meanwhile, as they might stall there
// too. Guards against moving the task early: it is stopped only after a long stall.
func TestNoStartsOnAWorkerWithoutProgress(t *testing.T) {
	r := newRig(t, newWorkerInfo("w1"))
	r.confirmSaves()
	r.answerHold("w1", nil)
	r.submitJob("j1", smallStep(1))
	assert.Equal(t, len(r.acceptStarts()), 1)
	for range 4 {
		r.advance(500 * time.Millisecond)
		r.answerHold("w1", []ActiveRun{{Task: taskID("j1", 0), Run: 1, Percent: 40}})
	}
	r.submitJob("j2", smallStep(1))
	assert.Equal(t, len(r.acceptStarts()), 0)
	assert.Equal(t, len(takeActions[Stop](r)), 0)
	for range 16 {
		r.advance(500 * time.Millisecond)
		r.answerHold("w1", []ActiveRun{{Task: taskID("j1", 0), Run: 1, Percent: 40}})
	}
	stops := takeActions[Stop](r) // one stop, repeated while it gets no answer
	assert.Assert(t, len(stops) > 0)
	for _, s := range stops {
		assert.Equal(t, s.Task, taskID("j1", 0))
	}
}

// A best-effort task slows a serving task on the same worker. Its pace is lowered while the
// serving task is over its latency target, to zero within two reports, and raised slowly once
// the latency is well below the target.
func TestBestEffortTasksAreThrottledForServingTasks(t *testing.T) {
	r := newRig(t, newWorkerInfo("w1"))
	r.confirmSaves()
	r.answerHold("w1", nil)
	serving := smallStep(1)
	serving.LongRunning, serving.TargetMs = true, 100
	bestEffort := smallStep(1)
	bestEffort.Fills = true
	r.submitJob("serve", serving)
	r.submitJob("fill", bestEffort)
	assert.Equal(t, len(r.acceptStarts()), 2)
	report := func(tail int) []Pace {
		r.advance(time.Second)
		r.answerHold("w1", []ActiveRun{{Task: taskID("serve", 0), Run: 1, Percent: 100, Usage: tail}, {Task: taskID("fill", 0), Run: 1, Percent: int(r.now / time.Second)}})
		return takeActions[Pace](r)
	}
	assert.Equal(t, len(report(50)), 0)
	assert.Equal(t, report(130)[0].Percent, 30)
	assert.Equal(t, report(130)[0].Percent, 0)
	assert.Equal(t, len(report(90)), 0, "the pace stays the same near the target")
	assert.Equal(t, report(50)[0].Percent, 20)
}

// A start and its repeats get no answer, so the run is stopped. The worker refuses the stop
// with 503 and does nothing, and the start may still arrive. Guards against taking the refusal
// for a confirmed stop, which would start the task a second time elsewhere.
func TestRefusedStopConfirmsNothing(t *testing.T) {
	r := newRig(t, newWorkerInfo("w1"), newWorkerInfo("w2"))
	r.confirmSaves()
	r.answerHold("w1", nil)
	r.answerHold("w2", nil)
	r.submitJob("j", smallStep(1))
	var at string
	for range maxStartTries {
		for _, s := range takeActions[Start](r) {
			at = s.Worker
			r.step(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: NoAnswer})
		}
	}
	for range 20 {
		for _, s := range takeActions[Stop](r) {
			r.step(StopAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: Unhealthy})
		}
		r.advance(200 * time.Millisecond)
		r.answerHold(at, nil)
		assert.Equal(t, len(takeActions[Start](r)), 0, "the task was started a second time")
	}
}

// All processes were killed, and one worker has left permanently meanwhile. Any task of an
// inherited job might still run there, so all of them wait. Workers grant leases of up to 10 s,
// but owners request shorter ones, and whatever runs there has ended after 7 s. Guards against
// a wait of 10.5 s.
func TestInheritedJobsWaitOnlyForRequestedLeases(t *testing.T) {
	r := &rig{t: t, now: time.Hour}
	r.core = New(Settings{Token: rigToken, Generation: 3, MaxLease: 10 * time.Second, StopTimeout: 200 * time.Millisecond,
		EndedRetention: 2 * time.Minute}, r.now)
	r.step(Tick{UnixMs: r.unixMs()})
	r.step(QueuesChanged{Queues: map[string]Queue{"q": {Name: "q", Service: "s", Attempts: 3, Slack: 2, Target: time.Second}}})
	r.step(JobStored{Job: Job{ID: "old", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "gone", Addr: "gone:1", Service: "s"}}})
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1")}})
	start := r.now
	for r.now < start+12*time.Second {
		r.failHolds("gone")
		if len(takeActions[Hold](r)) > 0 {
			r.step(HoldAnswered{Worker: "w1", SentAt: r.now, ClockMs: r.now.Milliseconds()})
		}
		r.advance(50 * time.Millisecond)
		r.confirmSaves() // the task may have run on the worker that has left, so its run is stored first
		if len(r.acceptStarts()) > 0 {
			waited := r.now - start
			assert.Assert(t, waited > leaseDuration+confirmationTTL && waited < 7*time.Second, "waited %v", waited)
			return
		}
	}
	t.Fatal("the inherited job never started")
}

// A new owner asks the workers of its predecessor for their runs before it has read the list of
// workers. One is still stopping a task of an ended job, whose resources are unknown, so the
// worker counts as full until the end is listed; but its capacity is not known yet either.
// Guards against starting tasks on the capacity of the stopping run once the worker is listed.
func TestUnknownRunOccupiesAWorkerOfUnknownCapacity(t *testing.T) {
	r := newRig(t)
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s"}}})
	r.advance(50 * time.Millisecond)
	r.answerHold("w1", singleActiveRun(taskID("gone", 0), 1))
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1")}})
	r.submitJob("j", smallStep(4))
	assert.Equal(t, len(r.acceptStarts()), 0)
	r.advance(50 * time.Millisecond)
	r.answerHold("w1", nil, EndedRun{Number: 1, Task: taskID("gone", 0), Run: 1, How: Stopped})
	assert.Equal(t, len(r.acceptStarts()), 4, "the end of an unknown run does not free its capacity")
}
