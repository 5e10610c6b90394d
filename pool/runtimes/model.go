// Package runtimes learns how fast the workers of a pool are and how long its tasks run. It keeps a
// relative speed for each worker, by queue where that differs, and for each queue the distribution of
// actual to declared run times at typical speed. It is pure code: times are on its caller's clock.
package runtimes

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// runNoise is the standard deviation of the logarithm of a run time relative to the mean of its
	// step. Tasks of one step vary by 15 to 30 %, and the mean of a few of
	// them isn't exact.
	runNoise = 0.3
	// priorSpread is the standard deviation of the logarithm of speed among workers of one kind, and
	// queuePriorSpread that of a worker's speed in one queue relative to its overall speed.
	priorSpread      = 0.35
	queuePriorSpread = 0.1
	// drift is added to the variance of an estimate with each run, as speeds change. It makes the
	// weight of a run settle at about 0.15.
	drift = 0.003
	// maxDeviation bounds the effect of one run, in standard deviations: the longest of ten runs
	// takes 2.3 times the median.
	maxDeviation = 1.5
	// changeSum is the sum of deviations on one side, each less changeAllowance and all in standard
	// deviations, at which the speed of a worker has changed, so that its estimate counts as uncertain
	// again (a CUSUM test). A worker at half speed reaches it in three or four runs; one outlier adds 1.3.
	changeSum       = 3.5
	changeAllowance = 0.7
	maxSummed       = 2.0
	// centerInterval is how often the typical speed is computed, which sorts all workers.
	centerInterval = time.Second
	// minQueueRuns is the number of runs of a queue after which a ratio of actual to declared time
	// says something about the worker, if the mean of the run's step is unknown.
	minQueueRuns = 30
	// ratioWeight is the smallest weight of a run in the mean ratio of a queue, and priorRuns the
	// number of runs as declared with which the ratio starts.
	ratioWeight = 0.02
	priorRuns   = 10
	// declaredSpread and stepSpread are the standard deviations of the logarithm of a run time relative
	// to the declared time and to the mean of its step, before anything is known of a queue.
	declaredSpread = 0.5
	stepSpread     = 0.25

	// slowFrom is the slowness from which on a worker is reported as slow, and recoveredBelow that
	// below which it has recovered. The run times of healthy workers are up to 1.3 times the typical ones.
	slowFrom       = 1.5
	recoveredBelow = 1.3
	// minSlowRuns is the number of runs after which a worker may be reported as slow.
	minSlowRuns = 3

	maxWorkers         = 4096
	maxQueues          = 1024
	maxKinds           = 256
	maxQueuesPerWorker = 16
)

// Observation is one run that ended as done.
type Observation struct {
	Worker string
	// Incarnation names the start of the worker; a higher one replaces what was learned of the former.
	Incarnation int64
	Kind        string // the worker's kind
	Queue       string
	Declared    time.Duration // declared run time, 0 if unknown
	Took        time.Duration
	// StepMean is the mean run time of the step's other runs that are done, at typical speed; 0 if unknown.
	StepMean time.Duration
}

// Change is a change of a worker's state that operators are told of.
type Change int

// The changes.
const (
	NoChange Change = iota
	// BecameSlow: its runs take at least 1.5 times as long as those on a typical worker.
	BecameSlow
	// Recovered: the runs of a slow worker take less than 1.3 times as long.
	Recovered
)

// Model holds what was learned of the workers and queues of one pool. It isn't safe for concurrent use.
type Model struct {
	workers map[string]*workerSpeed
	kinds   map[string]*kindSpeed
	queues  map[string]*queueTimes
	unknown *queueTimes // stands for queues without runs; nothing is recorded in it
	// center is the median of the logarithms of the workers' slowness, as computed at centeredAt.
	center     float64
	centeredAt time.Duration
	buffer     []float64
}

// New returns a model that knows nothing.
func New() *Model {
	return &Model{workers: map[string]*workerSpeed{}, kinds: map[string]*kindSpeed{}, queues: map[string]*queueTimes{}, unknown: newQueueTimes()}
}

// estimate is an estimate of a logarithm with its variance.
type estimate struct{ value, variance float64 }

// workerSpeed is the speed of a worker's newest incarnation. Its slowness in a queue is the
// exponential of the sum of both estimates.
type workerSpeed struct {
	incarnation int64
	kind        string
	overall     estimate
	byQueue     []queueSpeed // least recently observed first
	runs        int
	seenAt      time.Duration
	// slower and faster are the sums of deviations to each side, see changeSum.
	slower, faster float64
	slow           bool
}

type queueSpeed struct {
	queue string
	estimate
}

