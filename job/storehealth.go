package job

import (
	"sync"
	"time"
)

// Detection of store outages.
const (
	// storeOutageAfter is how long all writes have to fail until new jobs are refused at once.
	// A slow store answers within a quarter of a second, and a single lost answer proves
	// nothing.
	storeOutageAfter = 500 * time.Millisecond
	// minStoreFailures is how many writes in a row have to fail as well.
	minStoreFailures = 2
	// storeProbeEvery is how often one job is written during an outage, to notice its end.
	storeProbeEvery = 250 * time.Millisecond
)

// storeHealth detects from the outcomes of writes whether the store is unreachable.
type storeHealth struct {
	mu       sync.Mutex
	failures int
	// failingSince is when the first of the writes that failed in a row was sent.
	failingSince time.Time
	probeAt      time.Time
	// reported reports whether the outage has been returned by record.
	reported bool
}

// record records the outcome of a write that was sent at the time sent. It reports whether this
// shows that the store has become unreachable, or reachable again.
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

// rejects reports whether a new job is to be refused without a write.
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
