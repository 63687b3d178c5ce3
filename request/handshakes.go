package request

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// A caller's connection is set up for the caller once the kernel has answered, one packet
// before it is for the host: what closes its listener in between resets a connection that
// may carry a request. So new connections are kept out first and those half set up are
// waited for.

// Times of keeping connections out.
const (
	// halfOpenPollInterval is how long a packet that had passed before connections were kept out
	// may take to be seen as one half set up, which is a few microseconds on a processor
	// that runs, and the pause between two looks.
	halfOpenPollInterval = 5 * time.Millisecond
	// handshakeTimeout bounds the wait for connections half set up. The kernel repeats its
	// answer after a second, so that one packet may be lost each way; a caller that has gone
	// would hold the stop up for a minute.
	handshakeTimeout = 1500 * time.Millisecond
	// unobservableWait is the wait where the kernel does not show connections half set up: a
	// caller repeats its request after 200 ms where nothing came back.
	unobservableWait = 300 * time.Millisecond
	// halfOpenPolls is how many looks in a row have to find none.
	halfOpenPolls = 2
)

// Places in a TCP header and flags of it (RFC 9293, section 3.1).
const (
	tcpFlagsOffset = 13
	tcpSYN         = 0x02
	tcpACK         = 0x10
)

// wholePacket lets a filter keep all of a packet.
const wholePacket = 1 << 16

// dropNewConnections is a filter that drops what asks for a new connection, and lets all
// else pass, which completes connections and carries requests. A caller repeats what was
// dropped a second later and is refused then, before it has sent anything.
var dropNewConnections = []bpf.Instruction{
	bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
	bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: tcpSYN | tcpACK},
	bpf.JumpIf{Cond: bpf.JumpEqual, Val: tcpSYN, SkipFalse: 1},
	bpf.RetConstant{Val: 0},
	bpf.RetConstant{Val: wholePacket},
}

// attachFilter puts the filter before what the socket receives, in place of an earlier one.
func attachFilter(socket int, filter []bpf.Instruction) error {
	l, err := bpf.Assemble(filter)
	if err != nil {
		return err
	}
	p := make([]unix.SockFilter, 0, len(l))
	for _, i := range l {
		p = append(p, unix.SockFilter{Code: i.Op, Jt: i.Jt, Jf: i.Jf, K: i.K})
	}
	return unix.SetsockoptSockFprog(socket, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(p)), Filter: &p[0]})
}

// HandshakeReport says what a listener's close found. Together with the errors that callers had
// it tells a connection that was lost half set up from one that waited to be accepted.
type HandshakeReport struct {
	// MaxHalfOpen is the most that were half set up at once, Left how many were given up.
	MaxHalfOpen, HalfOpen int
	// AwaitedAccept is how many waited to be accepted in the last look.
	AwaitedAccept int
	// BlockedAt is from when on new connections were kept out, ClosedAt when the listener
	// was closed.
	BlockedAt, ClosedAt time.Time
	// Err says why new connections were not kept out or those half set up not seen.
	Err error
}

// awaitHandshakes returns once no connection to the listening address is half set up, or
// after handshakeWithin. New ones have to be kept out.
func awaitHandshakes(at netip.AddrPort) HandshakeReport {
	var h HandshakeReport
	end := time.Now().Add(handshakeTimeout)
	for none := 0; none < halfOpenPolls && time.Now().Before(end); {
		time.Sleep(halfOpenPollInterval)
		h.HalfOpen, h.Err = halfOpen(at)
		if h.Err != nil {
			time.Sleep(unobservableWait)
			return h
		}
		h.MaxHalfOpen = max(h.MaxHalfOpen, h.HalfOpen)
		none++
		if h.HalfOpen > 0 {
			none = 0
		}
	}
	return h
}

// Tables of the kernel's connections, and what they hold in a row: the local address is
// the second field, the state the fourth.
const (
	tcpTable          = "/proc/net/tcp"
	tcp6Table         = "/proc/net/tcp6"
	localAddressField = 1
	stateField        = 3
	tcpSynReceived    = "03"
)

// halfOpen returns how many connections to the listening address are half set up, by the
// kernel's tables.
func halfOpen(at netip.AddrPort) (int, error) {
	four, err := os.ReadFile(tcpTable)
	if err != nil {
		return 0, err
	}
	six, err := os.ReadFile(tcp6Table)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	return countHalfOpen(string(four), at) + countHalfOpen(string(six), at), nil
}

// countHalfOpen counts them in one table. An address that listens for all is told by its
// port alone.
func countHalfOpen(table string, at netip.AddrPort) int {
	port := fmt.Sprintf(":%04X", at.Port())
	n := 0
	for row := range strings.Lines(table) {
		f := strings.Fields(row)
		if len(f) <= stateField || f[stateField] != tcpSynReceived {
			continue
		}
		host, found := strings.CutSuffix(f[localAddressField], port)
		if found && (at.Addr().IsUnspecified() || host == procHexAddress(at.Addr())) {
			n++
		}
	}
	return n
}

// procHexAddress returns an address as the tables have it on machines that keep the least byte
// first: words of four bytes, each turned round.
func procHexAddress(a netip.Addr) string {
	b := a.AsSlice()
	for w := 0; w+4 <= len(b); w += 4 {
		slices.Reverse(b[w : w+4])
	}
	return strings.ToUpper(hex.EncodeToString(b))
}
