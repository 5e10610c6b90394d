package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/infra"
)

// An entry borrows a slot and is paused, or the answer takes long. When it goes on, the
// lender's term is nearly over and the lender will use the slot itself soon. A
// request sent on the loan then is one too many at the runner, so only what ends within
// the term, counted from the asking, may use it.
func TestLateBorrowerStopsBeforeTheLenderGoesOn(t *testing.T) {
	for _, tc := range []struct {
		name     string
		answered time.Duration
		deadline time.Duration
		sent     int
	}{
		{"at once", 0, 9 * second, 1},
		{"ends after the term", 0, 11 * second, 0},
		{"answer late, ends in the term", 4 * second, 9 * second, 1},
		{"answer late, ends after the term", 4 * second, 11 * second, 0},
		{"wakes when the term is over", 12 * second, 20 * second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := New(Config{Self: "b", SlotsPerRunner: 2, MaxQueue: 10})
			b.SetRoster(0, Roster{Version: 1, Entries: []string{"a", "b"}, First: true})
			b.SetRunners(0, []infra.Instance{{ID: "r1", Service: "desk", State: infra.InstanceLive}})
			b.Arrive(0, quote(1, 1, 30*second))
			ask := only[AskSlots](t, b.Arrive(0, quote(2, 1, tc.deadline)))
			assert.Equal(t, ask, AskSlots{Lender: "a", Service: "desk", Want: 1})
			sends := 0
			for _, a := range b.Borrowed(tc.answered, 0, "a", "desk", []Loan{{ID: 1, Runner: "r1"}}) {
				if _, ok := a.(Send); ok {
					sends++
				}
			}
			assert.Equal(t, sends, tc.sent)
		})
	}
}

// The lender gets callers of its own while its slots are lent. It must not use
// them, and asks for them back; once returned they serve its own callers.
func TestLenderRecallsWhatItNeeds(t *testing.T) {
	a := New(Config{Self: "a", SlotsPerRunner: 4, MaxQueue: 10})
	a.SetRoster(0, Roster{Version: 1, Entries: []string{"a"}, First: true})
	a.SetRunners(0, []infra.Instance{{ID: "r1", Service: "desk", State: infra.InstanceLive}})
	loans := a.Lend(0, "b", "desk", 5)
	assert.Equal(t, len(loans), 3, "one idle slot is kept")
	for id := range uint64(2) {
		a.Arrive(0, quote(id+1, 1, 20*second))
	}
	assert.Equal(t, a.Status(0).Runners[0].Busy, 1)
	recall := only[RecallSlots](t, a.Expire(askPause))
	assert.Equal(t, recall, RecallSlots{Borrower: "b", Count: 1})
	sent := only[Send](t, a.Returned(second, "b", []uint64{loans[0].ID}))
	assert.Equal(t, sent.Request, uint64(2))
}
