// Package job takes jobs from callers and carries them to their end on workers.
//
// Any entry host accepts a job, by creating its record in the platform's store.
// One entry host at a time, the owner, holds a lease in the store. It follows
// the records and places tasks on workers, in the pure code of Core, which has
// the time handed in and does no I/O. The revision at which the owner took its
// lease is the fence of its orders: workers and the store refuse an owner that
// has been replaced.
package job
