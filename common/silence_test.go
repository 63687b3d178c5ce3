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

// silentFixture is an exchange with kept connections to a server that has more than
// one call under way at a time.
type silentFixture struct {
	*proxy.Proxy
	x     Exchange
	calls atomic.Int64
	// together is how many calls the server waits for before it answers any.
	together sync.WaitGroup
}

func newSilentFixture(t *testing.T, conns int) *silentFixture {
	f := &silentFixture{x: NewExchange(Limits{PerAddress: conns, Total: conns})}
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
			if _, err := f.x.Call(t.Context(), f.request("/together")); err != nil {
				t.Error(err)
			}
		})
	}
	done.Wait()
	return f
}

func (f *silentFixture) request(path string) Request {
	return Request{Method: http.MethodGet, At: f.Address(), Path: path}
}

func eachWay(t *testing.T, test func(*testing.T, proxy.Way)) {
	for n, w := range map[string]proxy.Way{"both": proxy.Both, "answers": proxy.Answers} {
		t.Run(n, func(t *testing.T) { test(t, w) })
	}
}

func TestOneTimeOutIsPaidForAllSilentConnections(t *testing.T) {
	eachWay(t, func(t *testing.T, w proxy.Way) {
		f := newSilentFixture(t, 8)
		require.Equal(t, 8, f.Silence(w))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.x.Repeat(ctx, f.request("/"), f.request("/"))
		require.NoError(t, err, "a call that may be repeated is answered on a new connection in its time")
		for range 8 {
			ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
			_, err := f.x.Call(ctx, f.request("/"))
			cancel()
			require.NoError(t, err, "no other silent connection is used")
		}
	})
}

func TestCallThatMayHaveRunIsNotRepeated(t *testing.T) {
	f := newSilentFixture(t, 4)
	f.Silence(proxy.Answers)
	f.calls.Store(0)
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	_, err := f.x.Call(ctx, f.request("/"))
	require.ErrorIs(t, err, ErrUnknown)
	require.ErrorIs(t, err, ErrSilent)
	require.Equal(t, int64(1), f.calls.Load())
	next, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
	defer cancel()
	_, err = f.x.Call(next, f.request("/"))
	require.NoError(t, err)
}

func TestSettledCallLeavesTimeForTheNext(t *testing.T) {
	f := newSilentFixture(t, 2)
	f.Silence(proxy.Both)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	q := f.request("/")
	q.Settled = true
	_, err := f.x.Call(ctx, q)
	require.ErrorIs(t, err, ErrSilent)
	_, err = f.x.Call(ctx, q)
	require.NoError(t, err, "the same time is enough for a second call")
}

func TestWaitingCallsBesideASilentOneGoAgainAtOnce(t *testing.T) {
	f := newSilentFixture(t, 2)
	f.Silence(proxy.Both)
	waited := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		q := f.request("/")
		q.Wait = 19 * time.Second
		_, err := f.x.Repeat(ctx, q, f.request("/"))
		waited <- err
	}()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := f.x.Repeat(ctx, f.request("/"), f.request("/"))
	require.NoError(t, err)
	select {
	case err := <-waited:
		require.NoError(t, err)
	case <-time.After(time.Second):
		t.Fatal("the waiting call stays on a connection that is no newer than the silent one")
	}
}

func TestConnectionsThatAnswerAreKeptBesideOneThatDoesNot(t *testing.T) {
	f := newSilentFixture(t, 6)
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	never := make(chan error, 1)
	go func() {
		_, err := f.x.Call(ctx, f.request("/never"))
		never <- err
	}()
	time.Sleep(2 * answerWithin)
	f.together.Add(5)
	var done sync.WaitGroup
	for range 5 {
		done.Go(func() {
			_, err := f.x.Call(t.Context(), f.request("/together"))
			if err != nil {
				t.Error(err)
			}
		})
	}
	done.Wait()
	require.ErrorIs(t, <-never, ErrSilent)
	opened := f.Opened()
	_, err := f.x.Call(t.Context(), f.request("/"))
	require.NoError(t, err)
	require.Equal(t, opened, f.Opened(), "what has answered since is trusted")
}

