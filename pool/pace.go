package pool

import "time"

// Best-effort tasks slow down the serving tasks on the same worker by amounts that nobody declares.
// Their pace follows the latency that the serving tasks measure: it drops at once when one of them
// exceeds its target, and rises slowly. A serving task that exceeds its target for 4 s breaks its
// service level objective; workers answer a hold at least each second, so best-effort tasks are
// suspended within 2 s.
const (
	// paceDecreaseFactor is applied to the pace of best-effort tasks after each hold that reports a
	// serving task over its target. Below minPace percent they are suspended.
	paceDecreaseFactor = 0.3
	minPace            = 10
	// paceIncrease is added to the pace, in percent, per paceIncreaseInterval while all serving
	// tasks are well below their targets.
	paceIncrease         = 20
	paceIncreaseInterval = 2 * time.Second
	// paceIncreaseBelow is the share of the target below which a task counts as well below it.
	paceIncreaseBelow = 0.7
	fullPace          = 100
)

// adjustPace sets the pace of a worker's best-effort tasks after a hold.
func (c *Core) adjustPace(w *worker) {
	if w.bestEffortRuns == 0 || (w.servingRuns == 0 && w.pace >= fullPace) {
		w.pace = fullPace
		return
	}
	over, near := w.servingLatency()
	switch {
	case over:
		w.pace = int(float64(w.pace) * paceDecreaseFactor)
		if w.pace < minPace {
			w.pace = 0
		}
		w.paceAt = c.now
	case !near && w.pace < fullPace && c.now-w.paceAt >= paceIncreaseInterval:
		w.pace = min(fullPace, w.pace+paceIncrease)
		w.paceAt = c.now
	}
	for _, r := range w.sortedRuns() {
		if r.task.step.spec.Fills && r.phase == running && !r.stopping && r.pace != w.pace {
			r.pace = w.pace
			c.emit(Pace{Worker: w.ID, Addr: w.Addr, Token: c.token(w), Task: r.task.id(), Run: r.number, Percent: w.pace})
		}
	}
}

// servingLatency reports whether a serving task is over its latency target, or near it.
func (w *worker) servingLatency() (over, near bool) {
	for _, r := range w.runs {
		target := r.task.step.spec.TargetMs
		if target == 0 || r.phase != running {
			continue
		}
		over = over || int64(r.usage) > target
		near = near || float64(r.usage) > paceIncreaseBelow*float64(target)
	}
	return over, near
}
