package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

func testElectors(lives ...int64) (list []elector) {
	for i, life := range lives {
		list = append(list, elector{fmt.Sprint(i), life})
	}
	return list
}

// Guards against a minority that confirms an ownership, and against votes that have expired and decide beside silent electors.
func TestVotesThatConfirmAnOwnership(t *testing.T) {
	for _, c := range []struct {
		electors, valid, expired int
		want                     bool
	}{
		{1, 1, 0, true}, {1, 0, 1, true}, {2, 1, 0, false}, {2, 2, 0, true}, {3, 1, 0, false}, {3, 2, 0, true}, {3, 1, 1, false},
		{3, 0, 3, true}, {3, 1, 2, true}, {4, 2, 0, false}, {4, 2, 1, false}, {4, 2, 2, true}, {9, 4, 4, false}, {9, 5, 0, true}, {9, 0, 9, true},
	} {
		electors := testElectors(make([]int64, c.electors)...)
		votes := map[elector]vote{{"other", 1}: {}}
		for i, e := range electors[:c.valid+c.expired] {
			votes[e] = vote{expired: i >= c.valid}
		}
		assert.Equal(t, isConfirmedBy(electors, votes), c.want, "%+v", c)
	}
}

// Guards against a confirmation by electors that a new owner doesn't find in the store yet, or doesn't any more.
func TestElectorsInForceWhileTheyChange(t *testing.T) {
	first, second, third := testElectors(1), testElectors(2), testElectors(3)
	e := newElectorate(ownerRecord{Electors: first}, time.Second)
	assert.DeepEqual(t, e.inForce(time.Hour), [][]elector{first})
	e.replace(second)
	_, version := e.record(claim{})
	assert.DeepEqual(t, e.inForce(time.Hour), [][]elector{first, second})
	e.replace(third)
	e.markStored(version, time.Hour)
	assert.DeepEqual(t, e.inForce(time.Hour+electorChangePeriod), [][]elector{first, second, third})
	assert.DeepEqual(t, e.inForce(time.Hour+electorChangePeriod+1), [][]elector{second, third})
	_, stored := e.newest()
	assert.Assert(t, !stored)
	e.markStored(version, 2*time.Hour) // a late answer about the former list
	_, version = e.record(claim{})
	e.markStored(version, 2*time.Hour)
	assert.DeepEqual(t, e.inForce(3*time.Hour), [][]elector{third})
}

// Guards against a predecessor that counts as over while a majority of its electors may confirm it, and against one that
// never does although most have ended for good.
func TestWhenAPredecessorIsOver(t *testing.T) {
	const now = time.Hour
	for _, c := range []struct {
		name              string
		informed, expired int
		left              int // of those that have expired
		resigned          bool
		waited            time.Duration
		want              bool
	}{
		{"nothing is known", 0, 0, 0, false, 0, false},
		{"its process has given up", 0, 0, 0, true, 0, true},
		{"a minority knows", 4, 0, 0, false, 0, false},
		{"a minority knows, for long", 4, 0, 0, false, time.Hour, false},
		{"most know", 5, 0, 0, false, 0, true},
		{"some know, others have expired", 1, 4, 0, false, 0, true},
		{"too few have expired", 1, 3, 0, false, 0, false},
		{"all have expired", 0, 9, 0, false, electorsLostTimeout, false},
		{"all have expired, for long", 0, 9, 0, false, electorsLostTimeout + 1, true},
		{"most have expired, for long", 0, 8, 0, false, electorsLostTimeout + 1, false},
		{"all have left", 0, 9, 9, false, 0, true},
		{"most have left", 0, 9, 8, false, 0, false},
	} {
		electors := testElectors(1, 1, 1, 1, 1, 1, 1, 1, 1)
		p := &peers{renewedAt: map[string]time.Duration{}, byKey: map[string]peerEntry{}, asOf: now, node: &Node{opts: Settings{Now: func() time.Duration { return now }}}}
		d := deposition{peers: p, began: now - max(c.waited, voteExpiry+1), informed: map[elector]bool{}, resigned: map[process]bool{{electors[8].Node, electors[8].ID}: c.resigned}}
		for i, e := range electors {
			d.informed[e] = i < c.informed
			p.renewedAt[e.Node] = now
			if i >= c.informed && i < c.informed+c.expired {
				p.renewedAt[e.Node] = now - voteExpiry - 1
			}
			if i >= c.informed+c.left {
				p.byKey[e.Node] = peerEntry{name: e.Node, Addr: e.Node, ElectorID: e.ID}
			}
		}
		over, _ := d.isOver(predecessor{claim: claim{Node: electors[8].Node, Life: electors[8].ID}, Electors: electors})
		assert.Equal(t, over, c.want, c.name)
	}
}

