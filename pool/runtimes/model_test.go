package runtimes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	queue    = "short"
	stepMean = 500 * time.Millisecond
)

// rig feeds a model with runs in virtual time.
type rig struct {
	*Model
	now time.Duration
	rng *rand.Rand
}

func newRig() *rig { return &rig{Model: New(), rng: rand.New(rand.NewPCG(1, 2))} }

// run observes one run that takes factor times the mean of its step.
func (r *rig) run(worker string, incarnation int64, factor float64) Change {
	r.now += 10 * time.Millisecond
	return r.Observe(r.now, Observation{Worker: worker, Incarnation: incarnation, Kind: "k", Queue: queue, Declared: stepMean,
		Took: time.Duration(factor * float64(stepMean)), StepMean: stepMean})
}

// noisy returns a factor with the spread of the tasks of one step.
func (r *rig) noisy(factor float64) float64 {
	return factor * math.Exp(0.25*r.rng.NormFloat64()-0.25*0.25/2)
}

// learnPool observes some runs on each of eight healthy workers.
func (r *rig) learnPool(runs int) {
	for range runs {
		for n := range 8 {
			r.run(fmt.Sprint("w", n), 1, r.noisy(1))
		}
	}
}

func (r *rig) slow(worker string) float64 { return r.Slowness(worker, 1, "k", queue) }

// Guards against a worker at half speed that gets urgent tasks for long, and against one that is avoided
// for long after it was mended.
func TestWorkerAtHalfSpeedIsRecognisedAndRecovers(t *testing.T) {
	r := newRig()
	r.learnPool(20)
	became := 0
	for n := 1; became == 0; n++ {
		assert.Assert(t, n <= 6, "not slow after 6 runs: %.2f", r.slow("w0"))
		if r.run("w0", 1, r.noisy(2)) == BecameSlow {
			became = n
		}
	}
	assert.Assert(t, became >= 2)
	for range 20 {
		r.run("w0", 1, r.noisy(2))
	}
	assert.Assert(t, r.slow("w0") > 1.7 && r.slow("w0") < 2.4, "%.2f", r.slow("w0"))
	assert.Assert(t, r.IsSlow("w0", 1))
	recovered := 0
	for n := 1; recovered == 0; n++ {
		assert.Assert(t, n <= 6, "not recovered after 6 runs: %.2f", r.slow("w0"))
		if r.run("w0", 1, r.noisy(1)) == Recovered {
			recovered = n
		}
	}
	assert.Assert(t, !r.IsSlow("w0", 1))
}

// Guards against one long run, of which each step of ten tasks has one, that makes a healthy worker
// count as slow or moves it far.
func TestSingleOutlierCountsLittle(t *testing.T) {
	for _, factor := range []float64{0.1, 2.3, 20} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			r := newRig()
			r.learnPool(20)
			before := r.slow("w0")
			assert.Equal(t, r.run("w0", 1, factor), NoChange)
			assert.Assert(t, math.Abs(r.slow("w0")/before-1) < 0.15, "%.2f after %.2f", r.slow("w0"), before)
		})
	}
}

// Guards against long tails that make healthy workers count as slow: here one run in ten takes 2.3
// times as long as the others.
func TestLongTailOnAllWorkers(t *testing.T) {
	r := newRig()
	reported := 0
	for range 100 {
		for n := range 20 {
			factor := 1.0
			if r.rng.IntN(10) == 0 {
				factor = 2.3
			}
			if r.run(fmt.Sprint("w", n), 1, r.noisy(factor/1.13)) == BecameSlow {
				reported++
			}
		}
	}
	assert.Assert(t, reported <= 8, "%d reports in 2,000 runs", reported)
	off := 0
	for n := range 20 {
		if s := r.slow(fmt.Sprint("w", n)); s < 0.7 || s > 1.4 {
			off++
		}
	}
	assert.Assert(t, off <= 1, "%d of 20", off)
}

