package entry

import "sync/atomic"

// memoryBudget limits the memory used by the bodies of all requests and answers together.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
	peak  atomic.Int64
}

// reserve reserves n bytes. It returns false if that would exceed the limit.
func (b *memoryBudget) reserve(n int64) bool {
	used := b.used.Add(n)
	if used > b.limit {
		b.used.Add(-n)
		return false
	}
	for peak := b.peak.Load(); used > peak && !b.peak.CompareAndSwap(peak, used); peak = b.peak.Load() {
	}
	return true
}

func (b *memoryBudget) release(n int64) { b.used.Add(-n) }
