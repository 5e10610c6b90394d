package placement

import (
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// channel is the state of the message sequence from one home.
type channel struct {
	epoch    infra.Offset
	sequence uint64
}

// FenceHome records a home's epoch if it is the newest seen.
func (s *Shard) FenceHome(home ownership.Unit, epoch infra.Offset) {
	if epoch > s.homes[home].epoch {
		s.homes[home] = channel{epoch: epoch}
	}
}

// isCurrentHome reports whether a home's epoch is the newest seen. An owner of
// a home that was replaced while it was paused must not place anything: its
// successor may already run the same task elsewhere.
func (s *Shard) isCurrentHome(home ownership.Unit, epoch infra.Offset) bool {
	s.FenceHome(home, epoch)
	return epoch == s.homes[home].epoch
}

// acceptSequence reports whether a message is the newest of its home, and
// records its sequence. A Place delivered late, after the Stop or Forget of its
// attempt, would start a task that its home has placed elsewhere since. Homes
// send dropped messages again.
func (s *Shard) acceptSequence(m Confirm) bool {
	if !s.isCurrentHome(m.Home, m.HomeEpoch) || (m.ShardEpoch != 0 && m.ShardEpoch != s.epoch) {
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
// holds everything that its predecessors placed. Not hearing from a worker is
// no substitute: one that only this owner can't reach may continue under a
// predecessor that renews its lease. mayRunUnknown determines when no
// predecessor can.
func (s *Shard) allFenced(now time.Duration) bool {
	for _, w := range s.order {
		if s.mayRunUnknown(now, w) {
			return false
		}
	}
	return true
}

// mayRunUnknown reports whether a worker may run a task of a predecessor that
// slots does not hold. A worker that has been unlisted for a whole lease is
// gone.
func (s *Shard) mayRunUnknown(now time.Duration, w *worker) bool {
	if !w.listed && s.hasPassed(now, w.listedAt+s.longestLease(now)) {
		return false
	}
	if !w.fenced && s.PredecessorsOver(now) {
		return false
	}
	return !w.fenced || now < w.predecessorsGoneAt
}

// handleConfirm starts a held attempt. A repeated Confirm is answered with the
// attempt's state.
func (s *Shard) handleConfirm(now time.Duration, m Confirm) []Message {
	if !s.acceptSequence(m) {
		return nil
	}
	sl := s.slots[m.Attempt]
	if sl == nil {
		return s.answerUnknown(now, m, CauseHoldExpired)
	}
	switch sl.state {
	case slotHeld:
		sl.state, sl.worker.urgent = slotStarting, true
		sl.worker.held--
	case slotWaiting:
		sl.hold = false
	}
	return []Message{s.notify(now, sl)}
}

// answerUnknown answers for an attempt that no worker of the shard has.
func (s *Shard) answerUnknown(now time.Duration, m Confirm, cause Cause) []Message {
	if !s.allFenced(now) {
		return nil
	}
	return []Message{Changed{Home: m.Home, Shard: s.unit, ShardEpoch: s.epoch, Attempt: m.Attempt, State: AttemptLost, Cause: cause,
		Reason: "no worker of the shard has the attempt"}}
}

func (s *Shard) handleRelease(m Confirm) []Message {
	if !s.acceptSequence(m) {
		return nil
	}
	if sl := s.slots[m.Attempt]; sl != nil && sl.state <= slotHeld {
		s.end(sl, AttemptLost, CauseStopped, "released")
		s.forget(sl)
	}
	return nil
}

// handleStop stops an attempt. Its resources stay committed until the worker
// reports that the task has ended.
func (s *Shard) handleStop(now time.Duration, m Confirm) []Message {
	if !s.acceptSequence(m) {
		return nil
	}
	sl := s.slots[m.Attempt]
	if sl == nil {
		return s.answerUnknown(now, m, CauseStopped)
	}
	s.stop(sl, CauseStopped, "stopped by its home")
	if sl.state == slotEnded {
		return []Message{s.notify(now, sl)}
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
		sl.worker.stopping = sl.worker.stopping.Add(sl.task.Need)
	}
}

func (s *Shard) handleForget(m Confirm) []Message {
	if !s.acceptSequence(m) {
		return nil
	}
	if sl := s.slots[m.Attempt]; sl != nil && sl.state == slotEnded {
		s.forget(sl)
	}
	return nil
}

func (s *Shard) handleNoted(m Confirm) []Message {
	if !s.acceptSequence(m) {
		return nil
	}
	if sl := s.slots[m.Attempt]; sl != nil {
		sl.acknowledged = true
	}
	return nil
}

// JobEnded stops the running tasks of a job and forgets the ended ones.
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

// handleCollect answers once all workers have reported; until then the home
// sends the request again.
func (s *Shard) handleCollect(now time.Duration, m Collect) []Message {
	if !s.isCurrentHome(m.Home, m.HomeEpoch) || !s.allFenced(now) {
		return nil
	}
	answer := Collected{Home: m.Home, Shard: s.unit, HomeEpoch: m.HomeEpoch, ShardEpoch: s.epoch}
	for _, w := range s.order {
		for _, sl := range w.slots {
			if sl.home != m.Home {
				continue
			}
			// A waiting task starts by itself. If it were reported as held and
			// its Release got lost, it would run beside the attempt that the
			// new home places.
			if sl.state == slotWaiting {
				s.end(sl, AttemptLost, CauseStopped, "its home was replaced while it waited for room")
			}
			answer.Attempts = append(answer.Attempts, s.attemptState(now, sl))
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
