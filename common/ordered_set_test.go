package common

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestOrderedSetKeepsTheOrderOfAdding compares a set with a slice: an element that changes its
// place, is skipped or comes up twice would make decisions differ from play to play.
func TestOrderedSetKeepsTheOrderOfAdding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s OrderedSet[int]
		var want []int
		element := rapid.IntRange(1, 20)
		remove := func(v int) {
			s.Remove(v)
			want = slices.DeleteFunc(want, func(o int) bool { return o == v })
		}
		add := func(v int) {
			s.Add(v)
			if !slices.Contains(want, v) {
				want = append(want, v)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       func(t *rapid.T) { checkOrderedSet(t, &s, want) },
			"add":    func(t *rapid.T) { add(element.Draw(t, "element")) },
			"remove": func(t *rapid.T) { remove(element.Draw(t, "element")) },
			"clear": func(*rapid.T) {
				s.Clear()
				want = nil
			},
			"change while iterating": func(t *rapid.T) {
				first := element.Draw(t, "first")
				seen := map[int]bool{}
				for v := range s.From(first) {
					require.False(t, seen[v], "%d comes up twice", v)
					require.Contains(t, want, v, "it was removed")
					seen[v] = true
					remove(element.Draw(t, "removed"))
					if o := element.Draw(t, "added"); !seen[o] {
						add(o)
					}
				}
			},
		})
	})
}

// checkOrderedSet compares a set and its iterations with the elements in their order.
func checkOrderedSet(t *rapid.T, s *OrderedSet[int], want []int) {
	require.Equal(t, len(want), s.Len())
	require.True(t, slices.Equal(want, slices.Collect(s.All())), "want %v", want)
	first := rapid.IntRange(1, 20).Draw(t, "from")
	i := max(0, slices.Index(want, first))
	rotated := slices.Concat(want[i:], want[:i])
	require.True(t, slices.Equal(rotated, slices.Collect(s.From(first))), "want %v", rotated)
	for v := range s.All() {
		require.Equal(t, want[0], v)
		break
	}
}
