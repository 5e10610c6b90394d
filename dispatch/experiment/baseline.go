package experiment

import (
	"time"

	"github.com/knapweedweir/knapweedweir/dispatch"
	"github.com/knapweedweir/knapweedweir/infra"
)

// Order is the order in which a baseline serves its queue.
type Order int

// Queue orders.
const (
	FIFO Order = iota
	LIFO
)

// baseline serves a queue in a fixed order from one common pool of slots, which gives it an
// advantage over the core with its shares. It drops requests that have passed their deadline.
type baseline struct {
	order   Order
	free    int
	queue   []dispatch.Request
	running map[uint64]dispatch.Request
}

// Baseline simulates the arrivals with a single plain queue.
func (c Cell) Baseline(order Order, arrivals []Arrival) Result {
	b := &baseline{order: order, free: c.Slots(), running: map[uint64]dispatch.Request{}}
	policies := make([]policy, c.Entries)
	for n := range policies {
		policies[n] = b
	}
	return newSimulation(c, policies).run(arrivals)
}

// Arrive implements policy.
func (b *baseline) Arrive(now time.Duration, r dispatch.Request) []dispatch.Action {
	b.queue = append(b.queue, r)
	return b.sendQueued(now)
}

func (b *baseline) sendQueued(now time.Duration) []dispatch.Action {
	var out []dispatch.Action
	for b.free > 0 && len(b.queue) > 0 {
		r := b.nextRequest()
		if now >= r.Deadline {
			out = append(out, dispatch.Finished{Request: r.ID, Outcome: dispatch.NotRun})
			continue
		}
		b.free--
		b.running[r.ID] = r
		out = append(out, dispatch.Send{Request: r.ID, Runner: infra.Instance{ID: "pool"}, Attempt: 1})
	}
	return out
}

func (b *baseline) nextRequest() dispatch.Request {
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
	delete(b.running, id)
	return append([]dispatch.Action{dispatch.Finished{Request: id, Outcome: dispatch.Done}}, b.sendQueued(now)...)
}

// Failed implements policy.
func (b *baseline) Failed(now time.Duration, id uint64, _ dispatch.Failure, _ string) []dispatch.Action {
	b.free++
	delete(b.running, id)
	return append([]dispatch.Action{dispatch.Finished{Request: id, Outcome: dispatch.Unknown}}, b.sendQueued(now)...)
}

// Expire implements policy. The runner stops requests that have reached their deadline.
func (b *baseline) Expire(now time.Duration) []dispatch.Action {
	var out []dispatch.Action
	for id, r := range b.running {
		if now >= r.Deadline {
			out = append(out, dispatch.Cancel{Request: id})
		}
	}
	return out
}
