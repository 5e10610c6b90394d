package logstream

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
)

// KindMark is the kind of records that announce a complete snapshot in the
// snapshot stream.
const KindMark Kind = "snapshot.mark"

// Mark is the body of a KindMark record.
type Mark struct {
	// Covers is the offset of the last record that the snapshot includes.
	Covers infra.Offset `json:"covers"`
	Chunks int          `json:"chunks"`
	Bytes  int          `json:"bytes"`
}

// Marks tracks which snapshots were written. All processes derive from it whether
// a snapshot is due and which writer's turn it is. It implements Reducer.
type Marks struct{ state marksState }

type marksState struct {
	Count  uint64 `json:"count"`
	Newest Mark   `json:"newest"`
	Writer string `json:"writer"`
}

// NewMarks returns the state before the first snapshot.
func NewMarks() *Marks { return &Marks{} }

// Count is the number of snapshots written since the start of the log.
func (m *Marks) Count() uint64 { return m.state.Count }

// Newest returns the mark of the newest snapshot and its writer.
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
