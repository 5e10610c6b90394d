package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Times of claims on room that others still use.
const (
	// unknownRun stands for the rest of a task whose run time nobody knows.
	unknownRun = time.Hour
	// overdueRun stands for the rest of a task that runs longer than expected.
	overdueRun = 10 * time.Second
	// leastBackfill is how far off a claim must be for a checkpointable task to
	// be started in its room: displacing it costs a checkpoint.
	leastBackfill = 10 * time.Second
	// claimAhead is how far ahead room is kept at most. Room kept for long stands
	// idle for long: what has come free waits for the last task to end. A share of
	// the time that a job has waited is added, so that a job which needs room that
	// seldom comes together gets it in the end.
	claimAhead       = 10 * time.Second
	claimAheadWaited = 10
)

// makeRoom finds room for what didn't fit: urgent work displaces other work, and
// a task that asks for it gets the room that comes free soonest.
func (s *Shard) makeRoom(q *query, answer *Placed) []Message {
	if q.Urgent {
		if w, victims := s.cheapest(q); w != nil {
			answer.Displaced = s.displace(q, victims)
			sl := s.commit(q, w, slotWaiting)
			sl.claimAt = q.now
			s.promote(q.now, w)
			s.describe(answer, sl)
			return nil
		}
	}
	if q.Reserve {
		return s.reserve(q, answer)
	}
	return nil
}

// reserve claims the room that comes free soonest. A shard keeps room for one job
// at a time: claims of many jobs would leave all its workers half idle. Of two
// jobs the one accepted earlier goes first, and an older gang takes also what a
// younger one holds without having started: two gangs that each hold half of
// what they need would otherwise wait for each other for good.
func (s *Shard) reserve(q *query, answer *Placed) []Message {
	other := s.claimant(q)
	if other != nil && !q.olderThan(other) {
		return nil
	}
	limit := q.now + claimAhead + q.Waited/claimAheadWaited
	var best *worker
	var bestAt time.Duration
	for _, w := range s.order {
		if lasting(q, w) {
			continue
		}
		if at, ok := claimTime(q, w); ok && at <= limit && (best == nil || at < bestAt) {
			best, bestAt = w, at
		}
	}
	if best == nil {
		return nil
	}
	var out []Message
	if other != nil {
		out = s.dropClaims(q, other.attempt.Job)
	}
	out = append(out, s.takeFromYounger(q, best)...)
	sl := s.commit(q, best, slotWaiting)
	sl.claimAt = bestAt
	s.promote(q.now, best)
	s.describe(answer, sl)
	return out
}

// claimant returns a claim of another job than the one that asks.
func (s *Shard) claimant(q *query) *slot {
	for _, w := range s.order {
		if w.waiting == 0 {
			continue
		}
		for _, sl := range w.slots {
			if sl.state == slotWaiting && !sl.hints.urgent && sl.attempt.Job != q.Attempt.Job {
				return sl
			}
		}
	}
	return nil
}

func (s *Shard) dropClaims(q *query, job string) []Message {
	var out []Message
	for _, sl := range s.jobs[job] {
		if sl.state == slotWaiting {
			s.end(sl, AttemptLost, CauseHoldTaken, takenReason(q))
			out = append(out, s.changed(q.now, sl))
		}
	}
	return out
}

func takenReason(q *query) string {
	return "job " + q.Attempt.Job + " was accepted earlier and needs the room"
}

// takes reports whether a search may take what a slot holds without having
// started it. What urgent work holds is never taken: it would displace others
// again for the room it had.
func (q *query) takes(sl *slot) bool {
	return q.Kind == Gang && sl.hold && sl.state <= slotHeld && !sl.hints.urgent && q.olderThan(sl)
}

// olderThan reports whether a search goes before a slot's job.
func (q *query) olderThan(sl *slot) bool {
	return q.Accepted != 0 && (sl.hints.accepted == 0 || q.Accepted < sl.hints.accepted)
}

