// Package standin holds small programs that take the place of what surrounds
// amberway in tests and in the demo: the platform, a target and a caller. Their
// faults are switched while they run. Nothing of them ships.
package standin
