package commands

import (
	"math"
	"runtime/debug"
	"syscall"

	"amberway/admin"
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
	// connBytes is the memory of a connection without its request, and kernelBytes that of the
	// kernel's two buffers, which are seldom both full.
	connBytes   = 30 << 10
	kernelBytes = 2 * request.KernelBuffer
	// callersConnShare and peersConnShare are the shares of the memory that connections may
	// take.
	callersConnShare = 0.25
	peersConnShare   = 0.08
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// callersDescriptorDivisor and peersDescriptorDivisor divide the other descriptors. The
	// rest is for connections to the store, to workers and to other entry hosts.
	callersDescriptorDivisor, peersDescriptorDivisor = 3, 8
	// minConns is how many connections each listener takes at least, and readyConns and
	// operatorConns how many those of the balancer and of operators take.
	minConns                  = 32
	readyConns, operatorConns = 32, 64
)

// descriptors returns how many descriptors connections may take.
func descriptors() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	return int(min(l.Cur, math.MaxInt32)) - reservedDescriptors
}

// connLimit returns how many connections a listener takes.
func (s Settings) connLimit(memoryShare float64, descriptorDivisor int) int {
	return max(minConns, min(descriptors()/descriptorDivisor, int(memoryShare*s.memoryBytes()/(connBytes+kernelBytes))))
}

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
	return request.Limits{
		Bytes: max(largest+minRequestMemory, int64(callersMemoryShare*s.memoryBytes())),
		Conns: s.connLimit(callersConnShare, callersDescriptorDivisor),
	}
}

// peerLimits returns the limits of the listener for other entry hosts.
func (s Settings) peerLimits() request.Limits {
	return request.Limits{
		Bytes: max(minRequestMemory, int64(peersMemoryShare*s.memoryBytes())),
		Conns: s.connLimit(peersConnShare, peersDescriptorDivisor),
	}
}

// operatorLimits returns the limits of the operators' listener.
func (s Settings) operatorLimits() request.Limits {
	return request.Limits{Bytes: max(admin.MaxDocumentBytes+minRequestMemory, int64(peersMemoryShare*s.memoryBytes())), Conns: operatorConns}
}

// readyLimits returns the limits of the listener for readiness.
func (s Settings) readyLimits() request.Limits {
	return request.Limits{Bytes: readyMemory, Conns: readyConns}
}
