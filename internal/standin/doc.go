// Package standin provides stand-ins for the systems around amberway, for tests
// and the demo: the platform, a target and a caller. Faults can be injected while
// they run. The package is not part of a release.
package standin
