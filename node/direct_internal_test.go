package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

// Guards against an accepted job that never starts because its instance stored it just before it
// became the owner.
func TestOwnerKnowsTheJobsThatItStoredBeforeItsClaim(t *testing.T) {
	_, pc := newOwner(t, idleStore{end: 9})
	rec := pool.Record{Key: pool.JobKey("j1"), Value: pool.Encode(pool.Job{ID: "j1", Queue: "q", Service: "s", Steps: []pool.StepSpec{{Count: 1}}})}
	pc.replica.next = 8
	known := false
	assert.NilError(t, pc.do(t.Context(), func() {
		pc.handleDirectResult(t.Context(), directResult{records: []Stored{{Offset: 8, Record: rec}}})
		pc.handleBatch(batch{records: []Stored{{Offset: 8, Record: rec}}, next: 9, asOf: pc.node.now()})
		_, known = pc.own.core.JobState("j1")
	}))
	assert.Assert(t, known)
}

// Guards against a record that an instance goes on to append in vain beside the appends of a new owner,
// until its caller is told that it never runs.
func TestRecordsAreNotAppendedBesideANewOwner(t *testing.T) {
	const asked, newer = 3 << 16, 4 << 16
	for _, c := range []struct {
		name     string
		claim    uint64
		failed   time.Duration // how long ago an append failed first; 0: none has
		claiming bool
		want     error
	}{
		{"the owner that was asked", asked, 0, false, nil},
		{"a newer owner", newer, 0, false, errOwnerChanged},
		{"a newer owner while this instance claims the pool", newer, 0, true, nil},
		{"failing for a moment", asked, directRetryTimeout / 2, false, nil},
		{"failing for long", asked, 2 * directRetryTimeout, false, errStreamGrew},
		{"failing for long while this instance claims the pool", asked, 2 * directRetryTimeout, true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, pc := newOwner(t, idleStore{end: 9})
			s := newSubmission(pool.Record{Key: pool.JobKey("j1")})
			s.ownerEpoch = asked
			if c.failed > 0 {
				s.firstFailedAt = n.now() - c.failed
			}
			var got error
			assert.NilError(t, pc.do(t.Context(), func() {
				pc.own, pc.claiming, pc.replica.claim.Epoch = nil, c.claiming, c.claim
				got = pc.directRefusal(s)
			}))
			assert.Equal(t, got, c.want)
		})
	}
}
