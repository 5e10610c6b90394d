package experiment

import (
	"time"

	"github.com/knapweedweir/knapweedweir/dispatch"
	"github.com/knapweedweir/knapweedweir/infra"
)

// Order is how a baseline takes requests from its queue.
type Order int

// The orders.
const (
	FIFO Order = iota
	LIFO
)

// baseline serves a queue in plain order from one pool of slots, which favours
// it over the core with its shares. It drops what has passed its deadline.
type baseline struct {
	order Order
	free  int
	queue []dispatch.Request
	in    map[uint64]dispatch.Request
}

// Baseline runs the arrivals through a plain queue.
func (c Cell) Baseline(order Order, arrivals []Arrival) Result {
	b := &baseline{order: order, free: c.Slots(), in: map[uint64]dispatch.Request{}}
	by := make([]policy, c.Entries)
	for n := range by {
		by[n] = b
	}
	return newSimulation(c, by).run(arrivals)
}

// Arrive implements policy.
func (b *baseline) Arrive(now time.Duration, r dispatch.Request) []dispatch.Action {
	b.queue = append(b.queue, r)
	return b.fill(now)
}

func (b *baseline) fill(now time.Duration) []dispatch.Action {
	var out []dispatch.Action
	for b.free > 0 && len(b.queue) > 0 {
		r := b.next()
		if now >= r.Deadline {
			out = append(out, dispatch.Finished{Request: r.ID, Outcome: dispatch.NotRun})
			continue
		}
		b.free--
		b.in[r.ID] = r
		out = append(out, dispatch.Send{Request: r.ID, Runner: infra.Instance{ID: "pool"}, Attempt: 1})
	}
	return out
}

func (b *baseline) next() dispatch.Request {
	if b.order == LIFO {
		r := b.queue[len(b.queue)-1]
		b.queue = b.queue[:len(b.queue)-1]
		return r
	}
	r := b.queue[0]
	b.queue = b.queue[1:]
	return r
}

// Claimed implements policy.
func (b *baseline) Claimed(time.Duration, uint64, error, bool) []dispatch.Action { return nil }

// Answered implements policy.
func (b *baseline) Answered(now time.Duration, id uint64, _ time.Duration, _ bool) []dispatch.Action {
	b.free++
	delete(b.in, id)
	return append([]dispatch.Action{dispatch.Finished{Request: id, Outcome: dispatch.Done}}, b.fill(now)...)
}

// Failed implements policy.
func (b *baseline) Failed(now time.Duration, id uint64, _ dispatch.Failure, _ string) []dispatch.Action {
	b.free++
	delete(b.in, id)
	return append([]dispatch.Action{dispatch.Finished{Request: id, Outcome: dispatch.Unknown}}, b.fill(now)...)
}

// Expire implements policy: the runner stops what has reached its deadline.
func (b *baseline) Expire(now time.Duration) []dispatch.Action {
	var out []dispatch.Action
	for id, r := range b.in {
		if now >= r.Deadline {
			out = append(out, dispatch.Cancel{Request: id})
		}
	}
	return out
}
