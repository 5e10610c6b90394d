package placement

import (
	"container/heap"
	"time"
)

type timerKind int

const (
	// timerReady: a job's backoff is over.
	timerReady timerKind = iota
	// timerAnswer: a message about a task may need repeating.
	timerAnswer
	// timerRetry: a class that waits for room looks again.
	timerRetry
	// timerStray: an attempt that must end has not been heard of.
	timerStray
	// timerEnd: a proposed end has not been seen in the log.
	timerEnd
)

// timer is something to look at again later. What it is about may have changed
// by then; whoever handles it checks.
type timer struct {
	at    time.Duration
	order uint64
	kind  timerKind
	job   *homeJob
	task  *homeTask
	class *class
	id    string
}

// timers is a heap by time, and by order of entry at the same time.
type timers struct {
	list  []timer
	count uint64
}

func (t *timers) add(x timer) {
	t.count++
	x.order = t.count
	heap.Push(t, x)
}

// due takes out the next timer that is due.
func (t *timers) due(now time.Duration) (timer, bool) {
	if len(t.list) == 0 || t.list[0].at > now {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}

// Len implements heap.Interface.
func (t *timers) Len() int { return len(t.list) }

// Less implements heap.Interface.
func (t *timers) Less(i, j int) bool {
	a, b := t.list[i], t.list[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.order < b.order
}

// Swap implements heap.Interface.
func (t *timers) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { t.list = append(t.list, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(t.list) - 1
	x := t.list[last]
	t.list[last] = timer{}
	t.list = t.list[:last]
	return x
}
