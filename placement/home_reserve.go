package placement

import "time"

// Asks of shards that show no room are bounded per job: they are refused more
// often than not.
const (
	anywhereAsks  = 4
	anywhereEvery = 250 * time.Millisecond
)

// mayAskAnywhere reports whether the job may ask one more shard without room.
func (j *homeJob) mayAskAnywhere(now time.Duration, _ HomeConfig) bool {
	if now-j.anywhereSince >= anywhereEvery {
		j.anywhereSince, j.askedAnywhere = now, 0
	}
	if j.askedAnywhere >= max(anywhereAsks, len(j.tasks)) {
		return false
	}
	j.askedAnywhere++
	return true
}

// mayReserve reports whether shards may be asked to keep room for the job. Small
// work that fits any gap would otherwise always go before a job that needs a
// whole worker or many at once. One job of a home at a time, for a bounded time
// and only after it has waited: what is kept stands idle meanwhile.
func (h *Home) mayReserve(now time.Duration, job *homeJob) bool {
	if r := h.reserving; r != nil && now >= r.reserveUntil {
		h.stopReserving(now, r)
	}
	if h.reserving != nil {
		return h.reserving == job
	}
	return job.waitSince >= 0 && now-job.waitSince >= h.cfg.ReserveAfter && now >= job.reservePause
}

func (h *Home) reserve(now time.Duration, job *homeJob) {
	if h.reserving == job {
		return
	}
	h.reserving, job.reserveUntil = job, now+h.cfg.ReserveFor
}

func (h *Home) stopReserving(now time.Duration, job *homeJob) {
	h.reserving = nil
	job.reservePause = now + h.cfg.ReserveFor/2
}

// reserveOver ends the time for which room is kept for a job. A gang gives back
// what it holds.
func (h *Home) reserveOver(now time.Duration, job *homeJob) ([]Message, bool) {
	if h.reserving != job || now < job.reserveUntil {
		return nil, false
	}
	h.stopReserving(now, job)
	if job.Spec.Kind != Gang || job.gang.confirmed {
		return nil, false
	}
	return h.giveUpGang(now, job), true
}
