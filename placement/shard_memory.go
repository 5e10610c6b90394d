package placement

import (
	"fmt"

	"github.com/knapweedweir/knapweedweir/infra"
)

// enforceMemory handles tasks that use more memory than they declared. While
// the worker has spare memory, such a task is throttled, and its excess is not
// available to others. Otherwise the task that exceeds its need by the largest
// factor is stopped. In both cases the other tasks keep the memory they
// declared.
func (s *Shard) enforceMemory(w *worker) {
	over := int64(0)
	for _, sl := range w.slots {
		part := sl.overMemory()
		over += part
		// A task that has just exceeded its need is throttled at once.
		w.urgent = w.urgent || (part > 0 && !sl.throttled)
		sl.throttled = part > 0
	}
	w.memoryOveruse = infra.Resources{MemoryMiB: over}
	for w.committed.MemoryMiB+over > w.Capacity.MemoryMiB {
		worst := w.largestOveruse()
		if worst == nil {
			return
		}
		over -= worst.overMemory()
		s.stop(worst, CauseMemory, fmt.Sprintf("used %d MiB and had declared %d", worst.memory, worst.task.Need.MemoryMiB))
	}
}

// overMemory is the memory in MiB by which a running task exceeds its need.
func (sl *slot) overMemory() int64 {
	if sl.state != slotRunning {
		return 0
	}
	return max(0, sl.memory-sl.task.Need.MemoryMiB)
}

// largestOveruse returns the task with the highest ratio of memory use to need.
func (w *worker) largestOveruse() *slot {
	var worst *slot
	var worstShare float64
	for _, sl := range w.slots {
		if sl.stop || sl.overMemory() == 0 {
			continue
		}
		if part := share(sl.memory, sl.task.Need.MemoryMiB); part > worstShare {
			worst, worstShare = sl, part
		}
	}
	return worst
}
