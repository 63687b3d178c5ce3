package common

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A burst of concurrent calls reuses the connections of the burst before, up to the limit.
func TestClientReusesConnectionsOfABurst(t *testing.T) {
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
	client := NewHTTPClient(Limits{MaxIdlePerAddress: burst, MaxIdle: burst})
	for range 3 {
		arrived.Add(burst)
		var done sync.WaitGroup
		for range burst {
			done.Go(func() {
				r, err := client.Call(context.Background(), Request{Method: http.MethodPost, Address: at, Path: "/"})
				if err != nil || r.Status != http.StatusOK {
					t.Errorf("status %d, %v", r.Status, err)
				}
			})
		}
		done.Wait()
	}
	require.LessOrEqual(t, opened.Load(), int64(burst+2), "a connection may return to the pool just after the next call")
}

// BenchmarkCall makes one call with a JSON body over a reused connection, with the client
// of net/http ("client") and with plainClient ("caller").
func BenchmarkCall(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, `{"clock_ms":482113}`)
	}))
	defer s.Close()
	h := NewHTTPClient(Limits{MaxIdlePerAddress: 1, MaxIdle: 1})
	q := Request{Method: http.MethodPost, Address: netip.MustParseAddrPort(s.Listener.Addr().String()), Path: "/run-start", Body: map[string]int{"run": 7}}
	clients := map[string]func(*attempt) error{
		"client": func(a *attempt) error {
			r, err := a.httpRequest(a.tracedContext())
			if err != nil {
				return err
			}
			res, err := h.encrypted.Do(r)
			if err != nil {
				return err
			}
			defer res.Body.Close()
			_, err = io.ReadAll(res.Body)
			return err
		},
		"caller": func(a *attempt) error {
			_, err := h.plain.call(a)
			return err
		},
	}
	for n, call := range clients {
		b.Run(n, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				a := newAttempt(ctx, h.conns, q)
				if err := call(a); err != nil {
					b.Fatal(err)
				}
				a.end()
				cancel()
			}
		})
	}
}

// The process crashed when a connection broke at the moment at which the call's context
// ended: the function that closes the connection then ran after the failed call had
// returned, and found no connection. Such a call must only return an error.
func TestCallThatFailsAsItsContextEndsReturnsAnError(t *testing.T) {
	var cancelCall context.CancelFunc
	conns := NewConnections(func(context.Context, string, string) (net.Conn, error) {
		return &failingConn{cancel: cancelCall}, nil
	})
	h := HTTPClient{plain: newPlainClient(conns, Limits{MaxIdlePerAddress: 1, MaxIdle: 1}), conns: conns}
	for range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		cancelCall = cancel
		_, err := h.Call(ctx, Request{Method: http.MethodGet, Address: netip.MustParseAddrPort("127.0.0.1:1"), Path: "/"})
		require.ErrorIs(t, err, ErrUnknownOutcome)
	}
}

// failingConn is a connection whose first write ends its call's context and fails.
type failingConn struct {
	net.Conn
	cancel context.CancelFunc
}

// Write implements io.Writer.
func (c *failingConn) Write([]byte) (int, error) {
	c.cancel()
	return 0, io.ErrClosedPipe
}

// Close does nothing.
func (c *failingConn) Close() error {
	return nil
}
