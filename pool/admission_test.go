package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool/returns"
)

// newFullRig returns a rig with one worker of 4 cores that has been known for seconds. Four
// runs occupy it for minutes, and the given number of jobs of the same kind wait.
func newFullRig(t *testing.T, waiting int) *rig {
	r := newRig(t, newWorkerInfo("w"))
	r.answerHold("w", nil)
	r.advanceAnsweringHolds(3*time.Second, nil)
	r.submitJob("long", StepSpec{Count: 4, Need: Resources{CPU: 1000, Mem: 100}, EstimateMs: 600_000})
	var active []ActiveRun
	for _, s := range r.acceptStarts() {
		active = append(active, ActiveRun{Task: s.Task, Run: s.Run})
	}
	assert.Equal(t, len(active), 4)
	for n := range waiting {
		r.submitJob(fmt.Sprint("waits", n), smallStep(1))
	}
	r.advanceAnsweringHolds(time.Second, active)
	return r
}

// advanceAnsweringHolds advances the clock while the workers answer each hold.
func (r *rig) advanceAnsweringHolds(d time.Duration, active []ActiveRun) {
	for end := r.now + d; r.now < end; {
		r.advance(50 * time.Millisecond)
		r.confirmSaves()
		for _, h := range takeActions[Hold](r) {
			r.step(HoldAnswered{Worker: h.Worker, SentAt: h.SentAt, ClockMs: r.now.Milliseconds(), Active: active})
		}
	}
}

func (r *rig) admitJob(id string, steps ...StepSpec) Admission {
	return r.core.Admit(r.now, Job{ID: id, Queue: "q", Service: "s", Payload: "p", Steps: steps, AcceptedMs: r.unixMs()})
}

// All capacity is in use for ten minutes. A job of half a second with an objective of 2 s
// cannot finish in time, so it is refused immediately, with a time to retry.
func TestJobThatCannotFinishInTimeIsRefused(t *testing.T) {
	r := newFullRig(t, 1)
	a := r.admitJob("new", smallStep(1))
	assert.Assert(t, a.Refused)
	assert.Equal(t, a.Bottleneck, CapacityBottleneck)
	assert.Assert(t, a.Wait > a.Limit, "%v, %v", a.Wait, a.Limit)
	assert.Assert(t, a.RetryAfter >= returns.MinPause && a.RetryAfter <= 2*returns.MaxPause, "%v", a.RetryAfter)
}

// Guards against equal retry times for callers that are refused at the same moment: they would
// return together and be refused again.
func TestRetryTimesOfRefusedCallersAreSpread(t *testing.T) {
	r := newFullRig(t, 1)
	times := map[time.Duration]bool{}
	for n := range 50 {
		times[r.admitJob(fmt.Sprint("new", n), smallStep(1)).RetryAfter] = true
	}
	assert.Assert(t, len(times) > 40, "%d different times", len(times))
}

// Guards against refusing a job that was accepted before, whatever the backlog is now. This
// includes a job whose record is still being stored.
func TestRepeatedRequestIsNotRefused(t *testing.T) {
	r := newRig(t, newWorkerInfo("w"))
	r.answerHold("w", nil)
	r.advanceAnsweringHolds(3*time.Second, nil)
	assert.Assert(t, !r.admitJob("accepted", smallStep(1)).Refused)
	full := newFullRig(t, 1)
	assert.Assert(t, full.admitJob("new", smallStep(1)).Refused)
	assert.Assert(t, !full.admitJob("waits0", smallStep(1)).Refused)
	full.core.admission.admitted = append(full.core.admission.admitted, admittedJob{job: "on its way", admittedAt: full.now})
	assert.Assert(t, !full.admitJob("on its way", smallStep(1)).Refused)
}

// The estimate does not cover the times over which recurring and long-running jobs earn their
// value, so they are always accepted.
func TestRecurringAndLongRunningJobsAreNotRefused(t *testing.T) {
	r := newFullRig(t, 1)
	longRunning := smallStep(1)
	longRunning.LongRunning = true
	assert.Assert(t, !r.admitJob("lasting", longRunning).Refused)
	timed := Job{ID: "timed", Queue: "q", Service: "s", Steps: []StepSpec{smallStep(1)}, AcceptedMs: r.unixMs(), Repeat: 3, FirstRunMs: r.unixMs(), IntervalMs: 1000}
	assert.Assert(t, !r.core.Admit(r.now, timed).Refused)
}

// A new owner that has not heard from the workers yet, or an owner that has lost contact with
// most of them, accepts every job.
func TestUnknownCapacityCountsAsFree(t *testing.T) {
	r := newRig(t, newWorkerInfo("w"))
	assert.Assert(t, !r.admitJob("early", smallStep(1)).Estimated)
	full := newFullRig(t, 1)
	assert.Assert(t, full.admitJob("before", smallStep(1)).Estimated)
	for range 40 { // no more answers
		full.advance(50 * time.Millisecond)
		full.failHolds("w")
	}
	a := full.admitJob("after", smallStep(1))
	assert.Assert(t, !a.Estimated && !a.Refused)
}

// Jobs that no worker can ever run wait forever. Guards against counting them as backlog, which
// would cause all other jobs to be refused while all workers idle.
func TestJobsThatNoWorkerCanRunCauseNoRefusals(t *testing.T) {
	r := newRig(t, newWorkerInfo("w"))
	r.answerHold("w", nil)
	r.advanceAnsweringHolds(3*time.Second, nil)
	for n := range 50 {
		r.submitJob(fmt.Sprint("poison", n), StepSpec{Count: 20, Need: Resources{CPU: 9000, Mem: 100}, EstimateMs: 60_000})
	}
	r.advanceAnsweringHolds(time.Second, nil)
	assert.Assert(t, !r.admitJob("new", smallStep(1)).Refused)
}

// Guards against a backlog that does not include jobs accepted since it was last refreshed: all
// jobs that arrive within 0.2 s would see the same free capacity.
func TestAcceptedJobsCountAtOnce(t *testing.T) {
	r := newRig(t, newWorkerInfo("w"))
	r.answerHold("w", nil)
	r.advanceAnsweringHolds(3*time.Second, nil)
	first := r.admitJob("first", smallStep(8))
	second := r.admitJob("second", smallStep(8))
	assert.Equal(t, first.BacklogCoreSeconds, 0.0)
	assert.Equal(t, second.BacklogCoreSeconds, 4.0) // eight tasks of half a second on one core
	r.step(JobStored{Job: Job{ID: "first", Queue: "q", Service: "s", Steps: []StepSpec{smallStep(8)}, AcceptedMs: r.unixMs()}})
	assert.Equal(t, r.admitJob("third", smallStep(8)).BacklogCoreSeconds, 8.0)
}
