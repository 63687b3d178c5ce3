package config

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkParse measures the decoding and validation of a whole document.
func BenchmarkParse(b *testing.B) {
	for _, pools := range []int{5, 50, 259} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			var s strings.Builder
			s.WriteString("operator: large\ndata_centres: [north]\nteams:\n  - name: all\npools:\n")
			for n := range pools {
				fmt.Fprintf(&s, "  - {name: p%d, team: all, select: {pool: [p%d]}, budget: {available: {north: 1}}}\n", n, n)
			}
			s.WriteString("services:\n")
			for n := range pools {
				fmt.Fprintf(&s, "  - {name: s%d, pool: p%d, jobs: [{name: quick, class: quick, run_time: 5ms}]}\n", n, n)
			}
			for b.Loop() {
				if _, err := Parse([]byte(s.String())); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
