// Package congestion limits the bytes that an instance has in flight over its link.
package congestion

import (
	"sync"
	"time"
)

const (
	// adjustInterval is the interval at which the window size is adjusted.
	adjustInterval = 100 * time.Millisecond
	// maxQueueDelay is the largest excess of an interval's minimum latency over the base
	// latency before the window shrinks. The minimum is used because it rises only if all
	// calls are queued on the link; individual slow servers don't affect it.
	maxQueueDelay = 120 * time.Millisecond
	// baseLatencyInterval is the interval over which a minimum latency is tracked. The base
	// latency is the minimum of the current and the previous interval.
	baseLatencyInterval = 10 * time.Second
	// decreaseFactor and increaseFactor are applied to the window size once per adjustInterval.
	decreaseFactor = 0.7
	increaseFactor = 1.1
	// noAnswerDecrease replaces decreaseFactor if calls failed and none was answered.
	noAnswerDecrease = 0.5
)

// Limits are the bounds of a window's size, in bytes.
type Limits struct {
	// Min keeps calls flowing over the slowest link.
	Min int
	Max int
}

// Window is an adaptive limit on the total size of unanswered calls. It is safe for
// concurrent use.
type Window struct {
	limits Limits

	mu            sync.Mutex
	size          float64
	inFlight      int
	limited       bool // the window was exhausted since intervalStart
	intervalStart time.Duration
	minLatency    time.Duration // of the answers since intervalStart
	answered      int
	failed        int
	// minLatencyCurrent is the minimum latency since baseIntervalStart, minLatencyPrevious
	// that of the interval before; 0 if there were no answers.
	minLatencyCurrent, minLatencyPrevious time.Duration
	baseIntervalStart                     time.Duration
}

// NewWindow returns a window of the maximum size.
func NewWindow(l Limits) *Window {
	l.Max = max(l.Max, l.Min)
	return &Window{limits: l, size: float64(l.Max)}
}

// Admit reports whether a call of the given size may be sent now, and if so counts it as in
// flight. If nothing is in flight, a call of any size is admitted.
func (w *Window) Admit(now time.Duration, bytes int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.adjust(now)
	if w.inFlight > 0 && float64(w.inFlight+bytes) > w.size {
		w.limited = true
		return false
	}
	w.inFlight += bytes
	return true
}

// Available returns the number of bytes that may be sent now.
func (w *Window) Available(now time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.adjust(now)
	available := int(w.size) - w.inFlight
	w.limited = w.limited || available <= 0
	return max(0, available)
}

// Size returns the current window size in bytes.
func (w *Window) Size() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.size)
}

// Answered records the answer to a call of the given size.
func (w *Window) Answered(now, latency time.Duration, bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight -= bytes
	if w.answered == 0 || latency < w.minLatency {
		w.minLatency = latency
	}
	w.answered++
	w.adjust(now)
}

// Failed records that a call of the given size got no answer.
func (w *Window) Failed(now time.Duration, bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight -= bytes
	w.failed++
	w.adjust(now)
}

// adjust updates the window size at most once per adjustInterval.
func (w *Window) adjust(now time.Duration) {
	if now-w.intervalStart < adjustInterval {
		return
	}
	if w.answered > 0 {
		w.recordBaseLatency(now)
	}
	switch {
	case w.answered > 0 && w.minLatency > w.baseLatency()+maxQueueDelay:
		w.size *= decreaseFactor
	case w.answered == 0 && w.failed > 0:
		w.size *= noAnswerDecrease
	case w.answered > 0 && w.limited:
		w.size = max(w.size*increaseFactor, w.size+float64(w.limits.Min)/4)
	}
	w.size = min(max(w.size, float64(w.limits.Min)), float64(w.limits.Max))
	w.intervalStart, w.answered, w.failed, w.limited = now, 0, 0, false
}

// recordBaseLatency updates the minimum latency of the current baseLatencyInterval.
func (w *Window) recordBaseLatency(now time.Duration) {
	if now-w.baseIntervalStart > baseLatencyInterval {
		w.minLatencyPrevious, w.minLatencyCurrent, w.baseIntervalStart = w.minLatencyCurrent, 0, now
	}
	if w.minLatencyCurrent == 0 || w.minLatency < w.minLatencyCurrent {
		w.minLatencyCurrent = w.minLatency
	}
}

// baseLatency returns the estimated latency over an idle link, without queueing.
func (w *Window) baseLatency() time.Duration {
	if w.minLatencyPrevious == 0 {
		return w.minLatencyCurrent
	}
	return min(w.minLatencyCurrent, w.minLatencyPrevious)
}
