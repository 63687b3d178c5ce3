package common

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspensionDoubt is by how much the time of day has to run ahead of the steady clock, or
// behind, until the system is asked whether the host was suspended. The question takes two
// calls of the system, and an owner would ask some hundred times a second.
const suspensionDoubt = 50 * time.Millisecond

// Suspension tells for how long the host has been suspended. The steady clock that Go
// measures by stands still meanwhile, so that leases and deadlines seem to be as good as
// before.
type Suspension struct {
	// drift is by how much the time of day has run ahead of the steady clock, which a
	// step of the time of day changes as well; counted is what the system has counted of
	// suspensions since it started.
	drift, counted func() time.Duration
	// before is what it had counted when the Suspension began, seen the drift when it was
	// last asked, and total its answer.
	before      time.Duration
	seen, total atomic.Int64
}

// NewSuspension returns a Suspension that begins now.
func NewSuspension() *Suspension {
	begun := time.Now()
	return newSuspension(func() time.Duration {
		n := time.Now()
		return n.Round(0).Sub(begun.Round(0)) - n.Sub(begun)
	}, countedSuspension)
}

func newSuspension(drift, counted func() time.Duration) *Suspension {
	return &Suspension{drift: drift, counted: counted, before: counted()}
}

// Total returns how long the host has been suspended since the Suspension began.
func (s *Suspension) Total() time.Duration {
	d := s.drift()
	if (d - time.Duration(s.seen.Load())).Abs() > suspensionDoubt {
		s.total.Store(int64(s.counted() - s.before))
		s.seen.Store(int64(d))
	}
	return time.Duration(s.total.Load())
}

// countedSuspension returns by how much the clock that counts suspensions is ahead of the
// one that does not; nothing where the system has no such clocks.
func countedSuspension() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
