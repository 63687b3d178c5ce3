package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSlowHostIsToldFromAnInterruptedOne(t *testing.T) {
	s := newSpeedometer(time.Now)
	for range 10 {
		s.note(20 * time.Microsecond)
	}
	s.note(time.Millisecond)
	s.note(time.Millisecond)
	require.False(t, s.slow(), "two samples may have been interrupted")
	s.note(90 * time.Microsecond)
	require.True(t, s.slow())
	s.note(25 * time.Microsecond)
	require.False(t, s.slow())
	s.sample()
	require.Len(t, s.last, speedSamples)
}
