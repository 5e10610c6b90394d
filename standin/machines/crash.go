package machines

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// maxCrashes is the number of workers that a task may crash before its starts are limited to
	// maxStartsAfterCrashes.
	maxCrashes            = 3
	maxStartsAfterCrashes = 2
	// minCrashesToGiveUp is the number of workers that a task must have crashed before its job may
	// be shown as failed.
	minCrashesToGiveUp = 2
	// capacityGrace is how long a start may still rely on a capacity that has shrunk.
	capacityGrace = 4500 * time.Millisecond
)

// SetRestartDelay makes workers that a task has crashed start again with another ID after a delay.
func (w *World) SetRestartDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restartDelay = d
}

// crashUnder crashes a worker because of a run's task.
func (w *World) crashUnder(x *worker, r *run) {
	w.Referee.crashed(r)
	x.crash()
	if w.restartDelay == 0 {
		return
	}
	afterFunc(w.restartDelay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.replace(x)
	})
}

// ReuseIDs makes a share of the workers that start again do so under the ID that they had.
func (w *World) ReuseIDs(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reusedIDs = share
}

// replace starts another incarnation on a crashed worker's machine.
func (w *World) replace(x *worker) {
	id := x.id
	if w.reusedIDs == 0 || w.rand.Float64() >= w.reusedIDs {
		w.nextID++
		id = "w" + strconv.Itoa(w.nextID)
	}
	y := newWorker(w, id, x.fullCapacity, x.kind, x.rack)
	y.service = x.service
	x.replaced = id != x.id
	if id == x.id {
		y.born -= w.ClocksSetBack.Milliseconds()
		x.listed = false // the entry is the new incarnation's from now on
	}
	w.workers[y.id] = y
	w.order = append(w.order, y)
	w.updateWorkerList()
}

// Restart crashes workers at the same time. Each starts again with another ID after a delay.
func (w *World) Restart(delay time.Duration, ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		x := w.workers[id]
		if !x.alive {
			continue
		}
		x.crash()
		afterFunc(delay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.replace(x)
		})
	}
}

// Rack returns the IDs of the workers of a rack that are alive.
func (w *World) Rack(rack string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for _, x := range w.order {
		if x.alive && x.rack == rack {
			ids = append(ids, x.id)
		}
	}
	return ids
}

// outcomeAfterCrash returns how calls to a worker that isn't alive end.
func (x *worker) outcomeAfterCrash() pool.Outcome {
	if x.replaced {
		return pool.WrongIncarnation
	}
	return pool.NoAnswer
}

// crashed records that a task has crashed its worker.
func (r *Referee) crashed(by *run) {
	if j := r.jobs[by.task.Job]; j != nil {
		j.crashes[by.task]++
	}
}

// Crashes returns the number of workers that a task has crashed.
func (r *Referee) Crashes(t pool.TaskID) int {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	return r.jobs[t.Job].crashes[t]
}

// checkCrashes checks that a task that crashes its workers is given up.
func (r *Referee) checkCrashes(j *jobRecord, s pool.Start, sender string) {
	if j.crashes[s.Task] < maxCrashes || !r.w.views[sender].IsStable() {
		return
	}
	if j.startsAfterCrashes[s.Task]++; j.startsAfterCrashes[s.Task] > maxStartsAfterCrashes {
		r.finding("BUDGET", "%v started %d times after %d workers had crashed under it", s.Task, j.startsAfterCrashes[s.Task], maxCrashes)
	}
}

// crashesWorkers reports whether a task of the job crashes every worker that starts it.
func (j *jobRecord) crashesWorkers() bool { return len(strings.Fields(j.Payload)) == 5 }

// mayBeGivenUp reports whether the job has a task under which enough workers have crashed.
func (j *jobRecord) mayBeGivenUp() bool {
	for _, n := range j.lostRuns {
		if n >= minCrashesToGiveUp {
			return true
		}
	}
	return false
}

// formerCapacity is a capacity that a worker had until a time.
type formerCapacity struct {
	pool.Resources
	until time.Time
}

// SetCapacity changes the capacity of a worker, which reports it after the given delay.
func (w *World) SetCapacity(id string, capacity pool.Resources, reportDelay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.workers[id]
	if !x.alive {
		return
	}
	x.formerCapacities = append(x.formerCapacities, formerCapacity{x.capacity, time.Now()})
	x.capacity = capacity
	afterFunc(reportDelay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if x.alive && x.invalidSince.IsZero() {
			w.store.put(WorkersTopic, pool.Record{Key: x.id, Value: pool.Encode(x.info())})
		}
	})
}

// FullCapacity returns the capacity that a worker had when it started.
func (w *World) FullCapacity(id string) pool.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[id].fullCapacity
}

// admits reports whether a start may bring the worker to the given use: within its capacity, or
// within one that it had a moment ago.
func (x *worker) admits(used pool.Resources) bool {
	return used.Within(x.capacity) || slices.ContainsFunc(x.formerCapacities, func(f formerCapacity) bool {
		return time.Since(f.until) < capacityGrace && used.Within(f.Resources)
	})
}

// RestartWith crashes a worker, which starts again under its ID with another capacity, and reports
// it after a delay.
func (w *World) RestartWith(capacity pool.Resources, delay, reportDelay time.Duration, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.workers[id]
	if !x.alive {
		return
	}
	x.crash()
	afterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		y := newWorker(w, id, capacity, x.kind, x.rack)
		y.service = x.service
		y.born -= w.ClocksSetBack.Milliseconds()
		y.silentUntil = time.Now().Add(reportDelay)
		x.listed = false
		w.workers[id] = y
		w.order = append(w.order, y)
		w.updateWorkerList()
	})
}

// CutOff makes a worker unreachable for a time. It goes on running.
func (w *World) CutOff(id string, d time.Duration) {
	w.setUnreachable(id, true)
	afterFunc(d, func() { w.setUnreachable(id, false) })
}

func (w *World) setUnreachable(id string, unreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].unreachable = unreachable
}
