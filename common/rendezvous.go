package common

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the names sorted by their rendezvous score for the key, highest first.
// Removing a name does not change the order of the others.
func Rank(key string, names []string) []string {
	r := slices.Clone(names)
	s := make(map[string]uint64, len(names))
	for _, n := range names {
		s[n] = score(key, n)
	}
	slices.SortFunc(r, func(a, b string) int {
		if c := cmp.Compare(s[b], s[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return r
}

// RankFirst returns the name with the highest rendezvous score for the key, or the empty
// string if there are no names.
func RankFirst(key string, names []string) string {
	best := ""
	top := uint64(0)
	for _, n := range names {
		s := score(key, n)
		if best == "" || s > top || (s == top && n < best) {
			best = n
			top = s
		}
	}
	return best
}

func score(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}
