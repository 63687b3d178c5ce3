// Package loopback provides loopback addresses for tests that run in parallel with tests of
// other processes.
package loopback

import (
	"math/rand/v2"
	"net/netip"
)

// RandomAddr returns a random address from 127.0.0.0/8, on which no server of another process
// is expected to listen. On a shared address such as 127.0.0.1, another process could take the
// port of a server that has stopped, while callers still use it or before the server is
// started again.
func RandomAddr() netip.Addr {
	n := rand.Uint32()
	return netip.AddrFrom4([4]byte{127, byte(n>>16) | 1, byte(n >> 8), byte(n) | 1})
}
