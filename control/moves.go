package control

import (
	"encoding/json"
	"time"

	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/membership"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// Pacing of claims against a holder's will.
const (
	// freeMoves is how often a unit may be taken without a wait: from a dead
	// owner, and from its successor that dies too.
	freeMoves = 3
	// moveWait is the first wait after that; it doubles up to maxMoveWait.
	moveWait    = 5 * time.Second
	maxMoveWait = 2 * time.Minute
	// movesForgotten is how long a unit has to stay for its moves to be
	// forgotten.
	movesForgotten = 2 * maxMoveWait
)

// moves is how often a unit was taken lately, and when last.
type moves struct {
	count int
	at    time.Duration
}

// countMove notes that a unit was taken. Two sides of a cut that both reach the log
// take each other for dead; without pacing they would take each unit from each
// other in every claim round, and no unit would have an owner for long enough to
// place anything. Units handed over by their holder are not counted.
func (c *Core) countMove(now time.Duration, rec logstream.Record) {
	var claim ownership.Claim
	// The reducer has decoded the same body before.
	_ = json.Unmarshal(rec.Body, &claim)
	if membership.ID(claim.Owner) != rec.Writer {
		return
	}
	m := c.moves[claim.Unit]
	if now-m.at > movesForgotten {
		m.count = 0
	}
	c.moves[claim.Unit] = moves{m.count + 1, now}
}

// mayTake reports whether a unit may be taken from its holder again.
func (c *Core) mayTake(now time.Duration, u ownership.Unit) bool {
	m := c.moves[u]
	if m.count <= freeMoves {
		return true
	}
	wait := moveWait
	for range m.count - freeMoves - 1 {
		wait = min(2*wait, maxMoveWait)
	}
	return now-m.at >= wait
}
