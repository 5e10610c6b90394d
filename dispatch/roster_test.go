package dispatch

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
)

// Entry b reads rosters 2 and 3 at once and says that it keeps to 3. It never heard of
// 2, in which it had fewer slots, and uses what 1 and 3 both allow. An entry that took
// its word for 2 as well would grow into slots that b still uses.
func TestSkippedRosterIsNotKept(t *testing.T) {
	r := rosters{self: "a", settled: map[string]infra.Offset{}}
	all := []string{"a", "b", "c"}
	r.add(Roster{Version: 1, Entries: all, First: true})
	r.add(Roster{Version: 2, Entries: append(all, "d")})
	r.hear("c", 2)
	r.hear("d", 2)
	r.hear("b", 3)
	assert.Equal(t, r.active.Version, infra.Offset(1))
	r.add(Roster{Version: 3, Entries: all, Draining: []string{"d"}})
	r.hear("c", 3)
	assert.Equal(t, r.active.Version, infra.Offset(1), "d is draining and has not answered")
	r.hear("d", 3)
	assert.Equal(t, r.active.Version, infra.Offset(3))
}

func rosterRecord(t *testing.T, c RosterChange) logstream.Record {
	t.Helper()
	body, err := json.Marshal(c)
	assert.NilError(t, err)
	return logstream.Record{Kind: KindRoster, Body: body}
}

// Two schedulers propose at once, or one forgets an entry that may still have requests
// at runners. Whoever then computes shares from the record gives its slots away too soon.
func TestRosterChangesThatAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change RosterChange
		want   string
	}{
		{"made from an older version", RosterChange{Base: 0, Entries: []string{"a"}}, "replaces version 0"},
		{"leaves without draining", RosterChange{Base: 7, Entries: []string{"a"}}, `"b" would leave without draining`},
		{"drains", RosterChange{Base: 7, Entries: []string{"a"}, Draining: []string{"b"}}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := NewRosterTable()
			assert.NilError(t, table.Apply(7, rosterRecord(t, RosterChange{Entries: []string{"a", "b"}})))
			assert.Equal(t, table.Roster().First, true)
			err := table.Apply(9, rosterRecord(t, tc.change))
			if tc.want != "" {
				assert.ErrorContains(t, err, tc.want)
				assert.Equal(t, table.Roster().Version, infra.Offset(7))
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, table.Roster(), Roster{Version: 9, Entries: []string{"a"}, Draining: []string{"b"}})
		})
	}
}

// An entry dies with requests at runners and a slot on loan. The others must not take its
// share until those have surely ended, however short the deadlines have become since.
func TestDeadEntryDrainsForTheLongestDeadline(t *testing.T) {
	k := NewRosterKeeper()
	roster := Roster{Version: 1, Entries: []string{"a", "b"}}
	assert.Assert(t, k.Wanted(0, roster, []string{"a", "b"}, nil, 30*second) == nil)
	c := k.Wanted(second, roster, []string{"a"}, nil, second)
	assert.DeepEqual(t, *c, RosterChange{Base: 1, Entries: []string{"a"}, Draining: []string{"b"}})
	roster = Roster{Version: 2, Entries: c.Entries, Draining: c.Draining}
	assert.Assert(t, k.Wanted(30*second, roster, []string{"a"}, nil, second) == nil)
	c = k.Wanted(32*second, roster, []string{"a"}, nil, second)
	assert.DeepEqual(t, *c, RosterChange{Base: 2, Entries: []string{"a"}})

	other := NewRosterKeeper()
	assert.Assert(t, other.Wanted(100*second, roster, []string{"a"}, nil, second) == nil, "a keeper that never saw it counts from its own first look")
	assert.Assert(t, other.Wanted(112*second, roster, []string{"a"}, nil, second) != nil)
}
