// Package fleet provides stand-ins for the platform that runs jobs: its store of
// records and leases, workers under leases, and machines. They serve the
// published APIs over HTTP on loopback, with faults that can be injected while
// they run, and a Checker records which guarantees were violated.
package fleet
