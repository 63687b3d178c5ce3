package common

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// hostClocks are what a Suspension reads of its host's clocks.
type hostClocks struct {
	drift, counted time.Duration
	asked          int
}

func newHostClocks() (*hostClocks, *Suspension) {
	h := &hostClocks{counted: 10 * time.Minute}
	return h, newSuspension(func() time.Duration { return h.drift }, func() time.Duration {
		h.asked++
		return h.counted
	})
}

func TestSuspensionIsCountedFromItsBeginning(t *testing.T) {
	h, s := newHostClocks()
	require.Zero(t, s.Total())
	h.drift += 4 * time.Second
	h.counted += 4 * time.Second
	require.Equal(t, 4*time.Second, s.Total())
	h.drift += 2 * time.Second
	h.counted += 2 * time.Second
	require.Equal(t, 6*time.Second, s.Total())
}

// A step of the time of day looks the same until the system is asked, which is done once.
func TestStepOfTheTimeOfDayIsNoSuspension(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second} {
		h, s := newHostClocks()
		h.drift += step
		require.Zero(t, s.Total())
		before := h.asked
		require.Zero(t, s.Total())
		require.Equal(t, before, h.asked)
	}
}

func TestHostThatRunsIsNotSuspended(t *testing.T) {
	s := NewSuspension()
	require.Zero(t, s.Total())
	s.seen.Store(int64(time.Hour))
	require.Less(t, s.Total().Abs(), 10*time.Millisecond, "the system says that there was none")
}
