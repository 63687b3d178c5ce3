// Package job accepts jobs from callers and runs their tasks on workers.
//
// Any entry host accepts a job, by creating its record in the platform's store.
// One entry host at a time, the owner, holds a lease in the store. It watches
// the records and places tasks on workers. Core makes these decisions: it is
// given the time and does no I/O. The revision at which the owner claimed its
// lease is the fence of its orders: workers and the store refuse an owner that
// has been replaced.
package job
