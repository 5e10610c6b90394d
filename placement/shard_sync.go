package placement

import (
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// SyncOrder asks the caller to send a request to a worker and to bring the
// answer back with Synced.
type SyncOrder struct {
	Shard   ownership.Unit
	Worker  string
	Request infra.SyncRequest
}

// sync makes the next request to a worker. Orders are repeated in each request
// until the worker's report shows that they were carried out.
func (s *Shard) sync(now time.Duration, w *worker) SyncOrder {
	w.sequence++
	w.inflight, w.urgent, w.sentAt = true, false, now
	req := infra.SyncRequest{Token: s.epoch, Sequence: w.sequence, Boot: w.boot, AsOf: w.reading, LeaseMillis: s.cfg.Lease.Milliseconds()}
	req.Forgets = append(req.Forgets, w.forgets...)
	if w.reconciled {
		for _, sl := range w.slots {
			sl.order(&req)
		}
	}
	s.poll(now, w, &req)
	return SyncOrder{Shard: s.unit, Worker: w.ID, Request: req}
}

func (sl *slot) order(req *infra.SyncRequest) {
	switch {
	case sl.state == slotEnded || sl.missingUntil > 0:
	case sl.stop:
		// A worker carries out checkpoints before stops.
		if sl.hints.checkpointable {
			req.Checkpoints = append(req.Checkpoints, sl.task.ID)
		}
		req.Stops = append(req.Stops, sl.task.ID)
	case sl.overMemory() > 0:
		req.Throttles = append(req.Throttles, sl.task.ID)
	case sl.state == slotStarting:
		sl.sent = true
		req.Starts = append(req.Starts, sl.task)
	}
}

// Synced takes in a worker's answer, or the error instead of one.
//
// Only the first answer to the newest request counts. An older answer tells of
// a time before the newest orders, and a repeated one may come from the machine
// that has been replaced under the same ID.
func (s *Shard) Synced(now time.Duration, id string, req infra.SyncRequest, reply infra.SyncReply, err error) []Message {
	w, ok := s.workers[id]
	if !ok || req.Token != s.epoch || req.Sequence != w.sequence || !w.inflight {
		return nil
	}
	w.inflight = false
	if err != nil || reply.Refused != "" || misread(req, reply) {
		return nil
	}
	var out []Message
	if !w.fenced || reply.Boot != w.boot {
		s.newMachine(now, w, reply)
	}
	w.heardAt, w.reading, w.boot = now, reply.Reading, reply.Boot
	out = append(out, s.reconcile(now, w, req, reply)...)
	w.known = reply.Change
	if !reply.Partial {
		w.fullAt = now
	}
	// A report made while a Forget was on its way still lists the task; taking
	// it for a new one would tell its home of the same end twice.
	w.forgets = without(w.forgets, req.Forgets)
	if !w.reconciled {
		w.fenced, w.reconciled, w.urgent = true, true, true
	}
	s.guardMemory(w)
	s.promote(now, w)
	return out
}

// newMachine takes note of a machine that answers for the first time. The one
// that had the same ID before may be only cut off, and then runs its tasks until
// its lease lapses; those that this owner knows are lost no sooner. What a
// predecessor started there is not known, so settledAt holds back answers that
// need to know all until then.
func (s *Shard) newMachine(now time.Duration, w *worker, reply infra.SyncReply) {
	until := w.heardAt + s.leaseTime()
	for _, sl := range w.slots {
		if sl.state == slotRunning || (sl.state == slotStarting && sl.sent) {
			sl.missingUntil = until
		}
	}
	if reply.Boot != 0 {
		up := time.Duration(reply.UpMillis) * time.Millisecond
		w.settledAt = now + s.leaseTime() - up
	}
}

func (s *Shard) leaseTime() time.Duration { return s.cfg.Lease + s.cfg.Lease/leaseMargin }

// reconcile brings the slots in line with what the worker says, which is the
// truth: a start it does not list was not obeyed, a task it lists is running.
// A partial report does not list what has not changed; a start would be a change.
func (s *Shard) reconcile(now time.Duration, w *worker, req infra.SyncRequest, reply infra.SyncReply) []Message {
	var out []Message
	reports := reply.Tasks
	for _, sl := range w.slots {
		sl.seen = false
	}
	for i := range reports {
		r := &reports[i]
		if slices.Contains(w.forgets, r.Task.ID) {
			continue
		}
		sl := w.find(r.Task.ID)
		known := sl != nil
		if !known {
			// A partial report lacks the task's need; committed as nothing, it
			// would let the worker be overfilled. All tasks are asked for.
			if reply.Partial {
				w.fullAt = now - s.cfg.FullEvery
				continue
			}
			if sl = s.adopt(w, r); sl == nil {
				continue
			}
		}
		sl.seen, sl.sent = true, true
		if s.update(now, sl, r) || !known {
			out = append(out, s.changed(now, sl))
		}
	}
	for _, sl := range w.slots {
		if !sl.seen && s.gone(sl, req, reply.Partial) {
			out = append(out, s.changed(now, sl))
		}
	}
	return out
}

// gone ends a slot that the worker's report does not list, if that proves that
// it doesn't run and never will.
func (s *Shard) gone(sl *slot, req infra.SyncRequest, partial bool) bool {
	switch {
	case sl.state == slotEnded || sl.state <= slotHeld || sl.missingUntil > 0:
		return false
	case sl.state == slotRunning && partial:
		return false
	case sl.state == slotRunning:
		s.end(sl, AttemptLost, CauseWorkerLost, "worker "+sl.worker.ID+" no longer has the task")
	case sl.stop && (!sl.sent || slices.Contains(req.Stops, sl.task.ID)):
		// The stop overtook the start, and a start of an older sequence can't
		// take effect any more. Without this the slot would keep its room for good.
		s.end(sl, AttemptLost, stopCause(sl), "stopped before it started")
	case startedBy(req, sl.task.ID):
		s.end(sl, AttemptLost, CauseWorkerLost, "worker "+sl.worker.ID+" did not start the task")
	default:
		return false
	}
	return true
}

func startedBy(req infra.SyncRequest, id string) bool {
	for i := range req.Starts {
		if req.Starts[i].ID == id {
			return true
		}
	}
	return false
}

func stopCause(sl *slot) Cause {
	if sl.cause != "" {
		return sl.cause
	}
	return CauseStopped
}

// adopt takes over a task that a predecessor started.
func (s *Shard) adopt(w *worker, r *infra.TaskReport) *slot {
	attempt, err := ParseAttempt(r.Task.ID)
	if err != nil || s.slots[attempt] != nil {
		return nil
	}
	sl := &slot{attempt: attempt, home: ownership.HomeOf(attempt.Job), task: r.Task, hints: hintsFrom(r.Task.Labels), state: slotStarting}
	s.add(w, sl)
	return sl
}

// update takes in a report of a task and tells whether its state changed.
func (s *Shard) update(now time.Duration, sl *slot, r *infra.TaskReport) bool {
	before := sl.state
	if before == slotEnded {
		// A task that was given up runs after all. It is stopped, and its room is
		// committed until the worker says that it has ended.
		if !r.State.Ended() {
			s.revive(sl)
		}
		return false
	}
	sl.missingUntil = 0
	sl.run, sl.ranAt = time.Duration(r.RunTime)*time.Millisecond, now
	sl.usage, sl.memory = larger(sl.usage, r.Usage), r.Usage.MemoryMiB
	switch r.State {
	case infra.TaskRunning:
		sl.state = slotRunning
	case infra.TaskDone:
		s.end(sl, AttemptDone, "", "")
		s.ranWell(now, sl)
	case infra.TaskFailed:
		s.end(sl, AttemptFailed, CauseExit, r.Reason)
		s.ranBadly(now, sl)
	case infra.TaskStopped:
		s.endStopped(sl, r.Reason)
	}
	return sl.state != before
}

// endStopped ends a task that did not come to its end by itself. A task that
// nobody here had stopped was stopped by its worker when the lease lapsed; that is
// no failure of the task.
func (s *Shard) endStopped(sl *slot, reason string) {
	switch {
	case sl.stop && sl.cause == CauseMemory:
		s.end(sl, AttemptFailed, CauseMemory, sl.reason)
	case sl.stop && sl.reason != "":
		s.end(sl, AttemptLost, stopCause(sl), sl.reason)
	case sl.stop:
		s.end(sl, AttemptLost, stopCause(sl), reason)
	default:
		s.end(sl, AttemptLost, CauseWorkerLost, reason)
	}
}

func larger(a, b infra.Resources) infra.Resources {
	return infra.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMiB: max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators)}
}

