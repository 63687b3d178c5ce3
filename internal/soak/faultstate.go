package soak

import "time"

// Scopes of faults. A fault of a single entry host has the host's name as its scope.
const (
	scopeStore   = "store"
	scopeHistory = "history"
	scopeWorkers = "workers"
	scopeRemoval = "removal"
	// scopeAll is the scope of faults of all entry hosts.
	scopeAll = "all"
)

// faultState is the state of one scope: how many faults are active, and when the last one
// ended.
type faultState struct {
	active  int
	endedAt time.Time
}

// beginFault records the start of a fault. The function that it returns records its end.
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

// lastFaultAt returns when the last fault of the scopes that count ended, or the present time
// if one is active.
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

// newIncarnation records that the process of an entry host is replaced by another one, or is
// about to be.
func (r *Run) newIncarnation(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnations[name]++
}

// incarnation identifies one process of an entry host.
type incarnation struct {
	name   string
	number int
}

func (r *Run) incarnationOf(name string) incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return incarnation{name: name, number: r.incarnations[name]}
}
