package soak

import (
	"slices"
	"time"
)

// Scopes of faults besides the names of entry hosts.
const (
	scopeStore   = "store"
	scopeHistory = "history"
	scopeWorkers = "workers"
	// scopeAll holds for all entry hosts.
	scopeAll = "all"
)

// faults are those of one scope: how many go on, and when the last one ended.
type faults struct {
	active  int
	endedAt time.Time
}

// begin notes that a fault begins, and the function that it returns that it ends.
func (r *Run) begin(scope string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults[scope]
	if f == nil {
		f = &faults{}
		r.faults[scope] = f
	}
	f.active++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		f.active--
		f.endedAt = time.Now()
	}
}

// disturbedAt returns when there was last a fault of one of the scopes or of all
// entry hosts: now if there is one. Without scopes each counts.
func (r *Run) disturbedAt(scopes ...string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last time.Time
	for k, f := range r.faults {
		if len(scopes) > 0 && k != scopeAll && !slices.Contains(scopes, k) {
			continue
		}
		if f.active > 0 {
			return time.Now()
		}
		if f.endedAt.After(last) {
			last = f.endedAt
		}
	}
	return last
}

// newLife notes that another process is an entry host, or is about to be.
func (r *Run) newLife(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives[name]++
}

func (r *Run) life(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lives[name]
}
