package node

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

// Guards against a successor that waits without end for an elector whose process has ended: the next process of its instance
// has an earlier start time, as its machine's clock was set back, and renews the instance's entry.
func TestElectorBeforeItsClockWasSetBackExpires(t *testing.T) {
	now := time.Hour
	n := New(Settings{Name: "self", Now: func() time.Duration { return now }}, zerolog.Nop(), nil, nil, nil, nil)
	list := func(value string) {
		n.peers.updateEntries(batch{asOf: now, records: []Stored{{Record: pool.Record{Key: "x", Value: []byte(value)}}}})
	}
	list(`{"addr":"x","life":200,"elector":200}`)
	former := elector{"x", 200}
	for range 2 * voteExpiry / announceInterval {
		now += announceInterval
		list(`{"addr":"x","life":100,"elector":100}`)
	}
	assert.Assert(t, n.peers.voteExpired(former, 0))
	assert.Assert(t, !n.peers.voteExpired(elector{"x", 100}, 0))
}
