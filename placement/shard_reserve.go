package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Estimates and limits for reservations of capacity that is still in use.
const (
	// unknownRemaining is the assumed remaining run time of a task whose run
	// time is unknown.
	unknownRemaining = time.Hour
	// overdueRemaining is the assumed remaining run time of a task that has
	// exceeded its expected run time.
	overdueRemaining = 10 * time.Second
	// minBackfillWindow is the minimum time until a reservation is due for a
	// checkpointable task to be backfilled: displacing it costs a checkpoint.
	minBackfillWindow = 10 * time.Second
	// maxReserveAhead is how far ahead capacity is reserved. The capacity that
	// becomes free first stays idle until the last task has ended, so a long
	// reservation wastes it. A share of the time that a job has waited,
	// 1/waitedDivisor, is added, so that a job which needs a rare amount of
	// free capacity starts eventually.
	maxReserveAhead = 10 * time.Second
	waitedDivisor   = 10
)

// displaceOrReserve obtains capacity for a task that did not fit: urgent work
// displaces other work, and a task that requests it gets a reservation of the
// capacity that becomes free soonest.
func (s *Shard) displaceOrReserve(q *query, answer *Placed) []Message {
	if q.Urgent {
		if w, victims := s.cheapestVictims(q); w != nil {
			answer.Displaced = s.displace(q, victims)
			sl := s.commit(q, w, slotWaiting)
			sl.availableAt = q.now
			s.promote(q.now, w)
			s.fillAnswer(answer, sl)
			return nil
		}
	}
	if q.Reserve {
		return s.reserve(q, answer)
	}
	return nil
}

// reserve reserves the capacity that becomes free soonest. A shard has
// reservations of one job at a time: reservations of many jobs would leave all
// its workers half idle. The job accepted earlier has precedence, and an older
// gang also takes what a younger one holds without having started: otherwise
// two gangs that each hold half of what they need would wait for each other
// indefinitely.
func (s *Shard) reserve(q *query, answer *Placed) []Message {
	other := s.otherReservation(q)
	if other != nil && !q.olderThan(other) {
		return nil
	}
	limit := q.now + maxReserveAhead + q.Waited/waitedDivisor
	var best *worker
	var bestAt time.Duration
	for _, w := range s.order {
		if isIneligible(q, w) {
			continue
		}
		if at, ok := expectedFit(q, w); ok && at <= limit && (best == nil || at < bestAt) {
			best, bestAt = w, at
		}
	}
	if best == nil {
		return nil
	}
	var out []Message
	if other != nil {
		out = s.dropReservations(q, other.attempt.Job)
	}
	out = append(out, s.revokeYoungerHolds(q, best)...)
	sl := s.commit(q, best, slotWaiting)
	sl.availableAt = bestAt
	s.promote(q.now, best)
	s.fillAnswer(answer, sl)
	return out
}

// otherReservation returns a reservation of a job other than the requesting
// one.
func (s *Shard) otherReservation(q *query) *slot {
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

func (s *Shard) dropReservations(q *query, job string) []Message {
	var out []Message
	for _, sl := range s.jobs[job] {
		if sl.state == slotWaiting {
			s.end(sl, AttemptLost, CauseHoldTaken, revokedReason(q))
			out = append(out, s.notify(q.now, sl))
		}
	}
	return out
}

func revokedReason(q *query) string {
	return "job " + q.Attempt.Job + " was accepted earlier and needs the room"
}

// canRevoke reports whether a search may take what a slot holds without having
// started. Holds of urgent work are never revoked: it would displace other
// tasks again to regain the capacity.
func (q *query) canRevoke(sl *slot) bool {
	return q.Kind == Gang && sl.hold && sl.state <= slotHeld && !sl.hints.urgent && q.olderThan(sl)
}

// olderThan reports whether the searching job was accepted before a slot's job.
func (q *query) olderThan(sl *slot) bool {
	return q.Accepted != 0 && (sl.hints.accepted == 0 || q.Accepted < sl.hints.accepted)
}

// expectedFit returns when a worker is expected to have enough free capacity.
func expectedFit(q *query, w *worker) (time.Duration, bool) {
	free := w.free()
	for _, sl := range w.slots {
		if q.canRevoke(sl) {
			free = free.Add(sl.task.Need)
		}
	}
	at := q.now
	for !q.Need.Fits(free) {
		next, end := nextEnd(w, at, q.now)
		if next == nil {
			return 0, false
		}
		free, at = free.Add(*next), end
	}
	return at, true
}

// nextEnd returns the total need of the running tasks that end first after a
// given time, and when they end.
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
		return now + unknownRemaining
	case expected <= sl.ranFor(now):
		return now + overdueRemaining
	default:
		return now + expected - sl.ranFor(now)
	}
}

// revokeYoungerHolds ends the holds and reservations of younger jobs as far as
// necessary.
func (s *Shard) revokeYoungerHolds(q *query, w *worker) []Message {
	var out []Message
	for _, sl := range w.slots {
		if q.Need.Fits(w.free()) {
			break
		}
		if q.canRevoke(sl) {
			s.end(sl, AttemptLost, CauseHoldTaken, revokedReason(q))
			out = append(out, s.notify(q.now, sl))
		}
	}
	return out
}

// canBackfill reports whether a task may use reserved capacity: it is expected
// to end before the reservation is due, or can be checkpointed then.
func canBackfill(q *query, w *worker) bool {
	if w.waiting == 0 {
		return false
	}
	at := unknownRemaining + q.now
	for _, sl := range w.slots {
		if sl.state == slotWaiting {
			at = min(at, sl.availableAt)
		}
	}
	if q.Checkpointable && q.now+minBackfillWindow <= at {
		return true
	}
	return q.ExpectedRun > 0 && q.now+q.ExpectedRun <= at
}

// promote starts or holds waiting tasks whose reserved capacity has become
// free, and displaces the checkpointable tasks that were backfilled there.
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
		sl.deallocate()
		sl.state, sl.heldAt = slotStarting, now
		if sl.hold {
			sl.state = slotHeld
		}
		sl.allocate()
		w.urgent = true
	}
}

// clearBackfill stops backfilled checkpointable tasks if only backfilled tasks
// are in the way of a reservation.
func (s *Shard) clearBackfill(w *worker, reservation *slot) {
	free := w.uncommitted().Add(w.stopping)
	for _, sl := range w.slots {
		if sl.backfill && !sl.stop && sl.state > slotHeld && sl.state != slotEnded {
			free = free.Add(sl.task.Need)
		}
	}
	if !reservation.task.Need.Fits(free) {
		return
	}
	for _, sl := range w.slots {
		if reservation.task.Need.Fits(w.uncommitted().Add(w.stopping)) {
			return
		}
		if sl.backfill && sl.hints.checkpointable {
			s.stop(sl, CausePreempted, "ran in room reserved for "+reservation.task.ID)
		}
	}
}
