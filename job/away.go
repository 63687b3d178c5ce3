package job

import (
	"sync"
	"time"
)

// Figures of telling that the store is away.
const (
	// awayAfter is how long writes have to fail, without one that succeeds, until
	// new jobs are refused at once: a slow store answers within a quarter of a
	// second, and a lost answer among others says nothing.
	awayAfter = 500 * time.Millisecond
	// awayFailures is the least number of writes that failed in a row.
	awayFailures = 2
	// probeEvery is how often one job is written all the same while the store is
	// away, to learn of its return.
	probeEvery = 250 * time.Millisecond
)

// reach tells from the outcomes of writes whether the store is away.
type reach struct {
	mu       sync.Mutex
	failures int
	// failingSince is when the first write of those that failed in a row was sent.
	failingSince time.Time
	probeAt      time.Time
}

// note takes in the outcome of a write that was sent at a time.
func (r *reach) note(sent time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.failures = 0
		return
	}
	if r.failures == 0 {
		r.failingSince = sent
	}
	r.failures++
}

// refuses reports whether a job that comes now is to be refused without a write.
func (r *reach) refuses(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures < awayFailures || now.Sub(r.failingSince) < awayAfter {
		return false
	}
	if now.Before(r.probeAt) {
		return true
	}
	r.probeAt = now.Add(probeEvery)
	return false
}
