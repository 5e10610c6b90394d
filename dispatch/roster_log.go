package dispatch

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
)

// KindRoster is the record kind of a roster.
const KindRoster logstream.Kind = "dispatch.roster"

// RosterChange proposes the entries that share the slots, replacing the roster of version Base.
type RosterChange struct {
	Base     infra.Offset `json:"base"`
	Entries  []string     `json:"entries"`
	Draining []string     `json:"draining,omitempty"`
}

// RosterTable holds the current roster. It implements logstream.Reducer.
type RosterTable struct{ current Roster }

// NewRosterTable returns a table without a roster.
func NewRosterTable() *RosterTable { return &RosterTable{} }

// Name implements logstream.Reducer.
func (t *RosterTable) Name() string { return "roster" }

// Kinds implements logstream.Reducer.
func (t *RosterTable) Kinds() []logstream.Kind { return []logstream.Kind{KindRoster} }

// Apply implements logstream.Reducer.
func (t *RosterTable) Apply(at infra.Offset, rec logstream.Record) error {
	var c RosterChange
	if err := json.Unmarshal(rec.Body, &c); err != nil {
		return errors.Wrap(err, "decode roster")
	}
	if c.Base != t.current.Version {
		return errors.Errorf("the roster is at version %d, the change replaces version %d", t.current.Version, c.Base)
	}
	// An entry removed without draining could still use slots that the others would add to their
	// shares.
	for _, e := range t.current.Entries {
		if !slices.Contains(c.Entries, e) && !slices.Contains(c.Draining, e) {
			return errors.Errorf("entry %q would leave without draining", e)
		}
	}
	t.current = Roster{Version: at, Entries: c.Entries, Draining: c.Draining, First: c.Base == 0}
	return nil
}

// Roster returns the current roster. Its version is zero if there is none.
func (t *RosterTable) Roster() Roster { return t.current }

// Snapshot implements logstream.Reducer.
func (t *RosterTable) Snapshot() (json.RawMessage, error) { return json.Marshal(t.current) }

// Restore implements logstream.Reducer.
func (t *RosterTable) Restore(data json.RawMessage) error {
	var r Roster
	if err := json.Unmarshal(data, &r); err != nil {
		return errors.Wrap(err, "decode roster snapshot")
	}
	t.current = r
	return nil
}

// drainMargin is added to the time for which a former entry stays draining, to allow for clock
// differences and delayed instance lists.
const drainMargin = time.Second

// RosterSyncer proposes rosters that follow the platform's instance list. Each scheduler has one;
// normally one of them proposes, and if two do, the first record in the log wins.
type RosterSyncer struct {
	// seenAt is when each entry was last in the platform's list.
	seenAt map[string]time.Duration
	// maxDeadline is the longest deadline of a service seen so far. Requests sent before it was
	// shortened may still be running.
	maxDeadline time.Duration
}

// NewRosterSyncer returns a syncer that has seen no list.
func NewRosterSyncer() *RosterSyncer { return &RosterSyncer{seenAt: map[string]time.Duration{}} }

// Propose returns the change that brings the roster in line with the list, or nil. live and
// leaving are the entries in the platform's list; maxDeadline is the longest deadline in the
// settings.
func (s *RosterSyncer) Propose(now time.Duration, current Roster, live, leaving []string, maxDeadline time.Duration) *RosterChange {
	s.maxDeadline = max(s.maxDeadline, maxDeadline)
	for _, e := range slices.Concat(live, leaving) {
		s.seenAt[e] = now
	}
	next := RosterChange{Base: current.Version, Entries: slices.Sorted(slices.Values(live))}
	for _, e := range slices.Concat(current.Entries, current.Draining) {
		if !slices.Contains(live, e) && s.canUseSlots(now, current, e) {
			next.Draining = append(next.Draining, e)
		}
	}
	slices.Sort(next.Draining)
	s.prune(current, live)
	if len(live) == 0 || slices.Equal(next.Entries, current.Entries) && slices.Equal(next.Draining, current.Draining) {
		return nil
	}
	return &next
}

// canUseSlots reports whether a former entry may still have a request or a loan on a runner. If
// this syncer never saw the entry listed, the time counts from its first check.
func (s *RosterSyncer) canUseSlots(now time.Duration, current Roster, e string) bool {
	if slices.Contains(current.Entries, e) {
		return true
	}
	if _, ok := s.seenAt[e]; !ok {
		s.seenAt[e] = now
	}
	return now < s.seenAt[e]+max(loanDuration, s.maxDeadline)+stopGrace+drainMargin
}

// prune drops entries that are no longer needed, so that memory does not grow as entries are
// replaced.
func (s *RosterSyncer) prune(current Roster, live []string) {
	for e := range s.seenAt {
		if !slices.Contains(live, e) && !slices.Contains(current.Entries, e) && !slices.Contains(current.Draining, e) {
			delete(s.seenAt, e)
		}
	}
}
