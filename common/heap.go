package common

import "container/heap"

// Heap is a priority queue whose items can be removed from the middle in
// logarithmic time.
type Heap[T any] struct {
	items heapItems[T]
}

// HeapEntry is the place of one item in a Heap.
type HeapEntry[T any] struct {
	Value T
	index int
}

// NewHeap returns an empty heap that puts the least item first.
func NewHeap[T any](less func(a, b T) bool) *Heap[T] {
	return &Heap[T]{items: heapItems[T]{less: less}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int {
	return len(h.items.entries)
}

// Push adds an item and returns its slot.
func (h *Heap[T]) Push(v T) *HeapEntry[T] {
	s := &HeapEntry[T]{Value: v}
	heap.Push(&h.items, s)
	return s
}

// Peek returns the least item, or false where there is none.
func (h *Heap[T]) Peek() (T, bool) {
	if h.Len() == 0 {
		var z T
		return z, false
	}
	return h.items.entries[0].Value, true
}

// Pop removes and returns the least item, or false where there is none.
func (h *Heap[T]) Pop() (T, bool) {
	if h.Len() == 0 {
		var z T
		return z, false
	}
	s, _ := heap.Pop(&h.items).(*HeapEntry[T])
	return s.Value, true
}

// Remove takes the item of the slot out. It reports whether it was there.
func (h *Heap[T]) Remove(s *HeapEntry[T]) bool {
	if s.index < 0 {
		return false
	}
	heap.Remove(&h.items, s.index)
	return true
}

// heapItems implements heap.Interface.
type heapItems[T any] struct {
	entries []*HeapEntry[T]
	less    func(a, b T) bool
}

// Len is part of heap.Interface.
func (h *heapItems[T]) Len() int {
	return len(h.entries)
}

// Less is part of heap.Interface.
func (h *heapItems[T]) Less(i, j int) bool {
	return h.less(h.entries[i].Value, h.entries[j].Value)
}

// Swap is part of heap.Interface.
func (h *heapItems[T]) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].index = i
	h.entries[j].index = j
}

// Push is part of heap.Interface.
func (h *heapItems[T]) Push(x any) {
	s, ok := x.(*HeapEntry[T])
	if !ok {
		return
	}
	s.index = len(h.entries)
	h.entries = append(h.entries, s)
}

// Pop is part of heap.Interface.
func (h *heapItems[T]) Pop() any {
	n := len(h.entries) - 1
	s := h.entries[n]
	h.entries[n] = nil
	h.entries = h.entries[:n]
	s.index = -1
	return s
}
