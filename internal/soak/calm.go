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

// faultState are those of one scope: how many go on, and when the last one ended.
type faultState struct {
	active  int
	endedAt time.Time
}

// beginFault notes that a fault begins, and the function that it returns that it ends.
func (r *Run) beginFault(scope string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults[scope]
	if f == nil {
		f = &faultState{}
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

// lastFaultAt returns when there was last a fault of a scope that counts: now if
// there is one.
func (r *Run) lastFaultAt(counts func(scope string) bool) time.Time {
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

// newIncarnation notes that another process is an entry host, or is about to be.
func (r *Run) newIncarnation(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnations[name]++
}

// incarnation is one life of an entry host.
type incarnation struct {
	name   string
	number int
}

func (r *Run) incarnationOf(name string) incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return incarnation{name: name, number: r.incarnations[name]}
}
