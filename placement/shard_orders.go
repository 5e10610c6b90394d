package placement

import (
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// channel is what a shard knows of the messages of one home.
type channel struct {
	epoch    infra.Offset
	sequence uint64
}

// FenceHome notes the newest epoch of a home.
func (s *Shard) FenceHome(home ownership.Unit, epoch infra.Offset) {
	if epoch > s.homes[home].epoch {
		s.homes[home] = channel{epoch: epoch}
	}
}

// current reports whether a home's epoch is the newest seen. A home that was
// replaced while it was paused must not place anything any more: its successor
// may already run the same task elsewhere.
func (s *Shard) current(home ownership.Unit, epoch infra.Offset) bool {
	s.FenceHome(home, epoch)
	return epoch == s.homes[home].epoch
}

// inOrder reports whether a message is the newest of its home. A Place that the
// network delivers late, after the Stop or Forget of its attempt, would start a
// task that its home has placed elsewhere since; homes repeat what was dropped.
func (s *Shard) inOrder(m Confirm) bool {
	if !s.current(m.Home, m.HomeEpoch) || (m.ShardEpoch != 0 && m.ShardEpoch != s.epoch) {
		return false
	}
	ch := s.homes[m.Home]
	if m.Sequence == 0 {
		return true
	}
	if m.Sequence <= ch.sequence {
		return false
	}
	ch.sequence = m.Sequence
	s.homes[m.Home] = ch
	return true
}

// allFenced reports whether every worker has answered this owner, so that slots
// holds all that its predecessors placed. Silence alone is no substitute: a worker
// that only this owner can't reach may run on under a predecessor that renews its
// lease. mayHoldUnknown says when no predecessor does.
func (s *Shard) allFenced(now time.Duration) bool {
	for _, w := range s.order {
		if s.mayHoldUnknown(now, w) {
			return false
		}
	}
	return true
}

// mayHoldUnknown reports whether a worker may run a task of a predecessor that
// slots does not hold. One that has been off the list for a lease is gone.
func (s *Shard) mayHoldUnknown(now time.Duration, w *worker) bool {
	if !w.listed && s.over(now, w.listedAt+s.leaseTime()) {
		return false
	}
	if !w.fenced && s.claimReadAt > 0 && s.over(now, s.claimReadAt+s.cfg.PredecessorStops+s.leaseTime()) {
		return false
	}
	return !w.fenced || now < w.settledAt
}

// confirm starts a held attempt. A repeated Confirm is answered with what became
// of the attempt.
func (s *Shard) confirm(now time.Duration, m Confirm) []Message {
	if !s.inOrder(m) {
		return nil
	}
	sl := s.slots[m.Attempt]
	if sl == nil {
		return s.unknown(now, m, CauseHoldExpired)
	}
	switch sl.state {
	case slotHeld:
		sl.state, sl.worker.urgent = slotStarting, true
		sl.worker.held--
	case slotWaiting:
		sl.hold = false
	}
	return []Message{s.changed(now, sl)}
}

// unknown answers for an attempt that no worker of the shard has.
func (s *Shard) unknown(now time.Duration, m Confirm, cause Cause) []Message {
	if !s.allFenced(now) {
		return nil
	}
	return []Message{Changed{Home: m.Home, Shard: s.unit, ShardEpoch: s.epoch, Attempt: m.Attempt, State: AttemptLost, Cause: cause,
		Reason: "no worker of the shard has the attempt"}}
}

func (s *Shard) release(m Confirm) []Message {
	if !s.inOrder(m) {
		return nil
	}
	if sl := s.slots[m.Attempt]; sl != nil && sl.state <= slotHeld {
		s.end(sl, AttemptLost, CauseStopped, "released")
		s.forget(sl)
	}
	return nil
}

// stopped stops an attempt. Its room stays committed until the worker says that
// the task has ended.
func (s *Shard) stopped(now time.Duration, m Confirm) []Message {
	if !s.inOrder(m) {
		return nil
	}
	sl := s.slots[m.Attempt]
	if sl == nil {
		return s.unknown(now, m, CauseStopped)
	}
	s.stop(sl, CauseStopped, "stopped by its home")
	if sl.state == slotEnded {
		return []Message{s.changed(now, sl)}
	}
	return nil
}

func (s *Shard) stop(sl *slot, cause Cause, reason string) {
	switch {
	case sl.state == slotEnded:
	case sl.state <= slotHeld || (sl.state == slotStarting && !sl.sent):
		s.end(sl, AttemptLost, cause, reason)
	case !sl.stop:
		sl.stop, sl.cause, sl.reason, sl.worker.urgent = true, cause, reason, true
		sl.worker.leaving = sl.worker.leaving.Add(sl.task.Need)
	}
}

func (s *Shard) forgotten(m Confirm) []Message {
	if !s.inOrder(m) {
		return nil
	}
	if sl := s.slots[m.Attempt]; sl != nil && sl.state == slotEnded {
		s.forget(sl)
	}
	return nil
}

func (s *Shard) noted(m Confirm) []Message {
	if !s.inOrder(m) {
		return nil
	}
	if sl := s.slots[m.Attempt]; sl != nil {
		sl.noted = true
	}
	return nil
}

// JobEnded stops what still runs of a job and forgets what has ended.
func (s *Shard) JobEnded(job string) {
	list := s.jobs[job]
	for i := len(list) - 1; i >= 0; i-- {
		sl := list[i]
		s.stop(sl, CauseStopped, "its job has ended")
		if sl.state == slotEnded {
			s.forget(sl)
		}
	}
}

// collect answers once all workers have been heard; until then the home asks
// again.
func (s *Shard) collect(now time.Duration, m Collect) []Message {
	if !s.current(m.Home, m.HomeEpoch) || !s.allFenced(now) {
		return nil
	}
	answer := Collected{Home: m.Home, Shard: s.unit, HomeEpoch: m.HomeEpoch, ShardEpoch: s.epoch}
	for _, w := range s.order {
		for _, sl := range w.slots {
			if sl.home != m.Home {
				continue
			}
			// A waiting task starts by itself. Told as held it would start beside
			// the one that the new home places, should its Release get lost.
			if sl.state == slotWaiting {
				s.end(sl, AttemptLost, CauseStopped, "its home was replaced while it waited for room")
			}
			answer.Attempts = append(answer.Attempts, s.news(now, sl))
		}
	}
	return []Message{answer}
}

// Jobs returns the IDs of the jobs that have tasks in the shard.
func (s *Shard) Jobs() []string {
	ids := make([]string, 0, len(s.jobs))
	for id := range s.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