// Guards against estimates that leave the true range when the mean of a step is itself taken at the
// learned speeds, as the pool does. Speeds are those of the customs deployment.
func TestUnevenPoolConverges(t *testing.T) {
	r := newRig()
	// Relative run times as on the customs deployment, with a median of 1.4.
	speed := func(n int) float64 {
		if n%4 == 3 {
			return 2
		}
		return 0.72 + 0.0664*float64(n%16)
	}
	const workers = 32
	for range 300 {
		var took [10]time.Duration
		var at [10]string
		run := time.Duration((0.2 + r.rng.Float64()) * float64(time.Second))
		declared := time.Duration(float64(run) * math.Exp(0.7*r.rng.NormFloat64()))
		sum := 0.0
		for i := range took {
			n := r.rng.IntN(workers)
			at[i] = fmt.Sprint("w", n)
			took[i] = time.Duration(r.noisy(speed(n)) * float64(run))
			o := Observation{Worker: at[i], Incarnation: 1, Kind: "k", Queue: queue, Declared: declared, Took: took[i]}
			if i >= 2 {
				o.StepMean = time.Duration(sum / float64(i))
			}
			sum += float64(took[i]) / r.slow(at[i])
			r.now += 10 * time.Millisecond
			r.Observe(r.now, o)
		}
	}
	slowOnes, median := 0.0, 1.4
	for n := range workers {
		ratio := r.slow(fmt.Sprint("w", n)) / speed(n) * median
		assert.Assert(t, ratio > 0.65 && ratio < 1.5, "w%d: %.2f of %.2f", n, r.slow(fmt.Sprint("w", n)), speed(n))
		if n%4 == 3 {
			slowOnes += r.slow(fmt.Sprint("w", n)) / 8
		}
	}
	assert.Assert(t, slowOnes > 1.25 && slowOnes < 1.65, "%.2f", slowOnes)
}

// A quarter of the workers runs at half speed. Guards against a new owner that places badly for more
// than the few seconds in which each worker ends four runs.
func TestNewOwnerLearnsWithinFourRuns(t *testing.T) {
	r := newRig()
	for range 4 {
		for n := range 32 {
			factor := 1.0
			if n%4 == 3 {
				factor = 2
			}
			r.run(fmt.Sprint("w", n), 1, r.noisy(factor))
		}
	}
	found := 0
	for n := range 32 {
		slow := r.slow(fmt.Sprint("w", n)) > 1.4
		assert.Assert(t, !slow || n%4 == 3, "w%d", n)
		if slow {
			found++
		}
	}
	assert.Assert(t, found >= 6, "%d of 8", found)
}

// Guards against a worker that counts as slow after a restart, and against late runs of the former
// incarnation that count for the new one.
func TestNewIncarnationStartsFromItsKind(t *testing.T) {
	r := newRig()
	r.learnPool(20)
	for range 20 {
		r.run("w0", 1, 2)
	}
	assert.Assert(t, r.IsSlow("w0", 1))
	assert.Assert(t, !r.IsSlow("w0", 2))
	assert.Assert(t, math.Abs(r.Slowness("w0", 2, "k", queue)-1) < 0.25)
	r.run("w0", 2, 1)
	r.run("w0", 1, 2)
	assert.Equal(t, r.Runs("w0", 2), 1)
	assert.Assert(t, math.Abs(r.Slowness("w0", 2, "k", queue)-1) < 0.25)
}

// Guards against workers of a slow kind that each have to be recognised anew.
func TestUnseenWorkerStartsFromItsKind(t *testing.T) {
	r := newRig()
	r.learnPool(20)
	for n := range 60 {
		r.now += 10 * time.Millisecond
		r.Observe(r.now, Observation{Worker: fmt.Sprint("old", n%3), Incarnation: 1, Kind: "old", Queue: queue, Took: 2 * stepMean, StepMean: stepMean})
	}
	assert.Assert(t, r.Slowness("unseen", 1, "old", queue) > 1.5)
	assert.Assert(t, math.Abs(r.Slowness("unseen", 1, "k", queue)-1) < 0.25)
	assert.Equal(t, r.Slowness("unseen", 1, "unknown", queue), 1.0)
}

// Guards against a worker that is avoided by all queues because one of them runs slowly on it.
func TestSlownessDiffersByQueue(t *testing.T) {
	r := newRig()
	r.learnPool(20)
	for range 40 {
		for _, q := range []struct {
			name   string
			factor float64
		}{{"fine", 1}, {"poor", 1.8}} {
			r.now += 10 * time.Millisecond
			r.Observe(r.now, Observation{Worker: "w0", Incarnation: 1, Kind: "k", Queue: q.name, Took: time.Duration(q.factor * float64(stepMean)), StepMean: stepMean})
		}
	}
	fine, poor := r.Slowness("w0", 1, "k", "fine"), r.Slowness("w0", 1, "k", "poor")
	assert.Assert(t, fine < 1.35 && poor > 1.5, "%.2f and %.2f", fine, poor)
}

// Guards against a new owner that tells nothing of speeds from steps with too few tasks for a mean.
func TestSpeedFromDeclaredTimes(t *testing.T) {
	r := newRig()
	for n := range 800 {
		factor := math.Exp(0.5 * r.rng.NormFloat64())
		if n%8 == 0 {
			factor *= 2.5
		}
		r.now += 10 * time.Millisecond
		r.Observe(r.now, Observation{Worker: fmt.Sprint("w", n%8), Incarnation: 1, Queue: queue, Declared: stepMean, Took: time.Duration(factor * float64(stepMean))})
	}
	assert.Assert(t, r.Slowness("w0", 1, "", queue) > 1.4, "%.2f", r.Slowness("w0", 1, "", queue))
}

