package common

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspensionThreshold is by how much the time of day has to run ahead of the steady clock, or
// behind, until the system is asked whether the host was suspended. The question takes two
// calls of the system, and an owner would ask some hundred times a second.
const suspensionThreshold = 50 * time.Millisecond

// SuspensionTracker tells for how long the host has been suspended. The steady clock that Go
// measures by stands still meanwhile, so that leases and deadlines seem to be as good as
// before.
type SuspensionTracker struct {
	// drift is by how much the time of day has run ahead of the steady clock, which a
	// step of the time of day changes as well; counted is what the system has counted of
	// suspensions since it started.
	drift, systemTotal func() time.Duration
	// systemTotalAtStart is what it had counted when the Suspension began, seen the drift when it was
	// last asked, and total its answer.
	systemTotalAtStart time.Duration
	lastDrift, total   atomic.Int64
}

// NewSuspensionTracker returns a Suspension that begins now.
func NewSuspensionTracker() *SuspensionTracker {
	begun := time.Now()
	return newSuspensionTracker(func() time.Duration {
		n := time.Now()
		return n.Round(0).Sub(begun.Round(0)) - n.Sub(begun)
	}, systemSuspension)
}

func newSuspensionTracker(drift, counted func() time.Duration) *SuspensionTracker {
	return &SuspensionTracker{drift: drift, systemTotal: counted, systemTotalAtStart: counted()}
}

// Total returns how long the host has been suspended since the Suspension began.
func (s *SuspensionTracker) Total() time.Duration {
	d := s.drift()
	if (d - time.Duration(s.lastDrift.Load())).Abs() > suspensionThreshold {
		s.total.Store(int64(s.systemTotal() - s.systemTotalAtStart))
		s.lastDrift.Store(int64(d))
	}
	return time.Duration(s.total.Load())
}

// systemSuspension returns by how much the clock that counts suspensions is ahead of the
// one that does not; nothing where the system has no such clocks.
func systemSuspension() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
