package placement

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// gangState is how far a gang is. Its tasks are held at their shards, and once
// all are held they are confirmed; before that the gang can be given up at once,
// after it only by stopping every task.
type gangState struct {
	confirmed bool
	// tries counts the rounds that found no room.
	tries int
}

// askGang asks shards to hold room for all tasks of a gang, if the digests show
// room for all of them or the gang may have room kept for it.
func (h *Home) askGang(now time.Duration, job *homeJob) []Message {
	c := job.class
	if reason := h.admit(now, c, times(job.need, len(job.tasks))); reason != WaitNothing {
		h.queue.block(c, reason)
		return nil
	}
	picks, reserve := h.pickGang(now, job)
	if picks == nil {
		h.waitForRoom(now, c)
		return nil
	}
	if reserve {
		h.reserve(now, job)
	}
	var out []Message
	job.queued = job.queued[:0]
	for i, room := range picks {
		// The room was taken when it was picked.
		h.rooms.list[room].Free = h.rooms.list[room].Free.Add(job.need)
		out = append(out, h.ask(now, job, job.tasks[i], room))
	}
	h.queue.remove(job)
	return out
}

// pickGang returns a shard for each task, or nil if there is none for some. It
// takes the picked room from what is known, so that the tasks of one gang don't
// all count on the same.
func (h *Home) pickGang(now time.Duration, job *homeJob) (picks []int, reserve bool) {
	reserve = h.mayReserve(now, job)
	used := false
	for _, t := range job.tasks {
		s := searchFor(job, t)
		i := h.rooms.choose(s)
		if i == noIndex {
			i = h.askAnywhere(now, job, s, reserve)
			used = true
		}
		if i == noIndex {
			for _, p := range picks {
				h.rooms.list[p].Free = h.rooms.list[p].Free.Add(job.need)
			}
			return nil, false
		}
		h.rooms.take(i, job.need)
		picks = append(picks, i)
	}
	return picks, reserve && used
}

// gangHeld goes on once all tasks are held.
func (h *Home) gangHeld(now time.Duration, job *homeJob, t *homeTask) []Message {
	if job.counts[taskHeld] == len(job.tasks) {
		return h.confirmGang(now, job)
	}
	h.timers.add(timer{at: now + h.cfg.HoldRenew, kind: timerAnswer, job: job, task: t})
	return nil
}

func (h *Home) confirmGang(now time.Duration, job *homeJob) []Message {
	var out []Message
	job.gang.confirmed = true
	for _, t := range job.tasks {
		if t.phase == taskHeld {
			h.setPhase(job, t, taskStarting)
			out = append(out, h.confirm(now, job, t))
		}
	}
	return out
}

// gangRefused looks for another shard for one task. Without one the gang gives
// back what it holds, so that two gangs that each hold half of what they need
// can't block each other for good, nor keep room from others that could use it.
// Only while room is being kept for the gang it holds on, for a bounded time.
func (h *Home) gangRefused(now time.Duration, job *homeJob, t *homeTask) []Message {
	if job.counts[taskQueued] == len(job.tasks) {
		// Nothing is held any more, so no answer will come: the gang goes back
		// to the queue as a whole.
		job.readyAt = max(job.readyAt, now+h.cfg.Backoff)
		h.enqueue(now, job)
		return nil
	}
	if !h.withinLevel(job.team, job.need) {
		return h.giveUpGang(now, job)
	}
	s := searchFor(job, t)
	i := h.rooms.choose(s)
	if i == noIndex {
		reserve := h.mayReserve(now, job)
		if reserve {
			h.reserve(now, job)
		}
		i = h.askAnywhere(now, job, s, reserve)
		if i == noIndex && reserve {
			t.askedAt = now - h.cfg.AskAgain
			h.timers.add(timer{at: now + h.cfg.Backoff, kind: timerAnswer, job: job, task: t})
			return nil
		}
	}
	if i == noIndex {
		return h.giveUpGang(now, job)
	}
	return []Message{h.ask(now, job, t, i)}
}

// giveUpGang releases what a gang holds. None of it was ever confirmed, so it
// can't start any more, and the tasks may be asked for elsewhere at once.
func (h *Home) giveUpGang(now time.Duration, job *homeJob) []Message {
	var out []Message
	for _, t := range job.tasks {
		if t.phase == taskAsked || t.phase == taskHeld {
			out = append(out, Release(h.order(t.shard, t.attempt)))
			h.rooms.giveBack(t)
			h.setPhase(job, t, taskQueued)
		}
	}
	if h.reserving == job {
		h.reserving = nil
	}
	job.gang.tries++
	job.readyAt = max(job.readyAt, now+gangPause(job, h.cfg))
	h.enqueue(now, job)
	return out
}

// gangPause grows with each round and differs between gangs, so that two that
// collided don't collide again and again.
func gangPause(job *homeJob, cfg HomeConfig) time.Duration {
	pause := min(cfg.Backoff<<min(job.gang.tries, maxPauseDoublings), cfg.RetryRoom)
	draw := xxhash.Sum64String(job.Spec.ID + strconv.Itoa(job.gang.tries))
	return pause/2 + time.Duration(draw%uint64(pause))
}

// maxPauseDoublings keeps the shift in gangPause from overflowing.
const maxPauseDoublings = 10

// gangLost takes in that one task of a gang has ended without being done.
func (h *Home) gangLost(now time.Duration, job *homeJob, t *homeTask, m Changed) []Message {
	if !h.mayPlace(job) {
		// Other tasks of the gang may yet be found; resumeGang decides.
		return nil
	}
	if !job.gang.confirmed && !job.begun() {
		if m.Cause == CauseHoldTaken {
			return h.giveUpGang(now, job)
		}
		return h.gangRefused(now, job, t)
	}
	return h.bringBack(now, job)
}

// begun reports whether a task of the job may have started.
func (j *homeJob) begun() bool {
	return j.counts[taskStarting]+j.counts[taskRunning]+j.counts[taskStopping]+j.counts[taskDone] > 0
}

// bringBack stops all tasks of a gang that lost one. Half a gang would use up
// its workers without getting anywhere. Each task must be known to have ended
// before any is placed again.
func (h *Home) bringBack(now time.Duration, job *homeJob) []Message {
	var out []Message
	for _, t := range job.tasks {
		switch t.phase {
		case taskStarting, taskRunning:
			h.setPhase(job, t, taskStopping)
			out = append(out, h.stop(now, job, t))
		case taskDone:
			out = append(out, Forget(h.order(t.shard, t.attempt)))
			h.setPhase(job, t, taskQueued)
		case taskAsked, taskHeld:
			out = append(out, Release(h.order(t.shard, t.attempt)))
			h.setPhase(job, t, taskQueued)
		}
	}
	if job.counts[taskQueued] == len(job.tasks) {
		job.gang.confirmed = false
		job.started = 0
		h.enqueue(now, job)
	}
	return out
}
