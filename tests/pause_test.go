package tests

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/internal/standin"
)

// TestPausedEntryHostDoesNotActOnStaleState freezes an entry host while a request that may not
// be repeated waits for its claim, and resumes it after the deadline, when a copy of the request
// has been sent through another entry host.
func TestPausedEntryHostDoesNotActOnStaleState(t *testing.T) {
	d := startDeployment(t)
	require.NoError(t, d.SetPlatformFault(standin.All, standin.Fault{DelayMs: 1500}))
	id := uuid.Must(uuid.NewV7()).String()
	h := http.Header{common.HeaderIdempotencyKey: {id}, common.HeaderDeadline: {time.Now().Add(3 * time.Second).Format(time.RFC3339Nano)}}
	first := make(chan string, 1)
	go func() {
		res := post(t, d.Entries[0], "/tint/once", "x", h.Clone())
		first <- res.Header.Get(common.HeaderVerdict)
	}()
	time.Sleep(700 * time.Millisecond)
	require.NoError(t, d.Entries[0].Signal(syscall.SIGSTOP))
	time.Sleep(4 * time.Second)
	require.NoError(t, d.SetPlatformFault(standin.All, standin.Fault{}))
	h.Del(common.HeaderDeadline)
	second := post(t, d.Entries[2], "/tint/once", "x", h)
	require.NoError(t, d.Entries[0].Signal(syscall.SIGCONT))
	verdicts := []string{<-first, second.Header.Get(common.HeaderVerdict)}
	runs, err := d.RunsByID()
	require.NoError(t, err)
	t.Logf("verdicts %v, ran %d times", verdicts, runs[id])
	require.LessOrEqual(t, runs[id], 1)
	if runs[id] == 1 {
		require.NotContains(t, verdicts, "not-run")
	}
	require.NotEqual(t, "ran", verdicts[0], "its deadline had passed")
}
