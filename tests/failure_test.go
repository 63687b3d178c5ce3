package tests

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/internal/local"
	"amberway/internal/standin"
	"amberway/peers"
)

// runLoadDuring sends a load and calls f while it runs.
func runLoadDuring(t *testing.T, d *local.Deployment, count int, f func()) standin.LoadReport {
	t.Helper()
	c := make(chan standin.LoadReport, 1)
	go func() { c <- standin.NewCaller().Run(t.Context(), load(d, count)) }()
	time.Sleep(300 * time.Millisecond)
	f()
	return <-c
}

func TestPlannedStopLosesNothing(t *testing.T) {
	d := startDeployment(t)
	s := runLoadDuring(t, d, 400, func() {
		require.NoError(t, d.Entries[1].Signal(syscall.SIGTERM))
		code, err := d.Entries[1].Wait(10 * time.Second)
		require.NoError(t, err)
		require.Zero(t, code)
	})
	requireConsistentRuns(t, d, s)
	require.Equal(t, s.Sent, s.Answered, "%+v", s)
}

func TestKilledEntryHostCausesNoDuplicateRuns(t *testing.T) {
	d := startDeployment(t)
	s := runLoadDuring(t, d, 400, func() { d.Entries[1].Kill() })
	requireConsistentRuns(t, d, s)
	// The stand-in for callers does not retry a request whose connection broke.
	require.Less(t, s.Lost, 20, "%+v", s)
	require.Zero(t, s.Late)
}

func TestFrozenEntryHostCostsNoRequestAndRejoins(t *testing.T) {
	d := startDeployment(t)
	frozen := d.Entries[1]
	require.NoError(t, frozen.Signal(syscall.SIGSTOP))
	d.Entries = append(d.Entries[:1], d.Entries[2:]...)
	requireState(t, d, frozen.Name, peers.Dead, 8*time.Second)
	s := standin.NewCaller().Run(t.Context(), load(d, 200))
	requireConsistentRuns(t, d, s)
	require.Equal(t, s.Sent, s.Answered, "%+v", s)
	require.NoError(t, frozen.Signal(syscall.SIGCONT))
	d.Entries = append(d.Entries, frozen)
	requireState(t, d, frozen.Name, peers.Alive, 20*time.Second)
}

// TestFrozenShardOwnerBlocksNoClaim freezes one entry host and sends requests that may not be
// repeated through the others before these have noticed. Each entry host owns some of the
// shards in which the requests are claimed.
func TestFrozenShardOwnerBlocksNoClaim(t *testing.T) {
	d := startDeployment(t)
	frozen := d.Entries[1]
	require.NoError(t, frozen.Signal(syscall.SIGSTOP))
	d.Entries = append(d.Entries[:1], d.Entries[2:]...)
	s := standin.NewCaller().Run(t.Context(), standin.Load{
		Entries: d.URLs(), Count: 60, Interval: 10 * time.Millisecond,
		Requests: []standin.Request{{Path: "/tint/once", Timeout: 3 * time.Second, AtMostOnce: true, RunTime: 5 * time.Millisecond}},
	})
	requireConsistentRuns(t, d, s)
	require.Equal(t, s.Sent, s.Answered, "%+v", s)
	t.Logf("the longest answer took %s", s.MaxLatency.Round(time.Millisecond))
	require.NoError(t, frozen.Signal(syscall.SIGCONT))
	d.Entries = append(d.Entries, frozen)
}

// requireState requires that every entry host sees the member in the state before the timeout.
func requireState(t *testing.T, d *local.Deployment, name string, want peers.State, timeout time.Duration) {
	t.Helper()
	start := time.Now()
	require.Eventually(t, func() bool {
		for _, e := range d.Entries {
			s, err := e.Client().Status(t.Context())
			if err != nil || stateOf(s.Members, name) != want {
				return false
			}
		}
		return true
	}, timeout, 50*time.Millisecond)
	t.Logf("%s is %s everywhere after %s", name, want, time.Since(start).Round(time.Millisecond))
}

func stateOf(l []peers.Member, name string) peers.State {
	for _, m := range l {
		if m.Name == name {
			return m.State
		}
	}
	return peers.Left
}

