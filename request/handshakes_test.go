package request

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// procTCP is /proc/net/tcp with a listener on 127.0.0.1:8123, connections to it, and
// others.
const procTCP = `  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:1FBB 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 2072 1 00000000 100 0 0 10 0
   1: 0100007F:1FBB 0100007F:9432 03 00000000:00000000 01:000006F1 00000000     0        0 0 1 00000000
   2: 0100007F:1FBB 0100007F:9434 01 00000000:00000000 00:00000000 00000000     0        0 9 1 00000000 20 4 30 10 -1
   3: 0200007F:1FBB 0100007F:9436 03 00000000:00000000 01:000006F1 00000000     0        0 0 1 00000000
   4: 0100007F:1FBC 0100007F:9438 03 00000000:00000000 01:000006F1 00000000     0        0 0 1 00000000
`

const procTCP6 = `  sl  local_address                         remote_address                        st
   0: 00000000000000000000000001000000:1FBB 00000000000000000000000001000000:9432 03 00000000:00000000
   1: 0000000000000000FFFF00000100007F:1FBB 0000000000000000FFFF00000100007F:9432 03 00000000:00000000
`

func TestHalfOpenConnectionsAreCountedByAddress(t *testing.T) {
	for at, want := range map[string]int{"127.0.0.1:8123": 1, "127.0.0.2:8123": 1, "127.0.0.1:8124": 1, "127.0.0.1:8125": 0, "0.0.0.0:8123": 2} {
		require.Equal(t, want, countHalfOpen(procTCP, netip.MustParseAddrPort(at)), at)
	}
	for at, want := range map[string]int{"[::1]:8123": 1, "[::ffff:127.0.0.1]:8123": 1, "[::]:8123": 2, "[::2]:8123": 0} {
		require.Equal(t, want, countHalfOpen(procTCP6, netip.MustParseAddrPort(at)), at)
	}
	require.Zero(t, countHalfOpen("", netip.MustParseAddrPort("127.0.0.1:1")))
}
