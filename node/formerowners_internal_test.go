package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a former owner that is forgotten: it claimed between the last read and the claim of its successor, which ended
// before it stored its own list of former owners.
func TestFormerOwnersIncludeThoseThatASuccessorDidNotKnow(t *testing.T) {
	electors := []elector{{"a", 1}, {"b", 1}, {"c", 1}}
	owner := func(node string, epoch uint64) claim { return claim{Node: node, Addr: node, Life: 1, Epoch: epoch} }
	first := formerOwner{owner("a", 1<<16), electors}
	r := newReplica()
	r.keepOwner(ownerRecord{claim: first.claim, Electors: electors})
	r.keepOwner(ownerRecord{claim: owner("b", 2<<16), Electors: electors, Former: []formerOwner{first}})
	r.keepOwner(ownerRecord{claim: owner("c", 2<<16+tokensPerEpoch), Electors: electors, Former: []formerOwner{first}})
	var epochs []uint64
	for _, f := range r.formerOwners(3 << 16) {
		epochs = append(epochs, f.Epoch)
	}
	assert.DeepEqual(t, epochs, []uint64{2<<16 + tokensPerEpoch, 2 << 16, 1 << 16})
}