// claimTime is when a worker is expected to have room.
func claimTime(q *query, w *worker) (time.Duration, bool) {
	room := w.free()
	for _, sl := range w.slots {
		if q.takes(sl) {
			room = room.Add(sl.task.Need)
		}
	}
	at := q.now
	for !q.Need.Fits(room) {
		next, end := nextEnd(w, at, q.now)
		if next == nil {
			return 0, false
		}
		room, at = room.Add(*next), end
	}
	return at, true
}

// nextEnd returns the need of the tasks that end next after a time, and when.
func nextEnd(w *worker, after, now time.Duration) (*infra.Resources, time.Duration) {
	var end time.Duration
	for _, sl := range w.slots {
		if e := expectedEnd(sl, now); sl.state == slotStarting || sl.state == slotRunning {
			if e > after && (end == 0 || e < end) {
				end = e
			}
		}
	}
	if end == 0 {
		return nil, 0
	}
	var sum infra.Resources
	for _, sl := range w.slots {
		if (sl.state == slotStarting || sl.state == slotRunning) && expectedEnd(sl, now) == end {
			sum = sum.Add(sl.task.Need)
		}
	}
	return &sum, end
}

func expectedEnd(sl *slot, now time.Duration) time.Duration {
	switch expected := sl.hints.expected; {
	case sl.stop:
		return now + time.Second
	case expected == 0:
		return now + unknownRun
	case expected <= sl.ranFor(now):
		return now + overdueRun
	default:
		return now + expected - sl.ranFor(now)
	}
}

// takeFromYounger ends what younger jobs hold or claim, as far as it is needed.
func (s *Shard) takeFromYounger(q *query, w *worker) []Message {
	var out []Message
	for _, sl := range w.slots {
		if q.Need.Fits(w.free()) {
			break
		}
		if q.takes(sl) {
			s.end(sl, AttemptLost, CauseHoldTaken, takenReason(q))
			out = append(out, s.changed(q.now, sl))
		}
	}
	return out
}

// mayBackfill reports whether a task may run in claimed room: it is expected to
// end before the room is needed, or can be checkpointed then.
func mayBackfill(q *query, w *worker) bool {
	if w.waiting == 0 {
		return false
	}
	at := unknownRun + q.now
	for _, sl := range w.slots {
		if sl.state == slotWaiting {
			at = min(at, sl.claimAt)
		}
	}
	if q.Checkpointable && q.now+leastBackfill <= at {
		return true
	}
	return q.ExpectedRun > 0 && q.now+q.ExpectedRun <= at
}

// promote starts or holds waiting tasks whose room has come free, and displaces
// the checkpointable tasks that were let into it.
func (s *Shard) promote(now time.Duration, w *worker) {
	if w.waiting == 0 || !w.reconciled {
		return
	}
	for _, sl := range w.slots {
		if sl.state != slotWaiting {
			continue
		}
		if !sl.task.Need.Fits(w.uncommitted()) {
			s.clearBackfill(w, sl)
			return
		}
		sl.giveBack()
		sl.state, sl.heldAt = slotStarting, now
		if sl.hold {
			sl.state = slotHeld
		}
		sl.take()
		w.urgent = true
	}
}

// clearBackfill stops tasks that were let into claimed room when that is all that
// is missing.
func (s *Shard) clearBackfill(w *worker, claim *slot) {
	room := w.uncommitted().Add(w.leaving)
	for _, sl := range w.slots {
		if sl.backfill && !sl.stop && sl.state > slotHeld && sl.state != slotEnded {
			room = room.Add(sl.task.Need)
		}
	}
	if !claim.task.Need.Fits(room) {
		return
	}
	for _, sl := range w.slots {
		if claim.task.Need.Fits(w.uncommitted().Add(w.leaving)) {
			return
		}
		if sl.backfill && sl.hints.checkpointable {
			s.stop(sl, CausePreempted, "ran in room reserved for "+claim.task.ID)
		}
	}
}
