package logstream

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
)

// KindMark says that a whole snapshot is in the snapshot stream.
const KindMark Kind = "snapshot.mark"

// Mark is the body of a KindMark record.
type Mark struct {
	// Covers is the offset of the last record that the snapshot holds.
	Covers infra.Offset `json:"covers"`
	Chunks int          `json:"chunks"`
	Bytes  int          `json:"bytes"`
}

// Marks is which snapshots were written. Everybody sees from it whether one is
// due and whose turn it is. It implements Reducer.
type Marks struct{ state marksState }

type marksState struct {
	Count  uint64 `json:"count"`
	Newest Mark   `json:"newest"`
	Writer string `json:"writer"`
}

// NewMarks returns a state without snapshots.
func NewMarks() *Marks { return &Marks{} }

// Count is how many snapshots were written since the log began.
func (m *Marks) Count() uint64 { return m.state.Count }

// Newest is the newest snapshot and who wrote it.
func (m *Marks) Newest() (Mark, string) { return m.state.Newest, m.state.Writer }

// Name implements Reducer.
func (m *Marks) Name() string { return "snapshots" }

// Kinds implements Reducer.
func (m *Marks) Kinds() []Kind { return []Kind{KindMark} }

// Apply implements Reducer.
func (m *Marks) Apply(at infra.Offset, rec Record) error {
	var mark Mark
	if err := json.Unmarshal(rec.Body, &mark); err != nil {
		return errors.Wrap(err, "decode snapshot mark")
	}
	if mark.Covers <= m.state.Newest.Covers || mark.Covers >= at {
		return errors.Errorf("snapshot covers %d, the newest covers %d", mark.Covers, m.state.Newest.Covers)
	}
	m.state = marksState{Count: m.state.Count + 1, Newest: mark, Writer: rec.Writer}
	return nil
}

// Snapshot implements Reducer.
func (m *Marks) Snapshot() (json.RawMessage, error) { return json.Marshal(m.state) }

// Restore implements Reducer.
func (m *Marks) Restore(data json.RawMessage) error {
	var s marksState
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode snapshot marks")
	}
	m.state = s
	return nil
}
