package node_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// Guards against a refused append of which no log shows the record that is too large.
func TestRefusedAppendIsLoggedWithItsLargestRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFleet(t, 3)
		defer c.close()
		submitted := c.submit(pool.Job{ID: jobID(1), Payload: machines.Work(time.Second, false, false),
			Steps: []pool.StepSpec{{Count: 4, Need: pool.Resources{CPU: 100}}}}, func() *member { return c.members["m00"] })
		assert.Assert(t, submitted)
		c.world.SetMaxRecord(40) // of the records of the pool only the names of keys fit
		time.Sleep(2 * time.Second)
		line := c.logs.linesContaining(`"append.refused"`)
		for _, field := range []string{"largest_key", "largest_bytes", "max_record", "max_append"} {
			assert.Assert(t, strings.Contains(line, fmt.Sprintf("%q:", field)), "no %s in %s", field, line)
		}
	})
}
