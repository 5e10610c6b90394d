package node

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/pool"
)

// newUnhandledOwner is like newOwner, but the test handles the pool's events, in any order.
func newUnhandledOwner(t *testing.T) (*Node, *poolController) {
	n := New(Settings{Name: "self", PeerAddr: "self", Parts: 1}, zerolog.Nop(), idleStore{end: 9}, nil, nil, nil)
	pc := newPoolController(t.Context(), n, 0)
	n.controllers[0] = pc
	pc.own = &ownership{pc: pc, core: pool.New(pool.Settings{}, n.now()), loaded: true, saves: newSaveQueue(), queues: newQueueTable(),
		ctx: t.Context(), cancel: func() {}, claim: claim{Node: "self", Addr: "self", Epoch: 1 << 16}, rootSought: true}
	pc.replica.claim = pc.own.claim
	return n, pc
}

// Guards against an instance without a copy of a pool that goes back to a former owner when two lists of
// instances are read at once, and the older one reaches the pool last.
func TestNewestOwnerIsKeptFromListsReadTogether(t *testing.T) {
	n, pc := newUnhandledOwner(t)
	pc.own, pc.replica.claim = nil, claim{}
	for other := range 30 { // stronger instances, so that this one wants no copy of the pool
		name := fmt.Sprint("strong-", other)
		n.peers.byKey[name] = peerEntry{name: name, Addr: name, Life: 1, Cores: 10}
	}
	var changes []any
	for epoch := uint64(1); epoch <= 2; epoch++ {
		entry := peerEntry{Addr: fmt.Sprint("owner-", epoch), Life: 1, Cores: 1, Pools: []ownedPool{{Part: 0, Epoch: epoch, Generation: int(epoch)}}}
		n.peers.handleBatch(batch{records: []Stored{{Record: pool.Record{Key: "owner", Value: pool.Encode(entry)}}}})
		changes = append(changes, <-pc.events)
	}
	pc.handle(t.Context(), changes[1])
	pc.handle(t.Context(), changes[0])
	assert.Equal(t, pc.replica.claim.Epoch, uint64(2))
}

// Guards against an owner that goes back to an older configuration when two versions are read at once, and
// the older one reaches the pool last.
func TestNewestConfigurationIsKeptFromVersionsReadTogether(t *testing.T) {
	n, pc := newUnhandledOwner(t)
	var changes []any
	for version := int64(1); version <= 2; version++ {
		set, err := organisation.NewSet([]organisation.Entry{{Organisation: organisation.Organisation{Name: "o", Cap: organisation.Amounts{organisation.CPU: 1000 * version}}}})
		assert.NilError(t, err)
		n.applyConfig(t.Context(), &Config{Version: version, Organisations: set})
		changes = append(changes, <-pc.events)
	}
	pc.handle(t.Context(), changes[1])
	pc.handle(t.Context(), changes[0])
	caps := pc.own.core.CapReports()
	assert.Equal(t, len(caps), 1)
	assert.Equal(t, caps[0].Cap[organisation.CPU], int64(2000))
}
