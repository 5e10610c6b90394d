package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// place answers a Place: with the attempt's worker when the shard has it, with a
// new worker, or with the reason why there is none.
func (s *Shard) place(now time.Duration, m Place) []Message {
	order := Confirm{Shard: m.Shard, Home: m.Home, HomeEpoch: m.HomeEpoch, ShardEpoch: m.ShardEpoch, Sequence: m.Sequence, Attempt: m.Attempt}
	if !s.inOrder(order) {
		return nil
	}
	if sl := s.slots[m.Attempt]; sl != nil {
		return s.placedBefore(now, m, sl)
	}
	// A predecessor may have started the attempt on a worker that has not
	// answered yet; placing it now could run it twice.
	if m.AskedEpoch < s.epoch && !s.allFenced(now) {
		return nil
	}
	q := s.query(now, m)
	c := s.choose(&q)
	answer := s.placed(m)
	answer.Removed, answer.Best = c.removed, c.top
	if c.best != nil {
		sl := s.commit(&q, c.best, slotStarting)
		sl.backfill = !m.Need.Fits(c.best.free().Add(m.Need))
		s.describe(&answer, sl)
		return []Message{answer}
	}
	answer.Reason = removedReason(len(s.order), c.removed)
	out := s.makeRoom(&q, &answer)
	return append(out, answer)
}

func (s *Shard) placed(m Place) Placed {
	return Placed{Home: m.Home, Shard: s.unit, Attempt: m.Attempt, Sequence: m.Sequence, Workers: len(s.order)}
}

// describe says in an answer what has become of an attempt. One that waits for
// displaced work to end is as good as placed; one that must be held first is not.
func (s *Shard) describe(answer *Placed, sl *slot) {
	answer.Worker = sl.worker.ID
	answer.Held = sl.state == slotHeld
	answer.Reserved = sl.state == slotWaiting
	answer.OK = !(sl.state == slotWaiting && sl.hold)
}

// placedBefore answers a repeated Place and renews a hold.
func (s *Shard) placedBefore(now time.Duration, m Place, sl *slot) []Message {
	if sl.state == slotEnded {
		return []Message{s.changed(now, sl)}
	}
	sl.heldAt = now
	answer := s.placed(m)
	s.describe(&answer, sl)
	return []Message{answer}
}

// commit takes the room of an attempt at a worker.
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

// relieve makes room at a worker that has become smaller than what is committed
// on it: what has not started gives way first, then the newest tasks.
func (s *Shard) relieve(w *worker) {
	for i := len(w.slots) - 1; i >= 0 && !w.committed.Fits(w.Capacity); i-- {
		if sl := w.slots[i]; sl.state <= slotHeld || sl.state == slotStarting && !sl.sent {
			s.stop(sl, CauseWorkerLost, "worker "+w.ID+" has become smaller")
		}
	}
	leaving := infra.Resources{}
	for i := len(w.slots) - 1; i >= 0 && !w.committed.Sub(leaving).Fits(w.Capacity); i-- {
		if sl := w.slots[i]; sl.state != slotEnded {
			s.stop(sl, CauseWorkerLost, "worker "+w.ID+" has become smaller")
			leaving = leaving.Add(sl.task.Need)
		}
	}
}
