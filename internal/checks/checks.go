// Package checks sets how many cases the stateful tests try.
package checks

import (
	"flag"
	"os"
	"testing"

	// The flags that Main sets are those of rapid.
	_ "pgregory.net/rapid"
)

// Main runs a package's tests with so many cases for each stateful test,
// unless the command line names another number.
func Main(m *testing.M, cases string) {
	flag.Parse()
	named := false
	flag.Visit(func(f *flag.Flag) { named = named || f.Name == "rapid.checks" })
	if !named {
		_ = flag.Set("rapid.checks", cases)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
