// Command standin runs the cases of the review that are scripts: a small deployment with the project's own
// programs as processes, and stand-ins of the platform, the workers and the clients.
package main

import (
	"fmt"
	"os"
	"strconv"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(couldNot)
	}
	cases := map[string]func(*recorder, bool) int{"steps": runSteps, "ends": runEnds, "cuts": runCuts}
	f := cases[os.Args[1]]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldNot)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	code := f(rec, os.Getenv("TROUBLE") != "0")
	rec.printf("exit code %d", code)
	os.Exit(code)
}

// report prints a line and records it.
func report(rec *recorder, format string, a ...any) {
	rec.printf(format, a...)
	fmt.Printf(format+"\n", a...)
}

// envInt returns a number from the environment, for trials.
func envInt(name string, byDefault int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return byDefault
}
