package request

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/loopback"
)

func TestConnectionThatWaitsLongestIsClosedFirst(t *testing.T) {
	early, late := time.Unix(1, 0), time.Unix(2, 0)
	for name, v := range map[string]struct {
		want  string
		waits map[string]clientWait
	}{
		"nothing is open":             {"", nil},
		"none that does not wait":     {"", map[string]clientWait{"a": {closeNever, early}}},
		"the oldest":                  {"a", map[string]clientWait{"a": {closeOverdue, early}, "b": {closeOverdue, late}}},
		"an overdue one":              {"b", map[string]clientWait{"a": {closeAnnounced, early}, "b": {closeOverdue, late}}},
		"one that was announced":      {"a", map[string]clientWait{"a": {closeAnnounced, late}, "b": {closeNever, early}}},
		"one whose request was given": {"b", map[string]clientWait{"a": {closeOverdue, early}, "b": {closeAtOnce, late}}},
	} {
		t.Run(name, func(t *testing.T) {
			got, found := chooseClosed(maps.All(v.waits))
			require.Equal(t, v.want, got)
			require.Equal(t, v.want != "", found)
		})
	}
}

// crowdedLimits allow few connections.
var crowdedLimits = Limits{Bytes: 64 << 20, Conns: 10}

// TestCrowdLeavesRoomForOthers guards against clients whose connections keep all others out.
func TestCrowdLeavesRoomForOthers(t *testing.T) {
	for name, sent := range map[string]string{
		"that sends nothing":         "",
		"that begins a request":      "GET / HTTP/1.1\r\n",
		"that does not end bodies":   "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 10\r\n\r\nx",
		"that does not read answers": strings.Repeat("GET / HTTP/1.1\r\nHost: entry\r\n\r\n", 400),
	} {
		t.Run(name, func(t *testing.T) {
			c, l := startLimitedServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					fmt.Fprint(w, strings.Repeat("x", 64<<10))
					return
				}
				echo(w, r)
			}, crowdedLimits)
			for range 4 * crowdedLimits.Conns {
				k := dialRaw(t, l)
				go func() { _, _ = io.WriteString(k, sent) }()
			}
			k := dialRaw(t, l)
			require.NoError(t, k.ask("ordinary"))
			require.LessOrEqual(t, c.Counts().OpenConns, crowdedLimits.Conns)
		})
	}
}

// TestRequestsInProgressAreNotClosedToMakeRoom guards against a request whose answer is cut off
// for another connection.
func TestRequestsInProgressAreNotClosedToMakeRoom(t *testing.T) {
	answer := make(chan struct{})
	c, l := startLimitedServer(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		<-answer
		_, _ = w.Write(b)
	}, crowdedLimits)
	busy := make([]*rawConn, crowdedLimits.Conns)
	for i := range busy {
		busy[i] = dialRaw(t, l)
		require.NoError(t, busy[i].send("busy"))
	}
	require.Eventually(t, func() bool { return c.Counts().OpenConns == len(busy) }, 10*time.Second, time.Millisecond)
	late := dialRaw(t, l)
	require.NoError(t, late.send("late"))
	time.Sleep(2 * answerGrace)
	require.Equal(t, len(busy), c.Counts().OpenConns)
	close(answer)
	for _, k := range busy {
		_, err := k.answer("busy")
		require.NoError(t, err)
	}
	_, err := late.answer("late")
	require.NoError(t, err)
}

// TestPipelinedRequestIsServedAlthoughItsConnectionIsToClose guards against a request that has
// been read together with the one before, and is lost to the close of its connection.
func TestPipelinedRequestIsServedAlthoughItsConnectionIsToClose(t *testing.T) {
	host, caller := acceptedPair(t)
	_, idle := host.closeIfIdle(time.Now())
	require.True(t, idle)
	require.NoError(t, host.SetReadDeadline(time.Time{}))
	time.AfterFunc(50*time.Millisecond, func() { _, _ = caller.Write([]byte("next")) })
	requireRead(t, host, "next")
	require.EqualValues(t, 1, host.conns.servedLate.Load())
}

// TestIdleConnectionsAreUsedBesideACrowd guards against idle connections that are closed within
// the announced timeout although unfinished requests could be given up.
func TestIdleConnectionsAreUsedBesideACrowd(t *testing.T) {
	_, l := startLimitedServer(t, echo, crowdedLimits)
	k := dialRaw(t, l)
	require.NoError(t, k.ask("before"))
	for range 4 * crowdedLimits.Conns {
		_, err := io.WriteString(dialRaw(t, l), "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 10\r\n\r\nx")
		require.NoError(t, err)
	}
	require.NoError(t, dialRaw(t, l).ask("ordinary"))
	require.NoError(t, k.ask("after"))
}

// TestKernelKeepsLittleOfAConnection guards against bytes that clients leave to the kernel.
func TestKernelKeepsLittleOfAConnection(t *testing.T) {
	l, err := ListenForCallers(t.Context(), netip.AddrPortFrom(loopback.RandomAddr(), 0))
	require.NoError(t, err)
	defer l.Close()
	dialRaw(t, l)
	c, err := l.AcceptTCP()
	require.NoError(t, err)
	defer c.Close()
	r, err := c.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, r.Control(func(fd uintptr) {
		for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
			n, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, option)
			require.NoError(t, err)
			require.LessOrEqual(t, n, 2*KernelBuffer)
		}
	}))
}
