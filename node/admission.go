package node

import (
	"fmt"
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/pool"
)

// maxAdmissionCopyAge is the maximum age of this owner's copy at which it may refuse a job: two
// reads. With an older copy the owner has lost the store, and its backlog is not the real one.
const maxAdmissionCopyAge = 2 * readPause

// OverloadError means that a job was refused since it can't be served in time. Nothing of it was
// stored in any way.
type OverloadError struct {
	// RetryAfter is the time until the caller's turn: capacity for the job is expected then.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("the job can't be served in time; room is expected in %v", e.RetryAfter)
}

// admit refuses a job that can't be served in time by the core's estimate. It accepts what this
// owner can't judge: records other than jobs, all records before it has loaded the pool, and
// records that may be stored already.
func (o *ownership) admit(s *submission) error {
	if kind, _ := pool.ParseKey(s.record.Key); kind != pool.JobRecord || s.inDoubt || o.noAdmissionReason() != "" {
		return nil
	}
	ev, err := decodeEvent(s.record, fromCaller)
	stored, isJob := ev.(pool.JobStored)
	if err != nil || !isJob {
		return nil // the error is reported when the record is applied
	}
	a := o.core.Admit(o.pc.node.now(), stored.Job)
	if !a.Refused {
		return nil
	}
	o.logRefusal(&stored.Job, a)
	return &OverloadError{RetryAfter: a.RetryAfter}
}

// noAdmissionReason returns why this owner accepts all jobs; empty: it decides by the core's
// estimate.
func (o *ownership) noAdmissionReason() string {
	switch {
	case !o.loaded:
		return "this owner has not read the pool's state yet"
	case o.pc.node.now()-o.pc.completeAsOf > maxAdmissionCopyAge:
		return "this owner's newest read of the store is older than " + maxAdmissionCopyAge.String()
	}
	return ""
}

// logRefusal logs and counts a refusal with the figures that it is based on.
func (o *ownership) logRefusal(j *pool.Job, a pool.Admission) {
	o.pc.node.metrics.recordRefusal(j, a.Bottleneck)
	line := o.pc.log.Info().Str("job", j.ID).Str("queue", j.Queue).Str("scarce", string(a.Bottleneck)).Dur("wait", a.Wait).Dur("runs", a.RunTime).
		Dur("limit", a.Limit).Dur("since_first_try", a.SinceFirstTry).Float64("ahead_core_s", a.BacklogCoreSeconds).Float64("room_cores", a.CapacityCores).
		Dur("come_back", a.RetryAfter).Str("caller", a.Standing.String()).Float64("promised_core_s", a.PromisedCoreSeconds).Dur("age", a.BacklogAge)
	if a.Cap != nil {
		line = line.Float64("cap_cores", float64(a.Cap.Level[organisation.CPU])/1000).Float64("cap_used_cores", float64(a.Cap.Used[organisation.CPU])/1000).
			Float64("cap_ahead_core_s", a.Cap.AheadCoreSeconds).Int64("cap_wait", a.Cap.WaitMillis)
	}
	line.Str("organisation", j.Organisation).Uint64("epoch", o.claim.Epoch).Msg("job.refused")
}
