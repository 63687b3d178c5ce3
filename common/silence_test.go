package common

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/standin/proxy"
)

// silentFixture is a client with idle connections to a server, through a proxy that can
// silence them.
type silentFixture struct {
	*proxy.Proxy
	client HTTPClient
	calls  atomic.Int64
	// together is how many calls the server waits for before it answers any.
	together sync.WaitGroup
}

func newSilentFixture(t *testing.T, conns int) *silentFixture {
	f := &silentFixture{client: NewHTTPClient(Limits{MaxIdlePerAddress: conns, MaxIdle: conns})}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.calls.Add(1)
		switch r.URL.Path {
		case "/together":
			f.together.Done()
			f.together.Wait()
		case "/never":
			<-r.Context().Done()
		case "/stream":
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(s.CloseClientConnections)
	var err error
	f.Proxy, err = proxy.New(netip.MustParseAddrPort(s.Listener.Addr().String()))
	require.NoError(t, err)
	t.Cleanup(f.Close)
	f.together.Add(conns)
	var done sync.WaitGroup
	for range conns {
		done.Go(func() {
			if _, err := f.client.Call(t.Context(), f.request("/together")); err != nil {
				t.Error(err)
			}
		})
	}
	done.Wait()
	return f
}

func (f *silentFixture) request(path string) Request {
	return Request{Method: http.MethodGet, Address: f.Address(), Path: path}
}

func eachDirection(t *testing.T, test func(*testing.T, proxy.Direction)) {
	for n, d := range map[string]proxy.Direction{"both": proxy.Both, "answers": proxy.AnswersOnly} {
		t.Run(n, func(t *testing.T) { test(t, d) })
	}
}

func TestSilentConnectionsCostOneTimeout(t *testing.T) {
	eachDirection(t, func(t *testing.T, d proxy.Direction) {
		f := newSilentFixture(t, 8)
		require.Equal(t, 8, f.Silence(d))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.client.CallIdempotent(ctx, f.request("/"), f.request("/"))
		require.NoError(t, err, "an idempotent call is answered on a new connection before its deadline")
		for range 8 {
			ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
			_, err := f.client.Call(ctx, f.request("/"))
			cancel()
			require.NoError(t, err, "no other silent connection is used")
		}
	})
}

func TestCallThatMayHaveRunIsNotRepeated(t *testing.T) {
	f := newSilentFixture(t, 4)
	f.Silence(proxy.AnswersOnly)
	f.calls.Store(0)
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	_, err := f.client.Call(ctx, f.request("/"))
	require.ErrorIs(t, err, ErrUnknownOutcome)
	require.ErrorIs(t, err, ErrSilent)
	require.Equal(t, int64(1), f.calls.Load())
	next, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
	defer cancel()
	_, err = f.client.Call(next, f.request("/"))
	require.NoError(t, err)
}

func TestCallResolvedByCallerLeavesTimeForASecond(t *testing.T) {
	f := newSilentFixture(t, 2)
	f.Silence(proxy.Both)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	q := f.request("/")
	q.CallerResolves = true
	_, err := f.client.Call(ctx, q)
	require.ErrorIs(t, err, ErrSilent)
	_, err = f.client.Call(ctx, q)
	require.NoError(t, err, "the deadline leaves enough time for a second call")
}

func TestWaitingCallsBesideASilentOneAreRepeatedAtOnce(t *testing.T) {
	f := newSilentFixture(t, 2)
	f.Silence(proxy.Both)
	waited := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		q := f.request("/")
		q.Wait = 19 * time.Second
		_, err := f.client.CallIdempotent(ctx, q, f.request("/"))
		waited <- err
	}()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := f.client.CallIdempotent(ctx, f.request("/"), f.request("/"))
	require.NoError(t, err)
	select {
	case err := <-waited:
		require.NoError(t, err)
	case <-time.After(time.Second):
		t.Fatal("the waiting call stays on a connection that is no newer than the silent one")
	}
}

func TestAnsweringConnectionsStayOpenBesideSilentOne(t *testing.T) {
	f := newSilentFixture(t, 6)
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	never := make(chan error, 1)
	go func() {
		_, err := f.client.Call(ctx, f.request("/never"))
		never <- err
	}()
	time.Sleep(2 * usualAnswerTime)
	f.together.Add(5)
	var done sync.WaitGroup
	for range 5 {
		done.Go(func() {
			_, err := f.client.Call(t.Context(), f.request("/together"))
			if err != nil {
				t.Error(err)
			}
		})
	}
	done.Wait()
	require.ErrorIs(t, <-never, ErrSilent)
	opened := f.Opened()
	_, err := f.client.Call(t.Context(), f.request("/"))
	require.NoError(t, err)
	require.Equal(t, opened, f.Opened(), "connections that have answered since are trusted")
}

