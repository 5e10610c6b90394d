package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/ownership"
)

// collect asks every shard what it runs for this home. A shard that has
// answered rejects every older epoch of the home from then on.
func (h *Home) collect(now time.Duration) []Message {
	if len(h.uncollected) == 0 {
		return nil
	}
	var out []Message
	missing := h.uncollected[:0]
	for _, s := range h.uncollected {
		if h.collected[s] {
			continue
		}
		missing = append(missing, s)
		if at, ok := h.collectSentAt[s]; !ok || now-at >= h.cfg.RetryInterval {
			h.collectSentAt[s] = now
			out = append(out, Collect{Shard: s, Home: h.unit, HomeEpoch: h.epoch})
		}
	}
	h.uncollected = missing
	if len(missing) == 0 && !h.collectDone {
		h.collectDone = true
		out = append(out, h.resume(now)...)
	}
	return out
}

// handleCollected adopts what a shard runs for this home. Only the answer to
// Collect is used for that: a late notification about a predecessor's attempt
// may concern one that has ended since, and the home would wait for its end
// indefinitely.
func (h *Home) handleCollected(now time.Duration, m Collected) []Message {
	if m.HomeEpoch != h.epoch || h.collected[m.Shard] {
		return nil
	}
	h.collected[m.Shard] = true
	var out []Message
	for _, a := range m.Attempts {
		if !h.adopt(now, a) {
			out = append(out, h.handleChanged(now, a)...)
		}
	}
	return out
}

// adopt makes a predecessor's attempt the task's current one if it is the first
// attempt found that holds resources for, runs or has completed the task.
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
	job.dequeue(t.index)
	h.setPhase(job, t, phase)
	t.attempt, t.shard, t.worker, t.askedEpoch = m.Attempt, m.Shard, m.Worker, h.shards.epoch(m.Shard)
	t.startedAt = now - m.RunTime
	if t.startedAt <= 0 {
		t.startedAt = now
	}
	if job.policy().Spread && phase.occupies() {
		job.countPlaced(t)
	}
	if phase != taskHeld && job.startedAt == 0 {
		job.startedAt = t.startedAt
	}
	return true
}

// resume continues the predecessor's jobs once every shard has reported what it
// runs.
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
				out = append(out, Noted(h.nextHeader(t.shard, t.attempt)))
			}
		}
		h.checkDone(now, job)
	}
	return out
}

// resumeGang confirms a gang whose tasks are all held or running, and restarts
// one that is incomplete.
func (h *Home) resumeGang(now time.Duration, job *homeJob) []Message {
	started := job.mayHaveStarted()
	missing := job.counts[taskQueued] > 0
	switch {
	case !started && missing:
		return h.releaseGang(now, job)
	case missing:
		job.gang.confirmed = true
		return h.restartGang(now, job)
	}
	out := h.confirmGang(now, job)
	if job.startedAt == 0 && job.counts[taskRunning] > 0 {
		job.startedAt = now
	}
	return out
}

// handleObsolete handles a notification about an attempt that is not its task's
// current one, or whose job has ended: the attempt must end, and its shard may
// then forget it.
func (h *Home) handleObsolete(now time.Duration, m Changed) []Message {
	if !h.collectDone && m.Attempt.Epoch < h.epoch {
		return h.handleObsoleteBeforeCollected(now, m)
	}
	switch m.State {
	case AttemptRunning:
		return h.stopOrphan(now, m.Attempt, m.Shard)
	case AttemptHeld:
		return []Message{Release(h.nextHeader(m.Shard, m.Attempt))}
	}
	h.dropOrphan(now, m.Attempt.TaskID())
	return []Message{Forget(h.nextHeader(m.Shard, m.Attempt))}
}

// handleObsoleteBeforeCollected handles a notification about a predecessor's
// attempt while some shards have not answered Collect: an attempt is ended only
// if no open job can use it.
func (h *Home) handleObsoleteBeforeCollected(now time.Duration, m Changed) []Message {
	if job, t := h.task(m.Attempt); t != nil && t.phase == taskQueued && job.Accepted <= h.epoch {
		if m.State == AttemptFailed || m.State == AttemptLost {
			h.recordEnd(now, job, t, m)
			h.countFailure(now, job, t, m)
			return []Message{Forget(h.nextHeader(m.Shard, m.Attempt))}
		}
		return nil
	}
	if m.State == AttemptRunning {
		return h.stopOrphan(now, m.Attempt, m.Shard)
	}
	return nil
}

// verifyShard asks a shard's new owner for the state of this home's tasks
// there. Its predecessor may have promised to start some of them and died
// before it reached the worker; nothing else would detect that.
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
	t.lastSentAt = now - h.cfg.RetryInterval
	h.timers.add(timer{at: now, kind: timerResend, job: job, task: t})
}
