package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool/returns"
)

// queueReport returns the admission report of the only queue.
func (r *rig) queueReport() QueueAdmission {
	r.t.Helper()
	queues := r.core.AdmissionReport(r.now).Queues
	assert.Equal(r.t, len(queues), 1)
	return queues[0]
}

// When callers report refused jobs, an operator sees the backlog, the rate at which it is
// worked off, the bottleneck, and the time after which the next caller would be told to retry.
func TestAdmissionReportOfAFullPool(t *testing.T) {
	r := newFullRig(t, 3)
	r.admitJob("new", smallStep(1))
	o := r.queueReport()
	assert.Equal(t, o.NotStarted, 3)
	assert.Equal(t, o.NoEstimateReason, "")
	assert.Equal(t, o.WorkAhead.Cores, 1.5) // three tasks of half a second on one core
	assert.Equal(t, o.CapacityRate.Cores, 4.0)
	assert.Equal(t, o.Bottleneck, CapacityBottleneck)
	assert.Assert(t, o.WaitMillis[CapacityBottleneck] > o.NewestJob.LimitMillis, "%v, %v", o.WaitMillis, o.NewestJob)
	assert.Assert(t, o.RefusesNewest)
	assert.Assert(t, o.NewestJob.RetryAfterMillis >= returns.MinPause.Milliseconds())
	assert.Equal(t, *o.RefusedAgoMillis, int64(0))
}

// With free capacity there is no bottleneck, nothing is refused, and no caller is told to
// retry.
func TestAdmissionReportOfAnIdlePool(t *testing.T) {
	r := newRig(t, newWorkerInfo("w"))
	r.answerHold("w", nil)
	r.advanceAnsweringHolds(3*time.Second, nil)
	assert.Assert(t, r.queueReport().NewestJob == nil, "no job has been submitted yet")
	r.admitJob("first", smallStep(1))
	o := r.queueReport()
	assert.Assert(t, !o.RefusesNewest && o.RefusedAgoMillis == nil)
	assert.Equal(t, o.NewestJob.RetryAfterMillis, int64(0))
	assert.Equal(t, o.CapacityRate.Cores, 4.0)
	assert.Assert(t, o.OfferedLoad > 0 && o.OfferedLoad < o.OverloadThreshold, "%v", o.OfferedLoad)
}

// An owner that accepts every job reports the reason: it does not know the workers yet, has
// lost contact with them, or there are none.
func TestAdmissionReportSaysWhyThereIsNoEstimate(t *testing.T) {
	assert.Equal(t, newRig(t, newWorkerInfo("w")).queueReport().NoEstimateReason, noEstimateNewOwner)
	assert.Equal(t, newRig(t).queueReport().NoEstimateReason, noEstimateNoWorkers)
	silent := newFullRig(t, 1)
	for range 40 { // no more answers
		silent.advance(50 * time.Millisecond)
		silent.failHolds("w")
	}
	assert.Equal(t, silent.queueReport().NoEstimateReason, noEstimateSilentWorkers)
}

// The report explains single refusals with the reasons that the caller was given, and keeps
// only a bounded number of the newest.
func TestAdmissionReportListsRecentRefusals(t *testing.T) {
	r := newFullRig(t, 1)
	var last Admission
	for n := range maxReportedRefusals + 5 {
		last = r.admitJob(fmt.Sprint("new", n), smallStep(1))
		assert.Assert(t, last.Refused)
	}
	refusals := r.core.AdmissionReport(r.now).Refusals
	assert.Equal(t, len(refusals), maxReportedRefusals)
	newest := refusals[maxReportedRefusals-1]
	assert.Equal(t, newest.Job, fmt.Sprint("new", maxReportedRefusals+4))
	assert.Equal(t, newest.AtUnixMillis, r.core.unixMs)
	assert.Equal(t, newest.EstimateDetails, last.Details())
	assert.Equal(t, newest.WaitMillis, last.Wait.Milliseconds())
}

// Guards against reads of the admission report that influence admission: with some jobs
// accepted and some refused, the decisions and reasons are equal with and without reads.
func TestAdmissionReportChangesNoDecision(t *testing.T) {
	answers := func(watched bool) (list []Admission) {
		r := newRig(t, newWorkerInfo("w"))
		r.answerHold("w", nil)
		r.advanceAnsweringHolds(3*time.Second, nil)
		for n := range 300 {
			if watched {
				r.core.AdmissionReport(r.now)
			}
			j := Job{ID: fmt.Sprint("new", n), Queue: "q", Service: "s", Steps: []StepSpec{smallStep(1 + n%3)}, AcceptedMs: r.unixMs()}
			a := r.core.Admit(r.now, j)
			if list = append(list, a); !a.Refused {
				r.step(JobStored{Job: j})
			}
			r.acceptStarts()
			r.advanceAnsweringHolds(50*time.Millisecond, nil)
		}
		return list
	}
	unwatched := answers(false)
	refused := 0
	for _, a := range unwatched {
		if a.Refused {
			refused++
		}
	}
	assert.Assert(t, refused > 20 && refused < 280, "%d of 300 refused", refused)
	assert.DeepEqual(t, answers(true), unwatched)
}
