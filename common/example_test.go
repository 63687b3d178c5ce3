package common_test

import (
	"fmt"

	"amberway/common"
)

func ExampleRank() {
	all := common.Rank("target-1", []string{"entry-1", "entry-2", "entry-3"})
	fmt.Println(all[0] == common.RankFirst("target-1", all))
	// Output:
	// true
}

func ExampleHeap() {
	h := common.NewHeap(func(a, b string) bool { return a < b })
	h.Push("b")
	e := h.Push("a")
	h.Remove(e)
	v, _ := h.Pop()
	fmt.Println(v)
	// Output:
	// b
}
