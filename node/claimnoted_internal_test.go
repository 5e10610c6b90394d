package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner that counts its own vote after it was told of a newer claim, while its pool's goroutine was too
// busy to end the ownership: its successor counts it among the electors that know the claim.
func TestOwnerThatKnowsANewerClaimDoesNotVoteForItself(t *testing.T) {
	n := &Node{opts: Settings{Name: "a", Now: func() time.Duration { return time.Second }}}
	n.peers = newPeers(n)
	pc := &poolController{node: n, topic: Topic{Part: 3}, events: make(chan any, 1)}
	o := &ownership{pc: pc, claim: claim{Node: "a", Epoch: 5}, electorate: newElectorate(ownerRecord{Electors: []elector{n.self()}}, 0)}
	n.claims.note(3, 6)
	o.askForConfirmation(context.Background())
	assert.Equal(t, o.confirmed.time(), time.Duration(0))
}
