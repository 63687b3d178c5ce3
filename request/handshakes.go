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

// A TCP connection is established for the caller as soon as the host's kernel has
// answered, one packet before it is established for the host. Closing the listener in
// between resets a connection that may already carry a request. So new connections are
// blocked first, and then the half-open ones are waited for.

// Timing of the wait for half-open connections.
const (
	// halfOpenPollInterval is the pause before each poll. It leaves time for a packet
	// that arrived before new connections were blocked to show up as a half-open
	// connection, which takes a few microseconds on a processor that is running.
	halfOpenPollInterval = 5 * time.Millisecond
	// handshakeTimeout bounds the wait for half-open connections. The kernel repeats its
	// answer (SYN-ACK) after a second, so one lost packet each way is covered. Without
	// the bound, a caller that has gone would hold up the stop for a minute.
	handshakeTimeout = 1500 * time.Millisecond
	// unobservableWait is the wait if the kernel does not show half-open connections. A
	// caller repeats its request if it is not acknowledged within 200 ms.
	unobservableWait = 300 * time.Millisecond
	// halfOpenPolls is how many polls in a row must find no half-open connection.
	halfOpenPolls = 2
)

// Offset of the flags in a TCP header, and flags (RFC 9293, section 3.1).
const (
	tcpFlagsOffset = 13
	tcpSYN         = 0x02
	tcpACK         = 0x10
)

// wholePacket is a filter's result that keeps all of a packet.
const wholePacket = 1 << 16

// dropNewConnections is a filter that drops packets that ask for a new connection (SYN)
// and passes all others, which complete connections and carry requests. A caller repeats
// a dropped packet a second later and is refused then, before it has sent a request.
var dropNewConnections = []bpf.Instruction{
	bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
	bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: tcpSYN | tcpACK},
	bpf.JumpIf{Cond: bpf.JumpEqual, Val: tcpSYN, SkipFalse: 1},
	bpf.RetConstant{Val: 0},
	bpf.RetConstant{Val: wholePacket},
}

// attachFilter attaches the filter to the socket, replacing an earlier one.
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

// HandshakeReport describes the connections that a listener's close found. Together with
// the errors that callers saw, it distinguishes a connection that was lost half-open from
// one that waited to be accepted.
type HandshakeReport struct {
	// MaxHalfOpen is the most connections that were half-open at once, HalfOpen how many
	// were left when the wait ended.
	MaxHalfOpen, HalfOpen int
	// AwaitedAccept is how many connections waited to be accepted at the close.
	AwaitedAccept int
	// BlockedAt is when new connections were blocked, ClosedAt when the listener was
	// closed.
	BlockedAt, ClosedAt time.Time
	// Err says why new connections could not be blocked or half-open ones could not be
	// counted.
	Err error
}

// awaitHandshakes returns once no connection to the listening address is half-open, or
// after handshakeTimeout. New connections must be blocked already.
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

// The kernel's tables of connections, and their fields: the local address is the second,
// the state the fourth.
const (
	tcpTable          = "/proc/net/tcp"
	tcp6Table         = "/proc/net/tcp6"
	localAddressField = 1
	stateField        = 3
	tcpSynReceived    = "03"
)

// halfOpen returns how many connections to the listening address are half-open, according
// to the kernel's tables.
func halfOpen(at netip.AddrPort) (int, error) {
	v4, err := os.ReadFile(tcpTable)
	if err != nil {
		return 0, err
	}
	v6, err := os.ReadFile(tcp6Table)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	return countHalfOpen(string(v4), at) + countHalfOpen(string(v6), at), nil
}

// countHalfOpen counts the half-open connections to the address in one table. If the
// listener is on all addresses, only the port is compared.
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

// procHexAddress returns an address as the tables show it on little-endian machines:
// words of four bytes, each in reverse order.
func procHexAddress(a netip.Addr) string {
	b := a.AsSlice()
	for w := 0; w+4 <= len(b); w += 4 {
		slices.Reverse(b[w : w+4])
	}
	return strings.ToUpper(hex.EncodeToString(b))
}
