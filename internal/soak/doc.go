// Package soak runs a deployment that serves jobs as separate processes, injects
// faults from outside of them that all follow from a seed, and checks the
// promises from what callers and workers see.
package soak
