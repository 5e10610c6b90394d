package experiment

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// refusalRunDuration keeps simulations short: a burst of 8 s and its aftermath.
const refusalRunDuration = 20 * time.Second

// Three, six and ten times the usual number of jobs arrive for 8 s, a third of them gangs or
// wide, while a fifth of the workers is lost and the store accepts no writes for 1.3 s. With all
// jobs accepted, callers get answers too late, and these jobs delay others that could have been
// on time. Guards against an admission estimate that earns much less than the best cut-off by
// true value and work, which no scheduler knows, or that leaves many accepted jobs unserved.
func TestRefusingEarnsNearlyAsMuchAsTheBestCutOff(t *testing.T) {
	for _, multiple := range []float64{3, 6, 10} {
		t.Run(fmt.Sprint(multiple), func(t *testing.T) {
			t.Parallel()
			load := Wholesaler()
			load.Duration = refusalRunDuration
			load = load.WithOverload(multiple)
			var refused Result
			var bounds Bounds
			var wait sync.WaitGroup
			wait.Go(func() {
				l := load
				l.Admission.ByEstimate = true
				refused = Simulate(l, 1)
			})
			wait.Go(func() { bounds = ComputeBounds(load, 1) })
			wait.Wait()
			t.Logf("estimate %.3f, accept all %.3f, cut-off %.3f; refused %d, unserved %d, with all accepted %d",
				refused.Share(), bounds.AcceptAll.Share(), bounds.CutOff.Share(), refused.Count(Refused), refused.Count(Unserved), bounds.AcceptAll.Count(Unserved))
			assert.Equal(t, refused.OverCapacityStarts, 0)
			assert.Assert(t, refused.Share() >= 0.9*bounds.Best(), "earned %.3f of the offered value, the best bound %.3f", refused.Share(), bounds.Best())
			if multiple > 3 {
				unserved, before := refused.Count(Unserved), bounds.AcceptAll.Count(Unserved)
				assert.Assert(t, 4*unserved <= before, "%d accepted jobs unserved, %d with all accepted", unserved, before)
			}
		})
	}
}

// Guards against refusals at moderate load: there is capacity for each job, and its caller
// would have to retry for nothing.
func TestNothingIsRefusedAtModerateLoad(t *testing.T) {
	for seed := range uint64(4) {
		load := Wholesaler()
		load.Duration = refusalRunDuration
		for i := range load.Kinds {
			load.Kinds[i].ArrivalsPerSec *= 0.75
		}
		load.Admission.ByEstimate = true
		r := Simulate(load, seed+1)
		assert.Equal(t, r.Count(Refused), 0)
	}
}

// Pattern: noisy neighbour. One of three organisations sends 7.5 times its usual jobs for 7 s. Guards against
// an admission that refuses the others' jobs for that, or lets them wait for it.
func TestBurstOfOneOrganisationUnderACapCostsTheOthersLittle(t *testing.T) {
	earned := func(l Workload) (quiet float64) {
		l.Admission.ByEstimate = true
		r := Simulate(l, 1)
		return (r.Queues["quote-north"].Share() + r.Queues["quote-south"].Share()) / 2
	}
	calm := Tenants()
	calm.Bursts = nil
	with, without := earned(Tenants()), earned(calm)
	assert.Assert(t, with >= without-0.01, "quiet organisations earn %.3f beside a noisy one, %.3f without", with, without)
}
