package placement

import (
	"fmt"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// placeNext asks a shard to run the next queued task of the job.
func (h *Home) placeNext(now time.Duration, job *homeJob) []Message {
	c := job.class
	if reason := h.admit(now, c, job.need); reason != WaitNone {
		h.queue.block(c, reason)
		return nil
	}
	t := job.tasks[job.queued[0]]
	s := searchFor(job, t)
	i := h.shards.choose(s)
	reserve := false
	if i == noIndex {
		// An urgent task may displace others, and capacity may be reserved for
		// a task that has waited long: both justify asking shards without free
		// capacity.
		reserve = h.canReserve(now, job)
		i = h.chooseUnadvertised(now, job, s, reserve)
	}
	if i == noIndex {
		h.waitForCapacity(now, c)
		return nil
	}
	if reserve {
		h.reserve(now, job)
	}
	msg := h.startAttempt(now, job, t, i)
	if len(job.queued) == 0 {
		h.queue.remove(job)
	}
	return []Message{msg}
}

// chooseUnadvertised chooses a shard that advertises no free capacity. A home
// receives digests from a few shards only: without asking others it would wait
// for those while the rest of the cell is idle.
func (h *Home) chooseUnadvertised(now time.Duration, job *homeJob, s search, reserve bool) int {
	if !job.countUnadvertisedAsk(now, h.cfg) {
		return noIndex
	}
	s.staleOnly, s.since = true, now-h.cfg.StaleAfter
	if i := h.shards.choose(s); i != noIndex {
		return i
	}
	s.staleOnly, s.ignoreFree = false, true
	if !job.Spec.Urgent && !reserve {
		return noIndex
	}
	return h.shards.choose(s)
}

func searchFor(job *homeJob, t *homeTask) search {
	return search{need: job.need, avoidShards: t.avoidShards, refused: classOf(job).refused, tasksPerShard: job.tasksPerShard}
}

// waitForCapacity blocks a class until a digest shows enough free capacity or
// some time has passed.
func (h *Home) waitForCapacity(now time.Duration, c *class) {
	if c.first.waitingSince < 0 {
		c.first.waitingSince = now
	}
	h.queue.block(c, WaitCapacity)
	c.retryAt = now + c.retryDelay
	c.retryDelay = min(max(2*c.retryDelay, h.cfg.Backoff), h.cfg.CapacityRetryInterval)
	again := h.cfg.CapacityRetryInterval
	if c.key.urgent {
		// Urgent work may ask shards without free capacity, a few at a time,
		// and continues as soon as the limit allows.
		again, c.retryAt = unadvertisedInterval, now
	}
	h.timers.add(timer{at: now + again, kind: timerRetry, class: c})
}

// startAttempt creates a new attempt and sends it to a shard.
func (h *Home) startAttempt(now time.Duration, job *homeJob, t *homeTask, shard int) Message {
	h.attemptNumber++
	job.dequeue(t.index)
	h.setPhase(job, t, taskPlacing)
	t.startedAt = 0
	t.attempt = Attempt{Job: job.Spec.ID, Index: t.index, Epoch: h.epoch, Number: h.attemptNumber}
	t.shard, t.askedEpoch = h.shards.list[shard].Shard, h.shards.list[shard].Epoch
	if job.policy().Spread {
		job.countPlaced(t)
	}
	t.borrowed = h.isBorrowing(job.team)
	t.worker = ""
	h.shards.deduct(shard, t.need)
	t.digestVersion = h.shards.list[shard].version
	return h.sendPlace(now, job, t)
}

// sendPlace sends the task's attempt to its shard, for the first time or again.
func (h *Home) sendPlace(now time.Duration, job *homeJob, t *homeTask) Message {
	o := h.nextHeader(t.shard, t.attempt)
	t.sequence, t.lastSentAt = o.Sequence, now
	again := h.cfg.RetryInterval
	if t.phase == taskHeld {
		again = h.cfg.HoldRenewInterval
	}
	h.timers.add(timer{at: now + again, kind: timerResend, job: job, task: t})
	return Place{Shard: o.Shard, Home: o.Home, HomeEpoch: o.HomeEpoch, ShardEpoch: o.ShardEpoch, Sequence: o.Sequence,
		AskedEpoch: t.askedEpoch, Attempt: t.attempt, Team: job.Spec.Team, Name: job.Spec.Name, Kind: job.Spec.Kind,
		Need: t.need, Payload: job.Spec.Payload, Priority: job.policy().Priority, Urgent: job.Spec.Urgent,
		Spread: job.policy().Spread, Checkpointable: job.Spec.Checkpointable, Borrowed: t.borrowed,
		Accepted: job.Accepted, ExpectedRun: h.learner.expectedRun(job.Spec), Avoid: t.avoidWorkers,
		Hold: job.Spec.Kind == Gang, Reserve: h.reserving == job, Waited: job.waited(now)}
}

// waited is how long a job has been waiting for capacity.
func (j *homeJob) waited(now time.Duration) time.Duration {
	if j.waitingSince < 0 {
		return 0
	}
	return now - j.waitingSince
}

func (h *Home) task(a Attempt) (*homeJob, *homeTask) {
	job, ok := h.jobs[a.Job]
	if !ok || a.Index < 0 || a.Index >= len(job.tasks) {
		return nil, nil
	}
	return job, job.tasks[a.Index]
}

func (h *Home) handlePlaced(now time.Duration, m Placed) []Message {
	job, t := h.task(m.Attempt)
	if t == nil || t.attempt != m.Attempt {
		// The home gave up the attempt before the answer arrived. It must not
		// run beside its replacement.
		if m.OK && m.Held {
			return []Message{Release(h.nextHeader(m.Shard, m.Attempt))}
		}
		if m.OK {
			return h.stopOrphan(now, m.Attempt, m.Shard)
		}
		return nil
	}
	if t.phase != taskPlacing {
		return nil
	}
	job.recordDisplaced(m.Displaced)
	if !m.OK {
		return h.handleRefusal(now, job, t, m)
	}
	t.worker = m.Worker
	job.refusal = refusal{best: m.Best}
	if m.Held {
		h.setPhase(job, t, taskHeld)
		return h.gangHeld(now, job, t)
	}
	if h.shards.epoch(t.shard) != t.askedEpoch {
		// The owner that answered has been replaced and may not have reached
		// the worker; its successor is asked for the state of the attempt.
		h.verify(now, job, t)
		return nil
	}
	h.markRunning(now, job, t)
	return nil
}

// handleRefusal processes a shard's refusal. A refusal of an older Place is
// ignored: the newer Place may still be on its way and succeed.
func (h *Home) handleRefusal(now time.Duration, job *homeJob, t *homeTask, m Placed) []Message {
	if m.Sequence != t.sequence {
		return nil
	}
	job.refusal.add(m)
	if i, ok := h.shards.index[m.Shard]; ok {
		h.recordRefusal(now, job, i)
	}
	if m.Reserved {
		// The shard reserves capacity for this attempt, so the same Place is
		// sent again.
		return nil
	}
	h.shards.restore(t)
	h.setPhase(job, t, taskQueued)
	if job.Spec.Kind == Gang {
		return h.gangRefused(now, job, t)
	}
	h.enqueue(now, job)
	return nil
}

// recordRefusal records that no worker of the shard has the free capacity that
// its digest shows.
func (h *Home) recordRefusal(now time.Duration, job *homeJob, shard int) {
	c := classOf(job)
	if c.refused == nil {
		c.refused = map[int]uint64{}
	}
	c.refused[shard] = h.shards.list[shard].version
	h.shards.markReported(shard, now)
}

// markRunning records that a shard runs a task's attempt.
func (h *Home) markRunning(now time.Duration, job *homeJob, t *homeTask) {
	h.setPhase(job, t, taskRunning)
	if t.startedAt == 0 {
		t.startedAt = now
		job.team.starts.add(now)
	}
	if h.reserving == job {
		h.reserving = nil
	}
	job.waitingSince = -1
	job.refusal.clear()
	if c, ok := job.team.allClasses[classKeyOf(job)]; ok {
		c.retryDelay = 0
	}
	if job.startedAt == 0 && (job.Spec.Kind != Gang || job.counts[taskRunning] == len(job.tasks)) {
		job.startedAt = now
		h.recordStart(now, job)
	}
}

func (h *Home) handleChanged(now time.Duration, m Changed) []Message {
	job, t := h.task(m.Attempt)
	if t == nil || t.attempt != m.Attempt || t.phase == taskQueued {
		return h.handleObsolete(now, m)
	}
	switch m.State {
	case AttemptHeld:
		return nil
	case AttemptRunning:
		// Notifications may arrive late or twice; this one only changes a task
		// that was not yet known to run.
		t.worker = m.Worker
		if t.phase == taskPlacing || t.phase == taskHeld || t.phase == taskStarting {
			h.markRunning(now, job, t)
		}
		return nil
	}
	if t.phase == taskDone {
		return []Message{Noted(h.nextHeader(m.Shard, m.Attempt))}
	}
	return h.handleEnd(now, job, t, m)
}

// handleEnd processes the end of a task's current attempt.
func (h *Home) handleEnd(now time.Duration, job *homeJob, t *homeTask, m Changed) []Message {
	if t.phase == taskStopping {
		// This home stopped it, so it does not count as a failure of the task.
		m.Cause = CauseStopped
	}
	h.recordEnd(now, job, t, m)
	if m.State == AttemptDone && job.Spec.Kind != Service && t.phase != taskStopping {
		h.setPhase(job, t, taskDone)
		h.checkDone(now, job)
		return []Message{Noted(h.nextHeader(m.Shard, m.Attempt))}
	}
	h.setPhase(job, t, taskQueued)
	t.startedAt = 0
	h.countFailure(now, job, t, m)
	out := []Message{Forget(h.nextHeader(m.Shard, m.Attempt))}
	if job.end != nil {
		return out
	}
	if job.Spec.Kind == Gang {
		return append(out, h.handleGangLoss(now, job, t, m)...)
	}
	h.enqueue(now, job)
	return out
}

// recordEnd updates the learned statistics with an attempt's end and keeps it
// for explanations.
func (h *Home) recordEnd(now time.Duration, job *homeJob, t *homeTask, m Changed) {
	h.learner.observe(job.Spec, m)
	t.history = append(t.history, AttemptEnd{Worker: m.Worker, State: m.State, Cause: m.Cause, Reason: m.Reason,
		RunTime: m.RunTime, Ago: now})
	if len(t.history) > maxHistory {
		t.history = t.history[len(t.history)-maxHistory:]
	}
}

// countFailure updates the failure count and decides how the job continues
// after an attempt that did not complete.
func (h *Home) countFailure(now time.Duration, job *homeJob, t *homeTask, m Changed) {
	if m.RunTime >= h.cfg.StableRunTime {
		t.failures, job.backoff = 0, 0
	}
	switch {
	case m.State == AttemptDone:
		// A service's task that ended by itself is replaced, with a backoff.
		h.backOff(now, job)
	case m.State == AttemptFailed && m.Cause == CauseMemory:
		t.failures++
		h.backOff(now, job)
		h.increaseMemory(now, job, t)
	case m.State == AttemptFailed && m.Cause != CausePreempted && m.Cause != CauseStopped:
		t.failures++
		t.avoidWorker(m.Worker, m.Shard)
		h.backOff(now, job)
	default:
		// The attempt was lost or displaced, which is not a failure of the
		// task.
		job.readyAt = now + h.cfg.Backoff
	}
	if t.failures >= job.maxAttempts(h.cfg) {
		h.finish(now, job, JobFailed, fmt.Sprintf("task %d failed %d times, last on %s: %s", t.index, t.failures, m.Worker, endReason(m)))
	}
}

func (h *Home) backOff(now time.Duration, job *homeJob) {
	job.backoff = min(max(2*job.backoff, h.cfg.Backoff), h.cfg.MaxBackoff)
	job.readyAt = now + job.backoff
}

// avoidWorker records where the task failed. A worker on which every task fails
// at once soon has free capacity again and would be chosen as the emptiest
// until the task has used up its attempts, although it would run elsewhere.
func (t *homeTask) avoidWorker(worker string, shard ownership.Unit) {
	if worker == "" || contains(t.avoidWorkers, worker) {
		return
	}
	if len(t.avoidWorkers) == maxAvoided {
		t.avoidWorkers = t.avoidWorkers[1:]
	}
	t.avoidWorkers = append(t.avoidWorkers[:len(t.avoidWorkers):len(t.avoidWorkers)], worker)
	if !contains(t.avoidShards, shard) && len(t.avoidShards) < maxAvoided {
		t.avoidShards = append(t.avoidShards, shard)
	}
}

// increaseMemory requests more memory after the worker stopped a task that used
// more than it had requested.
func (h *Home) increaseMemory(now time.Duration, job *homeJob, t *homeTask) {
	larger := h.learner.larger(job.Spec, t.need)
	if larger == job.need {
		return
	}
	if !h.shards.anyWorkerHolds(larger) {
		h.finish(now, job, JobFailed, fmt.Sprintf("task %d was stopped for its memory at %s, and no worker can hold %s", t.index, t.need, larger))
		return
	}
	h.queue.remove(job)
	job.team.wanted = job.team.wanted.Sub(times(job.need, len(job.queued)))
	job.need = larger
	job.team.wanted = job.team.wanted.Add(times(job.need, len(job.queued)))
}

func (r *shardTable) anyWorkerHolds(need infra.Resources) bool {
	for i := range r.list {
		if need.Fits(r.list[i].Largest) {
			return true
		}
	}
	return false
}

// checkDone ends a job whose tasks have all completed.
func (h *Home) checkDone(now time.Duration, job *homeJob) {
	if job.counts[taskDone] == len(job.tasks) && job.Spec.Kind != Service {
		h.finish(now, job, JobDone, fmt.Sprintf("all %d tasks ran to their end", len(job.tasks)))
	}
}

// finish proposes the job's end. Nothing more is started; the shards stop what
// still runs once the end is in the log.
func (h *Home) finish(now time.Duration, job *homeJob, state JobState, reason string) {
	if job.end != nil {
		return
	}
	job.end = &End{ID: job.Spec.ID, State: state, Reason: reason}
	job.endedAt = now
	h.queue.remove(job)
	if h.reserving == job {
		h.reserving = nil
	}
	h.ends = append(h.ends, *job.end)
	h.timers.add(timer{at: now + h.cfg.EndRetryInterval, kind: timerEnd, job: job})
}

// runTimers handles the timers that are due.
func (h *Home) runTimers(now time.Duration) []Message {
	var out []Message
	for {
		x, ok := h.timers.due(now)
		if !ok {
			return out
		}
		switch x.kind {
		case timerReady:
			h.enqueue(now, x.job)
		case timerResend:
			out = append(out, h.resend(now, x.job, x.task)...)
		case timerRetry:
			if x.class.blocked == WaitCapacity && now-x.class.retryAt >= 0 {
				h.queue.unblock(x.class)
			}
		case timerOrphan:
			out = append(out, h.resendOrphanStop(now, x.id)...)
		case timerEnd:
			if !x.job.closed {
				h.ends = append(h.ends, *x.job.end)
				h.timers.add(timer{at: now + h.cfg.EndRetryInterval, kind: timerEnd, job: x.job})
			}
		}
	}
}

// resend sends the message about a task again if it has not been answered.
func (h *Home) resend(now time.Duration, job *homeJob, t *homeTask) []Message {
	again := h.cfg.RetryInterval
	if t.phase == taskHeld {
		again = h.cfg.HoldRenewInterval
	}
	if job.closed || now-t.lastSentAt < again || (job.end != nil && t.phase == taskHeld) {
		return nil
	}
	if out, ok := h.endReservationIfDue(now, job); ok {
		return out
	}
	switch t.phase {
	case taskQueued:
		if job.Spec.Kind == Gang && job.class == nil && job.counts[taskQueued] < len(job.tasks) && !job.gang.confirmed && job.end == nil {
			return h.gangRefused(now, job, t)
		}
	case taskPlacing, taskHeld:
		return []Message{h.sendPlace(now, job, t)}
	case taskStarting:
		return []Message{h.sendConfirm(now, job, t)}
	case taskStopping:
		return []Message{h.sendStop(now, job, t)}
	}
	return nil
}

func (h *Home) sendConfirm(now time.Duration, job *homeJob, t *homeTask) Message {
	t.lastSentAt = now
	h.timers.add(timer{at: now + h.cfg.RetryInterval, kind: timerResend, job: job, task: t})
	return h.nextHeader(t.shard, t.attempt)
}

func (h *Home) sendStop(now time.Duration, job *homeJob, t *homeTask) Message {
	t.lastSentAt = now
	h.timers.add(timer{at: now + h.cfg.RetryInterval, kind: timerResend, job: job, task: t})
	return Stop(h.nextHeader(t.shard, t.attempt))
}

// stopOrphan stops an attempt that must not run.
func (h *Home) stopOrphan(now time.Duration, a Attempt, shard ownership.Unit) []Message {
	id := a.TaskID()
	if _, ok := h.orphans[id]; !ok {
		h.orphans[id] = &orphan{attempt: a, shard: shard}
		h.timers.add(timer{at: now + h.cfg.RetryInterval, kind: timerOrphan, id: id})
	}
	return []Message{Stop(h.nextHeader(shard, a))}
}

func (h *Home) resendOrphanStop(now time.Duration, id string) []Message {
	s, ok := h.orphans[id]
	if !ok {
		return nil
	}
	h.timers.add(timer{at: now + h.cfg.RetryInterval, kind: timerOrphan, id: id})
	return []Message{Stop(h.nextHeader(s.shard, s.attempt))}
}

func (h *Home) dropOrphan(now time.Duration, id string) {
	s, ok := h.orphans[id]
	if !ok {
		return
	}
	delete(h.orphans, id)
	if s.team != nil {
		h.removeUsage(s.team, s.need)
		h.queue.unblockTeam(s.team)
	}
}
