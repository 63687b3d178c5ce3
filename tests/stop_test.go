package tests

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/local"
	"amberway/internal/standin/fleet"
)

// keepAliveConn is a caller's keep-alive connection to an entry host.
type keepAliveConn struct {
	*local.KeepAliveConn
}

func dialKeepAlive(t *testing.T, addr netip.AddrPort) *keepAliveConn {
	t.Helper()
	k, err := local.DialKeepAlive(addr, time.Now().Add(20*time.Second))
	require.NoError(t, err)
	t.Cleanup(func() { _ = k.Close() })
	return &keepAliveConn{k}
}

// postQuick sends a request for a quick job and checks its answer.
func (k *keepAliveConn) postQuick() error {
	return k.send("POST /tint/quick HTTP/1.1\r\nHost: entry\r\nContent-Length: 4\r\n\r\nbody", "/tint/quick ")
}

// send sends a request and checks that the answer is a success whose body has the prefix.
func (k *keepAliveConn) send(request, prefix string) error {
	a, err := k.RoundTrip(request)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK || !strings.HasPrefix(a.Body, prefix) {
		return fmt.Errorf("status %d: %s", a.Status, a.Body)
	}
	return nil
}

// TestPlannedStopServesKeepAliveConnections sends a request on one idle connection after the
// other, from the stop signal until well after the balancer has taken the host out. Each has to
// be answered.
func TestPlannedStopServesKeepAliveConnections(t *testing.T) {
	d := startDeployment(t)
	e := d.Entries[1]
	var l []*keepAliveConn
	for range 60 {
		k := dialKeepAlive(t, e.Callers)
		require.NoError(t, k.postQuick())
		l = append(l, k)
	}
	require.NoError(t, e.Signal(syscall.SIGTERM))
	for i, k := range l {
		time.Sleep(20 * time.Millisecond)
		require.NoError(t, k.postQuick(), "connection %d", i)
	}
	code, err := e.Wait(10 * time.Second)
	require.NoError(t, err)
	require.Zero(t, code)
}

// TestPlannedStopOfStalledHostLosesNothing guards against lost requests when the stopping
// process is repeatedly not scheduled for a while: when it resumes, its timeouts have expired,
// but requests that arrived in the meantime are still unread.
func TestPlannedStopOfStalledHostLosesNothing(t *testing.T) {
	d := startDeployment(t)
	e := d.Entries[1]
	s := runLoadDuring(t, d, 400, func() {
		require.NoError(t, e.Signal(syscall.SIGTERM))
		for range 4 {
			time.Sleep(150 * time.Millisecond)
			require.NoError(t, e.Signal(syscall.SIGSTOP))
			time.Sleep(300 * time.Millisecond)
			require.NoError(t, e.Signal(syscall.SIGCONT))
		}
		code, err := e.Wait(10 * time.Second)
		require.NoError(t, err)
		require.Zero(t, code)
	})
	requireConsistentRuns(t, d, s)
	require.Equal(t, s.Sent, s.Answered, "%+v", s)
}

// TestPlannedStopOfJobsHostServesKeepAliveConnections is
// TestPlannedStopServesKeepAliveConnections for an entry host that serves jobs.
func TestPlannedStopOfJobsHostServesKeepAliveConnections(t *testing.T) {
	j := startJobs(t)
	e := j.Entries[1]
	request := fmt.Sprintf("GET %sblue/ HTTP/1.1\r\nHost: %s\r\n\r\n", fleet.QueuePrefix, fleet.JobsHost)
	var l []*keepAliveConn
	for range 40 {
		k := dialKeepAlive(t, e.Callers)
		require.NoError(t, k.send(request, "{"))
		l = append(l, k)
	}
	require.NoError(t, e.Signal(syscall.SIGTERM))
	for i, k := range l {
		time.Sleep(20 * time.Millisecond)
		require.NoError(t, k.send(request, "{"), "connection %d", i)
	}
	code, err := e.Wait(10 * time.Second)
	require.NoError(t, err)
	require.Zero(t, code)
}

// TestPlannedStopAnswersIdleOperatorConnections guards against a stop that resets a keep-alive
// connection with an operator's call, which leaves it unknown whether the call was executed.
func TestPlannedStopAnswersIdleOperatorConnections(t *testing.T) {
	e := startDeployment(t).Entries[1]
	requireStopAnswersIdleConnection(t, e.Process, e.Admin, "/healthz", "alive")
}

// TestPlannedStopAnswersIdlePeerConnections guards against a call between entry hosts that is
// lost because the stopping one has closed the keep-alive connection. Such calls occur: a host
// that does not know the next owner yet calls the one that stops.
func TestPlannedStopAnswersIdlePeerConnections(t *testing.T) {
	e := startJobs(t).Entries[1]
	requireStopAnswersIdleConnection(t, e.Process, e.Peers, "/metrics", "#")
}

// requireStopAnswersIdleConnection requires that a stopping process answers on a connection
// that has been idle for longer than a stop without open connections takes.
func requireStopAnswersIdleConnection(t *testing.T, p *local.Process, addr netip.AddrPort, path, prefix string) {
	t.Helper()
	k := dialKeepAlive(t, addr)
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: entry\r\n\r\n", path)
	require.NoError(t, k.send(request, prefix))
	require.NoError(t, p.Signal(syscall.SIGTERM))
	time.Sleep(1200 * time.Millisecond)
	require.NoError(t, k.send(request, prefix))
	code, err := p.Wait(10 * time.Second)
	require.NoError(t, err)
	require.Zero(t, code)
}

// TestRestartedEntryHostFindsItsAddressFree guards against deployments of other processes that
// take the port of an entry host while it is down: its callers then reach the other deployment
// and get answers about jobs that are not theirs, and the entry host cannot start again.
func TestRestartedEntryHostFindsItsAddressFree(t *testing.T) {
	j := startJobs(t)
	e := j.Entries[1]
	e.Kill()
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", e.Callers.Port()))
	require.NoError(t, err)
	defer l.Close()
	require.NoError(t, j.Launch(e))
	require.Eventually(t, e.Ready, waitTimeout, pollInterval)
}
