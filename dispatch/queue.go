package dispatch

import (
	"slices"
	"time"
)

// waiting is a place in a queue, with what admission needs side by side.
type waiting struct {
	request *request
	// latest is when the request must have started to end in time.
	latest  time.Duration
	run     time.Duration
	density float64
}

// queue is the requests that wait for a slot of one service, the most urgent
// first.
type queue []waiting

// place returns where a request that must start by latest belongs.
func (q queue) place(latest time.Duration, id uint64) int {
	i, _ := slices.BinarySearchFunc(q, waiting{}, func(w, _ waiting) int {
		if w.latest < latest || w.latest == latest && w.request.ID < id {
			return -1
		}
		return 1
	})
	return i
}

func (q *queue) insert(w waiting) int {
	i := q.place(w.latest, w.request.ID)
	*q = slices.Insert(*q, i, w)
	return i
}

func (q *queue) remove(r *request) {
	i := slices.IndexFunc(*q, func(w waiting) bool { return w.request == r })
	if i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
}

// displaced returns what has to leave the queue so that all from the newcomer's
// place on can start in time. It is the newcomer alone if all before the first that would
// start too late are worth as much for their slot time.
//
// Places are filled in order of urgency, and the first that starts too late is
// saved by taking out the least worthy of those before it. first is when the
// next slot falls free; slots is how many work on the queue.
func (q queue) displaced(newcomer int, now, first time.Duration, slots int) []int {
	var out []int
	ahead := time.Duration(0)
	for i, w := range q {
		ahead += w.run
		for i >= newcomer && now+first+(ahead-w.run)/time.Duration(slots) > w.latest {
			victim := q.leastWorthy(i, newcomer, out)
			out = append(out, victim)
			if victim == newcomer {
				return []int{newcomer}
			}
			ahead -= q[victim].run
			if victim == i {
				break
			}
		}
	}
	return out
}

// leastWorthy returns the place up to last that brings the least for its slot
// time. Among equals it is the newcomer's, else the last.
func (q queue) leastWorthy(last, newcomer int, taken []int) int {
	least := newcomer
	for i := last; i >= 0; i-- {
		if q[i].density < q[least].density && !slices.Contains(taken, i) {
			least = i
		}
	}
	return least
}
