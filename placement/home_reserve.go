package placement

import "time"

// Requests to shards that advertise no free capacity are limited per job,
// because most of them are refused.
const (
	minUnadvertisedAsks  = 4
	unadvertisedInterval = 250 * time.Millisecond
)

// countUnadvertisedAsk counts a request to a shard that advertises no free
// capacity and reports whether the limit allows it.
func (j *homeJob) countUnadvertisedAsk(now time.Duration, _ HomeConfig) bool {
	if now-j.unadvertisedSince >= unadvertisedInterval {
		j.unadvertisedSince, j.unadvertisedAsks = now, 0
	}
	if j.unadvertisedAsks >= max(minUnadvertisedAsks, len(j.tasks)) {
		return false
	}
	j.unadvertisedAsks++
	return true
}

// canReserve reports whether shards may be asked to reserve capacity for the
// job. Without reservations small tasks, which fit any gap, would always start
// before a job that needs a whole worker or many workers at once. Reserved
// capacity is idle, so it is reserved for one job of a home at a time, for a
// limited time and only after the job has waited.
func (h *Home) canReserve(now time.Duration, job *homeJob) bool {
	if r := h.reserving; r != nil && now >= r.reserveUntil {
		h.stopReserving(now, r)
	}
	if h.reserving != nil {
		return h.reserving == job
	}
	return job.waitingSince >= 0 && now-job.waitingSince >= h.cfg.ReserveAfter && now >= job.reserveAgainAt
}

func (h *Home) reserve(now time.Duration, job *homeJob) {
	if h.reserving == job {
		return
	}
	h.reserving, job.reserveUntil = job, now+h.cfg.ReserveDuration
}

func (h *Home) stopReserving(now time.Duration, job *homeJob) {
	h.reserving = nil
	job.reserveAgainAt = now + h.cfg.ReserveDuration/2
}

// endReservationIfDue ends the period in which capacity is reserved for a job.
// A gang then releases what it holds.
func (h *Home) endReservationIfDue(now time.Duration, job *homeJob) ([]Message, bool) {
	if h.reserving != job || now < job.reserveUntil {
		return nil, false
	}
	h.stopReserving(now, job)
	if job.Spec.Kind != Gang || job.gang.confirmed {
		return nil, false
	}
	return h.releaseGang(now, job), true
}
