package request

import (
	"slices"

	"amberway/common"
)

// ShareOf returns how many of a target's slots one process may use. The slots
// are divided over the live entry hosts of the data centre, and what is left
// over goes to those that rank first for the target, which differ from target
// to target. Where all processes see the same members, their shares sum up to
// the slots exactly.
func ShareOf(target string, slots int, members []string, self string) int {
	if len(members) == 0 {
		return slots
	}
	n := slots / len(members)
	rest := slots % len(members)
	if rest > 0 && slices.Index(common.Rank(target, members), self) < rest {
		n++
	}
	return n
}
