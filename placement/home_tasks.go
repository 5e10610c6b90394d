package placement

import (
	"fmt"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// askOne asks a shard for the next queued task of the job.
func (h *Home) askOne(now time.Duration, job *homeJob) []Message {
	c := job.class
	if reason := h.admit(now, c, job.need); reason != WaitNothing {
		h.queue.block(c, reason)
		return nil
	}
	t := job.tasks[job.queued[0]]
	s := searchFor(job, t)
	i := h.rooms.choose(s)
	reserve := false
	if i == noIndex {
		// An urgent task may displace others, and room may be kept for one that
		// has waited long: both are worth asking shards without room.
		reserve = h.mayReserve(now, job)
		i = h.askAnywhere(now, job, s, reserve)
	}
	if i == noIndex {
		h.waitForRoom(now, c)
		return nil
	}
	if reserve {
		h.reserve(now, job)
	}
	msg := h.ask(now, job, t, i)
	if len(job.queued) == 0 {
		h.queue.remove(job)
	}
	return []Message{msg}
}

// askAnywhere chooses a shard of which no room is known. A home hears from a few
// shards only: without asking others it would wait for their room while those
// that it does not hear from stand empty.
func (h *Home) askAnywhere(now time.Duration, job *homeJob, s search, reserve bool) int {
	if !job.mayAskAnywhere(now, h.cfg) {
		return noIndex
	}
	s.unheard, s.since = true, now-h.cfg.StaleAfter
	if i := h.rooms.choose(s); i != noIndex {
		return i
	}
	s.unheard, s.anyCapable = false, true
	if !job.Spec.Urgent && !reserve {
		return noIndex
	}
	return h.rooms.choose(s)
}

func searchFor(job *homeJob, t *homeTask) search {
	return search{need: job.need, avoid: t.badShards, refused: classOf(job).refused, placed: job.placed}
}

// waitForRoom blocks a class until a digest shows room or some time has passed.
func (h *Home) waitForRoom(now time.Duration, c *class) {
	if c.first.waitSince < 0 {
		c.first.waitSince = now
	}
	h.queue.block(c, WaitRoom)
	c.retryAt = now + c.wait
	c.wait = min(max(2*c.wait, h.cfg.Backoff), h.cfg.RetryRoom)
	again := h.cfg.RetryRoom
	if c.key.urgent {
		// Urgent work may ask shards without room, a few at a time; it goes on
		// as soon as it may.
		again, c.retryAt = anywhereEvery, now
	}
	h.timers.add(timer{at: now + again, kind: timerRetry, class: c})
}

// ask makes a new attempt and sends it to a shard.
func (h *Home) ask(now time.Duration, job *homeJob, t *homeTask, room int) Message {
	h.number++
	job.unqueue(t.index)
	h.setPhase(job, t, taskAsked)
	t.startAt = 0
	t.attempt = Attempt{Job: job.Spec.ID, Index: t.index, Epoch: h.epoch, Number: h.number}
	t.shard, t.askedEpoch = h.rooms.list[room].Shard, h.rooms.list[room].Epoch
	if job.policy().Spread {
		job.spread(t)
	}
	t.borrowed = h.borrows(job.team)
	t.worker = ""
	h.rooms.take(room, t.need)
	t.roomVersion = h.rooms.list[room].version
	return h.place(now, job, t)
}

// place sends the task's attempt to its shard, for the first time or again.
func (h *Home) place(now time.Duration, job *homeJob, t *homeTask) Message {
	o := h.order(t.shard, t.attempt)
	t.sequence, t.askedAt = o.Sequence, now
	again := h.cfg.AskAgain
	if t.phase == taskHeld {
		again = h.cfg.HoldRenew
	}
	h.timers.add(timer{at: now + again, kind: timerAnswer, job: job, task: t})
	return Place{Shard: o.Shard, Home: o.Home, HomeEpoch: o.HomeEpoch, ShardEpoch: o.ShardEpoch, Sequence: o.Sequence,
		AskedEpoch: t.askedEpoch, Attempt: t.attempt, Team: job.Spec.Team, Name: job.Spec.Name, Kind: job.Spec.Kind,
		Need: t.need, Payload: job.Spec.Payload, Priority: job.policy().Priority, Urgent: job.Spec.Urgent,
		Spread: job.policy().Spread, Checkpointable: job.Spec.Checkpointable, Borrowed: t.borrowed,
		Accepted: job.Accepted, ExpectedRun: h.learner.expectedRun(job.Spec), Avoid: t.avoid,
		Hold: job.Spec.Kind == Gang, Reserve: h.reserving == job, Waited: job.waited(now)}
}

// waited is how long a job has been waiting for room.
func (j *homeJob) waited(now time.Duration) time.Duration {
	if j.waitSince < 0 {
		return 0
	}
	return now - j.waitSince
}

func (h *Home) task(a Attempt) (*homeJob, *homeTask) {
	job, ok := h.jobs[a.Job]
	if !ok || a.Index < 0 || a.Index >= len(job.tasks) {
		return nil, nil
	}
	return job, job.tasks[a.Index]
}

func (h *Home) placed(now time.Duration, m Placed) []Message {
	job, t := h.task(m.Attempt)
	if t == nil || t.attempt != m.Attempt {
		// The answer came after the home had given the attempt up; what was
		// placed must not run on beside its replacement.
		if m.OK && m.Held {
			return []Message{Release(h.order(m.Shard, m.Attempt))}
		}
		if m.OK {
			return h.endStray(now, m.Attempt, m.Shard)
		}
		return nil
	}
	if t.phase != taskAsked {
		return nil
	}
	job.noteDisplaced(m.Displaced)
	if !m.OK {
		return h.refused(now, job, t, m)
	}
	t.worker = m.Worker
	job.refusal = refusal{best: m.Best}
	if m.Held {
		h.setPhase(job, t, taskHeld)
		return h.gangHeld(now, job, t)
	}
	if h.rooms.epoch(t.shard) != t.askedEpoch {
		// The owner that answered has been replaced and may not have reached the
		// worker any more; its successor is asked what became of the attempt.
		h.verify(now, job, t)
		return nil
	}
	h.runs(now, job, t)
	return nil
}

// refused takes in a shard's refusal. One that answers an older Place than the
// newest is left aside: the newer one may be on its way and succeed.
func (h *Home) refused(now time.Duration, job *homeJob, t *homeTask, m Placed) []Message {
	if m.Sequence != t.sequence {
		return nil
	}
	job.refusal.add(m)
	if i, ok := h.rooms.index[m.Shard]; ok {
		h.refuse(now, job, i)
	}
	if m.Reserved {
		// The shard keeps room for this very attempt, so it is asked again.
		return nil
	}
	h.rooms.giveBack(t)
	h.setPhase(job, t, taskQueued)
	if job.Spec.Kind == Gang {
		return h.gangRefused(now, job, t)
	}
	h.enqueue(now, job)
	return nil
}

// refuse notes that a shard's digest promised room that no worker has.
func (h *Home) refuse(now time.Duration, job *homeJob, room int) {
	c := classOf(job)
	if c.refused == nil {
		c.refused = map[int]uint64{}
	}
	c.refused[room] = h.rooms.list[room].version
	h.rooms.hear(room, now)
}

// runs notes that a task's attempt is placed for good.
func (h *Home) runs(now time.Duration, job *homeJob, t *homeTask) {
	h.setPhase(job, t, taskRunning)
	if t.startAt == 0 {
		t.startAt = now
		job.team.starts.add(now)
	}
	if h.reserving == job {
		h.reserving = nil
	}
	job.waitSince = -1
	job.refusal.clear()
	if c, ok := job.team.all[keyOf(job)]; ok {
		c.wait = 0
	}
	if job.started == 0 && (job.Spec.Kind != Gang || job.counts[taskRunning] == len(job.tasks)) {
		job.started = now
		h.noteStart(now, job)
	}
}

func (h *Home) changed(now time.Duration, m Changed) []Message {
	job, t := h.task(m.Attempt)
	if t == nil || t.attempt != m.Attempt || t.phase == taskQueued {
		return h.foreign(now, m)
	}
	switch m.State {
	case AttemptHeld:
		return nil
	case AttemptRunning:
		// News may come late or twice; only a task that was not yet known to
		// run is changed by it.
		t.worker = m.Worker
		if t.phase == taskAsked || t.phase == taskHeld || t.phase == taskStarting {
			h.runs(now, job, t)
		}
		return nil
	}
	if t.phase == taskDone {
		return []Message{Noted(h.order(m.Shard, m.Attempt))}
	}
	return h.ended(now, job, t, m)
}

// ended takes in the end of a task's current attempt.
func (h *Home) ended(now time.Duration, job *homeJob, t *homeTask, m Changed) []Message {
	if t.phase == taskStopping {
		// It was stopped by this home; the task is not to blame.
		m.Cause = CauseStopped
	}
	h.record(now, job, t, m)
	if m.State == AttemptDone && job.Spec.Kind != Service && t.phase != taskStopping {
		h.setPhase(job, t, taskDone)
		h.checkDone(now, job)
		return []Message{Noted(h.order(m.Shard, m.Attempt))}
	}
	h.setPhase(job, t, taskQueued)
	t.startAt = 0
	h.countFailure(now, job, t, m)
	out := []Message{Forget(h.order(m.Shard, m.Attempt))}
	if job.end != nil {
		return out
	}
	if job.Spec.Kind == Gang {
		return append(out, h.gangLost(now, job, t, m)...)
	}
	h.enqueue(now, job)
	return out
}

// record learns from an attempt's end and keeps it for explanations.
func (h *Home) record(now time.Duration, job *homeJob, t *homeTask, m Changed) {
	h.learner.observe(job.Spec, m)
	t.history = append(t.history, AttemptEnd{Worker: m.Worker, State: m.State, Cause: m.Cause, Reason: m.Reason,
		RunTime: m.RunTime, Ago: now})
	if len(t.history) > maxHistory {
		t.history = t.history[len(t.history)-maxHistory:]
	}
}

// countFailure decides how the job goes on after an attempt that was not done.
func (h *Home) countFailure(now time.Duration, job *homeJob, t *homeTask, m Changed) {
	if m.RunTime >= h.cfg.StableRun {
		t.failures, job.backoff = 0, 0
	}
	switch {
	case m.State == AttemptDone:
		// A service's task that ended by itself is replaced, but not at once
		// again and again.
		h.backOff(now, job)
	case m.State == AttemptFailed && m.Cause == CauseMemory:
		t.failures++
		h.backOff(now, job)
		h.enlarge(now, job, t)
	case m.State == AttemptFailed && m.Cause != CausePreempted && m.Cause != CauseStopped:
		t.failures++
		t.avoidWorker(m.Worker, m.Shard)
		h.backOff(now, job)
	default:
		// The attempt was lost or gave way; the task is not to blame.
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

// avoidWorker remembers where the task failed. Without it a worker that fails
// everything at once is soon free again, is chosen again as the emptiest, and
// uses up all attempts of a task that would run elsewhere.
func (t *homeTask) avoidWorker(worker string, shard ownership.Unit) {
	if worker == "" || contains(t.avoid, worker) {
		return
	}
	if len(t.avoid) == maxAvoided {
		t.avoid = t.avoid[1:]
	}
	t.avoid = append(t.avoid[:len(t.avoid):len(t.avoid)], worker)
	if !contains(t.badShards, shard) && len(t.badShards) < maxAvoided {
		t.badShards = append(t.badShards, shard)
	}
}

// enlarge asks for more memory after the worker stopped a task that used more
// than it was given.
func (h *Home) enlarge(now time.Duration, job *homeJob, t *homeTask) {
	larger := h.learner.larger(job.Spec, t.need)
	if larger == job.need {
		return
	}
	if !h.rooms.capable(larger) {
		h.finish(now, job, JobFailed, fmt.Sprintf("task %d was stopped for its memory at %s, and no worker can hold %s", t.index, t.need, larger))
		return
	}
	h.queue.remove(job)
	job.team.wanted = job.team.wanted.Sub(times(job.need, len(job.queued)))
	job.need = larger
	job.team.wanted = job.team.wanted.Add(times(job.need, len(job.queued)))
}

func (r *rooms) capable(need infra.Resources) bool {
	for i := range r.list {
		if need.Fits(r.list[i].Largest) {
			return true
		}
	}
	return false
}

// checkDone ends a job whose tasks have all run to their end.
func (h *Home) checkDone(now time.Duration, job *homeJob) {
	if job.counts[taskDone] == len(job.tasks) && job.Spec.Kind != Service {
		h.finish(now, job, JobDone, fmt.Sprintf("all %d tasks ran to their end", len(job.tasks)))
	}
}

// finish proposes the job's end. It starts nothing any more; what runs is
// stopped by the shards once the end is in the log.
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
	h.timers.add(timer{at: now + h.cfg.EndAgain, kind: timerEnd, job: job})
}

// fire handles what is due.
func (h *Home) fire(now time.Duration) []Message {
	var out []Message
	for {
		x, ok := h.timers.due(now)
		if !ok {
			return out
		}
		switch x.kind {
		case timerReady:
			h.enqueue(now, x.job)
		case timerAnswer:
			out = append(out, h.askAgain(now, x.job, x.task)...)
		case timerRetry:
			if x.class.blocked == WaitRoom && now-x.class.retryAt >= 0 {
				h.queue.unblock(x.class)
			}
		case timerStray:
			out = append(out, h.strayAgain(now, x.id)...)
		case timerEnd:
			if !x.job.over {
				h.ends = append(h.ends, *x.job.end)
				h.timers.add(timer{at: now + h.cfg.EndAgain, kind: timerEnd, job: x.job})
			}
		}
	}
}

// askAgain repeats the message about a task that has not been answered.
func (h *Home) askAgain(now time.Duration, job *homeJob, t *homeTask) []Message {
	again := h.cfg.AskAgain
	if t.phase == taskHeld {
		again = h.cfg.HoldRenew
	}
	if job.over || now-t.askedAt < again || (job.end != nil && t.phase == taskHeld) {
		return nil
	}
	if out, ok := h.reserveOver(now, job); ok {
		return out
	}
	switch t.phase {
	case taskQueued:
		if job.Spec.Kind == Gang && job.class == nil && job.counts[taskQueued] < len(job.tasks) && !job.gang.confirmed && job.end == nil {
			return h.gangRefused(now, job, t)
		}
	case taskAsked, taskHeld:
		return []Message{h.place(now, job, t)}
	case taskStarting:
		return []Message{h.confirm(now, job, t)}
	case taskStopping:
		return []Message{h.stop(now, job, t)}
	}
	return nil
}

func (h *Home) confirm(now time.Duration, job *homeJob, t *homeTask) Message {
	t.askedAt = now
	h.timers.add(timer{at: now + h.cfg.AskAgain, kind: timerAnswer, job: job, task: t})
	return h.order(t.shard, t.attempt)
}

func (h *Home) stop(now time.Duration, job *homeJob, t *homeTask) Message {
	t.askedAt = now
	h.timers.add(timer{at: now + h.cfg.AskAgain, kind: timerAnswer, job: job, task: t})
	return Stop(h.order(t.shard, t.attempt))
}

// endStray has an attempt stopped that must not run.
func (h *Home) endStray(now time.Duration, a Attempt, shard ownership.Unit) []Message {
	id := a.TaskID()
	if _, ok := h.strays[id]; !ok {
		h.strays[id] = &stray{attempt: a, shard: shard}
		h.timers.add(timer{at: now + h.cfg.AskAgain, kind: timerStray, id: id})
	}
	return []Message{Stop(h.order(shard, a))}
}

func (h *Home) strayAgain(now time.Duration, id string) []Message {
	s, ok := h.strays[id]
	if !ok {
		return nil
	}
	h.timers.add(timer{at: now + h.cfg.AskAgain, kind: timerStray, id: id})
	return []Message{Stop(h.order(s.shard, s.attempt))}
}

func (h *Home) dropStray(now time.Duration, id string) {
	s, ok := h.strays[id]
	if !ok {
		return
	}
	delete(h.strays, id)
	if s.team != nil {
		h.unuse(s.team, s.need)
		h.queue.wakeTeam(s.team)
	}
}