// Guards against a predecessor of an older version, which names no electors, that counts as over while its process may own
// the pool.
func TestWhenAPredecessorOfAnOlderVersionIsOver(t *testing.T) {
	const now = time.Hour
	f := predecessor{claim: claim{Node: "x", Life: 5, Epoch: 1}}
	for name, c := range map[string]struct {
		entry   peerEntry
		renewed time.Duration
		reply   NoteClaimReply
		want    bool
	}{
		"it runs":                         {peerEntry{name: "x", Addr: "x", Life: 5}, now, NoteClaimReply{}, false},
		"it has read a newer claim":       {peerEntry{name: "x", Addr: "x", Life: 5}, now, NoteClaimReply{Instance: "x", Life: 5, NotOwner: true}, true},
		"another instance has":            {peerEntry{name: "x", Addr: "x", Life: 5}, now, NoteClaimReply{Instance: "y", Life: 5, NotOwner: true}, false},
		"it has started again":            {peerEntry{name: "x", Addr: "x", Life: 6, ElectorID: 6}, now, NoteClaimReply{}, true},
		"it is silent":                    {peerEntry{name: "x", Addr: "x", Life: 5}, now - voteExpiry - 1, NoteClaimReply{}, true},
		"it isn't listed, or has left":    {peerEntry{}, now, NoteClaimReply{}, true},
		"its entry is as old as possible": {peerEntry{name: "x", Addr: "x", Life: 5}, now - voteExpiry, NoteClaimReply{}, false},
	} {
		p := &peers{renewedAt: map[string]time.Duration{"x": c.renewed}, byKey: map[string]peerEntry{"x": c.entry}, asOf: now}
		d := deposition{peers: p, began: now - 2*voteExpiry, pending: []predecessor{f}, informed: map[elector]bool{}, resigned: map[process]bool{}}
		d.apply(c.reply)
		over, _ := d.isOver(f)
		assert.Equal(t, over, c.want, name)
	}
}

// Guards against a predecessor that a new one doesn't wait for, as an owner between them has claimed and not outlived it.
func TestPredecessorsOfPredecessors(t *testing.T) {
	r := newReplica()
	record := func(epoch uint64, former ...predecessor) ownerRecord {
		return ownerRecord{claim: claim{Node: fmt.Sprint(epoch), Epoch: epoch}, Electors: testElectors(int64(epoch)), Predecessors: former}
	}
	assert.Equal(t, len(r.predecessors(100)), 0)
	first, second := record(1), record(2, predecessor{claim{Node: "1", Epoch: 1}, testElectors(7)})
	r.keepOwner(second)
	assertPredecessors(t, r.predecessors(3), predecessor{second.claim, second.Electors}, second.Predecessors[0])
	r.keepOwner(first) // its newest record
	assertPredecessors(t, r.predecessors(3), predecessor{second.claim, second.Electors}, predecessor{first.claim, first.Electors})
	assertPredecessors(t, r.predecessors(2), predecessor{first.claim, first.Electors})
	older := claim{Node: "older version", Epoch: 5}
	r.keepOwner(ownerRecord{claim: older})
	assertPredecessors(t, r.predecessors(6), predecessor{claim: older}, predecessor{second.claim, second.Electors}, predecessor{first.claim, first.Electors})
	for epoch := uint64(10); epoch < 100; epoch++ {
		r.keepOwner(record(epoch))
	}
	assert.Equal(t, len(r.owners), maxKeptOwners)
}

func assertPredecessors(t *testing.T, got []predecessor, want ...predecessor) {
	t.Helper()
	assert.Equal(t, fmt.Sprintf("%+v", got), fmt.Sprintf("%+v", want))
}