// kindSpeed is the mean of the speeds of a kind's workers.
type kindSpeed struct {
	overall float64
	runs    int
	byQueue []queueSpeed
	seenAt  time.Duration
}

// Observe learns from a run. It reports whether the worker has become slow or has recovered.
func (m *Model) Observe(now time.Duration, o Observation) Change {
	if o.Took <= 0 || o.Incarnation < m.incarnation(o.Worker) {
		return NoChange
	}
	w := m.worker(now, &o)
	q := m.queue(now, o.Queue)
	m.observeSpeed(w, q, &o)
	m.updateCenter(now)
	slowness := m.slowness(w, o.Queue)
	q.observe(&o, slowness)
	return w.updateState(math.Exp(w.overall.value - m.center))
}

func (m *Model) incarnation(worker string) int64 {
	if w := m.workers[worker]; w != nil {
		return w.incarnation
	}
	return 0
}

// worker returns the entry of the run's worker. A new incarnation starts anew.
func (m *Model) worker(now time.Duration, o *Observation) *workerSpeed {
	w := m.workers[o.Worker]
	if w == nil || w.incarnation != o.Incarnation {
		dropOldest(m.workers, o.Worker, maxWorkers, func(w *workerSpeed) time.Duration { return w.seenAt })
		w = &workerSpeed{incarnation: o.Incarnation, kind: o.Kind, overall: estimate{m.center, priorSpread * priorSpread}}
		if k := m.kinds[o.Kind]; k != nil {
			w.overall.value = k.overall
		}
		m.workers[o.Worker] = w
	}
	w.seenAt = now
	return w
}

func (m *Model) kind(now time.Duration, name string) *kindSpeed {
	k := m.kinds[name]
	if k == nil {
		dropOldest(m.kinds, name, maxKinds, func(k *kindSpeed) time.Duration { return k.seenAt })
		k = &kindSpeed{overall: m.center}
		m.kinds[name] = k
	}
	k.seenAt = now
	return k
}

func (m *Model) queue(now time.Duration, name string) *queueTimes {
	q := m.queues[name]
	if q == nil {
		dropOldest(m.queues, name, maxQueues, func(q *queueTimes) time.Duration { return q.seenAt })
		q = newQueueTimes()
		m.queues[name] = q
	}
	q.seenAt = now
	return q
}

// dropOldest drops the entry that was observed longest ago if there is no room for a new one.
func dropOldest[T any](entries map[string]T, added string, limit int, seenAt func(T) time.Duration) {
	if _, known := entries[added]; known || len(entries) < limit {
		return
	}
	oldest, at := "", time.Duration(math.MaxInt64)
	for name, x := range entries {
		if t := seenAt(x); t < at || t == at && name < oldest {
			oldest, at = name, t
		}
	}
	delete(entries, oldest)
}

// observeSpeed updates the speed of a worker with a Kalman filter on the logarithm of its slowness. One
// run counts at most as a deviation of maxDeviation; see changeSum for changes of speed.
func (m *Model) observeSpeed(w *workerSpeed, q *queueTimes, o *Observation) {
	var observed, noise float64
	switch {
	case o.StepMean > 0:
		observed, noise = math.Log(float64(o.Took)/float64(o.StepMean)), runNoise*runNoise
	case o.Declared > 0 && q.runs >= minQueueRuns:
		observed, noise = math.Log(float64(o.Took)/float64(o.Declared))-q.logMean, q.logVariance+runNoise*runNoise
	default:
		return
	}
	k := m.kind(w.seenAt, o.Kind)
	dev := w.inQueue(o.Queue, k)
	w.overall.variance += drift
	dev.variance += drift / 10
	sum := w.overall.variance + dev.variance + noise
	limit := maxDeviation * math.Sqrt(sum)
	diff := observed - w.overall.value - dev.value
	if w.changed(diff / math.Sqrt(sum)) {
		w.overall.variance = max(w.overall.variance, runNoise*runNoise)
		sum = w.overall.variance + dev.variance + noise
		limit = maxDeviation * math.Sqrt(sum)
	}
	diff = min(max(diff, -limit), limit)
	w.overall.update(diff, sum)
	dev.update(diff, sum)
	w.runs++
	k.observe(w.overall.value, dev)
}

// changed adds a deviation to the sums, and reports whether they show a change of speed.
func (w *workerSpeed) changed(deviation float64) bool {
	deviation = min(max(deviation, -maxSummed), maxSummed)
	w.slower = max(0, w.slower+deviation-changeAllowance)
	w.faster = max(0, w.faster-deviation-changeAllowance)
	if max(w.slower, w.faster) < changeSum {
		return false
	}
	w.slower, w.faster = 0, 0
	return true
}

