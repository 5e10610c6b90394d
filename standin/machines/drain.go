package machines

import (
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

// Drain makes a worker announce that it drains. The worker continues for the grace period
// and then leaves: its remaining runs end, and its entry is removed.
func (w *World) Drain(id string, grace time.Duration) {
	w.mu.Lock()
	x := w.workers[id]
	x.drainsAt = time.Now()
	w.store.put(WorkersTopic, pool.Record{Key: id, Value: pool.Encode(x.info())})
	w.mu.Unlock()
	time.Sleep(grace)
	w.mu.Lock()
	defer w.mu.Unlock()
	x.crash()
	x.listed = false
	w.store.put(WorkersTopic, pool.Record{Key: id})
}

// RunsOnRemainingWorkers counts a job's runs on workers that don't drain.
func (w *World) RunsOnRemainingWorkers(job string) int {
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