func TestRequestsAreServedDuringPlatformOutage(t *testing.T) {
	d := startDeployment(t)
	require.NoError(t, d.SetPlatformFault(standin.All, standin.Fault{Down: true}))
	s := standin.NewCaller().Run(t.Context(), standin.Load{
		Entries: d.URLs(), Count: 100, Interval: 5 * time.Millisecond,
		Requests: []standin.Request{{Path: "/tint/quick", Timeout: 2 * time.Second}},
	})
	require.Equal(t, s.Sent, s.Answered, "%+v", s)
	s = standin.NewCaller().Run(t.Context(), standin.Load{
		Entries: d.URLs(), Count: 20, Interval: 5 * time.Millisecond,
		Requests: []standin.Request{{Path: "/tint/once", Timeout: 2 * time.Second, AtMostOnce: true}},
	})
	requireConsistentRuns(t, d, s)
	require.Zero(t, s.Lost, "%+v", s)
	require.Equal(t, s.Sent, s.MayHaveRun, "%+v", s)

	start := time.Now()
	key := http.Header{common.HeaderIdempotencyKey: {uuid.Must(uuid.NewV7()).String()}}
	res := post(t, d.Entries[0], "/tint/once", "x", key.Clone())
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.NotEmpty(t, res.Header.Get("Retry-After"))
	require.Less(t, time.Since(start), 4*time.Second, "an entry host answers as soon as it gives up on a request")
	requireIssuedIDRunsOnce(t, d)

	before, err := d.Stats()
	require.NoError(t, err)
	require.NoError(t, d.SetPlatformFault(standin.All, standin.Fault{}))
	require.Eventually(t, func() bool {
		s = standin.NewCaller().Run(t.Context(), load(d, 30))
		return s.Answered == s.Sent
	}, 10*time.Second, 100*time.Millisecond)
	requireConsistentRuns(t, d, s)
	res = post(t, d.Entries[1], "/tint/once", "x", key.Clone())
	require.Equal(t, "ran", res.Header.Get(common.HeaderVerdict), "a caller that retries with the same id")
	after, err := d.Stats()
	require.NoError(t, err)
	require.Less(t, after.Reads-before.Reads, int64(400), "too many reads after the outage")
}

func TestEntryHostStartedDuringOutageServes(t *testing.T) {
	d := startDeployment(t)
	require.NoError(t, d.SetPlatformFault(standin.All, standin.Fault{Down: true}))
	e := d.Entries[1]
	e.Kill()
	require.NoError(t, d.Launch(e))
	require.Eventually(t, func() bool {
		c, err := e.Client().Config(t.Context())
		return err == nil && c.Generation == 1
	}, 10*time.Second, 50*time.Millisecond)
	require.Eventually(t, func() bool {
		s := standin.NewCaller().Run(t.Context(), standin.Load{
			Entries: []string{e.URL()}, Count: 20, Interval: 5 * time.Millisecond,
			Requests: []standin.Request{{Path: "/tint/quick", Timeout: 2 * time.Second}},
		})
		return s.Answered == s.Sent
	}, 10*time.Second, 100*time.Millisecond)
}

func TestPartitionedDataCentreGetsConfigurationFromPeers(t *testing.T) {
	d := startDeployment(t)
	require.NoError(t, d.SetPlatformFault("south", standin.Fault{Down: true}))
	time.Sleep(300 * time.Millisecond)
	took, err := d.Apply(t.Context(), document(d, 0), 1)
	require.NoError(t, err)
	t.Logf("in force everywhere after %s", took.Round(time.Millisecond))
	require.Less(t, took, 4*time.Second)
	s := standin.NewCaller().Run(t.Context(), load(d, 60))
	requireConsistentRuns(t, d, s)
	require.Zero(t, s.Lost, "%+v", s)
}

func TestLostPlatformAnswersCauseNoDuplicateRuns(t *testing.T) {
	d := startDeployment(t)
	s := runLoadDuring(t, d, 400, func() {
		require.NoError(t, d.SetPlatformFault(standin.All, standin.Fault{LoseAnswers: true}))
		time.Sleep(700 * time.Millisecond)
		require.NoError(t, d.SetPlatformFault(standin.All, standin.Fault{}))
	})
	requireConsistentRuns(t, d, s)
	require.Zero(t, s.Lost, "%+v", s)
	require.Greater(t, s.Answered, s.Sent*9/10, "%+v", s)
}

func TestCopiesThroughAllEntryHostsRunOnce(t *testing.T) {
	d := startDeployment(t)
	const requests = 40
	answers := make(chan map[string]int, requests)
	for n := range requests {
		go func() { answers <- sendCopies(t, d, fmt.Sprint("body ", n)) }()
	}
	for range requests {
		got := <-answers
		require.Equal(t, 1, got["ran"], "%v", got)
		require.Zero(t, got["not-run"], "%v", got)
	}
	duplicates, err := d.DuplicateRuns()
	require.NoError(t, err)
	require.Empty(t, duplicates)
}

func TestFailingTargetFailsFewRequests(t *testing.T) {
	d := startDeployment(t)
	require.NoError(t, d.Targets[0].SetFault(standin.Fault{FailAll: true}))
	s := standin.NewCaller().Run(t.Context(), standin.Load{
		Entries: d.URLs(), Count: 400, Interval: 3 * time.Millisecond,
		Requests: []standin.Request{{Path: "/tint/quick", Timeout: 2 * time.Second}},
	})
	require.Greater(t, s.Answered, s.Sent*98/100, "%+v", s)
}
