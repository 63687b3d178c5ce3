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

// newSlowServer answers with some parts, a pause before each, and goes on for good if asked
// for more than there are.
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

// TestSlowAnswerThatMakesProgressIsNotSilent has an answer of 0.9 s whose parts come each 0.1 s, on
// a new connection and on a kept one: it may bring nothing for 0.4 s only.
func TestSlowAnswerThatMakesProgressIsNotSilent(t *testing.T) {
	x := NewHTTPClient(Limits{MaxIdlePerAddress: 2})
	q := Request{Method: http.MethodGet, Address: newSlowServer(t, 9, 100*time.Millisecond, false), Path: "/list", StallTimeout: 400 * time.Millisecond}
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		r, err := x.CallIdempotent(ctx, q, q)
		cancel()
		require.NoError(t, err)
		require.Len(t, r.Body, 36)
	}
}

// TestStalledAnswerFails has one that brings nothing more.
func TestStalledAnswerFails(t *testing.T) {
	x := NewHTTPClient(Limits{MaxIdlePerAddress: 2})
	q := Request{Method: http.MethodGet, Address: newSlowServer(t, 2, 10*time.Millisecond, true), Path: "/list", StallTimeout: 200 * time.Millisecond}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	begun := time.Now()
	_, err := x.CallIdempotent(ctx, q, q)
	require.ErrorIs(t, err, ErrUnknownOutcome)
	require.Less(t, time.Since(begun), 2*time.Second)
}

func TestTrafficIsCountedByKind(t *testing.T) {
	x := NewHTTPClient(Limits{MaxIdlePerAddress: 2})
	at := newSlowServer(t, 1, 0, false)
	for _, p := range []string{"/list?after=1", "/list?after=2", "/keep/7"} {
		_, err := x.Call(t.Context(), Request{Method: http.MethodGet, Address: at, Path: p})
		require.NoError(t, err)
	}
	c := x.Connections().Traffic().Counts()
	require.Equal(t, int64(2), c["list"].Calls)
	require.Equal(t, int64(1), c["keep"].Calls)
	require.Greater(t, c["list"].Received, 2*int64(len("part")))
	require.Greater(t, c["list"].Sent, int64(len("GET /list?after=1 HTTP/1.1")))
}