// lapse gives up the tasks of a worker that has been silent for its whole
// lease. The worker counts the lease from a reading it took before the last
// answer we heard, so by then it has stopped them by itself.
//
// That holds only while nobody else renews the lease. An owner that was replaced
// without knowing it would count a lease that its successor keeps alive, and would
// tell the home of a lost task that still runs. So the log must have confirmed,
// in a read begun after the lapse, that there is no successor: a successor
// reaches a worker only after its claim is in the log.
func (s *Shard) lapse(now time.Duration, w *worker) []Message {
	var out []Message
	if lapsed := w.heardAt + s.leaseTime(); s.over(now, lapsed) {
		for _, sl := range w.slots {
			if sl.state != slotEnded {
				s.end(sl, AttemptLost, CauseWorkerLost, "worker "+w.ID+" was silent for its whole lease")
				out = append(out, s.changed(now, sl))
			}
		}
		w.reconciled, w.reading = false, 0
		return out
	}
	for _, sl := range w.slots {
		if sl.missingUntil > 0 && sl.state != slotEnded && s.over(now, sl.missingUntil) {
			s.end(sl, AttemptLost, CauseWorkerLost, "worker "+w.ID+" was replaced")
			out = append(out, s.changed(now, sl))
		}
	}
	return out
}

// over reports whether a time has passed for this owner and, as the log has
// confirmed, for any other.
func (s *Shard) over(now, at time.Duration) bool { return now >= at && s.confirmedAt >= at }

func without(list, drop []string) []string {
	if len(drop) == 0 {
		return list
	}
	return slices.DeleteFunc(list, func(id string) bool { return slices.Contains(drop, id) })
}
