package common

import (
	"iter"
	"math"
	"slices"
)

// OrderedSet is a set that is iterated in the order in which its elements were added, unlike a
// map. Its zero value is empty. The zero value of T cannot be an element. It is not safe for
// concurrent use, not even by iterations alone.
type OrderedSet[T comparable] struct {
	// items has the zero value of T in place of each removed element.
	items []T
	index map[T]int
	// iterating counts the iterations under way, during which elements keep their places.
	iterating int
}

// Len returns the number of elements.
func (s *OrderedSet[T]) Len() int {
	return len(s.index)
}

// Add adds an element at the end, unless it is in the set.
func (s *OrderedSet[T]) Add(v T) {
	if _, known := s.index[v]; known {
		return
	}
	if s.index == nil {
		s.index = map[T]int{}
	}
	if s.iterating == 0 && len(s.items) > 2*len(s.index) {
		s.compact()
	}
	s.index[v] = len(s.items)
	s.items = append(s.items, v)
}

// Remove removes an element, if it is in the set.
func (s *OrderedSet[T]) Remove(v T) {
	i, known := s.index[v]
	if !known {
		return
	}
	var removed T
	s.items[i] = removed
	delete(s.index, v)
}

// compact drops the places of removed elements.
func (s *OrderedSet[T]) compact() {
	var removed T
	s.items = slices.DeleteFunc(s.items, func(v T) bool { return v == removed })
	for i, v := range s.items {
		s.index[v] = i
	}
}

// Clear removes all elements.
func (s *OrderedSet[T]) Clear() {
	for v := range s.index {
		s.Remove(v)
	}
}

// All iterates over the elements in the order in which they were added. Elements may be removed
// and added meanwhile. As with a map, removed ones do not come up any more, and added ones may or
// may not.
func (s *OrderedSet[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		s.iterating++
		defer func() { s.iterating-- }()
		s.visit(0, math.MaxInt, yield)
	}
}

// From iterates over the elements like All, but begins with the element first and ends with the
// one before it. If first is not in the set, From is the same as All.
func (s *OrderedSet[T]) From(first T) iter.Seq[T] {
	return func(yield func(T) bool) {
		s.iterating++
		defer func() { s.iterating-- }()
		start := s.index[first]
		if s.visit(start, math.MaxInt, yield) {
			s.visit(0, start, yield)
		}
	}
}

// visit passes the elements in the places from start up to end to yield. It reports whether yield
// has taken all of them.
func (s *OrderedSet[T]) visit(start, end int, yield func(T) bool) bool {
	var removed T
	for i := start; i < min(end, len(s.items)); i++ {
		if v := s.items[i]; v != removed && !yield(v) {
			return false
		}
	}
	return true
}
