package control

import (
	"encoding/json"
	"time"

	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/membership"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// Backoff of claims that take a unit from a holder that did not hand it over.
const (
	// freeTakeovers is how often a unit may be taken without a delay: from a failed owner, and
	// from its successor if that fails too.
	freeTakeovers = 3
	// takeoverBackoff is the first delay after that; it doubles up to maxTakeoverBackoff.
	takeoverBackoff    = 5 * time.Second
	maxTakeoverBackoff = 2 * time.Minute
	// takeoverResetAfter is how long a unit has to keep its owner for its takeovers to be reset.
	takeoverResetAfter = 2 * maxTakeoverBackoff
)

// takeoverCount is how often a unit was taken over recently, and when last.
type takeoverCount struct {
	count int
	at    time.Duration
}

// countTakeover records the takeover of a unit. After a network partition in which both sides
// still reach the log, each takes the other for failed. Without a backoff they would take every
// unit from each other in each claim round, and no unit would have the same owner for long
// enough to place anything. Units handed over by their holder are not counted.
func (c *Core) countTakeover(now time.Duration, rec logstream.Record) {
	var claim ownership.Claim
	// The reducer has already decoded the same body.
	_ = json.Unmarshal(rec.Body, &claim)
	if membership.ID(claim.Owner) != rec.Writer {
		return
	}
	m := c.takeovers[claim.Unit]
	if now-m.at > takeoverResetAfter {
		m.count = 0
	}
	c.takeovers[claim.Unit] = takeoverCount{m.count + 1, now}
}

// canTakeOver reports whether a unit may be taken from its holder again.
func (c *Core) canTakeOver(now time.Duration, u ownership.Unit) bool {
	m := c.takeovers[u]
	if m.count <= freeTakeovers {
		return true
	}
	wait := takeoverBackoff
	for range m.count - freeTakeovers - 1 {
		wait = min(2*wait, maxTakeoverBackoff)
	}
	return now-m.at >= wait
}
