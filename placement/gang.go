package placement

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// gangState is the progress of a gang's start. Its tasks are first held at
// their shards and confirmed once all are held. Before that the gang can be
// released at once, afterwards only by stopping every task.
type gangState struct {
	confirmed bool
	// failedRounds counts the rounds that did not find capacity for all tasks.
	failedRounds int
}

// placeGang asks shards to hold resources for all tasks of a gang, if the
// digests show enough free capacity for all of them or capacity may be reserved
// for the gang.
func (h *Home) placeGang(now time.Duration, job *homeJob) []Message {
	c := job.class
	if reason := h.admit(now, c, times(job.need, len(job.tasks))); reason != WaitNone {
		h.queue.block(c, reason)
		return nil
	}
	picks, reserve := h.chooseGangShards(now, job)
	if picks == nil {
		h.waitForCapacity(now, c)
		return nil
	}
	if reserve {
		h.reserve(now, job)
	}
	var out []Message
	job.queued = job.queued[:0]
	for i, shard := range picks {
		// chooseGangShards has deducted the need; startAttempt deducts it
		// again.
		h.shards.list[shard].Free = h.shards.list[shard].Free.Add(job.need)
		out = append(out, h.startAttempt(now, job, job.tasks[i], shard))
	}
	h.queue.remove(job)
	return out
}

// chooseGangShards returns a shard for each task, or nil if some task has none.
// It deducts the need of each chosen task, so that the tasks of one gang don't
// all count on the same free capacity.
func (h *Home) chooseGangShards(now time.Duration, job *homeJob) (picks []int, reserve bool) {
	reserve = h.canReserve(now, job)
	used := false
	for _, t := range job.tasks {
		s := searchFor(job, t)
		i := h.shards.choose(s)
		if i == noIndex {
			i = h.chooseUnadvertised(now, job, s, reserve)
			used = true
		}
		if i == noIndex {
			for _, p := range picks {
				h.shards.list[p].Free = h.shards.list[p].Free.Add(job.need)
			}
			return nil, false
		}
		h.shards.deduct(i, job.need)
		picks = append(picks, i)
	}
	return picks, reserve && used
}

// gangHeld confirms the gang once all tasks are held.
func (h *Home) gangHeld(now time.Duration, job *homeJob, t *homeTask) []Message {
	if job.counts[taskHeld] == len(job.tasks) {
		return h.confirmGang(now, job)
	}
	h.timers.add(timer{at: now + h.cfg.HoldRenewInterval, kind: timerResend, job: job, task: t})
	return nil
}

func (h *Home) confirmGang(now time.Duration, job *homeJob) []Message {
	var out []Message
	job.gang.confirmed = true
	for _, t := range job.tasks {
		if t.phase == taskHeld {
			h.setPhase(job, t, taskStarting)
			out = append(out, h.sendConfirm(now, job, t))
		}
	}
	return out
}

// gangRefused looks for another shard for one task. If there is none, the gang
// releases what it holds: two gangs that each hold half of what they need would
// block each other indefinitely, and others could not use the capacity. Only
// while capacity is being reserved for the gang it keeps its holds, for a
// limited time.
func (h *Home) gangRefused(now time.Duration, job *homeJob, t *homeTask) []Message {
	if job.counts[taskQueued] == len(job.tasks) {
		// Nothing is held any more, so no answer is due: the whole gang is
		// queued again.
		job.readyAt = max(job.readyAt, now+h.cfg.Backoff)
		h.enqueue(now, job)
		return nil
	}
	if !h.withinLevel(job.team, job.need) {
		return h.releaseGang(now, job)
	}
	s := searchFor(job, t)
	i := h.shards.choose(s)
	if i == noIndex {
		reserve := h.canReserve(now, job)
		if reserve {
			h.reserve(now, job)
		}
		i = h.chooseUnadvertised(now, job, s, reserve)
		if i == noIndex && reserve {
			t.lastSentAt = now - h.cfg.RetryInterval
			h.timers.add(timer{at: now + h.cfg.Backoff, kind: timerResend, job: job, task: t})
			return nil
		}
	}
	if i == noIndex {
		return h.releaseGang(now, job)
	}
	return []Message{h.startAttempt(now, job, t, i)}
}

// releaseGang releases what a gang holds. None of it was ever confirmed, so it
// can't start any more, and the tasks may be placed elsewhere at once.
func (h *Home) releaseGang(now time.Duration, job *homeJob) []Message {
	var out []Message
	for _, t := range job.tasks {
		if t.phase == taskPlacing || t.phase == taskHeld {
			out = append(out, Release(h.nextHeader(t.shard, t.attempt)))
			h.shards.restore(t)
			h.setPhase(job, t, taskQueued)
		}
	}
	if h.reserving == job {
		h.reserving = nil
	}
	job.gang.failedRounds++
	job.readyAt = max(job.readyAt, now+gangBackoff(job, h.cfg))
	h.enqueue(now, job)
	return out
}

// gangBackoff grows with each failed round and differs between gangs, so that
// two gangs that competed for the same capacity don't collide again.
func gangBackoff(job *homeJob, cfg HomeConfig) time.Duration {
	pause := min(cfg.Backoff<<min(job.gang.failedRounds, maxBackoffDoublings), cfg.CapacityRetryInterval)
	draw := xxhash.Sum64String(job.Spec.ID + strconv.Itoa(job.gang.failedRounds))
	return pause/2 + time.Duration(draw%uint64(pause))
}

// maxBackoffDoublings keeps the shift in gangBackoff from overflowing.
const maxBackoffDoublings = 10

// handleGangLoss handles the end of a gang's task that did not complete.
func (h *Home) handleGangLoss(now time.Duration, job *homeJob, t *homeTask, m Changed) []Message {
	if !h.canPlace(job) {
		// Shards may still report other tasks of the gang; resumeGang decides.
		return nil
	}
	if !job.gang.confirmed && !job.mayHaveStarted() {
		if m.Cause == CauseHoldTaken {
			return h.releaseGang(now, job)
		}
		return h.gangRefused(now, job, t)
	}
	return h.restartGang(now, job)
}

// mayHaveStarted reports whether a task of the job may have started.
func (j *homeJob) mayHaveStarted() bool {
	return j.counts[taskStarting]+j.counts[taskRunning]+j.counts[taskStopping]+j.counts[taskDone] > 0
}

// restartGang stops all tasks of a gang that lost one, because an incomplete
// gang occupies its workers without making progress. Each task must be known to
// have ended before any is placed again.
func (h *Home) restartGang(now time.Duration, job *homeJob) []Message {
	var out []Message
	for _, t := range job.tasks {
		switch t.phase {
		case taskStarting, taskRunning:
			h.setPhase(job, t, taskStopping)
			out = append(out, h.sendStop(now, job, t))
		case taskDone:
			out = append(out, Forget(h.nextHeader(t.shard, t.attempt)))
			h.setPhase(job, t, taskQueued)
		case taskPlacing, taskHeld:
			out = append(out, Release(h.nextHeader(t.shard, t.attempt)))
			h.setPhase(job, t, taskQueued)
		}
	}
	if job.counts[taskQueued] == len(job.tasks) {
		job.gang.confirmed = false
		job.startedAt = 0
		h.enqueue(now, job)
	}
	return out
}
