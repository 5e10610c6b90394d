package logstream

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Reducer holds the part of the view that certain kinds of records change. It
// must be deterministic: equal records at equal offsets give equal states.
type Reducer interface {
	// Name identifies the reducer's part of a snapshot.
	Name() string
	// Kinds lists the record kinds that the reducer handles.
	Kinds() []Kind
	// Apply applies a record. An error means that the record is rejected and has
	// no effect; its text is the reason that the proposer gets.
	Apply(at infra.Offset, rec Record) error
	// Snapshot returns the complete state; Restore replaces it.
	Snapshot() (json.RawMessage, error)
	Restore(data json.RawMessage) error
}

// Outcome is the result of applying one record to the view.
type Outcome struct {
	Offset infra.Offset
	Record Record
	// Err is nil when the record took effect.
	Err error
}

// Position is the newest record of a writer that the view has seen.
type Position struct {
	Incarnation uint64 `json:"i"`
	Sequence    uint64 `json:"s"`
	// Marks is the number of snapshots written up to that record.
	Marks uint64 `json:"m,omitempty"`
}

// writerRetention is the number of snapshots for which a writer without new records
// is remembered: one day, at a quarter of an hour per snapshot. Without a limit,
// each restart under a new name would stay in all snapshots forever. A repeat
// that arrives even later goes to the reducers, which reject what exists already.
const writerRetention = 96

// View is the state reduced from one stream up to an offset.
type View struct {
	offset         infra.Offset
	reducers       []Reducer
	byKind         map[Kind]Reducer
	writers        map[string]Position
	marks          *Marks
	skipped        uint64
	lastSkipReason string
	unknownKinds   uint64
}

// NewView returns an empty view that consists of the reducers' states.
func NewView(reducers ...Reducer) *View {
	v := &View{byKind: map[Kind]Reducer{}, writers: map[string]Position{}, marks: NewMarks()}
	v.reducers = append([]Reducer{v.marks}, reducers...)
	for _, r := range v.reducers {
		for _, k := range r.Kinds() {
			v.byKind[k] = r
		}
	}
	return v
}

// Offset is the offset of the last entry applied.
func (v *View) Offset() infra.Offset { return v.offset }

// Skipped is the number of unreadable records that were skipped, and the reason
// for the last one.
func (v *View) Skipped() (uint64, string) { return v.skipped, v.lastSkipReason }

// Apply applies one entry. The second result is false for entries that were
// skipped: unreadable, already applied, or repeated by their writer.
func (v *View) Apply(e infra.Entry) (Outcome, bool) {
	// A page that arrives late must not move the view back to an older offset.
	if e.Offset <= v.offset {
		return Outcome{}, false
	}
	v.offset = e.Offset
	rec, err := Decode(e.Data)
	if err != nil {
		return v.skip(err)
	}
	// A writer repeats an append whose response was lost; applying it twice
	// would, for example, accept the same job twice. A writer appends its next
	// batch only after it has read the last one back, so sequence numbers grow
	// within one incarnation, and a record that is not newer is a repeat.
	last := v.writers[rec.Writer]
	if rec.Incarnation < last.Incarnation || (rec.Incarnation == last.Incarnation && rec.Sequence <= last.Sequence) {
		return Outcome{}, false
	}
	reducer, ok := v.byKind[rec.Kind]
	if !ok {
		v.unknownKinds++
		return v.skip(errors.Errorf("unknown record kind %q", rec.Kind))
	}
	v.writers[rec.Writer] = Position{rec.Incarnation, rec.Sequence, v.marks.Count()}
	out := Outcome{Offset: e.Offset, Record: rec, Err: reducer.Apply(e.Offset, rec)}
	if rec.Kind == KindMark && out.Err == nil {
		v.forgetWriters()
	}
	return out, true
}

// forgetWriters removes writers without a record during the last
// writerRetention snapshots. It runs only when a snapshot mark is accepted, so
// that all processes remove the same writers at the same offset.
func (v *View) forgetWriters() {
	for w, p := range v.writers {
		if p.Marks+writerRetention < v.marks.Count() {
			delete(v.writers, w)
		}
	}
}

// UnknownKinds is the number of records of kinds that this build does not know.
// Snapshots of this build would lack their effects.
func (v *View) UnknownKinds() uint64 { return v.unknownKinds }

// Marks is the state of the snapshots that were written.
func (v *View) Marks() *Marks { return v.marks }

// Writer is the newest record of a writer that the view has seen.
func (v *View) Writer(name string) Position { return v.writers[name] }

func (v *View) skip(err error) (Outcome, bool) {
	v.countSkip(err)
	return Outcome{}, false
}

// countSkip counts unreadable data and keeps the reason.
func (v *View) countSkip(err error) {
	v.skipped++
	v.lastSkipReason = err.Error()
}

// Snapshot is the complete state of a view, as it is stored or sent to a peer.
type Snapshot struct {
	Offset  infra.Offset               `json:"offset"`
	Writers map[string]Position        `json:"writers"`
	Parts   map[string]json.RawMessage `json:"parts"`
}

// Snapshot returns the complete state of the view.
func (v *View) Snapshot() (Snapshot, error) {
	s := Snapshot{Offset: v.offset, Writers: map[string]Position{}, Parts: map[string]json.RawMessage{}}
	for w, p := range v.writers {
		s.Writers[w] = p
	}
	for _, r := range v.reducers {
		part, err := r.Snapshot()
		if err != nil {
			return Snapshot{}, errors.Wrapf(err, "snapshot %s", r.Name())
		}
		s.Parts[r.Name()] = part
	}
	return s, nil
}

// Restore replaces the view by a newer snapshot. It rejects an older one, as the
// view must never move back. After an error the view is unchanged.
func (v *View) Restore(s Snapshot) error {
	if s.Offset < v.offset {
		return errors.Errorf("snapshot at offset %d is older than the view at %d", s.Offset, v.offset)
	}
	before, err := v.Snapshot()
	if err != nil {
		return err
	}
	if err := v.replace(s); err != nil {
		// Some reducers may have the new state already. The view would mix
		// states of two offsets and diverge from those of other processes.
		if undo := v.replace(before); undo != nil {
			return errors.Wrapf(undo, "undo a restore that failed with %q", err)
		}
		return err
	}
	return nil
}

func (v *View) replace(s Snapshot) error {
	for _, r := range v.reducers {
		part, ok := s.Parts[r.Name()]
		if !ok {
			return errors.Errorf("snapshot lacks part %q (has %v)", r.Name(), partNames(s))
		}
		if err := r.Restore(part); err != nil {
			return errors.Wrapf(err, "restore %s", r.Name())
		}
	}
	v.offset = s.Offset
	v.writers = map[string]Position{}
	for w, p := range s.Writers {
		v.writers[w] = p
	}
	return nil
}

func partNames(s Snapshot) []string {
	names := make([]string, 0, len(s.Parts))
	for n := range s.Parts {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
