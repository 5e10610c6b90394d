package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/ownership"
)

// collect asks every shard what it runs for this home. The answer also says that
// the shard refuses every older epoch of the home from then on.
func (h *Home) collect(now time.Duration) []Message {
	if len(h.toCollect) == 0 {
		return nil
	}
	var out []Message
	missing := h.toCollect[:0]
	for _, s := range h.toCollect {
		if h.collected[s] {
			continue
		}
		missing = append(missing, s)
		if at, ok := h.collectedAt[s]; !ok || now-at >= h.cfg.AskAgain {
			h.collectedAt[s] = now
			out = append(out, Collect{Shard: s, Home: h.unit, HomeEpoch: h.epoch})
		}
	}
	h.toCollect = missing
	if len(missing) == 0 && !h.complete {
		h.complete = true
		out = append(out, h.resume(now)...)
	}
	return out
}

// take adopts what a shard runs for this home. Only the answer to Collect counts
// for that: news of a predecessor's attempt that comes late by another way may
// be of one that has ended since, and would be waited for without end.
func (h *Home) take(now time.Duration, m Collected) []Message {
	if m.HomeEpoch != h.epoch || h.collected[m.Shard] {
		return nil
	}
	h.collected[m.Shard] = true
	var out []Message
	for _, a := range m.Attempts {
		if !h.adopt(now, a) {
			out = append(out, h.changed(now, a)...)
		}
	}
	return out
}

// adopt takes over an attempt of a predecessor as the task's own, if it is the
// first one found that holds, runs or has done the task.
func (h *Home) adopt(now time.Duration, m Changed) bool {
	job, t := h.task(m.Attempt)
	if t == nil || t.phase != taskQueued || t.attempt != (Attempt{}) || m.Attempt.Epoch >= h.epoch {
		return false
	}
	var phase taskPhase
	switch {
	case m.State == AttemptRunning:
		phase = taskRunning
	case m.State == AttemptDone && job.Spec.Kind != Service:
		phase = taskDone
	case m.State == AttemptHeld && job.Spec.Kind == Gang:
		phase = taskHeld
	default:
		return false
	}
	job.unqueue(t.index)
	h.setPhase(job, t, phase)
	t.attempt, t.shard, t.worker, t.askedEpoch = m.Attempt, m.Shard, m.Worker, h.rooms.epoch(m.Shard)
	t.startAt = now - m.RunTime
	if t.startAt <= 0 {
		t.startAt = now
	}
	if job.policy().Spread && phase.occupies() {
		job.spread(t)
	}
	if phase != taskHeld && job.started == 0 {
		job.started = t.startAt
	}
	return true
}

// resume goes on with the jobs of the predecessor once every shard has told what
// it runs.
func (h *Home) resume(now time.Duration) []Message {
	var out []Message
	for _, id := range sortedKeys(h.jobs) {
		job := h.jobs[id]
		if job.Accepted > h.epoch || job.end != nil {
			continue
		}
		if job.Spec.Kind == Gang {
			out = append(out, h.resumeGang(now, job)...)
		} else {
			h.enqueue(now, job)
		}
		for _, t := range job.tasks {
			if t.phase == taskDone {
				out = append(out, Noted(h.order(t.shard, t.attempt)))
			}
		}
		h.checkDone(now, job)
	}
	return out
}

// resumeGang confirms a gang of which every task is held or already runs, and
// brings back one that is not whole.
func (h *Home) resumeGang(now time.Duration, job *homeJob) []Message {
	started := job.begun()
	missing := job.counts[taskQueued] > 0
	switch {
	case !started && missing:
		return h.giveUpGang(now, job)
	case missing:
		job.gang.confirmed = true
		return h.bringBack(now, job)
	}
	out := h.confirmGang(now, job)
	if job.started == 0 && job.counts[taskRunning] > 0 {
		job.started = now
	}
	return out
}

// foreign deals with news of an attempt that is not its task's own any more, or
// whose job is over: it must end, and its shard may then forget it.
func (h *Home) foreign(now time.Duration, m Changed) []Message {
	if !h.complete && m.Attempt.Epoch < h.epoch {
		return h.foreignBefore(now, m)
	}
	switch m.State {
	case AttemptRunning:
		return h.endStray(now, m.Attempt, m.Shard)
	case AttemptHeld:
		return []Message{Release(h.order(m.Shard, m.Attempt))}
	}
	h.dropStray(now, m.Attempt.TaskID())
	return []Message{Forget(h.order(m.Shard, m.Attempt))}
}

// foreignBefore deals with a predecessor's attempt while shards are still being
// collected from: only what a job that is still open can't use is ended.
func (h *Home) foreignBefore(now time.Duration, m Changed) []Message {
	if job, t := h.task(m.Attempt); t != nil && t.phase == taskQueued && job.Accepted <= h.epoch {
		if m.State == AttemptFailed || m.State == AttemptLost {
			h.record(now, job, t, m)
			h.countFailure(now, job, t, m)
			return []Message{Forget(h.order(m.Shard, m.Attempt))}
		}
		return nil
	}
	if m.State == AttemptRunning {
		return h.endStray(now, m.Attempt, m.Shard)
	}
	return nil
}

// verifyShard asks a shard's new owner what became of this home's tasks there.
// The owner it replaced may have promised to start some of them and died before
// it reached the worker; nobody else would ever notice.
func (h *Home) verifyShard(now time.Duration, shard ownership.Unit) {
	for _, id := range sortedKeys(h.jobs) {
		job := h.jobs[id]
		for _, t := range job.tasks {
			if t.shard == shard && t.phase == taskRunning {
				h.verify(now, job, t)
			}
		}
	}
}

func (h *Home) verify(now time.Duration, job *homeJob, t *homeTask) {
	h.setPhase(job, t, taskStarting)
	t.askedAt = now - h.cfg.AskAgain
	h.timers.add(timer{at: now, kind: timerAnswer, job: job, task: t})
}
