package dispatch

import (
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

type phase int

const (
	claiming phase = iota
	queued
	running
	// ended: the caller has its answer, but an attempt still occupies its slot.
	ended
)

// request is the state of a request from its arrival until it occupies no slot any more.
type request struct {
	Request
	phase    phase
	arrived  time.Duration
	attempts int
	expected *estimate
	// runner, loan and sent belong to the attempt in progress. loan is nil if the attempt uses a
	// slot of this entry's own share.
	runner *runner
	loan   *borrowedLoan
	sent   time.Duration
	// failedRunners are the runners on which an attempt failed.
	failedRunners []infra.Instance
	// stalled is set when the attempt in progress takes far longer than expected.
	stalled bool
	// cancelling is set while the attempt in progress is being cancelled in favour of a retry,
	// which has already been charged to the retry budget.
	cancelling bool
	// mayHaveRun is set once a runner may have started the request.
	mayHaveRun bool
	// callerGone is set once the caller has disconnected.
	callerGone bool
	// wakeAt is when the request's timer fires. heapIndex is its index in the timer heap, or -1.
	wakeAt    time.Duration
	heapIndex int
}

func (r *request) hasFailedOn(id string) bool {
	return slices.ContainsFunc(r.failedRunners, func(i infra.Instance) bool { return i.ID == id })
}