func TestNewConnectionWithoutAnAnswerIsNotSilent(t *testing.T) {
	f := newSilentFixture(t, 1)
	client := NewHTTPClient(Limits{MaxIdlePerAddress: 1, MaxIdle: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	f.calls.Store(0)
	_, err := client.CallIdempotent(ctx, f.request("/never"), f.request("/never"))
	require.ErrorIs(t, err, ErrUnknownOutcome)
	require.NotErrorIs(t, err, ErrSilent)
	require.Equal(t, int64(1), f.calls.Load(), "a server that does not answer is not called twice")
}

func TestStreamEndsWhenACallFindsSilence(t *testing.T) {
	f := newSilentFixture(t, 2)
	s, err := f.client.Stream(t.Context(), f.request("/stream"))
	require.NoError(t, err)
	defer s.Close()
	require.Equal(t, 2, f.Silence(proxy.AnswersOnly))
	ended := make(chan error, 1)
	go func() {
		_, err := s.Read(make([]byte, 1))
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = f.client.CallIdempotent(ctx, f.request("/"), f.request("/"))
	require.NoError(t, err)
	select {
	case err := <-ended:
		require.ErrorIs(t, err, ErrUnknownOutcome)
	case <-time.After(time.Second):
		t.Fatal("the stream stays on a connection that is no newer than the silent one")
	}
}

func TestStreamDeadlineIsNotSilence(t *testing.T) {
	f := newSilentFixture(t, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 2*minSilence)
	defer cancel()
	s, err := f.client.Stream(ctx, f.request("/stream"))
	require.NoError(t, err)
	defer s.Close()
	_, err = s.Read(make([]byte, 1))
	require.ErrorIs(t, err, ErrUnknownOutcome)
	opened := f.Opened()
	_, err = f.client.Call(t.Context(), f.request("/"))
	require.NoError(t, err)
	require.Equal(t, opened, f.Opened(), "the other connection is still trusted")
}

func TestCallResolvedByCallerIsAbandonedBesideSilentOne(t *testing.T) {
	f := newSilentFixture(t, 2)
	f.Silence(proxy.Both)
	abandoned := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		q := f.request("/")
		q.CallerResolves = true
		_, err := f.client.Call(ctx, q)
		abandoned <- err
	}()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := f.client.CallIdempotent(ctx, f.request("/"), f.request("/"))
	require.NoError(t, err)
	select {
	case err := <-abandoned:
		require.ErrorIs(t, err, ErrSilent)
	case <-time.After(time.Second):
		t.Fatal("the call stays on a connection that is no newer than the silent one")
	}
}

// newSilentServices returns three services, each with a client of its own whose idle
// connections are silent. The connections of the clients are joined.
func newSilentServices(t *testing.T) []*silentFixture {
	var l []*silentFixture
	var o []*Connections
	for range 3 {
		f := newSilentFixture(t, 3)
		l, o = append(l, f), append(o, f.client.Connections())
	}
	JoinConnections(o...)
	for _, f := range l {
		f.Silence(proxy.Both)
	}
	return l
}

func (f *silentFixture) callIdempotent(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	_, err := f.client.CallIdempotent(ctx, f.request("/"), f.request("/"))
	require.NoError(t, err)
}

func TestTwoSilentAddressesCloseIdleConnectionsToAll(t *testing.T) {
	l := newSilentServices(t)
	l[0].callIdempotent(t)
	l[1].callIdempotent(t)
	ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
	defer cancel()
	_, err := l[2].client.Call(ctx, l[2].request("/"))
	require.NoError(t, err, "a call that is not repeated meets no silent connection")
}

func TestOneSilentAddressClosesNoOthers(t *testing.T) {
	l := newSilentServices(t)
	l[0].callIdempotent(t)
	time.Sleep(silenceWindow)
	l[1].callIdempotent(t)
	opened := l[2].Opened()
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	_, err := l[2].client.Call(ctx, l[2].request("/"))
	require.ErrorIs(t, err, ErrSilent)
	require.Equal(t, opened, l[2].Opened())
}
