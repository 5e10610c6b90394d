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
	// ended: the caller has its answer, but the attempt still uses its slot.
	ended
)

// request is a request from its arrival until it holds nothing any more.
type request struct {
	Request
	phase    phase
	arrived  time.Duration
	attempts int
	expected *estimate
	// runner, loan and sent are those of the attempt in progress; loan is nil
	// when it uses a slot of our own share.
	runner *runner
	loan   *borrowed
	sent   time.Duration
	// failedAt are the runners that failed it.
	failedAt []infra.Instance
	// stalled says that its attempt took far longer than expected.
	stalled bool
	// brokenOff says that its attempt is being broken off, and that the retry is paid for.
	brokenOff bool
	// mayRun says that a runner may have begun it.
	mayRun bool
	// left says that the caller has gone.
	left bool
	// wake is when the core looks at the request next; place is its place among
	// the timers, -1 outside.
	wake  time.Duration
	place int
}

func (r *request) avoids(id string) bool {
	return slices.ContainsFunc(r.failedAt, func(i infra.Instance) bool { return i.ID == id })
}