func TestNewConnectionWithoutAnAnswerIsNotSilent(t *testing.T) {
	f := newSilentFixture(t, 1)
	x := NewExchange(Limits{PerAddress: 1, Total: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	f.calls.Store(0)
	_, err := x.Repeat(ctx, f.request("/never"), f.request("/never"))
	require.ErrorIs(t, err, ErrUnknown)
	require.NotErrorIs(t, err, ErrSilent)
	require.Equal(t, int64(1), f.calls.Load(), "a service that does not answer is not asked twice")
}

func TestStreamBreaksOffWhenACallShowsSilence(t *testing.T) {
	f := newSilentFixture(t, 2)
	s, err := f.x.Stream(t.Context(), f.request("/stream"))
	require.NoError(t, err)
	defer s.Close()
	require.Equal(t, 2, f.Silence(proxy.Answers))
	broke := make(chan error, 1)
	go func() {
		_, err := s.Read(make([]byte, 1))
		broke <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = f.x.Repeat(ctx, f.request("/"), f.request("/"))
	require.NoError(t, err)
	select {
	case err := <-broke:
		require.ErrorIs(t, err, ErrUnknown)
	case <-time.After(time.Second):
		t.Fatal("the stream stays on a connection that is no newer than the silent one")
	}
}

func TestEndOfAStreamsTimeShowsNoSilence(t *testing.T) {
	f := newSilentFixture(t, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 2*leastSilence)
	defer cancel()
	s, err := f.x.Stream(ctx, f.request("/stream"))
	require.NoError(t, err)
	defer s.Close()
	_, err = s.Read(make([]byte, 1))
	require.ErrorIs(t, err, ErrUnknown)
	opened := f.Opened()
	_, err = f.x.Call(t.Context(), f.request("/"))
	require.NoError(t, err)
	require.Equal(t, opened, f.Opened(), "the other connection is still trusted")
}

func TestSettledCallIsGivenUpWithASilentOneBesideIt(t *testing.T) {
	f := newSilentFixture(t, 2)
	f.Silence(proxy.Both)
	settled := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		q := f.request("/")
		q.Settled = true
		_, err := f.x.Call(ctx, q)
		settled <- err
	}()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := f.x.Repeat(ctx, f.request("/"), f.request("/"))
	require.NoError(t, err)
	select {
	case err := <-settled:
		require.ErrorIs(t, err, ErrSilent)
	case <-time.After(time.Second):
		t.Fatal("the call stays on a connection that is no newer than the silent one")
	}
}

// silentTogether are three services, each with kept connections of a client of its
// own, which are silent.
func silentTogether(t *testing.T) []*silentFixture {
	var l []*silentFixture
	var o []*Connections
	for range 3 {
		f := newSilentFixture(t, 3)
		l, o = append(l, f), append(o, f.x.Connections())
	}
	Join(o...)
	for _, f := range l {
		f.Silence(proxy.Both)
	}
	return l
}

func (f *silentFixture) repeat(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	_, err := f.x.Repeat(ctx, f.request("/"), f.request("/"))
	require.NoError(t, err)
}

func TestTwoSilentAddressesShowThatAllMayBe(t *testing.T) {
	l := silentTogether(t)
	l[0].repeat(t)
	l[1].repeat(t)
	ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
	defer cancel()
	_, err := l[2].x.Call(ctx, l[2].request("/"))
	require.NoError(t, err, "a call that may have run meets no silence")
}

func TestOneSilentAddressTellsOfItselfOnly(t *testing.T) {
	l := silentTogether(t)
	l[0].repeat(t)
	time.Sleep(shownWithin)
	l[1].repeat(t)
	opened := l[2].Opened()
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	_, err := l[2].x.Call(ctx, l[2].request("/"))
	require.ErrorIs(t, err, ErrSilent)
	require.Equal(t, opened, l[2].Opened())
}
