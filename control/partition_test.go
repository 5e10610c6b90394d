package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/placement"
)

// Two sides of a cell lose each other, and both reach the log and the workers.
// Each takes the other side for dead and claims its units. The claims must not go
// back and forth without end: callers would find no owner that lasts. After the
// cut, all is quiet again.
func TestCutHalvesDoNotFightForUnits(t *testing.T) {
	s := cell(t, 1, 7, 6, 2)
	for i := range 12 {
		s.submit(s.nodes[0], fmt.Sprintf("svc-%d", i), placement.Service, 1)
	}
	s.until(t, 5*time.Second, "all run", func() bool { return s.running() == 12 })
	for i, a := range s.nodes {
		for _, b := range s.nodes[i+1:] {
			if i < 3 && b.id > s.nodes[2].id {
				s.cutBoth(a.id, b.id)
			}
		}
	}
	before := len(s.log)
	s.run(3 * time.Minute)
	units := len(s.nodes[0].core.units)
	claims := len(s.log) - before
	assert.Assert(t, claims <= 8*units, "%d claims for %d units", claims, units)
	clear(s.cut)
	s.run(3 * time.Minute)
	before = len(s.log)
	s.run(time.Minute)
	assert.Equal(t, len(s.log)-before, 0)
	assert.Assert(t, s.settled())
	assert.Equal(t, s.running(), 12)
	s.check(t)
}
