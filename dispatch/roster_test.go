package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/platform"
)

// Entry b reads rosters 2 and 3 at once and says that it keeps to 3. It never heard of
// 2, in which it had fewer slots, and uses what 1 and 3 both allow. An entry that took
// its word for 2 as well would grow into slots that b still uses.
func TestSkippedRosterIsNotKept(t *testing.T) {
	r := rosters{self: "a", settled: map[string]platform.Offset{}}
	all := []string{"a", "b", "c"}
	r.add(Roster{Version: 1, Entries: all, First: true})
	r.add(Roster{Version: 2, Entries: append(all, "d")})
	r.hear("c", 2)
	r.hear("d", 2)
	r.hear("b", 3)
	assert.Equal(t, r.active.Version, platform.Offset(1))
	r.add(Roster{Version: 3, Entries: all, Draining: []string{"d"}})
	r.hear("c", 3)
	assert.Equal(t, r.active.Version, platform.Offset(1), "d is draining and has not answered")
	r.hear("d", 3)
	assert.Equal(t, r.active.Version, platform.Offset(3))
}
