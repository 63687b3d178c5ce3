// Package fleet holds stand-ins of the platform that runs jobs: its store of
// records and leases, workers under leases, and machines. They speak the
// published interfaces over HTTP on loopback, with faults that are switched
// while they run, and keep the books that show whether a promise was broken.
package fleet
