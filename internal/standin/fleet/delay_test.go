package fleet

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDelayedRunOrderIsExecutedLate(t *testing.T) {
	f := New("spare", time.Second)
	t.Cleanup(f.Close)
	require.NoError(t, f.Add("blue", 1, Capacity{CPU: 1000}))
	w := f.machines[0].worker
	c := &http.Client{Transport: &http.Transport{}}
	require.Zero(t, f.DelayRunOrders(1, time.Second, nil), "there is only one worker")
	require.NoError(t, startTask(c, w, "a.0.0.0", time.Second))
	require.Equal(t, 1, f.DelayRunOrders(0, 200*time.Millisecond, func() time.Duration { return 300 * time.Millisecond }))
	start := time.Now()
	require.ErrorIs(t, startTask(c, w, "a.0.0.1", 100*time.Millisecond), context.DeadlineExceeded)
	require.False(t, f.Checker.IsRunning("a.0.0.1"))
	require.Eventually(t, func() bool { return f.Checker.IsRunning("a.0.0.1") }, time.Second, 5*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(start), 300*time.Millisecond)
	require.NoError(t, startTask(c, w, "a.0.0.2", time.Second), "orders are not delayed any more")
	late := map[string]bool{}
	for _, r := range f.Checker.RunsOfJob("a") {
		late[r.Task] = r.Delayed
	}
	require.Equal(t, map[string]bool{"a.0.0.0": false, "a.0.0.1": true, "a.0.0.2": false}, late)
	require.Len(t, f.Checker.DelayedStarts(), 1)
}
