package dispatch

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Action is one of Send, Cancel, ProposeClaim, Finished, BorrowSlots, ReturnSlots and
// RecallSlots.
type Action any

// Send requests that a request is sent to a runner. The end of the attempt must be reported with
// Answered or Failed, even after a Cancel.
type Send struct {
	Request uint64
	Runner  infra.Instance
	Attempt int
}

// Cancel requests that the attempt in progress is cancelled and its end reported.
type Cancel struct{ Request uint64 }

// ProposeClaim requests a claim of a non-idempotent request in the log. The result is reported
// with Claimed.
type ProposeClaim struct{ Request uint64 }

// Finished completes a request. It is emitted exactly once for every request.
type Finished struct {
	Request uint64
	Outcome Outcome
	Reason  string
	// RetryAfter is the delay after which the caller should retry; zero if a retry is of no use.
	RetryAfter time.Duration
}
