package placement

import "time"

// changed tells a slot's home what became of it.
func (s *Shard) changed(now time.Duration, sl *slot) Changed {
	sl.toldAt = now
	return s.news(now, sl)
}

func (s *Shard) news(now time.Duration, sl *slot) Changed {
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

// tellAgain repeats the news of ended tasks: the first telling may have gone to
// a home that was just then changing hands.
func (s *Shard) tellAgain(now time.Duration, w *worker) []Message {
	if w.ended == 0 {
		return nil
	}
	var out []Message
	for _, sl := range w.slots {
		if sl.state == slotEnded && !sl.noted && now-sl.toldAt >= s.cfg.TellAgain {
			out = append(out, s.changed(now, sl))
		}
	}
	return out
}

// expireHolds ends holds and claims whose home neither confirms nor renews them,
// so that a dead home can't keep resources from others. The slot stays until its
// home forgets it: a late Confirm must not find room for it a second time.
func (s *Shard) expireHolds(now time.Duration, w *worker) []Message {
	if w.held == 0 && w.waiting == 0 {
		return nil
	}
	var out []Message
	for _, sl := range w.slots {
		if sl.hold && sl.state <= slotHeld && now-sl.heldAt >= s.cfg.HoldFor {
			s.end(sl, AttemptLost, CauseHoldExpired, "held for "+s.cfg.HoldFor.String()+" and not confirmed")
			out = append(out, s.changed(now, sl))
		}
	}
	return out
}
