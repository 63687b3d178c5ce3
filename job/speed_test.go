package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSlowHostIsDistinguishedFromAnInterruptedOne(t *testing.T) {
	s := newSpeedMonitor(time.Now)
	for range 10 {
		s.add(20 * time.Microsecond)
	}
	s.add(time.Millisecond)
	s.add(time.Millisecond)
	require.False(t, s.slow(), "two samples may have been interrupted")
	s.add(90 * time.Microsecond)
	require.True(t, s.slow())
	s.add(25 * time.Microsecond)
	require.False(t, s.slow())
	s.sample()
	require.Len(t, s.last, speedSamples)
}
