package soak

import "time"

// Scopes of faults besides the names of entry hosts.
const (
	scopeStore   = "store"
	scopeHistory = "history"
	scopeWorkers = "workers"
	scopeRemoval = "removal"
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

// disturbedAt returns when there was last a fault of a scope that counts: now if
// there is one.
func (r *Run) disturbedAt(counts func(scope string) bool) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last time.Time
	for k, f := range r.faults {
		switch {
		case !counts(k):
		case f.active > 0:
			return time.Now()
		case f.endedAt.After(last):
			last = f.endedAt
		}
	}
	return last
}

func anyScope(string) bool { return true }

// newLife notes that another process is an entry host, or is about to be.
func (r *Run) newLife(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives[name]++
}

// process is one life of an entry host.
type process struct {
	name string
	life int
}

func (r *Run) process(name string) process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return process{name: name, life: r.lives[name]}
}
