package placement

import "time"

// notify returns a notification to a slot's home about the attempt's state.
func (s *Shard) notify(now time.Duration, sl *slot) Changed {
	sl.notifiedAt = now
	return s.attemptState(now, sl)
}

func (s *Shard) attemptState(now time.Duration, sl *slot) Changed {
	c := Changed{Home: sl.home, Shard: s.unit, ShardEpoch: s.epoch, Attempt: sl.attempt, Worker: sl.worker.ID,
		RunTime: sl.ranFor(now), Usage: sl.usage, Need: sl.task.Need}
	switch sl.state {
	case slotWaiting, slotHeld:
		c.State = AttemptHeld
	case slotEnded:
		c.State, c.Cause, c.Reason = sl.final, sl.cause, sl.reason
	default:
		c.State = AttemptRunning
	}
	return c
}

// renotify repeats the notifications of ended tasks: the first may have been
// sent while the home was changing owners.
func (s *Shard) renotify(now time.Duration, w *worker) []Message {
	if w.ended == 0 {
		return nil
	}
	var out []Message
	for _, sl := range w.slots {
		if sl.state == slotEnded && !sl.acknowledged && now-sl.notifiedAt >= s.cfg.NotifyInterval {
			out = append(out, s.notify(now, sl))
		}
	}
	return out
}

// expireHolds ends holds and reservations that their home neither confirms nor
// renews, so that a dead home can't keep resources from others. The slot stays
// until its home forgets it, so that a late Confirm can't place the attempt a
// second time.
func (s *Shard) expireHolds(now time.Duration, w *worker) []Message {
	if w.held == 0 && w.waiting == 0 {
		return nil
	}
	var out []Message
	for _, sl := range w.slots {
		if sl.hold && sl.state <= slotHeld && now-sl.heldAt >= s.cfg.HoldDuration {
			s.end(sl, AttemptLost, CauseHoldExpired, "held for "+s.cfg.HoldDuration.String()+" and not confirmed")
			out = append(out, s.notify(now, sl))
		}
	}
	return out
}
