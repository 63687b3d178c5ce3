package commands

import (
	"runtime/debug"

	"amberway/request"
)

const (
	// defaultMemoryMB is assumed if the settings do not say what the daemon may take.
	defaultMemoryMB = 284
	// maxSoftMemoryLimit and softMemoryShare bound the soft memory limit of the Go runtime:
	// the rest is for the program itself and for the kernel's buffers of connections.
	maxSoftMemoryLimit = 120 << 20
	softMemoryShare    = 0.43
	// callersMemoryShare and peersMemoryShare are the shares of the memory that requests
	// may hold.
	callersMemoryShare = 1. / 12
	peersMemoryShare   = 1. / 24
	// minRequestMemory is what requests may hold at least, so that the largest one has
	// room.
	minRequestMemory = 2 << 20
	// readyMemory is what the balancer's questions may hold.
	readyMemory = 1 << 20
)

// memoryBytes returns what the daemon may take of the host's memory.
func (s Settings) memoryBytes() float64 {
	if s.MemoryMB == 0 {
		return defaultMemoryMB << 20
	}
	return s.MemoryMB * (1 << 20)
}

// limitMemory sets the soft memory limit of the Go runtime.
func (s Settings) limitMemory() {
	debug.SetMemoryLimit(min(maxSoftMemoryLimit, int64(softMemoryShare*s.memoryBytes())))
}

// callerLimits returns the limits of the callers' listener. A request of the largest size
// always has room.
func (s Settings) callerLimits(largest int64) request.Limits {
	return request.Limits{Bytes: max(largest+minRequestMemory, int64(callersMemoryShare*s.memoryBytes()))}
}

// peerLimits returns the limits of the listener for other entry hosts, or for operators.
func (s Settings) peerLimits(largest int64) request.Limits {
	return request.Limits{Bytes: max(largest+minRequestMemory, int64(peersMemoryShare*s.memoryBytes()))}
}

// readyLimits returns the limits of the listener for readiness.
func (s Settings) readyLimits() request.Limits {
	return request.Limits{Bytes: readyMemory}
}
