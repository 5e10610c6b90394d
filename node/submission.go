package node

import (
	"sync/atomic"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

// submission is a record that a caller waits for. Until it is taken for an append it
// can be withdrawn: its caller is then told for certain that it was not stored.
type submission struct {
	record pool.Record
	stored chan error // gets one value
	state  atomic.Int32
	// inDoubt tells that the record may be stored already.
	inDoubt bool
	// queue is the queue of a job, empty for other records, and opened the version by which the
	// pool had it open when the job was looked for in its former pools.
	queue  string
	opened int64
	// firstTry is when an append first came to nothing since the stream had grown; 0: none has.
	firstTry time.Duration
}

// The states of a submission.
const (
	waitsForAppend int32 = iota
	takenForAppend
	withdrawn
)

func newSubmission(rec pool.Record) *submission {
	return &submission{record: rec, stored: make(chan error, 1)}
}

// take reports whether the submission may be sent to the store.
func (s *submission) take() bool { return s.state.CompareAndSwap(waitsForAppend, takenForAppend) }

// release takes back a submission that the store has certainly not stored.
func (s *submission) release() { s.state.CompareAndSwap(takenForAppend, waitsForAppend) }

// withdraw reports whether the submission has not been sent and never will be.
func (s *submission) withdraw() bool { return s.state.CompareAndSwap(waitsForAppend, withdrawn) }