// update applies the part of a deviation that is due to this estimate; sum is the variance of the
// deviation.
func (e *estimate) update(diff, sum float64) {
	gain := e.variance / sum
	e.value += gain * diff
	e.variance *= 1 - gain
}

// inQueue returns the worker's deviation in a queue, and marks it as the most recently observed one.
func (w *workerSpeed) inQueue(queue string, k *kindSpeed) *queueSpeed {
	if i := indexQueue(w.byQueue, queue); i >= 0 {
		return &w.byQueue[i]
	}
	if len(w.byQueue) == maxQueuesPerWorker {
		w.byQueue = slices.Delete(w.byQueue, 0, 1)
	}
	w.byQueue = append(w.byQueue, queueSpeed{queue, estimate{deviation(k.byQueue, queue), queuePriorSpread * queuePriorSpread}})
	return &w.byQueue[len(w.byQueue)-1]
}

func indexQueue(list []queueSpeed, queue string) int {
	return slices.IndexFunc(list, func(q queueSpeed) bool { return q.queue == queue })
}

func deviation(list []queueSpeed, queue string) float64 {
	if i := indexQueue(list, queue); i >= 0 {
		return list[i].value
	}
	return 0
}

// kindMemory is the number of runs over which the mean of a kind is taken.
const kindMemory = 200

func (k *kindSpeed) observe(overall float64, dev *queueSpeed) {
	k.runs = min(k.runs+1, kindMemory)
	weight := 1 / float64(k.runs+priorRuns)
	k.overall += weight * (overall - k.overall)
	i := indexQueue(k.byQueue, dev.queue)
	if i < 0 {
		if len(k.byQueue) == maxQueuesPerWorker {
			k.byQueue = slices.Delete(k.byQueue, 0, 1)
		}
		k.byQueue = append(k.byQueue, queueSpeed{queue: dev.queue})
		i = len(k.byQueue) - 1
	}
	k.byQueue[i].value += weight * (dev.value - k.byQueue[i].value)
}

// updateCenter computes the typical speed anew if it is too old: the median of the workers' speeds.
func (m *Model) updateCenter(now time.Duration) {
	if m.centeredAt != 0 && now-m.centeredAt < centerInterval {
		return
	}
	m.centeredAt = now
	m.buffer = m.buffer[:0]
	for _, w := range m.workers {
		if w.runs > 0 {
			m.buffer = append(m.buffer, w.overall.value)
		}
	}
	if len(m.buffer) > 0 {
		slices.SortFunc(m.buffer, cmp.Compare)
		m.center = (m.buffer[(len(m.buffer)-1)/2] + m.buffer[len(m.buffer)/2]) / 2
	}
}

func (w *workerSpeed) updateState(slowness float64) Change {
	switch {
	case !w.slow && w.runs >= minSlowRuns && slowness >= slowFrom:
		w.slow = true
		return BecameSlow
	case w.slow && slowness < recoveredBelow:
		w.slow = false
		return Recovered
	}
	return NoChange
}

func (m *Model) slowness(w *workerSpeed, queue string) float64 {
	return math.Exp(w.overall.value - m.center + deviation(w.byQueue, queue))
}

// Slowness returns the worker's expected run time as a multiple of that on a typical worker; 1 if unknown.
// Nothing that was learned of another incarnation counts. The empty queue stands for all.
func (m *Model) Slowness(worker string, incarnation int64, kind, queue string) float64 {
	if w := m.workers[worker]; w != nil && w.incarnation == incarnation {
		if queue == "" || indexQueue(w.byQueue, queue) >= 0 {
			return m.slowness(w, queue)
		}
		if k := m.kinds[kind]; k != nil {
			return math.Exp(w.overall.value - m.center + deviation(k.byQueue, queue))
		}
		return m.slowness(w, queue)
	}
	if k := m.kinds[kind]; k != nil {
		return math.Exp(k.overall - m.center + deviation(k.byQueue, queue))
	}
	return 1
}

// Runs returns the number of runs from which the speed of the worker's incarnation was learned.
func (m *Model) Runs(worker string, incarnation int64) int {
	if w := m.workers[worker]; w != nil && w.incarnation == incarnation {
		return w.runs
	}
	return 0
}

// IsSlow reports whether the worker's incarnation has become slow and hasn't recovered.
func (m *Model) IsSlow(worker string, incarnation int64) bool {
	w := m.workers[worker]
	return w != nil && w.incarnation == incarnation && w.slow
}

// Forget drops a worker.
func (m *Model) Forget(worker string) { delete(m.workers, worker) }
