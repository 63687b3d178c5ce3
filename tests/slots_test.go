package tests

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/local"
	"amberway/internal/standin"
)

// overload returns a load of requests that run for 50 ms each, more than two targets with eight
// slots each can run.
func overload(d *local.Deployment, count int) standin.Load {
	return standin.Load{
		Entries: d.URLs(), Count: count, Interval: 1560 * time.Microsecond,
		Requests: []standin.Request{{Path: "/tint/quick", Timeout: time.Second, RunTime: 50 * time.Millisecond}},
	}
}

// runsOverLimit returns how many runs were started on targets without a free slot, and how
// many in total.
func runsOverLimit(t *testing.T, d *local.Deployment) (over, all int) {
	t.Helper()
	for _, v := range d.Targets {
		r, err := v.Runs()
		require.NoError(t, err)
		over += r.OverLimit
		all += len(r.ByID)
	}
	return over, all
}

// startSlotDeployment starts three entry hosts and two targets.
func startSlotDeployment(t *testing.T) *local.Deployment {
	t.Helper()
	ctx := t.Context()
	d, err := local.Start(ctx, binaries, t.TempDir(), local.Options{
		DataCentres: []string{"north"}, Entries: 3, Targets: map[string]int{"tint": 2}, RackSize: 1,
	})
	t.Cleanup(d.Stop)
	require.NoError(t, err)
	_, err = d.Apply(ctx, document(d, 0), 0)
	require.NoError(t, err)
	require.NoError(t, d.WaitHosts(ctx, 10*time.Second, 2, inService))
	require.NoError(t, d.WaitReady())
	return d
}

// TestSlotsAreSharedWithoutBeingExceeded sends more load than the targets can run through three
// entry hosts, and then kills one of them and restarts it under load.
func TestSlotsAreSharedWithoutBeingExceeded(t *testing.T) {
	ctx := t.Context()
	d := startSlotDeployment(t)
	s := standin.NewCaller().Run(ctx, overload(d, 2000))
	over, all := runsOverLimit(t, d)
	t.Logf("overload: %d of %d runs started without a free slot; %d of %d answered in time, max latency %s",
		over, all, s.Answered, s.Sent, s.MaxLatency)
	require.Zero(t, over)
	require.Zero(t, s.Lost, "%+v", s)

	e := d.Entries[2]
	c := make(chan standin.LoadReport, 1)
	go func() { c <- standin.NewCaller().Run(ctx, overload(d, 6000)) }()
	time.Sleep(time.Second)
	e.Kill()
	time.Sleep(5 * time.Second)
	require.NoError(t, d.Launch(e))
	s = <-c
	over, allAfter := runsOverLimit(t, d)
	t.Logf("kill and restart: %d of %d runs started without a free slot", over, allAfter-all)
	require.Less(t, over, (allAfter-all)/100)

	require.NoError(t, e.Signal(syscall.SIGTERM))
	_, err := e.Wait(5 * time.Second)
	require.NoError(t, err)
}

// TestPausedEntryHostKeepsItsSlotShare pauses one of three entry hosts under more load than the
// targets can run, for longer than the others need to consider it dead, and then resumes it.
func TestPausedEntryHostKeepsItsSlotShare(t *testing.T) {
	d := startSlotDeployment(t)
	e := d.Entries[2]
	c := make(chan standin.LoadReport, 1)
	go func() { c <- standin.NewCaller().Run(t.Context(), overload(d, 6000)) }()
	time.Sleep(time.Second)
	require.NoError(t, e.Signal(syscall.SIGSTOP))
	time.Sleep(5 * time.Second)
	require.NoError(t, e.Signal(syscall.SIGCONT))
	<-c
	over, all := runsOverLimit(t, d)
	t.Logf("pause: %d of %d runs started without a free slot", over, all)
	require.Zero(t, over)
}