// Guards against a new owner that asks electors which its predecessor's predecessor had before: the copy has missed the
// record that named the later ones, and reads them in the record of the owner between them.
func TestPredecessorsAfterACopyWasReset(t *testing.T) {
	first, second := testElectors(1), testElectors(2)
	record := func(offset int64, c ownerRecord) Stored {
		return Stored{Offset: offset, Record: pool.Record{Key: pool.OwnerKey, Value: pool.Encode(c)}}
	}
	a, b := claim{Node: "a", Addr: "a", Epoch: 1}, claim{Node: "b", Addr: "b", Epoch: 2}
	r := newReplica()
	bad := func(_ Stored, err error) { assert.NilError(t, err) }
	r.apply(batch{records: []Stored{record(0, ownerRecord{claim: a, Electors: first})}, next: 1}, bad)
	r.apply(batch{reset: true, records: []Stored{record(9, ownerRecord{claim: b, Electors: first, Predecessors: []predecessor{{a, second}}})}, next: 10}, bad)
	assertPredecessors(t, r.predecessors(3), predecessor{b, first}, predecessor{a, second})
}

// Guards against a new owner that knows no predecessor, as its copy was reset and the newest record of that one is the one
// that it has read before.
func TestPredecessorsAfterAResetWithoutNews(t *testing.T) {
	a, b := ownerRecord{claim: claim{Node: "a", Addr: "a", Epoch: 1}, Electors: testElectors(1)}, claim{Node: "b", Addr: "b", Epoch: 2}
	r := newReplica()
	bad := func(_ Stored, err error) { assert.NilError(t, err) }
	stored := Stored{Offset: 3, Record: pool.Record{Key: pool.OwnerKey, Value: pool.Encode(a)}}
	r.apply(batch{records: []Stored{stored}, next: 4}, bad)
	r.apply(batch{reset: true, records: []Stored{stored}, next: 4}, bad)
	assertPredecessors(t, r.predecessors(b.Epoch), predecessor{a.claim, a.Electors})
}

// Guards against a new owner whose copy was reset at its claim, which has replaced the record of the owner before, and that
// waits for nobody.
func TestPredecessorsAfterAResetAtTheClaim(t *testing.T) {
	former := predecessor{claim{Node: "a", Addr: "a", Epoch: 1}, testElectors(1)}
	own := ownerRecord{claim: claim{Node: "b", Addr: "b", Epoch: 2}, Electors: testElectors(2), Predecessors: []predecessor{former}}
	r := newReplica()
	bad := func(_ Stored, err error) { assert.NilError(t, err) }
	r.apply(batch{reset: true, records: []Stored{{Offset: 9, Record: pool.Record{Key: pool.OwnerKey, Value: pool.Encode(own)}}}, next: 10}, bad)
	assertPredecessors(t, r.predecessors(own.Epoch), former)
}

// Guards against a new owner that doesn't wait for the first of two owners that have claimed at the same time: the second
// hadn't read that claim, and was replaced before it stored what it had read since.
func TestPredecessorsThatHaveClaimedAtTheSameTime(t *testing.T) {
	r := newReplica()
	first := ownerRecord{claim: claim{Node: "a", Epoch: 1}, Electors: testElectors(1)}
	second := ownerRecord{claim: claim{Node: "b", Epoch: 2}, Electors: testElectors(2)}
	r.keepOwner(first)
	r.keepOwner(second)
	assertPredecessors(t, r.predecessors(3), predecessor{second.claim, second.Electors}, predecessor{first.claim, first.Electors})
}

// Guards against an owner that is its only elector, as it couldn't reach the other instances when it claimed the pool: if it
// ends for good, nobody else knows its successor's claim.
func TestElectorsThatCanNotBeReachedAtPresent(t *testing.T) {
	n := New(Settings{Name: "self", PeerAddr: "self", Now: func() time.Duration { return time.Hour }}, zerolog.Nop(), nil, nil, nil, nil)
	pc := newPoolController(t.Context(), n, 0)
	for _, name := range []string{"a", "b", "c"} {
		n.peers.byKey[name], n.peers.renewedAt[name] = peerEntry{name: name, Addr: name, Life: 1, ElectorID: 1, Cores: 1}, time.Hour
	}
	n.peers.asOf = time.Hour
	n.peers.conn("a").redialAt = 2 * time.Hour
	electors := pc.chooseElectors(nil)
	assert.Equal(t, len(electors), 4, "%v", electors)
	assert.Equal(t, electors[3], elector{"a", 1}, "those that can be reached come first")
}
