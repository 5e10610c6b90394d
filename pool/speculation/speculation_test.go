package speculation

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// Guards against copies of runs that are in time for their worker, that gain nothing, that exceed the budget
// or that take capacity from waiting work.
func TestDecide(t *testing.T) {
	late := Run{Elapsed: 2000 * ms, Quantile: 1000 * ms, Slowness: 1, Remaining: 1500 * ms}
	free := Pool{Running: 100}
	with := func(change func(*Run)) Run { r := late; change(&r); return r }
	for _, c := range []struct {
		name     string
		run      Run
		pool     Pool
		copyTime time.Duration
		want     Verdict
	}{
		{"late", late, free, 500 * ms, Due},
		{"as long as others", with(func(r *Run) { r.Elapsed = 1000 * ms }), free, 500 * ms, InTime},
		{"as long as others on a slow worker", with(func(r *Run) { r.Slowness = 2 }), free, 500 * ms, InTime},
		{"longer than others on a slow worker", with(func(r *Run) { r.Slowness = 1.9 }), free, 500 * ms, Due},
		{"nothing known of the run times", with(func(r *Run) { r.Quantile = 0 }), free, 500 * ms, InTime},
		{"ends before its copy", late, free, 1500 * ms, NoGain},
		{"ends little after its copy", late, free, 1500*ms - MinGain + 1, NoGain},
		{"ends well after its copy", late, free, 1500*ms - MinGain, Due},
		{"no progress known", with(func(r *Run) { r.Remaining = 0 }), free, 1900 * ms, Due},
		{"no progress known, slow workers left", with(func(r *Run) { r.Remaining = 0 }), free, 1901 * ms, NoGain},
		{"last of the budget", late, Pool{Running: 100, Copies: 4}, 500 * ms, Due},
		{"budget used up", late, Pool{Running: 100, Copies: 5}, 500 * ms, OverBudget},
		{"small pool", late, Pool{Running: 3}, 500 * ms, Due},
		{"small pool with a copy", late, Pool{Running: 3, Copies: 1}, 500 * ms, OverBudget},
		{"work waits", late, Pool{Running: 100, Waiting: true}, 500 * ms, NoCapacity},
		{"no worker is free", late, free, 0, NoCapacity},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, Decide(c.run, c.pool, c.copyTime), c.want) })
	}
}

// Load pattern: straggler. 200 steps of ten tasks run one after another; run times scatter by a quarter, and
// one run in a hundred takes ten times as long. Guards against a rule with which copies don't shorten the steps
// with stragglers to half, or take more than 5 % of the pool's work for nothing.
func TestStraggler(t *testing.T) {
	const typical = 500 * ms
	random := rand.New(rand.NewPCG(1, 2))
	quantile := time.Duration(float64(typical) * math.Exp(1.645*0.25))
	draw := func() time.Duration {
		factor := math.Exp(0.25 * random.NormFloat64())
		if random.IntN(100) == 0 {
			factor *= 10
		}
		return time.Duration(factor * float64(typical))
	}
	var without, with, work, inVain time.Duration // of the steps with a straggler; of all steps
	for range 200 {
		ends := make([]time.Duration, 10)
		for i := range ends {
			ends[i] = draw()
			work += ends[i]
		}
		longest := slices.Max(ends)
		copies := 0
		for now := time.Duration(0); now < longest; now += 50 * ms {
			for i, end := range ends {
				r := Run{Elapsed: now, Quantile: quantile, Slowness: 1, Remaining: end - now}
				if end <= now || Decide(r, Pool{Running: 10, Copies: copies}, typical) != Due {
					continue
				}
				copies++
				second := now + draw()
				inVain += min(end, second) - now
				ends[i] = min(end, second)
			}
		}
		if longest > 5*typical {
			without += longest
			with += slices.Max(ends)
		}
	}
	assert.Assert(t, without > 0 && with <= without/2, "%v instead of %v", with, without)
	assert.Assert(t, inVain <= work/20, "%v in vain of %v", inVain, work)
}
