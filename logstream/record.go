// Package logstream builds a replicated state machine on the platform's
// append-only log: typed records, a view that every process computes from them
// in the same way, and a committer that learns the result of an append only by
// reading its record back.
package logstream

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// FormatVersion is the version of the record envelope written by this build.
const FormatVersion = 1

// Kind is the type of change that a record proposes.
type Kind string

// Record is the envelope of every record that knapweedweir appends.
type Record struct {
	Version int  `json:"v"`
	Kind    Kind `json:"k"`
	// Writer, Incarnation and Sequence identify the record: a repeated append
	// of the same record has the same values and is dropped by the view.
	Writer      string          `json:"w"`
	Incarnation uint64          `json:"i"`
	Sequence    uint64          `json:"s"`
	Body        json.RawMessage `json:"b"`
}

// Encode returns the record as it is stored in the log.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode record")
}

// Decode decodes a stored record. It fails on truncated records, on records of
// a version that this build does not know, and on records without a writer.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	if r.Version != FormatVersion {
		return Record{}, errors.Errorf("record version %d, this build reads %d", r.Version, FormatVersion)
	}
	if r.Kind == "" || r.Writer == "" {
		return Record{}, errors.New("record without kind or writer")
	}
	return r, nil
}
