package common

import "container/heap"

// Heap is a priority queue whose items can be removed from the middle in
// logarithmic time.
type Heap[T any] struct {
	items heapItems[T]
}

// HeapEntry holds one item of a Heap, and identifies it for Remove.
type HeapEntry[T any] struct {
	Value T
	index int
}

// NewHeap returns an empty heap whose first item is the least by less.
func NewHeap[T any](less func(a, b T) bool) *Heap[T] {
	return &Heap[T]{items: heapItems[T]{less: less}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int {
	return len(h.items.entries)
}

// Push adds an item and returns its entry.
func (h *Heap[T]) Push(v T) *HeapEntry[T] {
	e := &HeapEntry[T]{Value: v}
	heap.Push(&h.items, e)
	return e
}

// Peek returns the least item, or false if the heap is empty.
func (h *Heap[T]) Peek() (T, bool) {
	if h.Len() == 0 {
		var z T
		return z, false
	}
	return h.items.entries[0].Value, true
}

// Pop removes and returns the least item, or false if the heap is empty.
func (h *Heap[T]) Pop() (T, bool) {
	if h.Len() == 0 {
		var z T
		return z, false
	}
	e, _ := heap.Pop(&h.items).(*HeapEntry[T])
	return e.Value, true
}

// Remove removes the entry's item. It reports whether the item was still in the heap.
func (h *Heap[T]) Remove(e *HeapEntry[T]) bool {
	if e.index < 0 {
		return false
	}
	heap.Remove(&h.items, e.index)
	return true
}

// heapItems implements heap.Interface.
type heapItems[T any] struct {
	entries []*HeapEntry[T]
	less    func(a, b T) bool
}

// Len implements heap.Interface.
func (h *heapItems[T]) Len() int {
	return len(h.entries)
}

// Less implements heap.Interface.
func (h *heapItems[T]) Less(i, j int) bool {
	return h.less(h.entries[i].Value, h.entries[j].Value)
}

// Swap implements heap.Interface.
func (h *heapItems[T]) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].index = i
	h.entries[j].index = j
}

// Push implements heap.Interface.
func (h *heapItems[T]) Push(x any) {
	e, ok := x.(*HeapEntry[T])
	if !ok {
		return
	}
	e.index = len(h.entries)
	h.entries = append(h.entries, e)
}

// Pop implements heap.Interface.
func (h *heapItems[T]) Pop() any {
	n := len(h.entries) - 1
	e := h.entries[n]
	h.entries[n] = nil
	h.entries = h.entries[:n]
	e.index = -1
	return e
}
