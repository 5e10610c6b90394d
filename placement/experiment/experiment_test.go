package experiment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The experiments are only worth something if the policies play by the rules: no
// worker is overfilled, and the same work gives the same figures again.
func TestPoliciesKeepTheRules(t *testing.T) {
	load := Load{Share: 1.2, Wrong: 3, FailingWorkers: 0.05, For: time.Minute, Seed: 3}
	first, second := Run(Workshop(), load, true), Run(Workshop(), load, true)
	for i, r := range first {
		assert.Equal(t, r.Overfill, 0, r.Policy)
		assert.Assert(t, r.Starts > 100, "%s started %d tasks", r.Policy, r.Starts)
		assert.DeepEqual(t, r.Waits, second[i].Waits)
	}
}

func TestWorkOffersTheLoad(t *testing.T) {
	for _, c := range []Cell{Workshop(), Association(), Letter(200)} {
		load := Load{Share: 0.95, For: 20 * time.Minute, Seed: 5}
		var cpu float64
		for _, j := range MakeWork(c, load) {
			run := min(j.Run, load.For)
			cpu += run.Seconds() * float64(j.Need.MilliCPU) * float64(j.Tasks)
		}
		offered := cpu / load.For.Seconds() / float64(c.total().MilliCPU)
		assert.Assert(t, offered > 0.8 && offered < 1.1, "%s: %.2f", c.Name, offered)
	}
}
