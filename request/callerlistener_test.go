package request

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/bpf"

	"amberway/internal/loopback"
)

// TestCloseOfTheListenerLosesNoConnection checks that connections which nobody has
// accepted when the listener is closed, as on a host that was stalled, are served with
// the requests that they carry.
func TestCloseOfTheListenerLosesNoConnection(t *testing.T) {
	l, err := ListenForCallers(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	var open []net.Conn
	for range 20 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: entry\r\n\r\n"))
		require.NoError(t, err)
		open = append(open, c)
	}
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, l.Close())
	s := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	for n, c := range open {
		require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		_, err := c.Read(make([]byte, 1))
		require.NoError(t, err, "connection %d", n)
	}
}

// TestCloseUnderNewConnections closes listeners while callers keep connecting. Each
// connection must be refused or served; without blocking new ones first, a connection
// that is established between the last accept and the close is lost. A blocked caller
// learns of it after a second, so several listeners are closed in parallel.
func TestCloseUnderNewConnections(t *testing.T) {
	requireCloseLosesNothing(t, closeLoad{listeners: 8, rounds: 25, callers: 2})
}

// closeLoad says how many listeners are closed in parallel, how often, and under how many
// callers each.
type closeLoad struct {
	listeners, rounds, callers int
}

// requireCloseLosesNothing fails the test if any close loses a connection.
func requireCloseLosesNothing(t *testing.T, c closeLoad) {
	t.Helper()
	var lost, losing atomic.Int64
	var g sync.WaitGroup
	for range c.listeners {
		g.Go(func() {
			for range c.rounds {
				n := lostByClose(t, c.callers)
				lost.Add(n)
				losing.Add(min(n, 1))
			}
		})
	}
	g.Wait()
	require.Zero(t, losing.Load(), "of %d closes, which lost %d connections", c.listeners*c.rounds, lost.Load())
}

// lostByClose closes a listener to which callers connect without a pause, and returns how
// many connections were reset.
func lostByClose(t *testing.T, callers int) int64 {
	t.Helper()
	return lostByCloseThen(t, callers, func(netip.AddrPort) {})
}

// lostByCloseThen does what lostByClose does, and calls next with the listener's
// address once it is closed.
func lostByCloseThen(t *testing.T, callers int, next func(netip.AddrPort)) int64 {
	t.Helper()
	l, err := ListenForCallers(t.Context(), netip.AddrPortFrom(loopback.RandomAddr(), 0))
	require.NoError(t, err)
	s := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	var g sync.WaitGroup
	var lost atomic.Int64
	for range callers {
		g.Go(func() {
			for askOnce(l.Addr().String(), &lost) {
			}
		})
	}
	time.Sleep(5 * time.Millisecond)
	require.NoError(t, l.Close())
	next(netip.MustParseAddrPort(l.Addr().String()))
	g.Wait()
	return lost.Load()
}

// TestCallersOfClosedListenerReachNoOtherServer guards against losses that are counted at
// another server. A caller whose connection request is dropped by the close repeats it a
// second later. If the kernel has given the port to another test's server by then, the
// callers go on with that server and count its resets as losses of the close. In CI, one
// of 200 closes seemed to have lost two connections for that reason. All lost connections
// had been opened 1.0 s to 28.9 s after the close, and in one case 247,762 connections
// were made to the other server.
//
// The other server is simulated by a listener that resets what it accepts.
func TestCallersOfClosedListenerReachNoOtherServer(t *testing.T) {
	require.Zero(t, lostByCloseThen(t, 2, func(closed netip.AddrPort) { resetOnce(t, closed.Port()) }))
}

// resetOnce listens on the port of the address that tests share, and resets the first
// connection to it.
func resetOnce(t *testing.T, port uint16) {
	t.Helper()
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)))
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.AcceptTCP()
		if err != nil {
			return
		}
		_ = c.SetLinger(0)
		_ = c.Close()
	}()
}

// askOnce sends a request on a new connection and counts it as lost if it is not
// answered. It returns false if the connection was refused.
func askOnce(address string, lost *atomic.Int64) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n")); err != nil {
		lost.Add(1)
	} else if _, err := c.Read(make([]byte, 1)); err != nil {
		lost.Add(1)
	}
	return true
}

// TestCloseWaitsForHalfOpenConnections guards against requests lost on half-open
// connections. A connection is established for its caller once the stopping host's kernel
// has answered, and the caller sends its request. If a processor is starved, the packet
// that completes the connection on the host's side is delayed: twelve callers had waited
// for up to 290 ms, nothing waited to be accepted yet, and closing the listener reset all
// twelve ("connection reset by peer").
//
// The packets are held up here by a filter, until the close replaces it with its own.
func TestCloseWaitsForHalfOpenConnections(t *testing.T) {
	const callers = 12
	l, err := ListenForCallers(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	holdUpHandshakes(t, l)
	s := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	var sent, done sync.WaitGroup
	var lost atomic.Int64
	for range callers {
		sent.Add(1)
		done.Go(func() { askAndSignal(l.Addr().String(), &sent, &lost) })
	}
	sent.Wait()
	require.NoError(t, l.Close())
	done.Wait()
	require.Zero(t, lost.Load(), "of %d requests", callers)
}

// holdUpHandshakes drops the packets that would complete the listener's connections: all
// that acknowledge and do not open one. Their senders repeat them.
func holdUpHandshakes(t *testing.T, l *CallerListener) {
	t.Helper()
	require.NoError(t, attachFilter(l.dupFD, []bpf.Instruction{
		bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: tcpSYN, SkipFalse: 1},
		bpf.RetConstant{Val: wholePacket},
		bpf.RetConstant{Val: 0},
	}))
}

// askAndSignal sends a request on a new connection, signals that it is sent, and counts it as
// lost if it is not answered.
func askAndSignal(address string, sent *sync.WaitGroup, lost *atomic.Int64) {
	c, err := net.Dial("tcp", address)
	if err == nil {
		defer c.Close()
		_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n"))
	}
	sent.Done()
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	if err != nil {
		lost.Add(1)
	}
}

// TestCloseUnderCallersOfManyHostsLosesNoConnection closes the listeners of three hosts
// at a time while eight callers of each keep connecting. When the listener was closed
// right after a last accept, 38 of 1,200 closes lost a connection that was established
// between the two.
func TestCloseUnderCallersOfManyHostsLosesNoConnection(t *testing.T) {
	requireCloseLosesNothing(t, closeLoad{listeners: 3, rounds: 30, callers: 8})
}
