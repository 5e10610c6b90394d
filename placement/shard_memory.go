package placement

import (
	"fmt"

	"github.com/knapweedweir/knapweedweir/infra"
)

// guardMemory looks after tasks that use more memory than they declared. While the
// worker has memory to spare such a task is throttled, and what it uses above its
// need is kept from others; otherwise the one that is furthest above its need is
// stopped. Its neighbours keep what they declared in either case.
func (s *Shard) guardMemory(w *worker) {
	over := int64(0)
	for _, sl := range w.slots {
		part := sl.overMemory()
		over += part
		// A task that has just come above its need is throttled at once.
		w.urgent = w.urgent || (part > 0 && !sl.throttled)
		sl.throttled = part > 0
	}
	w.overuse = infra.Resources{MemoryMiB: over}
	for w.committed.MemoryMiB+over > w.Capacity.MemoryMiB {
		worst := w.worstMemory()
		if worst == nil {
			return
		}
		over -= worst.overMemory()
		s.stop(worst, CauseMemory, fmt.Sprintf("used %d MiB and had declared %d", worst.memory, worst.task.Need.MemoryMiB))
	}
}

// overMemory is how much more than its need a running task uses now.
func (sl *slot) overMemory() int64 {
	if sl.state != slotRunning {
		return 0
	}
	return max(0, sl.memory-sl.task.Need.MemoryMiB)
}

// worstMemory returns the task furthest above its need, as a share of the need.
func (w *worker) worstMemory() *slot {
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
