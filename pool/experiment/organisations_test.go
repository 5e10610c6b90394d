package experiment

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/organisation"
)

// sharedDesk returns the short jobs of five organisations, each within its weight.
func sharedDesk() Workload {
	load := OrderDesk()
	load.Kinds = load.Kinds[:1]
	load.Kinds[0].ArrivalsPerSec *= 0.9
	load.Instances = 12
	load.Admission.ByEstimate = true
	for _, name := range []string{"noisy", "b", "c", "d", "e"} {
		load.Organisations = append(load.Organisations, organisation.Organisation{Name: name, Weight: 3})
	}
	return load
}

// Pattern: noisy neighbour. One organisation submits seven times its usual jobs all the time. Guards against a cost
// for the others of more than 0.01 of what they earn without that, the target of docs/DECISIONS-UNDER-LOAD.md.
func TestNoisyOrganisationCostsTheOthersLittle(t *testing.T) {
	const simulations = 3
	earned := map[int]float64{}
	for seed := range uint64(simulations) {
		for _, factor := range []int{1, 7} {
			load := sharedDesk()
			load.NoisyFactor = factor
			r := Simulate(load, seed+1)
			assert.Equal(t, r.OverCapacityStarts, 0)
			for _, o := range load.Organisations[1:] {
				earned[factor] += r.organisation(o.Name).EarnedValue
			}
		}
	}
	t.Logf("the others earned %.1f, beside a noisy organisation %.1f: %.4f", earned[1], earned[7], earned[7]/earned[1])
	assert.Assert(t, earned[7] >= 0.99*earned[1])
}
