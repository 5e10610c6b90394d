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

// RosterChange proposes the entries that share the slots, in place of the roster of
// version Base.
type RosterChange struct {
	Base     infra.Offset `json:"base"`
	Entries  []string     `json:"entries"`
	Draining []string     `json:"draining,omitempty"`
}

// RosterTable is the roster in force. It implements logstream.Reducer.
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
	// An entry left out without draining could still use slots that others
	// take for theirs.
	for _, e := range t.current.Entries {
		if !slices.Contains(c.Entries, e) && !slices.Contains(c.Draining, e) {
			return errors.Errorf("entry %q would leave without draining", e)
		}
	}
	t.current = Roster{Version: at, Entries: c.Entries, Draining: c.Draining, First: c.Base == 0}
	return nil
}

// Roster returns the roster in force; its version is zero while there is none.
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

// drainMargin is added to the time a former entry stays draining, for clocks and lists that lag.
const drainMargin = time.Second

// RosterKeeper proposes rosters from the platform's list. Each scheduler has one; one of
// them proposes, and if two do, the first in the log wins.
type RosterKeeper struct {
	// listed is when each entry was last in the platform's list.
	listed map[string]time.Duration
	// longest is the longest deadline of a service seen so far: a request sent before
	// it was shortened may still run.
	longest time.Duration
}

// NewRosterKeeper returns a keeper that has seen no list.
func NewRosterKeeper() *RosterKeeper { return &RosterKeeper{listed: map[string]time.Duration{}} }

// Wanted returns the change that brings the roster in line with the list, or nil. live
// and leaving are the entries the platform lists; longest is the longest deadline in the settings.
func (k *RosterKeeper) Wanted(now time.Duration, current Roster, live, leaving []string, longest time.Duration) *RosterChange {
	k.longest = max(k.longest, longest)
	for _, e := range slices.Concat(live, leaving) {
		k.listed[e] = now
	}
	next := RosterChange{Base: current.Version, Entries: slices.Sorted(slices.Values(live))}
	for _, e := range slices.Concat(current.Entries, current.Draining) {
		if !slices.Contains(live, e) && k.mayUseSlots(now, current, e) {
			next.Draining = append(next.Draining, e)
		}
	}
	slices.Sort(next.Draining)
	k.forget(current, live)
	if len(live) == 0 || slices.Equal(next.Entries, current.Entries) && slices.Equal(next.Draining, current.Draining) {
		return nil
	}
	return &next
}

// mayUseSlots reports whether a former entry may still have a request or a loan at
// a runner. A keeper that never saw it listed counts from its own first look.
func (k *RosterKeeper) mayUseSlots(now time.Duration, current Roster, e string) bool {
	if slices.Contains(current.Entries, e) {
		return true
	}
	if _, ok := k.listed[e]; !ok {
		k.listed[e] = now
	}
	return now < k.listed[e]+max(loanTerm, k.longest)+stopGrace+drainMargin
}

// forget drops what is not needed any more, so that memory does not grow with replaced entries.
func (k *RosterKeeper) forget(current Roster, live []string) {
	for e := range k.listed {
		if !slices.Contains(live, e) && !slices.Contains(current.Entries, e) && !slices.Contains(current.Draining, e) {
			delete(k.listed, e)
		}
	}
}
