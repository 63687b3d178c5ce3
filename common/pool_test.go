package common

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestConnectionIsNotUsedWhenItsServerMayCloseIt guards against a call that is lost on a
// reused connection because the server closes it at that moment, as its Keep-Alive header
// had announced.
func TestConnectionIsNotUsedWhenItsServerMayCloseIt(t *testing.T) {
	var opened atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Keep-Alive", "timeout=1")
	}))
	s.Config.ConnState = func(_ net.Conn, c http.ConnState) {
		if c == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	client := NewHTTPClient(Limits{MaxIdlePerAddress: 1})
	q := Request{Method: http.MethodPost, Address: netip.MustParseAddrPort(s.Listener.Addr().String()), Path: "/"}
	for _, pause := range []time.Duration{0, 0, maxRequestTransit + 200*time.Millisecond} {
		time.Sleep(pause)
		_, err := client.Call(t.Context(), q)
		require.NoError(t, err)
	}
	require.Equal(t, int64(2), opened.Load())
}

func TestKeepAliveHeaderLimitsReuse(t *testing.T) {
	for v, want := range map[string]time.Duration{
		"":                          idleTimeout,
		"timeout=3":                 3*time.Second - maxRequestTransit,
		"max=100, Timeout=5":        5*time.Second - maxRequestTransit,
		"timeout=0":                 0,
		"timeout=3600":              idleTimeout,
		"timeout=-1":                idleTimeout,
		"timeout=soon":              idleTimeout,
		"timeout":                   idleTimeout,
		"timeout=99999999999999999": idleTimeout,
	} {
		require.Equal(t, want, reuseTimeout(http.Header{"Keep-Alive": {v}}), v)
	}
}
