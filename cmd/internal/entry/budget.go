package entry

import "sync/atomic"

// budget bounds the bytes of bodies that all requests together hold in memory.
type budget struct {
	limit int64
	used  atomic.Int64
	most  atomic.Int64
}

// take reserves n bytes; false if the budget is used up.
func (b *budget) take(n int64) bool {
	used := b.used.Add(n)
	if used > b.limit {
		b.used.Add(-n)
		return false
	}
	for most := b.most.Load(); used > most && !b.most.CompareAndSwap(most, used); most = b.most.Load() {
	}
	return true
}

func (b *budget) give(n int64) { b.used.Add(-n) }
