package common

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Calls that go out at once again use the connections of those before, up to the
// bound.
func TestExchangeKeepsTheConnectionsOfABurst(t *testing.T) {
	const burst = 12
	var opened atomic.Int64
	var arrived sync.WaitGroup
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Done()
		arrived.Wait()
		w.WriteHeader(http.StatusOK)
	}))
	s.Config.ConnState = func(_ net.Conn, c http.ConnState) {
		if c == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	at := netip.MustParseAddrPort(s.Listener.Addr().String())
	x := NewExchange(Limits{PerAddress: burst, Total: burst})
	for range 3 {
		arrived.Add(burst)
		var done sync.WaitGroup
		for range burst {
			done.Go(func() {
				r, err := x.Call(context.Background(), Request{Method: http.MethodPost, At: at, Path: "/"})
				if err != nil || r.Status != http.StatusOK {
					t.Errorf("status %d, %v", r.Status, err)
				}
			})
		}
		done.Wait()
	}
	require.LessOrEqual(t, opened.Load(), int64(burst+2), "a connection may be put back just after the next call")
}
