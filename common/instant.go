package common

import (
	"sync/atomic"
	"time"
)

// Instant is a point in time that several goroutines share. It keeps the
// monotonic clock reading, so that steps of the wall clock do not matter.
type Instant struct {
	p atomic.Pointer[time.Time]
}

// Set sets the time.
func (i *Instant) Set(t time.Time) {
	i.p.Store(&t)
}

// Advance sets the time unless a later one was set.
func (i *Instant) Advance(t time.Time) {
	for {
		o := i.p.Load()
		if o != nil && !t.After(*o) {
			return
		}
		if i.p.CompareAndSwap(o, &t) {
			return
		}
	}
}

// Get returns the time that was set last, or the zero time.
func (i *Instant) Get() time.Time {
	if t := i.p.Load(); t != nil {
		return *t
	}
	return time.Time{}
}
