package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// query is one search for a worker that can take a task.
type query struct {
	Place
	now time.Duration
	// avoid excludes the workers in Place.Avoid. It is set if the whole capacity
	// of some other worker of the shard is large enough for the task, so that the
	// task waits while that worker is full.
	avoid bool
}

// workerFilter excludes workers that can't take a task now. A filter examines
// one worker at a time and changes no state.
type workerFilter interface {
	name() Filter
	removes(q *query, w *worker) bool
}

// workerFilters run in this order; a worker counts for the first that removes
// it. Permanent reasons come before temporary ones, so that an explanation
// names the permanent one.
var workerFilters = []workerFilter{
	tooSmall{}, noAccelerators{}, notReconciled{}, quarantined{}, failedBefore{}, noCapacity{}, reservedCapacity{},
}

// eligibilityFilters is how many of the first filters don't depend on free
// capacity; they apply to urgent work and reservations too.
const eligibilityFilters = 5

// tooSmall removes workers whose whole capacity is too small for the task.
type tooSmall struct{}

func (tooSmall) name() Filter { return FilterTooSmall }
func (tooSmall) removes(q *query, w *worker) bool {
	return q.Need.MilliCPU > w.Capacity.MilliCPU || q.Need.MemoryMiB > w.Capacity.MemoryMiB
}

// noAccelerators removes workers with fewer accelerators than the task needs.
type noAccelerators struct{}

func (noAccelerators) name() Filter { return FilterAccelerators }
func (noAccelerators) removes(q *query, w *worker) bool {
	return q.Need.Accelerators > w.Capacity.Accelerators
}

// notReconciled removes workers whose running tasks are not known, and those
// that the platform no longer lists.
type notReconciled struct{}

func (notReconciled) name() Filter                     { return FilterNotReconciled }
func (notReconciled) removes(_ *query, w *worker) bool { return !w.reconciled || !w.listed }

// failedBefore removes the workers on which the task has failed.
type failedBefore struct{}

func (failedBefore) name() Filter { return FilterFailedBefore }
func (failedBefore) removes(q *query, w *worker) bool {
	return q.avoid && slices.Contains(q.Avoid, w.ID)
}

// noCapacity removes workers whose uncommitted capacity is too small.
type noCapacity struct{}

func (noCapacity) name() Filter                     { return FilterNoCapacity }
func (noCapacity) removes(q *query, w *worker) bool { return !q.Need.Fits(w.uncommitted()) }

// reservedCapacity removes workers whose free capacity is reserved for a
// waiting task, unless the task can be backfilled.
type reservedCapacity struct{}

func (reservedCapacity) name() Filter { return FilterReserved }
func (reservedCapacity) removes(q *query, w *worker) bool {
	return !q.Need.Fits(w.free()) && !canBackfill(q, w)
}

// query prepares a search.
func (s *Shard) query(now time.Duration, m Place) query {
	q := query{Place: m, now: now}
	if len(m.Avoid) == 0 {
		return q
	}
	for _, w := range s.order {
		if w.listed && m.Need.Fits(w.Capacity) && !slices.Contains(m.Avoid, w.ID) {
			q.avoid = true
			break
		}
	}
	return q
}

// isIneligible reports whether a worker is excluded for a reason that more free
// capacity would not change.
func isIneligible(q *query, w *worker) bool {
	for _, f := range workerFilters[:eligibilityFilters] {
		if f.removes(q, w) {
			return true
		}
	}
	return false
}

// filterWorker returns the index of the first filter that removes a worker, or -1.
func filterWorker(q *query, w *worker) int {
	for i, f := range workerFilters {
		if f.removes(q, w) {
			return i
		}
	}
	return -1
}

// removedCounts counts removed workers by filter.
type removedCounts [8]int

func (c *removedCounts) list() []Removed {
	var list []Removed
	for i, f := range workerFilters {
		if c[i] > 0 {
			list = append(list, Removed{Filter: f.name(), Workers: c[i]})
		}
	}
	return list
}

// removedReason formats the counts as a readable sentence.
func removedReason(workers int, removed []Removed) string {
	if len(removed) == 0 {
		return "the shard has no workers"
	}
	parts := make([]string, len(removed))
	for i, r := range removed {
		parts[i] = fmt.Sprintf("%d %s", r.Workers, r.Filter)
	}
	return fmt.Sprintf("of %d workers: %s", workers, strings.Join(parts, ", "))
}
