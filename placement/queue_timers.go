package placement

import (
	"container/heap"
	"time"
)

type timerKind int

const (
	// timerReady: a job's backoff has ended.
	timerReady timerKind = iota
	// timerResend: a message about a task may have to be sent again.
	timerResend
	// timerRetry: a class that waits for capacity is retried.
	timerRetry
	// timerOrphan: the end of an attempt that must end has not been reported.
	timerOrphan
	// timerEnd: a proposed end may not be in the log yet.
	timerEnd
)

// timer is deferred work. Its subject may have changed by the time it is due,
// so the handler checks that it still applies.
type timer struct {
	at       time.Duration
	sequence uint64
	kind     timerKind
	job      *homeJob
	task     *homeTask
	class    *class
	id       string
}

// timers is a heap ordered by time, and by insertion for equal times.
type timers struct {
	list  []timer
	count uint64
}

func (t *timers) add(x timer) {
	t.count++
	x.sequence = t.count
	heap.Push(t, x)
}

// due removes and returns the next timer that is due.
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
	return a.sequence < b.sequence
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
