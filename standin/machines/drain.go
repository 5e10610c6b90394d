package machines

import (
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

// Drain has a worker say that it drains. It serves on for a while and then leaves,
// with all that still runs on it; its entry goes with it.
func (w *World) Drain(id string, lasting time.Duration) {
	w.mu.Lock()
	x := w.workers[id]
	x.drainsAt = time.Now()
	w.store.put(WorkersTopic, pool.Record{Key: id, Value: pool.Encode(x.info())})
	w.mu.Unlock()
	time.Sleep(lasting)
	w.mu.Lock()
	defer w.mu.Unlock()
	x.crash()
	x.listed = false
	w.store.put(WorkersTopic, pool.Record{Key: id})
}

// RunningToStay counts a job's runs on workers that don't drain.
func (w *World) RunningToStay(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, x := range w.order {
		for _, r := range x.runs {
			if r.task.Job == job && x.alive && x.drainsAt.IsZero() {
				n++
			}
		}
	}
	return n
}
