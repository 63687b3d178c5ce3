// Package checks sets the number of cases that property-based tests try.
package checks

import (
	"flag"
	"os"
	"testing"

	// Defines the flags that Main sets.
	_ "pgregory.net/rapid"
)

// Main runs a package's tests with a number of cases for each property-based test, unless the
// command line gives another number.
func Main(m *testing.M, cases string) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		_ = flag.Set("rapid.checks", cases)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
