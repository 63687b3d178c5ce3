package common

import "fmt"

// Verdict says whether a request may have run on a target. It applies to the request
// with its id, never to one attempt only.
type Verdict int

const (
	// MayHaveRun is the zero value: nothing rules out that the request has run.
	MayHaveRun Verdict = iota
	// NotRun is given only if no target has run the request and no copy of it can run
	// later under the same id.
	NotRun
	// Ran is given with the whole answer of the target.
	Ran
)

var verdictNames = map[Verdict]string{
	MayHaveRun: "may-have-run",
	NotRun:     "not-run",
	Ran:        "ran",
}

// String returns the verdict's name as callers see it.
func (v Verdict) String() string {
	if n, ok := verdictNames[v]; ok {
		return n
	}
	return verdictNames[MayHaveRun]
}

// ParseVerdict returns the verdict with the given name, or an error for any other name.
func ParseVerdict(s string) (Verdict, error) {
	for v, n := range verdictNames {
		if n == s {
			return v, nil
		}
	}
	return MayHaveRun, fmt.Errorf("verdict: %q is none of ran, not-run, may-have-run", s)
}
