package logstream

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Reducer holds the part of the view that some kinds of record change. It must
// be deterministic: equal records at equal offsets give equal states.
type Reducer interface {
	// Name identifies the reducer's part of a snapshot.
	Name() string
	// Kinds lists the record kinds the reducer rules on.
	Kinds() []Kind
	// Apply rules on a record. An error means that the record has no effect;
	// its text is the reason told to whoever proposed it.
	Apply(at infra.Offset, rec Record) error
	// Snapshot returns the whole state; Restore replaces it.
	Snapshot() (json.RawMessage, error)
	Restore(data json.RawMessage) error
}

// Outcome is the view's ruling on one record.
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
	// Marks is how many snapshots had been written by then.
	Marks uint64 `json:"m,omitempty"`
}

// keepWriterMarks is for how many snapshots a silent writer is remembered; at a
// quarter of an hour each, a day. Every restart under a new name would
// otherwise stay in all snapshots for good. A repeat that arrives even later
// is still ruled on by the reducers, which refuse what exists already.
const keepWriterMarks = 96

// View is the state reduced from one stream up to an offset.
type View struct {
	offset   infra.Offset
	reducers []Reducer
	byKind   map[Kind]Reducer
	writers  map[string]Position
	marks    *Marks
	skipped  uint64
	lastSkip string
	foreign  uint64
}

// NewView returns an empty view over the reducers.
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

// Skipped is the number of unreadable records passed over and the reason of
// the last one.
func (v *View) Skipped() (uint64, string) { return v.skipped, v.lastSkip }

// Apply reduces one entry. The second result is false for entries that were
// passed over: unreadable, already applied, or repeated by their writer.
func (v *View) Apply(e infra.Entry) (Outcome, bool) {
	// A page that arrives late must not take the view back to an older offset.
	if e.Offset <= v.offset {
		return Outcome{}, false
	}
	v.offset = e.Offset
	rec, err := Decode(e.Data)
	if err != nil {
		return v.skip(err)
	}
	// An append whose answer was lost is repeated by its writer; applying it
	// twice would, for example, accept the same job twice. A writer appends
	// its next batch only after reading the last one back, so within one
	// incarnation sequences grow, and anything not newer is a repeat.
	last := v.writers[rec.Writer]
	if rec.Incarnation < last.Incarnation || (rec.Incarnation == last.Incarnation && rec.Sequence <= last.Sequence) {
		return Outcome{}, false
	}
	reducer, ok := v.byKind[rec.Kind]
	if !ok {
		v.foreign++
		return v.skip(errors.Errorf("unknown record kind %q", rec.Kind))
	}
	v.writers[rec.Writer] = Position{rec.Incarnation, rec.Sequence, v.marks.Count()}
	out := Outcome{Offset: e.Offset, Record: rec, Err: reducer.Apply(e.Offset, rec)}
	if rec.Kind == KindMark && out.Err == nil {
		v.forgetWriters()
	}
	return out, true
}

// forgetWriters drops writers that have been silent for long. It runs at
// accepted marks only, so that all processes drop the same ones.
func (v *View) forgetWriters() {
	for w, p := range v.writers {
		if p.Marks+keepWriterMarks < v.marks.Count() {
			delete(v.writers, w)
		}
	}
}

// Foreign is the number of records of kinds that this build does not know. Its
// snapshots would lack what they did.
func (v *View) Foreign() uint64 { return v.foreign }

// Marks is which snapshots were written.
func (v *View) Marks() *Marks { return v.marks }

// Writer is the newest record of a writer that the view has seen.
func (v *View) Writer(name string) Position { return v.writers[name] }

func (v *View) skip(err error) (Outcome, bool) {
	v.note(err)
	return Outcome{}, false
}

// note counts something unreadable.
func (v *View) note(err error) {
	v.skipped++
	v.lastSkip = err.Error()
}

// Snapshot is a whole view as it is stored or handed to a peer.
type Snapshot struct {
	Offset  infra.Offset               `json:"offset"`
	Writers map[string]Position        `json:"writers"`
	Parts   map[string]json.RawMessage `json:"parts"`
}

// Snapshot returns the view's whole state.
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

// Restore replaces the view by a newer snapshot. It refuses an older one, as
// the view must never go back. After an error the view is as it was.
func (v *View) Restore(s Snapshot) error {
	if s.Offset < v.offset {
		return errors.Errorf("snapshot at offset %d is older than the view at %d", s.Offset, v.offset)
	}
	before, err := v.Snapshot()
	if err != nil {
		return err
	}
	if err := v.replace(s); err != nil {
		// Some reducers may have the new state already; the view would hold
		// parts of two offsets and rule otherwise than every other process.
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
