package node

import (
	"sync/atomic"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

// submission is a record that a caller waits for. It can be withdrawn until it is taken for an
// append: its caller is then told for certain that it was not stored.
type submission struct {
	record pool.Record
	stored chan error // receives one value
	state  atomic.Int32
	// inDoubt is set if the record may be stored already.
	inDoubt bool
	// queue is the job's queue, empty for other records. openVersion is the version by which the
	// pool was open for the queue when the job was looked for in the queue's former pools.
	queue       string
	openVersion int64
	// firstFailedAt is when an append of the record was first rejected because the stream had
	// grown; 0: never.
	firstFailedAt time.Duration
	// ownerEpoch is the epoch of the newest owner that has been asked to store the record.
	ownerEpoch uint64
}

// States of a submission.
const (
	statePending int32 = iota
	stateTaken
	stateWithdrawn
)

func newSubmission(rec pool.Record) *submission {
	return &submission{record: rec, stored: make(chan error, 1)}
}

// take marks the submission as part of an append, and reports whether it may be sent to the store.
func (s *submission) take() bool { return s.state.CompareAndSwap(statePending, stateTaken) }

// release makes a submission pending again that the store has certainly not stored.
func (s *submission) release() { s.state.CompareAndSwap(stateTaken, statePending) }

// withdraw cancels the submission, and reports whether it has not been sent and never will be.
func (s *submission) withdraw() bool { return s.state.CompareAndSwap(statePending, stateWithdrawn) }
