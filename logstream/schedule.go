package logstream

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// ScheduleConfig sets when snapshots are due.
type ScheduleConfig struct {
	// MaxInterval is the longest time between two snapshots. A quarter of the
	// log's retention leaves three more attempts before any record expires that
	// no snapshot covers.
	MaxInterval time.Duration
	// MaxRecords is the largest number of records between two snapshots.
	MaxRecords uint64
	// TurnDuration is how long a writer has to write the snapshot before the turn
	// passes to the next writer.
	TurnDuration time.Duration
}

// Schedule decides when a snapshot is due and how many turns have passed since
// then without one. It is a state machine without I/O; times are readings of
// the caller's clock.
type Schedule struct {
	cfg            ScheduleConfig
	snapshotCount  uint64
	snapshotSeenAt time.Duration
	started        bool
	dueSince       time.Duration
	due            bool
}

// NewSchedule returns a schedule that has seen no snapshots yet.
func NewSchedule(cfg ScheduleConfig) *Schedule { return &Schedule{cfg: cfg} }

// Turn reports whether a snapshot is due and whose turn it is: the number of
// snapshots written, plus one for every turn that has passed without one. A
// writer that has died, or that takes the turn for another writer's, delays the
// snapshot by one TurnDuration.
func (s *Schedule) Turn(now time.Duration, m *Marks, first, tail infra.Offset) (turn uint64, due bool) {
	if !s.started || m.Count() != s.snapshotCount {
		s.started, s.snapshotCount, s.snapshotSeenAt, s.due = true, m.Count(), now, false
	}
	mark, _ := m.Newest()
	if !s.isDue(now, mark.Covers, first, tail) {
		s.due = false
		return 0, false
	}
	if !s.due {
		s.due, s.dueSince = true, now
	}
	return m.Count() + uint64((now-s.dueSince)/s.cfg.TurnDuration), true
}

func (s *Schedule) isDue(now time.Duration, covers, first, tail infra.Offset) bool {
	if tail <= covers {
		return false
	}
	if now-s.snapshotSeenAt >= s.cfg.MaxInterval || uint64(tail-covers) >= s.cfg.MaxRecords {
		return true
	}
	// Records already expire: the newest snapshot must end in the newer half of
	// the retained records, however short the retention is.
	return first > 1 && covers < first+(tail-first)/2
}
