package job

import (
	"sync"
	"time"
)

// Figures of telling that the store is away.
const (
	// storeOutageAfter is how long writes have to fail, without one that succeeds, until
	// new jobs are refused at once: a slow store answers within a quarter of a
	// second, and a lost answer among others says nothing.
	storeOutageAfter = 500 * time.Millisecond
	// minStoreFailures is the least number of writes that failed in a row.
	minStoreFailures = 2
	// storeProbeEvery is how often one job is written all the same while the store is
	// away, to learn of its return.
	storeProbeEvery = 250 * time.Millisecond
)

// storeHealth tells from the outcomes of writes whether the store is away.
type storeHealth struct {
	mu       sync.Mutex
	failures int
	// failingSince is when the first write of those that failed in a row was sent.
	failingSince time.Time
	probeAt      time.Time
	// reported says that the log has the store as away.
	reported bool
}

// record takes in the outcome of a write that was sent at a time. It reports whether
// the store has gone away, or is back, by that.
func (r *storeHealth) record(sent, now time.Time, ok bool) (gone, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		back = r.reported
		r.failures, r.reported = 0, false
		return false, back
	}
	if r.failures == 0 {
		r.failingSince = sent
	}
	r.failures++
	gone = r.unreachable(now) && !r.reported
	r.reported = r.reported || gone
	return gone, false
}

func (r *storeHealth) unreachable(now time.Time) bool {
	return r.failures >= minStoreFailures && now.Sub(r.failingSince) >= storeOutageAfter
}

// rejects reports whether a job that comes now is to be refused without a write.
func (r *storeHealth) rejects(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.unreachable(now) {
		return false
	}
	if now.Before(r.probeAt) {
		return true
	}
	r.probeAt = now.Add(storeProbeEvery)
	return false
}
