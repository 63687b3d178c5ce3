// Package loopback gives the tests of one process addresses that others do not use.
package loopback

import (
	"math/rand/v2"
	"net/netip"
)

// RandomAddr returns an address of this machine on which no server of another process is
// expected to listen. On a shared one another process may take a port as soon as the one
// that had it has ended, while callers still go on using it or it is to start again.
func RandomAddr() netip.Addr {
	n := rand.Uint32()
	return netip.AddrFrom4([4]byte{127, byte(n>>16) | 1, byte(n >> 8), byte(n) | 1})
}
