package organisation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Pattern: noisy neighbour. An organisation that submits five times its weight has as many jobs within
// its weight as that allows, spread over the time.
func TestJobsOfANoisyNeighbourAreBeyondItsWeight(t *testing.T) {
	var b WeightBucket
	within := make([]int, 10)
	for n := range 500 {
		at := time.Duration(n) * 20 * time.Millisecond
		if b.Take(10, at) {
			within[int(at/time.Second)]++
		}
	}
	assert.Equal(t, within[0], 50)
	assert.DeepEqual(t, within[2:], []int{10, 10, 10, 10, 10, 10, 10, 10})
	assert.Assert(t, b.Recovery(10) > 20*time.Second, "%v", b.Recovery(10))
	assert.Assert(t, b.Take(10, 11*time.Second))
}

func TestWeightAllowsBurstsAndRecovers(t *testing.T) {
	var b WeightBucket
	for range 15 {
		assert.Assert(t, b.Take(3, time.Hour))
	}
	assert.Assert(t, !b.Take(3, time.Hour))
	assert.Equal(t, b.Recovery(3).Round(time.Millisecond), 667*time.Millisecond)
	assert.Assert(t, b.Take(3, time.Hour+time.Second))
	assert.Assert(t, !new(WeightBucket).Take(0, 0), "nothing is within no weight")
	assert.Assert(t, new(WeightBucket).Take(1, 0))
}

// Guards against a look at the weight that uses it up, and against an answer that differs from Take's.
func TestWithinChangesNothing(t *testing.T) {
	var b WeightBucket
	for n := range 40 {
		at := time.Duration(n) * 100 * time.Millisecond
		before := b
		within := b.Within(3, at)
		assert.Equal(t, b, before)
		assert.Equal(t, b.Take(3, at), within)
	}
}
