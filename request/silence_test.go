package request

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/standin/proxy"
)

// TestSilentConnectionsToTargetCostOneDeadline checks that, of several silent connections
// to a target, only one makes a request wait until its deadline. An answer may take as
// long as the deadline allows, so only the deadline shows that a connection has gone
// silent; the next request must not use another such connection.
func TestSilentConnectionsToTargetCostOneDeadline(t *testing.T) {
	const conns = 4
	var together sync.WaitGroup
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			together.Done()
			together.Wait()
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	for name, w := range map[string]proxy.Direction{"both": proxy.Both, "answers": proxy.AnswersOnly} {
		t.Run(name, func(t *testing.T) {
			p, err := proxy.New(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
			require.NoError(t, err)
			t.Cleanup(p.Close)
			f := NewForwarder(conns)
			run := func(path string, within time.Duration) error {
				ctx, cancel := context.WithTimeout(t.Context(), within)
				defer cancel()
				_, err := f.Run(ctx, p.Address(), Call{Method: http.MethodGet, Path: path})
				return err
			}
			together.Add(conns)
			var done sync.WaitGroup
			for range conns {
				done.Go(func() {
					if err := run("/together", 5*time.Second); err != nil {
						t.Error(err)
					}
				})
			}
			done.Wait()
			require.Equal(t, conns, p.Silence(w))
			var a *AttemptError
			require.True(t, errors.As(run("/", 400*time.Millisecond), &a))
			require.True(t, a.Sent)
			for range conns {
				require.NoError(t, run("/", 400*time.Millisecond))
			}
		})
	}
}

// TestStreamingAnswerKeepsItsConnection checks that an answer which is still being read is
// not cut off when another connection to its target goes silent.
func TestStreamingAnswerKeepsItsConnection(t *testing.T) {
	more := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/never":
			<-r.Context().Done()
		case "/long":
			_, _ = w.Write(make([]byte, maxBufferedAnswer))
			_ = http.NewResponseController(w).Flush()
			<-more
			_, _ = w.Write([]byte("end"))
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	at := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	f := NewForwarder(2)
	_, err := f.Run(t.Context(), at, Call{Method: http.MethodGet, Path: "/"})
	require.NoError(t, err)
	long, err := f.Run(t.Context(), at, Call{Method: http.MethodGet, Path: "/long"})
	require.NoError(t, err)
	require.NotNil(t, long.Rest)
	_, err = f.Run(t.Context(), at, Call{Method: http.MethodGet, Path: "/"})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = f.Run(ctx, at, Call{Method: http.MethodGet, Path: "/never"})
	require.Error(t, err)
	close(more)
	b := make([]byte, 8)
	n, _ := long.Rest.Read(b)
	require.Equal(t, "end", string(b[:n]))
	require.NoError(t, long.Rest.Close())
}
