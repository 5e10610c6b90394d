package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/placement"
)

// An owner of shards and homes dies. Its peers miss its heartbeats, claim what
// it owned, ask workers and shards what runs, and go on: callers see that new
// work starts again, and that nothing that ran is run twice.
func TestDeathIsTakenOver(t *testing.T) {
	s := cell(t, 1, 5, 6, 2)
	for i := range 20 {
		s.submit(s.nodes[0], fmt.Sprintf("svc-%d", i), placement.Service, 1)
	}
	s.until(t, 5*time.Second, "all run", func() bool { return s.running() == 20 })
	s.kill(s.nodes[1])
	gap := s.until(t, 5*time.Second, "all units owned", s.settled)
	assert.Assert(t, gap <= 3*time.Second, "took %s", gap)
	s.run(5 * time.Second)
	assert.Equal(t, s.running(), 20)
	assert.Equal(t, len(s.starts), 20)
	s.check(t)
}
