package placement

// indexed is an element of an indexHeap.
type indexed[T any] interface {
	// heapIndex points to the element's index in the heap; noIndex while it is
	// in none.
	heapIndex() *int
	// before orders the elements; the order must be total.
	before(T) bool
}

// indexHeap is a heap whose elements store their own index, for heap.Fix and
// heap.Remove.
type indexHeap[T indexed[T]] []T

// Len implements heap.Interface.
func (h indexHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h indexHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements heap.Interface.
func (h indexHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].heapIndex(), *h[j].heapIndex() = i, j
}

// Push implements heap.Interface.
func (h *indexHeap[T]) Push(x any) {
	e := x.(T)
	*e.heapIndex() = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *indexHeap[T]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	var none T
	(*h)[last] = none
	*h = (*h)[:last]
	*e.heapIndex() = noIndex
	return e
}
