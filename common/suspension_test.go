package common

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// hostClocks are the clocks of a host as a SuspensionTracker reads them.
type hostClocks struct {
	drift, systemTotal time.Duration
	reads              int
}

func newHostClocks() (*hostClocks, *SuspensionTracker) {
	h := &hostClocks{systemTotal: 10 * time.Minute}
	return h, newSuspensionTracker(func() time.Duration { return h.drift }, func() time.Duration {
		h.reads++
		return h.systemTotal
	})
}

func TestSuspensionIsCountedFromStart(t *testing.T) {
	h, s := newHostClocks()
	require.Zero(t, s.Total())
	h.drift += 4 * time.Second
	h.systemTotal += 4 * time.Second
	require.Equal(t, 4*time.Second, s.Total())
	h.drift += 2 * time.Second
	h.systemTotal += 2 * time.Second
	require.Equal(t, 6*time.Second, s.Total())
}

// A step of the wall clock looks like a suspension until the kernel is asked, which is done
// once only.
func TestClockStepIsNoSuspension(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second} {
		h, s := newHostClocks()
		h.drift += step
		require.Zero(t, s.Total())
		before := h.reads
		require.Zero(t, s.Total())
		require.Equal(t, before, h.reads)
	}
}

func TestRunningHostIsNotSuspended(t *testing.T) {
	s := NewSuspensionTracker()
	require.Zero(t, s.Total())
	s.lastDrift.Store(int64(time.Hour))
	require.Less(t, s.Total().Abs(), 10*time.Millisecond, "the kernel reports no suspension")
}
