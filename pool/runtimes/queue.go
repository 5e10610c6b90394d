package runtimes

import (
	"math"
	"time"
)

const (
	// maxRatio bounds the ratios that are told apart, and binsPerOctave sets how finely: one bin
	// covers 9 %.
	maxRatio      = 16
	binsPerOctave = 8
	bins          = 2 * 4 * binsPerOctave // from 1/16 to 16
	// memory is the number of runs over which a distribution is taken. A step has up to 60 tasks, all
	// of which are off by the same factor, so it has to cover many steps.
	memory = 1000
	// quantileAge is the number of runs after which a known quantile is computed again.
	quantileAge = 16
)

// queueTimes is what was learned of the run times of a queue.
type queueTimes struct {
	runs   int
	seenAt time.Duration
	// meanRatio is the moving average of the ratio of actual to declared time at typical speed, and
	// logMean and logVariance are those of its logarithm.
	meanRatio, logMean, logVariance float64
	// declared holds ratios to the declared time, and inStep ratios to the mean of the run's step.
	declared, inStep distribution
}

func newQueueTimes() *queueTimes {
	return &queueTimes{meanRatio: 1, logVariance: declaredSpread * declaredSpread, declared: newDistribution(declaredSpread), inStep: newDistribution(stepSpread)}
}

// observe learns from a run on a worker of the given slowness.
func (q *queueTimes) observe(o *Observation, slowness float64) {
	typical := float64(o.Took) / slowness
	if o.StepMean > 0 {
		q.inStep.add(typical / float64(o.StepMean))
	}
	if o.Declared <= 0 {
		return
	}
	ratio := min(max(typical/float64(o.Declared), 1.0/maxRatio), maxRatio)
	q.declared.add(ratio)
	weight := max(ratioWeight, 1/float64(q.runs+priorRuns+1))
	q.runs++
	q.meanRatio += weight * (ratio - q.meanRatio)
	diff := math.Log(ratio) - q.logMean
	q.logMean += weight * diff
	q.logVariance += weight * (diff*diff - q.logVariance)
}

// distribution is a histogram of ratios in which old runs lose weight.
type distribution struct {
	weights [bins]float64
	total   float64
	// next is the weight of the next run. It grows, so that older runs needn't be scaled down one by one.
	next    float64
	runs    int
	spread  float64
	queries [4]quantile // the latest results
	oldest  int
}

type quantile struct {
	share, ratio float64
	runs         int // number of runs when it was computed
}

// newDistribution returns a lognormal distribution around 1 with the weight of priorRuns.
func newDistribution(spread float64) distribution {
	d := distribution{next: 1, spread: spread}
	cumulated := func(bin int) float64 {
		return 0.5 * math.Erfc(-math.Log(lowerBound(bin))/(spread*math.Sqrt2))
	}
	for i := range d.weights {
		d.weights[i] = priorRuns * (cumulated(i+1) - cumulated(i))
		d.total += d.weights[i]
	}
	return d
}

// lowerBound returns the smallest ratio of a bin.
func lowerBound(bin int) float64 { return math.Exp2(float64(bin)/binsPerOctave) / maxRatio }

func (d *distribution) add(ratio float64) {
	bin := int(math.Floor(math.Log2(ratio*maxRatio) * binsPerOctave))
	d.weights[min(max(bin, 0), bins-1)] += d.next
	d.total += d.next
	d.runs++
	d.next *= 1 + 1.0/memory
	if d.next > 1e6 {
		for i := range d.weights {
			d.weights[i] /= d.next
		}
		d.total /= d.next
		d.next = 1
	}
}

// quantile returns the ratio that a share of the runs doesn't exceed.
func (d *distribution) quantile(share float64) float64 {
	for i := range d.queries {
		if x := &d.queries[i]; x.ratio != 0 && x.share == share && d.runs-x.runs < quantileAge {
			return x.ratio
		}
	}
	ratio := d.compute(share)
	d.queries[d.oldest] = quantile{share, ratio, d.runs}
	d.oldest = (d.oldest + 1) % len(d.queries)
	return ratio
}

func (d *distribution) compute(share float64) float64 {
	below, wanted := 0.0, min(max(share, 0), 1)*d.total
	for i, weight := range d.weights {
		if below+weight >= wanted && weight > 0 {
			return lowerBound(i) * math.Exp2((wanted-below)/weight/binsPerOctave)
		}
		below += weight
	}
	return maxRatio
}

func (m *Model) times(queue string) *queueTimes {
	if q := m.queues[queue]; q != nil {
		return q
	}
	return m.unknown
}

// Quantile returns the run time of a task on a typical worker that a share q of the queue's runs
// doesn't exceed, from 0 to 1. Before the first runs, it assumes declared times that are off by half.
func (m *Model) Quantile(queue string, declared time.Duration, q float64) time.Duration {
	return scale(declared, m.times(queue).declared.quantile(q))
}

// StepQuantile is like Quantile for a task of a step whose mean run time at typical speed is known.
func (m *Model) StepQuantile(queue string, stepMean time.Duration, q float64) time.Duration {
	return scale(stepMean, m.times(queue).inStep.quantile(q))
}

// Mean returns the expected run time of a task on a typical worker.
func (m *Model) Mean(queue string, declared time.Duration) time.Duration {
	return scale(declared, m.times(queue).meanRatio)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
