// Command review-2 runs one case of the second review: it starts the daemon as processes of
// its own, with the project's stand-ins of the platform, and checks what callers, workers and
// the platform see. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken reports that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name, which their files add. Each gets whether to cause the disruption.
var cases = map[string]func(r *record, trouble bool) error{}

// maxRunTime bounds a case.
const maxRunTime = 115 * time.Second

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD-FILE")
		return exitFailed
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.write("case %s, trouble: %t", os.Args[1], trouble)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](r, trouble) }()
	select {
	case err = <-done:
	case <-time.After(maxRunTime):
		err = errors.New("the case took too long")
	}
	stopAll()
	switch {
	case errors.Is(err, errBroken):
		r.write("result: BROKEN: %v", err)
		return exitBroken
	case err != nil:
		r.write("result: the case could not run: %v", err)
		return exitFailed
	}
	r.write("result: held")
	return exitHeld
}
