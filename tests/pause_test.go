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

// TestPausedEntryHostDoesNotActOnStaleState freezes an entry host while a
// request that may not be repeated waits for its claim, lets its deadline pass,
// and has a copy run elsewhere.
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
	heard := []string{<-first, second.Header.Get(common.HeaderVerdict)}
	runs, err := d.RunsByID()
	require.NoError(t, err)
	t.Logf("heard %v, ran %d times", heard, runs[id])
	require.LessOrEqual(t, runs[id], 1)
	if runs[id] == 1 {
		require.NotContains(t, heard, "not-run")
	}
	require.NotEqual(t, "ran", heard[0], "its deadline had passed")
}
