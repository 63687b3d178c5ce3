package common

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspensionThreshold is how far the wall clock must drift from the monotonic clock, in
// either direction, before the tracker asks the kernel whether the host was suspended. That
// takes two system calls, and an owner would make them some hundred times a second.
const suspensionThreshold = 50 * time.Millisecond

// SuspensionTracker measures for how long the host was suspended. Go's monotonic clock
// stops meanwhile, so leases and deadlines seem to be valid for as long as before.
type SuspensionTracker struct {
	// drift returns how far the wall clock is ahead of the monotonic clock since the
	// start; a step of the wall clock changes it as well. systemTotal returns for how long
	// the host was suspended since it booted.
	drift, systemTotal func() time.Duration
	// systemTotalAtStart is what systemTotal returned when the tracker was created.
	systemTotalAtStart time.Duration
	// lastDrift is the drift when systemTotal was last called, total the suspension between
	// the start and that call.
	lastDrift, total atomic.Int64
}

// NewSuspensionTracker returns a tracker that starts now.
func NewSuspensionTracker() *SuspensionTracker {
	start := time.Now()
	return newSuspensionTracker(func() time.Duration {
		n := time.Now()
		return n.Round(0).Sub(start.Round(0)) - n.Sub(start)
	}, systemSuspension)
}

func newSuspensionTracker(drift, system func() time.Duration) *SuspensionTracker {
	return &SuspensionTracker{drift: drift, systemTotal: system, systemTotalAtStart: system()}
}

// Total returns for how long the host was suspended since the tracker was created.
func (s *SuspensionTracker) Total() time.Duration {
	d := s.drift()
	if (d - time.Duration(s.lastDrift.Load())).Abs() > suspensionThreshold {
		s.total.Store(int64(s.systemTotal() - s.systemTotalAtStart))
		s.lastDrift.Store(int64(d))
	}
	return time.Duration(s.total.Load())
}

// systemSuspension returns how far the clock that includes suspensions is ahead of the
// one that does not, or zero if the system lacks these clocks.
func systemSuspension() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
