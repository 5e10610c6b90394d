package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// SyncOrder asks the caller to send a request to a worker and to pass the
// answer to Synced.
type SyncOrder struct {
	Shard   ownership.Unit
	Worker  string
	Request infra.SyncRequest
}

// nextSync builds the next request to a worker. Orders are repeated in each
// request until the worker's report shows that they were executed.
func (s *Shard) nextSync(now time.Duration, w *worker) SyncOrder {
	w.sequence++
	w.inflight, w.urgent, w.sentAt = true, false, now
	req := infra.SyncRequest{Token: s.epoch, Sequence: w.sequence, Boot: w.boot, AsOf: w.reading, LeaseMillis: s.cfg.Lease.Milliseconds()}
	req.Forgets = append(req.Forgets, w.forgets...)
	if w.reconciled {
		for _, sl := range w.slots {
			sl.addTo(&req)
		}
	}
	s.preparePoll(now, w, &req)
	return SyncOrder{Shard: s.unit, Worker: w.ID, Request: req}
}

func (sl *slot) addTo(req *infra.SyncRequest) {
	switch {
	case sl.state == slotEnded || sl.missingUntil > 0:
	case sl.stop:
		// A worker executes checkpoints before stops.
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

// Synced processes a worker's answer, or the error of a failed request.
//
// Only the first answer to the newest request counts. An older answer describes
// the state before the newest orders, and a repeated one may come from a
// machine that has been replaced under the same ID.
func (s *Shard) Synced(now time.Duration, id string, req infra.SyncRequest, reply infra.SyncReply, err error) []Message {
	w, ok := s.workers[id]
	if !ok || req.Token != s.epoch || req.Sequence != w.sequence || !w.inflight {
		return nil
	}
	w.inflight = false
	if err != nil || reply.Refused != "" || isInvalidPartial(req, reply) {
		return nil
	}
	var out []Message
	if !w.fenced || reply.Boot != w.boot {
		s.handleNewMachine(now, w, reply)
	}
	w.heardAt, w.reading, w.boot = now, reply.Reading, reply.Boot
	out = append(out, s.reconcile(now, w, req, reply)...)
	w.known = reply.Change
	if !reply.Partial {
		w.fullAt = now
	}
	// A report made while a Forget was on its way still lists the task;
	// treating it as a new one would notify its home of the same end twice.
	w.forgets = without(w.forgets, req.Forgets)
	if !w.reconciled {
		if !w.fenced {
			w.fencedAt = now
		}
		w.fenced, w.reconciled, w.urgent = true, true, true
	}
	s.enforceMemory(w)
	s.promote(now, w)
	return out
}

// handleNewMachine handles the first answer of a machine. The previous machine
// with the same ID may only be cut off and then runs its tasks until its lease
// expires; the tasks known to this owner are considered lost only then. What a
// predecessor started there is not known, so until predecessorsGoneAt no answer
// is given that requires complete knowledge.
func (s *Shard) handleNewMachine(now time.Duration, w *worker, reply infra.SyncReply) {
	until := s.leaseEnd(w)
	for _, sl := range w.slots {
		if sl.state == slotRunning || (sl.state == slotStarting && sl.sent) {
			sl.missingUntil = until
		}
	}
	if reply.Boot != 0 {
		up := time.Duration(reply.UpMillis) * time.Millisecond
		w.predecessorsGoneAt = now + s.longestLease(now) - up
	}
}

// leaseBound returns how long a lease lasts at most on another clock.
func leaseBound(lease time.Duration) time.Duration { return lease + lease/leaseMarginDivisor }

// leaseEnd returns until when a worker may run tasks by the leases of this owner and, if it has answered, of
// predecessors. A predecessor's longer lease outlasts this owner's renewals.
func (s *Shard) leaseEnd(w *worker) time.Duration {
	end := w.heardAt + leaseBound(s.cfg.Lease)
	if w.fenced {
		end = max(end, w.fencedAt+leaseBound(s.cfg.PredecessorLease))
	}
	return end
}

// longestLease is the longest lease that may still last, of this owner or a predecessor.
func (s *Shard) longestLease(now time.Duration) time.Duration {
	if s.PredecessorsOver(now) {
		return leaseBound(s.cfg.Lease)
	}
	return leaseBound(max(s.cfg.Lease, s.cfg.PredecessorLease))
}

// predecessorsEnd returns when the last lease of a predecessor is over; false: it is not known yet.
func (s *Shard) predecessorsEnd() (time.Duration, bool) {
	return s.claimReadAt + s.cfg.PredecessorRenewalLimit + leaseBound(max(s.cfg.Lease, s.cfg.PredecessorLease)), s.claimReadAt > 0
}

// PredecessorsOver reports whether no lease of a predecessor lasts any more.
func (s *Shard) PredecessorsOver(now time.Duration) bool {
	end, known := s.predecessorsEnd()
	return known && s.hasPassed(now, end)
}

// reconcile updates the slots from the worker's report, which is authoritative:
// a start that it does not list was not executed, a task that it lists is
// running. A partial report omits what has not changed; a start would be a
// change.
func (s *Shard) reconcile(now time.Duration, w *worker, req infra.SyncRequest, reply infra.SyncReply) []Message {
	var out []Message
	reports := reply.Tasks
	for _, sl := range w.slots {
		sl.reported = false
	}
	for i := range reports {
		r := &reports[i]
		if slices.Contains(w.forgets, r.Task.ID) {
			continue
		}
		sl := w.find(r.Task.ID)
		known := sl != nil
		if !known {
			// A partial report lacks the task's need; committing nothing for it
			// would allow the worker to be overcommitted. A report of all tasks
			// is requested.
			if reply.Partial {
				w.fullAt = now - s.cfg.FullReportInterval
				continue
			}
			if sl = s.adopt(w, r); sl == nil {
				continue
			}
		}
		sl.reported, sl.sent = true, true
		if s.update(now, sl, r) || !known {
			out = append(out, s.notify(now, sl))
		}
	}
	for _, sl := range w.slots {
		if !sl.reported && s.endIfGone(sl, req, reply.Partial) {
			out = append(out, s.notify(now, sl))
		}
	}
	return out
}

// endIfGone ends a slot that the worker's report does not list, if that proves
// that the task doesn't run and never will.
func (s *Shard) endIfGone(sl *slot, req infra.SyncRequest, partial bool) bool {
	switch {
	case sl.state == slotEnded || sl.state <= slotHeld || sl.missingUntil > 0:
		return false
	case sl.state == slotRunning && partial:
		return false
	case sl.state == slotRunning:
		s.end(sl, AttemptLost, CauseWorkerLost, "worker "+sl.worker.ID+" no longer has the task")
	case sl.stop && (!sl.sent || slices.Contains(req.Stops, sl.task.ID)):
		// The stop overtook the start, and a start with an older sequence can't
		// take effect any more. Without this case the slot would occupy its
		// resources permanently.
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

// adopt adds a slot for a task that a predecessor started.
func (s *Shard) adopt(w *worker, r *infra.TaskReport) *slot {
	attempt, err := ParseAttempt(r.Task.ID)
	if err != nil || s.slots[attempt] != nil {
		return nil
	}
	sl := &slot{attempt: attempt, home: ownership.HomeOf(attempt.Job), task: r.Task, hints: hintsFrom(r.Task.Labels), state: slotStarting}
	s.add(w, sl)
	return sl
}

// update applies the report of a task and returns whether its state changed.
func (s *Shard) update(now time.Duration, sl *slot, r *infra.TaskReport) bool {
	before := sl.state
	if before == slotEnded {
		// A task that was considered ended is running. It is stopped, and its
		// resources are committed until the worker reports its end.
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
		s.recordSuccess(now, sl)
	case infra.TaskFailed:
		s.end(sl, AttemptFailed, CauseExit, r.Reason)
		s.recordFailure(now, sl)
	case infra.TaskStopped:
		s.endStopped(sl, r.Reason)
	}
	return sl.state != before
}

// endStopped ends a task that was stopped before it completed. If this owner
// did not stop it, its worker did when the lease expired, which is not a
// failure of the task.
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

// expireLease gives up the tasks of a worker that has not answered for its
// whole lease. The worker counts the lease from a clock reading taken before
// its last received answer, so by then it has stopped the tasks by itself.
//
// That holds only while no other owner renews the lease. An owner that was
// replaced without knowing it would count down a lease that its successor
// renews, and would report a task as lost that still runs. So a log read started
// after the expiry must have confirmed that there is no successor: a successor
// contacts a worker only after its claim is in the log.
func (s *Shard) expireLease(now time.Duration, w *worker) []Message {
	var out []Message
	var replacedUntil time.Duration
	if !w.fenced && s.PredecessorsOver(now) {
		s.logUnansweredOver(now, w)
	}
	if expiresAt := s.leaseEnd(w); s.hasPassed(now, expiresAt) {
		for _, sl := range w.slots {
			if sl.state != slotEnded {
				s.end(sl, AttemptLost, CauseWorkerLost, "worker "+w.ID+" was silent for its whole lease")
				out = append(out, s.notify(now, sl))
			}
		}
		if len(out) > 0 {
			s.logLeaseOver(w, len(out), s.leaseReason(now, w))
		}
		w.reconciled, w.reading = false, 0
		return out
	}
	for _, sl := range w.slots {
		if sl.missingUntil > 0 && sl.state != slotEnded && s.hasPassed(now, sl.missingUntil) {
			s.end(sl, AttemptLost, CauseWorkerLost, "worker "+w.ID+" was replaced")
			out = append(out, s.notify(now, sl))
			replacedUntil = max(replacedUntil, sl.missingUntil)
		}
	}
	if len(out) > 0 {
		s.logLeaseOver(w, len(out), fmt.Sprintf("another machine answered under the ID; the lease of the former one: over for %v", since(now, replacedUntil)))
	}
	return out
}

// hasPassed reports whether a time has passed for this owner and the log has
// confirmed that it had no successor at that time.
func (s *Shard) hasPassed(now, at time.Duration) bool { return now >= at && s.confirmedAt >= at }

func without(list, drop []string) []string {
	if len(drop) == 0 {
		return list
	}
	return slices.DeleteFunc(list, func(id string) bool { return slices.Contains(drop, id) })
}