// Guards against limits and estimated ends that don't follow from what a queue's runs took.
func TestDistributionOfAQueue(t *testing.T) {
	r := newRig()
	for n := range 4000 {
		r.now += time.Millisecond
		took := 2 * time.Second
		if n%20 == 0 {
			took = 6 * time.Second
		}
		r.Observe(r.now, Observation{Worker: fmt.Sprint("w", n%8), Incarnation: 1, Queue: queue, Declared: time.Second,
			Took: time.Duration(r.noisy(1) * float64(took)), StepMean: 2200 * time.Millisecond})
	}
	for _, c := range []struct {
		name     string
		got      time.Duration
		min, max time.Duration
	}{
		{"median", r.Quantile(queue, time.Second, 0.5), 1700 * time.Millisecond, 2400 * time.Millisecond},
		{"90 %", r.Quantile(queue, time.Second, 0.9), 2400 * time.Millisecond, 3500 * time.Millisecond},
		{"98 %", r.Quantile(queue, time.Second, 0.98), 4 * time.Second, 8 * time.Second},
		{"mean", r.Mean(queue, time.Second), 1900 * time.Millisecond, 2600 * time.Millisecond},
		{"median in a step", r.StepQuantile(queue, time.Second, 0.5), 750 * time.Millisecond, 1100 * time.Millisecond},
		{"98 % in a step", r.StepQuantile(queue, time.Second, 0.98), 1800 * time.Millisecond, 3600 * time.Millisecond},
	} {
		assert.Assert(t, c.got >= c.min && c.got <= c.max, "%s is %s", c.name, c.got)
	}
	last := time.Duration(0)
	for q := 0.0; q <= 1; q += 0.05 {
		got := r.Quantile(queue, time.Second, q)
		assert.Assert(t, got >= last)
		last = got
	}
}

// Guards against a new owner that takes declared times as exact, or knows no limit at all.
func TestUnknownQueue(t *testing.T) {
	m := New()
	assert.Equal(t, m.Mean(queue, time.Second), time.Second)
	for _, c := range []struct{ share, min, max float64 }{{0.5, 0.95, 1.05}, {0.9, 1.7, 2.1}, {0.99, 2.8, 3.6}} {
		got := m.Quantile(queue, time.Second, c.share).Seconds()
		assert.Assert(t, got >= c.min && got <= c.max, "%v: %v", c.share, got)
	}
	assert.Equal(t, m.Slowness("w", 1, "k", queue), 1.0)
}

// Guards against memory that grows with the workers, queues and kinds that callers name, and against
// dropping one that is in use.
func TestMemoryIsBounded(t *testing.T) {
	m := New()
	for n := range maxWorkers + 50 {
		now := time.Duration(n+1) * time.Millisecond
		m.Observe(now, Observation{Worker: fmt.Sprint("w", n), Kind: fmt.Sprint("k", n), Queue: fmt.Sprint("q", min(n, maxQueues+50)), Took: stepMean, StepMean: stepMean})
		m.Observe(now, Observation{Worker: "kept", Kind: "kept", Queue: fmt.Sprint("q", min(n, maxQueues+50)), Took: stepMean, StepMean: stepMean})
	}
	assert.Equal(t, len(m.workers), maxWorkers)
	assert.Equal(t, len(m.queues), maxQueues)
	assert.Equal(t, len(m.kinds), maxKinds)
	assert.Equal(t, len(m.workers["kept"].byQueue), maxQueuesPerWorker)
	assert.Equal(t, len(m.kinds["kept"].byQueue), maxQueuesPerWorker)
	m.Forget("kept")
	assert.Equal(t, len(m.workers), maxWorkers-1)
}

// Guards against estimates that become infinite or undefined.
func TestOddObservations(t *testing.T) {
	m := New()
	for _, o := range []Observation{
		{Worker: "w", Queue: queue}, {Worker: "w", Queue: queue, Took: -1}, {Worker: "w", Queue: queue, Took: 1},
		{Worker: "w", Queue: queue, Took: 1, Declared: time.Hour, StepMean: time.Hour}, {Worker: "w", Queue: queue, Took: time.Hour, Declared: 1, StepMean: 1},
	} {
		m.Observe(time.Second, o)
		for _, x := range []float64{m.Slowness("w", 0, "", queue), m.Quantile(queue, time.Second, 0.99).Seconds(), m.Mean(queue, time.Second).Seconds()} {
			assert.Assert(t, x > 0 && x < 1e3, "%v after %v", x, o)
		}
	}
}

// BenchmarkSlowness measures a lookup, of which placement makes one for each candidate.
func BenchmarkSlowness(b *testing.B) {
	r := newRig()
	r.learnPool(20)
	for b.Loop() {
		r.slow("w3")
	}
}
