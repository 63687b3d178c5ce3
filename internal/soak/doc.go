// Package soak runs a deployment that serves jobs as separate processes, injects
// faults from outside, all of which are derived from a seed, and checks the guarantees
// by what callers and workers observe.
package soak
