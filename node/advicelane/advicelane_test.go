package advicelane

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func addresses(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("10.%d.0.%d:7320", i%4+1, i+2))
	}
	return list
}

func TestShareOfEachLane(t *testing.T) {
	for _, tc := range []struct{ instances, cheapOnly, cheapOrLate int }{
		{0, 0, 0}, {1, 0, 0}, {2, 0, 0}, {3, 0, 1}, {6, 0, 2}, {12, 2, 2}, {43, 11, 3}, {300, 75, 25},
	} {
		count := map[Lane]int{}
		for _, l := range Assign(addresses(tc.instances)) {
			count[l]++
		}
		assert.Equal(t, count[CheapOnly], tc.cheapOnly, "%d instances", tc.instances)
		assert.Equal(t, count[CheapOrLate], tc.cheapOrLate, "%d instances", tc.instances)
	}
}

// Guards against head-of-line blocking across pools: if each owner chooses the reserved instances by its
// own order, the expensive requests of one fill those on which the cheap requests of another rely.
func TestOwnersAgreeOnReservedInstances(t *testing.T) {
	all := addresses(44)
	for a := range all {
		for b := range all {
			of := func(own int) map[string]Lane {
				peers := slices.Delete(slices.Clone(all), own, own+1)
				if own%2 == 1 {
					slices.Reverse(peers)
				}
				return Assign(peers)
			}
			first, second, differ := of(a), of(b), 0
			for addr, l := range first {
				if other, both := second[addr]; both && (other == Any) != (l == Any) {
					differ++
				}
			}
			assert.Assert(t, differ <= 1, "owners %d and %d differ in %d instances", a, b, differ)
		}
	}
}
