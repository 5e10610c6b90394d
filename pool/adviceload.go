package pool

import (
	"maps"
	"slices"
	"time"
)

const (
	// adviceDelayThreshold is how much longer than its cost the oldest request of a job that
	// can still be in time must have waited for the advice service to count as a bottleneck.
	adviceDelayThreshold = 200 * time.Millisecond
	// minAdviceSamples is how many workers of a queue's requests the advice service must have
	// answered about for the share that it allows to be known.
	minAdviceSamples = 100
)

// recordAdviceRequest records the cost of a request.
func (h *admissionState) recordAdviceRequest(cost time.Duration, first bool) {
	if first {
		h.firstRequestCost += cost.Seconds()
	}
	h.totalRequestCost += cost.Seconds()
}

// recordAdviceAnswer records the answer to a request.
func (h *admissionState) recordAdviceAnswer(now time.Duration, queue string, priority int, cost time.Duration, e *Advised) {
	if !e.Failed {
		a := h.allowedByQueue[queue]
		h.allowedByQueue[queue] = allowedCounts{answered: a.answered + float64(len(e.Asked)), allowed: a.allowed + float64(len(e.Good))}
	}
	if h.answeredCost[priority] == nil {
		h.answeredCost[priority] = &meter{}
	}
	h.answeredCost[priority].count(now, cost.Seconds())
}

// addPendingAdvice adds a step's pending request to the totals. It skips a request whose answer
// comes too late for its job, since it is sent after all others.
func (c *Core) addPendingAdvice(s *step) {
	u, a := c.urgencyOf(s), &s.advice
	if c.unixMs+a.cost.Milliseconds()+s.remainingPathMs > u.due {
		return
	}
	h := &c.admission
	h.pendingRequestCost[u.priority] += a.cost.Seconds()
	if c.now-a.requestedAt > a.cost+adviceDelayThreshold {
		h.requestsLate[u.priority] = true
	}
}

// adviceRate returns the rate at which requests of a priority and all more urgent ones are
// answered if requests of this priority are delayed, and 0 if they aren't, so that the advice
// service is no bottleneck. Each priority has its own rate: expensive requests of less urgent
// queues use only some of the instances, which leaves the others to cheap requests.
func (c *Core) adviceRate(priority int) float64 {
	h := &c.admission
	if !h.requestsLate[priority] {
		return 0
	}
	rate := 0.0
	for _, p := range slices.Sorted(maps.Keys(h.answeredCost)) {
		if p <= priority {
			rate += h.answeredCost[p].rate(c.now)
		}
	}
	return rate
}

// allowedCounts are the number of workers that a queue's answered requests listed, and the
// number of them that were allowed.
type allowedCounts struct{ answered, allowed float64 }

// shareLeftToOthers returns the share of the workers that a gang's step can't use.
func (c *Core) shareLeftToOthers(s *StepSpec, queue string) float64 {
	a := c.admission.allowedByQueue[queue]
	if !s.Gang || a.answered < minAdviceSamples {
		return 0
	}
	return max(0, 1-a.allowed/a.answered)
}
