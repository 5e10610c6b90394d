package dispatch

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Action is a Send, Cancel, AskClaim, Finished, AskSlots, ReturnSlots or
// RecallSlots.
type Action any

// Send asks the caller to send a request to a runner. The end of the attempt
// has to be reported with Answered or Failed, also after a Cancel.
type Send struct {
	Request uint64
	Runner  infra.Instance
	Attempt int
}

// Cancel asks the caller to break off the attempt in progress and to report
// its end.
type Cancel struct{ Request uint64 }

// AskClaim asks the caller to claim a non-idempotent request in the log.
type AskClaim struct{ Request uint64 }

// Finished ends a request. Every request gets exactly one.
type Finished struct {
	Request uint64
	Outcome Outcome
	Reason  string
	// RetryAfter is when the caller may come back; zero if it need not.
	RetryAfter time.Duration
}
