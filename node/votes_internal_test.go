package node

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

// Guards against an elector whose answers count as without effect, as its newest entry can't be read: the store has
// accepted the entry, and so it goes on to vote.
func TestUnreadableEntryOfAnElectorCountsAsRenewed(t *testing.T) {
	now := time.Hour
	n := New(Settings{Name: "self", Now: func() time.Duration { return now }}, zerolog.Nop(), nil, nil, nil, nil)
	n.peers.updateEntries(batch{asOf: now, records: []Stored{{Record: pool.Record{Key: "x", Value: []byte(`{"addr":"x","life":1}`)}}}})
	now += voteExpiry + time.Second
	n.peers.updateEntries(batch{asOf: now, records: []Stored{{Offset: 1, Record: pool.Record{Key: "x"}, Unreadable: errors.New("cut short")}}})
	assert.Assert(t, !n.peers.voteExpired(elector{"x", 1}, 0))
	now += voteExpiry + time.Second
	n.peers.updateEntries(batch{asOf: now})
	assert.Assert(t, n.peers.voteExpired(elector{"x", 1}, 0))
}
