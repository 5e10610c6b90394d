package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// handlePlace answers a Place with the attempt's worker if the shard has the
// attempt, with a newly chosen worker, or with the reason why there is none.
func (s *Shard) handlePlace(now time.Duration, m Place) []Message {
	order := Confirm{Shard: m.Shard, Home: m.Home, HomeEpoch: m.HomeEpoch, ShardEpoch: m.ShardEpoch, Sequence: m.Sequence, Attempt: m.Attempt}
	if !s.acceptSequence(order) {
		return nil
	}
	if sl := s.slots[m.Attempt]; sl != nil {
		return s.handleRepeatedPlace(now, m, sl)
	}
	// A predecessor may have started the attempt on a worker that has not
	// answered yet; placing it now could run it twice.
	if m.AskedEpoch < s.epoch && !s.allFenced(now) {
		return nil
	}
	q := s.query(now, m)
	c := s.choose(&q)
	answer := s.newAnswer(m)
	answer.Removed, answer.Best = c.removed, c.top
	if c.best != nil {
		sl := s.commit(&q, c.best, slotStarting)
		sl.backfill = !m.Need.Fits(c.best.free().Add(m.Need))
		s.fillAnswer(&answer, sl)
		return []Message{answer}
	}
	answer.Reason = removedReason(len(s.order), c.removed)
	out := s.displaceOrReserve(&q, &answer)
	return append(out, answer)
}

func (s *Shard) newAnswer(m Place) Placed {
	return Placed{Home: m.Home, Shard: s.unit, Attempt: m.Attempt, Sequence: m.Sequence, Workers: len(s.order)}
}

// fillAnswer sets the attempt's state in an answer. An attempt that waits for
// displaced tasks to end counts as placed, unless it must be held first.
func (s *Shard) fillAnswer(answer *Placed, sl *slot) {
	answer.Worker = sl.worker.ID
	answer.Held = sl.state == slotHeld
	answer.Reserved = sl.state == slotWaiting
	answer.OK = !(sl.state == slotWaiting && sl.hold)
}

// handleRepeatedPlace answers a repeated Place and renews a hold.
func (s *Shard) handleRepeatedPlace(now time.Duration, m Place, sl *slot) []Message {
	if sl.state == slotEnded {
		return []Message{s.notify(now, sl)}
	}
	sl.heldAt = now
	answer := s.newAnswer(m)
	s.fillAnswer(&answer, sl)
	return []Message{answer}
}

// commit assigns an attempt to a worker and commits or reserves its resources.
func (s *Shard) commit(q *query, w *worker, state slotState) *slot {
	h := hintsOf(q.Place)
	sl := &slot{attempt: q.Attempt, home: q.Home, hints: h, state: state, heldAt: q.now, hold: q.Hold,
		task: infra.Task{ID: q.Attempt.TaskID(), Need: q.Need, Payload: q.Payload, Labels: h.labels()}}
	if state == slotStarting && q.Hold {
		sl.state = slotHeld
	}
	s.add(w, sl)
	w.urgent = w.urgent || sl.state == slotStarting
	return sl
}

// shrinkToCapacity stops tasks on a worker whose capacity has become smaller
// than what is committed: first tasks that have not started, then the newest
// ones.
func (s *Shard) shrinkToCapacity(w *worker) {
	for i := len(w.slots) - 1; i >= 0 && !w.committed.Fits(w.Capacity); i-- {
		if sl := w.slots[i]; sl.state <= slotHeld || sl.state == slotStarting && !sl.sent {
			s.stop(sl, CauseWorkerLost, "worker "+w.ID+" has become smaller")
		}
	}
	stopping := infra.Resources{}
	for i := len(w.slots) - 1; i >= 0 && !w.committed.Sub(stopping).Fits(w.Capacity); i-- {
		if sl := w.slots[i]; sl.state != slotEnded {
			s.stop(sl, CauseWorkerLost, "worker "+w.ID+" has become smaller")
			stopping = stopping.Add(sl.task.Need)
		}
	}
}
