package commands

import (
	"testing"

	"github.com/stretchr/testify/require"

	"amberway/request"
)

// TestLimitsLeaveRoomOnSmallHosts guards against limits whose sum is more than a host has.
func TestLimitsLeaveRoomOnSmallHosts(t *testing.T) {
	for _, memoryMB := range []float64{64, 96, 184, 284, 1048} {
		s := Settings{MemoryMB: memoryMB}
		listeners := []request.Limits{s.callerLimits(0), s.peerLimits(), s.readyLimits()}
		var held, conns int
		for _, l := range listeners {
			held += int(l.Bytes)
			conns += l.Conns
		}
		require.Less(t, float64(held+conns*connBytes), 0.5*s.memoryBytes(), "%g MB", memoryMB)
		require.Less(t, conns, descriptors()*2/3, "%g MB", memoryMB)
	}
}

// TestFullBuffersOfTheKernelLeaveRoomForTheProgram guards against limits whose connections take more
// of the kernel than a host has, if clients fill both buffers of each.
func TestFullBuffersOfTheKernelLeaveRoomForTheProgram(t *testing.T) {
	const programBytes = 15 << 20
	for _, memoryMB := range []float64{184, 284, 1048} {
		s := Settings{MemoryMB: memoryMB}
		conns := s.callerLimits(0).Conns + s.peerLimits().Conns + s.readyLimits().Conns
		soft := min(maxSoftMemoryLimit, softMemoryShare*s.memoryBytes())
		require.Less(t, soft+float64(conns*2*kernelBytes)+programBytes, s.memoryBytes(), "%g MB", memoryMB)
	}
}

// TestLimitsDoNotMeetOrdinaryClients guards against limits below what callers are promised: the
// pages' bodies of 262,144 bytes from dozens of callers at once.
func TestLimitsDoNotMeetOrdinaryClients(t *testing.T) {
	s := Settings{MemoryMB: 184}
	require.Greater(t, s.callerLimits(0).Bytes, int64(50*262144))
	require.Greater(t, request.MaxHeaderBytes, 16384)
	require.Greater(t, Settings{MemoryMB: 64}.callerLimits(request.MaxBody).Bytes, int64(request.MaxBody))
	require.Equal(t, Settings{MemoryMB: defaultMemoryMB}.callerLimits(0), Settings{}.callerLimits(0))
}
