package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

// stoppedStore refuses appends for a while after the first one. The one after that is accepted late, as if the process was
// stopped before it was sent.
type stoppedStore struct {
	idleStore
	now      func() time.Duration
	accepted bool
	refuses  time.Duration // until then
	stopped  time.Duration
}

// Append implements Store.
func (s *stoppedStore) Append(context.Context, Topic, []pool.Record, *Writer) (int64, error) {
	if s.accepted && s.now() < s.refuses {
		return 0, ErrRefused
	}
	if s.accepted {
		time.Sleep(s.stopped)
		s.stopped = 0
	}
	s.accepted = true
	return 0, nil
}

// Guards against an elector whose votes count again after a successor has taken them for expired: its process is stopped
// right before its votes expire, while it sends an entry, and the store accepts that one when it goes on.
func TestEntryOfAStoppedElectorDoesNotRenewItsVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(began) }
		store := &stoppedStore{now: now, refuses: now() + voteDuration - time.Second, stopped: voteExpiry - voteDuration + 10*time.Second}
		n := New(Settings{Name: "self", PeerAddr: "self", Parts: 1, Now: now}, zerolog.Nop(), store, nil, nil, nil)
		first, _ := n.peers.ownVote()
		go n.peers.announce(t.Context())
		for time.Since(began) < 2*voteExpiry {
			time.Sleep(time.Second)
			id, age := n.peers.ownVote()
			assert.Assert(t, id != first || age >= voteDuration || time.Since(began) < voteExpiry, "it votes %v after its first entry", time.Since(began))
		}
	})
}
