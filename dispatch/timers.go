package dispatch

import (
	"container/heap"
	"time"
)

// timers is a min-heap of requests by wake-up time. Ties are broken by request ID, so the order
// is deterministic.
type timers []*request

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].wakeAt != t[j].wakeAt {
		return t[i].wakeAt < t[j].wakeAt
	}
	return t[i].ID < t[j].ID
}

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*t)
	*t = append(*t, r)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	r := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	r.heapIndex = -1
	return r
}

func (t *timers) set(r *request, wake time.Duration) {
	r.wakeAt = wake
	if r.heapIndex < 0 {
		heap.Push(t, r)
		return
	}
	heap.Fix(t, r.heapIndex)
}

func (t *timers) stop(r *request) {
	if r.heapIndex >= 0 {
		heap.Remove(t, r.heapIndex)
	}
}

// due removes and returns the first request whose timer has expired, or nil.
func (t *timers) due(now time.Duration) *request {
	if len(*t) == 0 || (*t)[0].wakeAt > now {
		return nil
	}
	return heap.Pop(t).(*request)
}
