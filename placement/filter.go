package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// query is one search for a worker.
type query struct {
	Place
	now time.Duration
	// avoid means that the workers in Place.Avoid are left out: some other worker
	// of the shard could hold the task one day.
	avoid bool
}

// workerFilter removes workers that can't take a task now. Filters look at one
// worker at a time and change nothing.
type workerFilter interface {
	name() Filter
	removes(q *query, w *worker) bool
}

// workerFilters run in this order; a worker counts under the first that removes
// it. What holds for good comes before what time may change, so that an
// explanation names the lasting reason.
var workerFilters = []workerFilter{
	tooSmall{}, noAccelerators{}, notHeard{}, quarantined{}, failedThere{}, noRoom{}, reservedRoom{},
}

// lastingFilters is how many of them are not about room: these hold for urgent
// work and reservations too.
const lastingFilters = 5

// tooSmall removes workers that could not hold the task even if empty.
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

// notHeard removes workers of which it is not known what they run, and those
// that the platform no longer lists.
type notHeard struct{}

func (notHeard) name() Filter                     { return FilterSilent }
func (notHeard) removes(_ *query, w *worker) bool { return !w.reconciled || !w.listed }

// failedThere removes the workers on which the task has failed before.
type failedThere struct{}

func (failedThere) name() Filter { return FilterAvoided }
func (failedThere) removes(q *query, w *worker) bool {
	return q.avoid && slices.Contains(q.Avoid, w.ID)
}

// noRoom removes workers whose uncommitted room is too small.
type noRoom struct{}

func (noRoom) name() Filter                     { return FilterRoom }
func (noRoom) removes(q *query, w *worker) bool { return !q.Need.Fits(w.uncommitted()) }

// reservedRoom removes workers whose room is claimed by a waiting task, unless
// the task may run there until then.
type reservedRoom struct{}

func (reservedRoom) name() Filter { return FilterReserved }
func (reservedRoom) removes(q *query, w *worker) bool {
	return !q.Need.Fits(w.free()) && !mayBackfill(q, w)
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

// lasting reports whether a worker is out for a reason that more room would not
// change.
func lasting(q *query, w *worker) bool {
	for _, f := range workerFilters[:lastingFilters] {
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

// removedReason puts the counts into a sentence for people.
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
