package fairshare

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/organisation"
)

func cores(n int64) organisation.Amounts { return organisation.Amounts{organisation.CPU: n} }

// Guards against a share that counts only one resource, or that isn't relative to those of the others.
func TestExcessFollowsTheDominantResourceAndTheWeights(t *testing.T) {
	total := organisation.Amounts{organisation.CPU: 100, organisation.Mem: 1000, organisation.GPU: 10}
	for _, c := range []struct {
		name          string
		weight, other float64
		used          organisation.Amounts
		excess        float64
	}{
		{"nothing in use", 1, 1, organisation.Amounts{}, 0},
		{"half by equal weights", 1, 1, cores(50), 0},
		{"all by equal weights", 1, 1, cores(100), 1},
		{"three quarters by weight", 3, 1, cores(75), 0},
		{"accelerators dominate", 1, 1, organisation.Amounts{organisation.CPU: 10, organisation.GPU: 10}, 1},
		{"nobody else", 1, 0, cores(100), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Capacity
			s.Reset(total)
			s.Set("a", c.weight, c.used)
			s.Set("b", c.other, organisation.Amounts{})
			assert.Equal(t, s.Charge("a", cores(1)), c.excess)
			assert.Assert(t, s.Charge("a", cores(1)) >= c.excess, "a charge counts from then on")
		})
	}
}

// Guards against an organisation without a weight, or one that is unknown, that is served before the others.
func TestOrganisationsWithoutAWeightComeLast(t *testing.T) {
	var s Capacity
	s.Reset(cores(100))
	s.Set("weighted", 1, cores(100))
	s.Set("none", 0, organisation.Amounts{})
	assert.Assert(t, s.Charge("none", cores(1)) > s.Charge("weighted", cores(1)))
	assert.Assert(t, s.Charge("unknown", cores(1)) > s.Charge("weighted", cores(1)))

	var c Clock
	c.Wait("weighted", 1)
	c.Wait("none", 0)
	for range 20 {
		c.Wait("weighted", 1)
		c.Serve("weighted", 1)
	}
	assert.Assert(t, c.Excess("none") > c.Excess("weighted"))
}

// serve serves the waiting organisation with the least excess, and the first by name of equal ones.
func serve(c *Clock, waiting map[string]int, cost float64) string {
	names := []string{}
	for name, n := range waiting {
		if n > 0 {
			names = append(names, name)
		}
	}
	next := slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.Excess(a), c.Excess(b)), cmp.Compare(a, b))
	})
	waiting[next]--
	c.Serve(next, cost)
	return next
}

// Pattern: noisy neighbour. One organisation has a thousand requests waiting, and the other one a request at a
// time. Guards against a wait of the latter behind more than the slack and one request.
func TestNoisyNeighbourDelaysAnotherByLessThanTheSlack(t *testing.T) {
	const cost = 0.035
	var c Clock
	waiting := map[string]int{}
	for range 1000 {
		c.Wait("a-noisy", 1)
		waiting["a-noisy"]++
	}
	for n := range 20 {
		c.Wait("quiet", 1)
		waiting["quiet"]++
		behind := 0.0
		for serve(&c, waiting, cost) != "quiet" {
			behind += cost
		}
		assert.Assert(t, behind <= slack+2*cost, "request %d waited behind %.2f s", n, behind)
	}
}

// Guards against weights that aren't kept, and a changed weight that takes no effect while requests wait.
func TestServiceIsByWeightAndFollowsItsChanges(t *testing.T) {
	var c Clock
	waiting := map[string]int{}
	fill := func(heavy, light float64) {
		c.Wait("heavy", heavy)
		c.Wait("light", light)
		waiting["heavy"]++
		waiting["light"]++
	}
	for range 10_000 {
		fill(1.5, 0.5)
	}
	count := func() (heavy int) {
		for range 4000 {
			if serve(&c, waiting, 0.1) == "heavy" {
				heavy++
			}
		}
		return heavy
	}
	assertNear(t, count(), 3000, 60)
	fill(1, 1)
	assertNear(t, count(), 2000, 60)
}

func assertNear(t *testing.T, got, want, by int) {
	t.Helper()
	assert.Assert(t, got >= want-by && got <= want+by, "%d, not %d", got, want)
}

// Guards against credit for time without requests: after a pause an organisation would be served alone.
func TestAPauseEarnsNoCredit(t *testing.T) {
	var c Clock
	waiting := map[string]int{}
	for range 400 {
		c.Wait("busy", 1)
		waiting["busy"]++
	}
	for range 200 {
		serve(&c, waiting, 1)
	}
	inRow := 0
	for range 100 {
		c.Wait("back", 1)
		waiting["back"]++
	}
	for range 50 {
		if serve(&c, waiting, 1) != "back" {
			break
		}
		inRow++
	}
	assert.Assert(t, inRow <= 3, "%d in a row", inRow)
}

// Guards against service at a more urgent priority that keeps an organisation's other requests waiting for as
// long as it lasted, and against a failed request that counts as service.
func TestLeadIsBoundedAndFailedRequestsAreRefunded(t *testing.T) {
	var c Clock
	c.Wait("waits", 1)
	for range 1000 {
		c.Wait("urgent", 1)
		c.Serve("urgent", 1)
	}
	assert.Assert(t, c.Excess("urgent") <= maxLead)
	before := c.Excess("urgent")
	c.Refund("urgent", 1)
	assert.Assert(t, c.Excess("urgent") < before)
}

// Guards against memory that grows with the organisations that came and went.
func TestOrganisationsThatAreGoneAreForgotten(t *testing.T) {
	var c Clock
	waiting := map[string]int{}
	for n := range 1000 {
		name := fmt.Sprint("org", n)
		c.Wait(name, 1)
		waiting[name]++
		c.Wait("stays", 1)
		waiting["stays"]++
		for range 2 {
			serve(&c, waiting, 0.1)
		}
	}
	assert.Assert(t, c.Len() <= 130, "%d remembered", c.Len())
	for waiting["stays"] > 0 {
		serve(&c, waiting, 0.1)
	}
	assert.Equal(t, c.Len(), 0)
}

// Guards against work that never gets a turn, and against turns that are saved up.
func TestATurnComesAfterABoundedAmountOfOtherWork(t *testing.T) {
	var turns Turns
	other := 0.0
	for !turns.Due(2) {
		turns.Count(1)
		other++
	}
	assert.Equal(t, other, 2.0*turnFactor)
	turns.Count(1e9)
	turns.Take()
	assert.Assert(t, !turns.Due(0.01))
}
