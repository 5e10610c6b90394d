package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

// Guards against an instance without a copy of a pool that goes back to a former owner when several lists
// of instances are read at once.
func TestNewestOwnerIsKeptFromListsReadTogether(t *testing.T) {
	n, pc := newOwner(t, idleStore{end: 9})
	assert.NilError(t, pc.do(t.Context(), func() { pc.own, pc.replica.claim = nil, claim{} }))
	for other := range 30 { // stronger instances, so that this one wants no copy of the pool
		name := fmt.Sprint("strong-", other)
		n.peers.byKey[name] = peerEntry{name: name, Addr: name, Life: 1, Cores: 10}
	}
	const lists = 200
	for epoch := uint64(1); epoch <= lists; epoch++ {
		entry := peerEntry{Addr: fmt.Sprint("owner-", epoch), Life: 1, Cores: 1, Pools: []ownedPool{{Part: 0, Epoch: epoch, Generation: int(epoch)}}}
		n.peers.handleBatch(batch{records: []Stored{{Record: pool.Record{Key: "owner", Value: pool.Encode(entry)}}}})
	}
	time.Sleep(100 * time.Millisecond) // the controller has handled all lists
	var newest uint64
	assert.NilError(t, pc.do(t.Context(), func() { newest = pc.replica.claim.Epoch }))
	assert.Equal(t, newest, uint64(lists))
}
