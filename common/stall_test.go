package common

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newSlowServer returns the address of a server that answers in parts, with a pause after
// each. With hang, it does not end the answer after them.
func newSlowServer(t *testing.T, parts int, pause time.Duration, hang bool) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range parts {
			_, _ = w.Write([]byte("part"))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
		if hang {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// An answer that takes 0.9 s, with a part every 0.1 s, is received whole with a
// StallTimeout of 0.4 s, on a new connection and on a reused one.
func TestSlowAnswerThatMakesProgressIsNotSilent(t *testing.T) {
	client := NewHTTPClient(Limits{MaxIdlePerAddress: 2})
	q := Request{Method: http.MethodGet, Address: newSlowServer(t, 9, 100*time.Millisecond, false), Path: "/list", StallTimeout: 400 * time.Millisecond}
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		r, err := client.CallIdempotent(ctx, q, q)
		cancel()
		require.NoError(t, err)
		require.Len(t, r.Body, 36)
	}
}

// An answer that stops halfway ends at the StallTimeout, long before the deadline.
func TestStalledAnswerFails(t *testing.T) {
	client := NewHTTPClient(Limits{MaxIdlePerAddress: 2})
	q := Request{Method: http.MethodGet, Address: newSlowServer(t, 2, 10*time.Millisecond, true), Path: "/list", StallTimeout: 200 * time.Millisecond}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	start := time.Now()
	_, err := client.CallIdempotent(ctx, q, q)
	require.ErrorIs(t, err, ErrUnknownOutcome)
	require.Less(t, time.Since(start), 2*time.Second)
}

func TestTrafficIsCountedByKind(t *testing.T) {
	client := NewHTTPClient(Limits{MaxIdlePerAddress: 2})
	at := newSlowServer(t, 1, 0, false)
	for _, p := range []string{"/list?after=1", "/list?after=2", "/keep/7"} {
		_, err := client.Call(t.Context(), Request{Method: http.MethodGet, Address: at, Path: p})
		require.NoError(t, err)
	}
	c := client.Connections().Traffic().Counts()
	require.Equal(t, int64(2), c["list"].Calls)
	require.Equal(t, int64(1), c["keep"].Calls)
	require.Greater(t, c["list"].Received, 2*int64(len("part")))
	require.Greater(t, c["list"].Sent, int64(len("GET /list?after=1 HTTP/1.1")))
}
