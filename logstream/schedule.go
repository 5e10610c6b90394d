package logstream

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// ScheduleConfig says when snapshots are due.
type ScheduleConfig struct {
	// Every is the longest time between two snapshots. A quarter of the log's
	// retention leaves three more turns before anything is lost.
	Every time.Duration
	// Records is the largest number of records between two snapshots.
	Records uint64
	// Grace is how long a writer has for its turn before the next one's begins.
	Grace time.Duration
}

// Schedule decides when a snapshot is due and how many turns have passed since
// then without one. It is a step machine; times are the caller's readings.
type Schedule struct {
	cfg      ScheduleConfig
	count    uint64
	seenAt   time.Duration
	started  bool
	dueSince time.Duration
	due      bool
}

// NewSchedule returns a schedule.
func NewSchedule(cfg ScheduleConfig) *Schedule { return &Schedule{cfg: cfg} }

// Turn reports whether a snapshot is due and whose turn it is: the number of
// snapshots written, plus one for every turn that has passed without one. A
// writer that died, or that believes somebody else's turn has come, costs one
// grace time.
func (s *Schedule) Turn(now time.Duration, m *Marks, first, tail infra.Offset) (turn uint64, due bool) {
	if !s.started || m.Count() != s.count {
		s.started, s.count, s.seenAt, s.due = true, m.Count(), now, false
	}
	mark, _ := m.Newest()
	if !s.isDue(now, mark.Covers, first, tail) {
		s.due = false
		return 0, false
	}
	if !s.due {
		s.due, s.dueSince = true, now
	}
	return m.Count() + uint64((now-s.dueSince)/s.cfg.Grace), true
}

func (s *Schedule) isDue(now time.Duration, covers, first, tail infra.Offset) bool {
	if tail <= covers {
		return false
	}
	if now-s.seenAt >= s.cfg.Every || uint64(tail-covers) >= s.cfg.Records {
		return true
	}
	// Records expire already: the newest snapshot must end in the newer half
	// of what is kept, however short the retention was set.
	return first > 1 && covers < first+(tail-first)/2
}
