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

// Calls that go out at once again use the connections of those before, up to the
// bound.
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
	x := NewHTTPClient(Limits{MaxIdlePerAddress: burst, MaxIdle: burst})
	for range 3 {
		arrived.Add(burst)
		var done sync.WaitGroup
		for range burst {
			done.Go(func() {
				r, err := x.Call(context.Background(), Request{Method: http.MethodPost, Address: at, Path: "/"})
				if err != nil || r.Status != http.StatusOK {
					t.Errorf("status %d, %v", r.Status, err)
				}
			})
		}
		done.Wait()
	}
	require.LessOrEqual(t, opened.Load(), int64(burst+2), "a connection may be put back just after the next call")
}

// BenchmarkCall is one call that orders something, over a kept connection, with the client
// of net/http and with the exchange's own caller.
func BenchmarkCall(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, `{"clock_ms":482113}`)
	}))
	defer s.Close()
	x := NewHTTPClient(Limits{MaxIdlePerAddress: 1, MaxIdle: 1})
	q := Request{Method: http.MethodPost, Address: netip.MustParseAddrPort(s.Listener.Addr().String()), Path: "/run-start", Body: map[string]int{"run": 7}}
	ways := map[string]func(*attempt) error{
		"client": func(a *attempt) error {
			r, err := a.httpRequest(a.tracedContext())
			if err != nil {
				return err
			}
			res, err := x.encrypted.Do(r)
			if err != nil {
				return err
			}
			defer res.Body.Close()
			_, err = io.ReadAll(res.Body)
			return err
		},
		"caller": func(a *attempt) error {
			_, err := x.plain.call(a)
			return err
		},
	}
	for n, call := range ways {
		b.Run(n, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				a := newAttempt(ctx, x.conns, q)
				if err := call(a); err != nil {
					b.Fatal(err)
				}
				a.end()
				cancel()
			}
		})
	}
}

// A whole check ended as the process did: a call's connection was broken off at the moment
// at which its context ended, and what was to close the connection found none, as the
// failed call had handed back nothing by then. Calls that both fail and end at once end
// with an error only.
func TestCallThatFailsAsItsContextEndsReturnsAnError(t *testing.T) {
	var end context.CancelFunc
	conns := NewConnections(func(context.Context, string, string) (net.Conn, error) {
		return &failingConn{cancel: end}, nil
	})
	x := HTTPClient{plain: newPlainClient(conns, Limits{MaxIdlePerAddress: 1, MaxIdle: 1}), conns: conns}
	for range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		end = cancel
		_, err := x.Call(ctx, Request{Method: http.MethodGet, Address: netip.MustParseAddrPort("127.0.0.1:1"), Path: "/"})
		require.ErrorIs(t, err, ErrUnknownOutcome)
	}
}

// failingConn is a connection that breaks at the first write, as its call's context ends.
type failingConn struct {
	net.Conn
	cancel context.CancelFunc
}

// Write ends the context and fails.
func (c *failingConn) Write([]byte) (int, error) {
	c.cancel()
	return 0, io.ErrClosedPipe
}

// Close does nothing.
func (c *failingConn) Close() error {
	return nil
}
