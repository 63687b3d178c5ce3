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
	// told says that the log has the store as away.
	told bool
}

// note takes in the outcome of a write that was sent at a time. It reports whether
// the store has gone away, or is back, by that.
func (r *reach) note(sent, now time.Time, ok bool) (gone, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		back = r.told
		r.failures, r.told = 0, false
		return false, back
	}
	if r.failures == 0 {
		r.failingSince = sent
	}
	r.failures++
	gone = r.isAway(now) && !r.told
	r.told = r.told || gone
	return gone, false
}

func (r *reach) isAway(now time.Time) bool {
	return r.failures >= awayFailures && now.Sub(r.failingSince) >= awayAfter
}

// refuses reports whether a job that comes now is to be refused without a write.
func (r *reach) refuses(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isAway(now) {
		return false
	}
	if now.Before(r.probeAt) {
		return true
	}
	r.probeAt = now.Add(probeEvery)
	return false
}
