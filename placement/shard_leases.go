package placement

import (
	"fmt"
	"time"

	"github.com/knapweedweir/knapweedweir/ownership"
)

// LeaseOver reports for the log that a worker can't run anything any more that the owner doesn't know to have ended.
type LeaseOver struct {
	Shard  ownership.Unit
	Worker string
	// Runs is the number of tasks that are lost with it.
	Runs int
	// Reason names the bounds of the leases that may have been granted there.
	Reason string
}

// TakeLeasesOver returns the leases that were taken for over since the last call.
func (s *Shard) TakeLeasesOver() []LeaseOver {
	list := s.leasesOver
	s.leasesOver = nil
	return list
}

func (s *Shard) logLeaseOver(w *worker, runs int, reason string) {
	s.leasesOver = append(s.leasesOver, LeaseOver{Shard: s.unit, Worker: w.ID, Runs: runs, Reason: reason})
}

// logUnansweredOver logs once that a worker which has not answered this owner runs nothing of its predecessors.
func (s *Shard) logUnansweredOver(now time.Duration, w *worker) {
	if w.fenced || w.overLogged {
		return
	}
	w.overLogged = true
	unlisted := ""
	if !w.listed {
		unlisted = fmt.Sprintf("; unlisted for %v", since(now, w.listedAt))
	}
	s.logLeaseOver(w, 0, "no answer to this owner; "+s.predecessorsReason(now)+unlisted)
}

// leaseReason describes the bounds of a worker's leases.
func (s *Shard) leaseReason(now time.Duration, w *worker) string {
	reason := fmt.Sprintf("this owner's lease of %v: over for %v, last answer %v ago",
		s.cfg.Lease, since(now, w.heardAt+leaseBound(s.cfg.Lease)), since(now, w.heardAt))
	if w.fenced && s.cfg.PredecessorLease > s.cfg.Lease {
		reason += fmt.Sprintf("; predecessors' lease of %v: over for %v, first answer %v ago",
			s.cfg.PredecessorLease, since(now, w.fencedAt+leaseBound(s.cfg.PredecessorLease)), since(now, w.fencedAt))
	}
	return reason
}

func (s *Shard) predecessorsReason(now time.Duration) string {
	reason := fmt.Sprintf("predecessors' lease of %v", max(s.cfg.Lease, s.cfg.PredecessorLease))
	if end, known := s.predecessorsEnd(); known {
		return reason + fmt.Sprintf(": over for %v, claim read by a majority %v ago", since(now, end), since(now, s.claimReadAt))
	}
	return reason + ": the claim isn't known to be read by a majority"
}

func since(now, at time.Duration) time.Duration { return (now - at).Round(time.Millisecond) }
