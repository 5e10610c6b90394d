package dispatch

import (
	"container/heap"
	"time"
)

// timers is a heap of requests by when to look at them next. The order is total,
// so equal times always come out the same way.
type timers []*request

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].wake != t[j].wake {
		return t[i].wake < t[j].wake
	}
	return t[i].ID < t[j].ID
}

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	r := x.(*request)
	r.place = len(*t)
	*t = append(*t, r)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	r := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	r.place = -1
	return r
}

func (t *timers) set(r *request, wake time.Duration) {
	r.wake = wake
	if r.place < 0 {
		heap.Push(t, r)
		return
	}
	heap.Fix(t, r.place)
}

func (t *timers) stop(r *request) {
	if r.place >= 0 {
		heap.Remove(t, r.place)
	}
}

// due takes out the first request whose time has come.
func (t *timers) due(now time.Duration) *request {
	if len(*t) == 0 || (*t)[0].wake > now {
		return nil
	}
	return heap.Pop(t).(*request)
}
