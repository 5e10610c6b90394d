package dispatch

import (
	"slices"
	"time"
)

// queueEntry is a queued request with the values that admission needs. They are copied here so
// that a scan of the queue stays in contiguous memory.
type queueEntry struct {
	request *request
	// latestStart is when the request must start to finish before its deadline.
	latestStart  time.Duration
	run          time.Duration
	valueDensity float64
}

// queue holds the requests that wait for a slot of one service, ordered by latest start time.
type queue []queueEntry

// position returns the index at which a request with the given latest start belongs.
func (q queue) position(latest time.Duration, id uint64) int {
	i, _ := slices.BinarySearchFunc(q, queueEntry{}, func(w, _ queueEntry) int {
		if w.latestStart < latest || w.latestStart == latest && w.request.ID < id {
			return -1
		}
		return 1
	})
	return i
}

func (q *queue) insert(w queueEntry) int {
	i := q.position(w.latestStart, w.request.ID)
	*q = slices.Insert(*q, i, w)
	return i
}

func (q *queue) remove(r *request) {
	i := slices.IndexFunc(*q, func(w queueEntry) bool { return w.request == r })
	if i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
}

// displaced returns the indexes of the requests to remove so that all requests from the new one
// on can start in time. It is the new request alone if all requests before the first late one
// have at least the same value per slot time.
//
// Slots are assigned in order of latest start. For each request that would start too late, the
// request with the lowest value per slot time up to it is removed. first is the time until the
// next slot becomes free; slots is the number of slots that serve the queue.
func (q queue) displaced(newcomer int, now, first time.Duration, slots int) []int {
	var out []int
	ahead := time.Duration(0)
	for i, w := range q {
		ahead += w.run
		for i >= newcomer && now+first+(ahead-w.run)/time.Duration(slots) > w.latestStart {
			victim := q.leastValuable(i, newcomer, out)
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

// leastValuable returns the index up to last of the request with the lowest value per slot time.
// Ties go to the new request, else to the last one.
func (q queue) leastValuable(last, newcomer int, taken []int) int {
	least := newcomer
	for i := last; i >= 0; i-- {
		if q[i].valueDensity < q[least].valueDensity && !slices.Contains(taken, i) {
			least = i
		}
	}
	return least
}
