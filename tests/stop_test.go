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

// keepAliveConn is a connection to an entry host that its caller keeps open.
type keepAliveConn struct {
	*local.KeepAliveConn
}

func dialKeepAlive(t *testing.T, at netip.AddrPort) *keepAliveConn {
	t.Helper()
	k, err := local.DialKeepAlive(at, time.Now().Add(20*time.Second))
	require.NoError(t, err)
	t.Cleanup(func() { _ = k.Close() })
	return &keepAliveConn{k}
}

// postQuick sends one request and reads its answer to the end.
func (k *keepAliveConn) postQuick() error {
	return k.send("POST /tint/quick HTTP/1.1\r\nHost: entry\r\nContent-Length: 4\r\n\r\nbody", "/tint/quick ")
}

// send sends a request and reads its answer, which has to begin with a text, to the end.
func (k *keepAliveConn) send(request, begins string) error {
	a, err := k.RoundTrip(request)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK || !strings.HasPrefix(a.Body, begins) {
		return fmt.Errorf("status %d: %s", a.Status, a.Body)
	}
	return nil
}

// TestPlannedStopServesKeepAliveConnections sends requests on connections that
// have been idle, one after the other, from the signal to stop on until well
// after the host has been taken out: each has to be answered.
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

// TestPlannedStopOfStalledHostLosesNothing guards against requests lost where the
// process that stops gets no time again and again: what it finds then has come long before,
// and its own waits are over.
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

// TestPlannedStopOfJobsHostServesKeepAliveConnections is the same for an entry host
// that serves jobs.
func TestPlannedStopOfJobsHostServesKeepAliveConnections(t *testing.T) {
	j := startJobs(t)
	e := j.Entries[1]
	waiting := fmt.Sprintf("GET %sblue/ HTTP/1.1\r\nHost: %s\r\n\r\n", fleet.QueuePrefix, fleet.JobsHost)
	var l []*keepAliveConn
	for range 40 {
		k := dialKeepAlive(t, e.Callers)
		require.NoError(t, k.send(waiting, "{"))
		l = append(l, k)
	}
	require.NoError(t, e.Signal(syscall.SIGTERM))
	for i, k := range l {
		time.Sleep(20 * time.Millisecond)
		require.NoError(t, k.send(waiting, "{"), "connection %d", i)
	}
	code, err := e.Wait(10 * time.Second)
	require.NoError(t, err)
	require.Zero(t, code)
}

// TestPlannedStopAnswersIdleOperatorConnections guards against an operator's call on a kept
// connection that is reset by the stop, so that nobody knows whether it was carried out.
func TestPlannedStopAnswersIdleOperatorConnections(t *testing.T) {
	e := startDeployment(t).Entries[1]
	requireStopAnswersIdleConnection(t, e.Process, e.Admin, "/healthz", "alive")
}

// TestPlannedStopAnswersIdlePeerConnections guards against a call between entry hosts
// that is lost since the stopping one has closed the kept connection it comes on: a host
// that has not heard of the next owner asks the one that stops.
func TestPlannedStopAnswersIdlePeerConnections(t *testing.T) {
	e := startJobs(t).Entries[1]
	requireStopAnswersIdleConnection(t, e.Process, e.Peers, "/metrics", "#")
}

// requireStopAnswersIdleConnection requires that a process that is told to stop answers on a
// connection that was idle for longer than the stop takes where nobody uses any.
func requireStopAnswersIdleConnection(t *testing.T, p *local.Process, at netip.AddrPort, path, begins string) {
	t.Helper()
	k := dialKeepAlive(t, at)
	call := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: entry\r\n\r\n", path)
	require.NoError(t, k.send(call, begins))
	require.NoError(t, p.Signal(syscall.SIGTERM))
	time.Sleep(1200 * time.Millisecond)
	require.NoError(t, k.send(call, begins))
	code, err := p.Wait(10 * time.Second)
	require.NoError(t, err)
	require.Zero(t, code)
}

// TestRestartedEntryHostFindsItsAddressFree guards against deployments of other
// processes that take the port of an entry host while it is down: its callers reached the
// other one, heard of jobs that were not theirs, and it could not start.
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
