package request

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/metric/noop"

	"amberway/common"
	"amberway/config"
	"amberway/peers"
)

// slowTarget runs each request to its end, even if nobody waits for it, and counts how
// many run at once.
type slowTarget struct {
	mu        sync.Mutex
	active    int
	maxActive int
	runs      int
	runTime   time.Duration
}

// ServeHTTP runs one request once its whole body has arrived.
func (s *slowTarget) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.count(1)
	time.Sleep(s.runTime)
	s.count(-1)
}

func (s *slowTarget) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
	s.maxActive = max(s.maxActive, s.active)
	s.runs += max(n, 0)
}

// begun returns how many runs have begun.
func (s *slowTarget) begun() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// oneSlot returns a server with one target of one slot. Its job declares no run time, so
// the scheduler takes it for quicker than it is.
func oneSlot(t *testing.T, h http.Handler) *Server {
	t.Helper()
	target := httptest.NewServer(h)
	t.Cleanup(target.Close)
	doc := &config.Document{
		Pools: []config.Pool{{Name: "p"}},
		Services: []config.Service{{Name: "s", Pool: "p", Weight: 1, Jobs: []config.Job{
			{Name: "job", Repeatable: true, Timeout: time.Minute},
		}}},
	}
	s := NewScheduler(DefaultPolicy(), rand.New(rand.NewPCG(1, 2)))
	s.SetServices([]ServiceSpec{{Name: "s", Pool: "p", Weight: 1}})
	s.SetTargets([]TargetSpec{{Name: "a", Pool: "p", Slots: 1}})
	m, err := NewMetrics(noop.NewMeterProvider().Meter("test"))
	require.NoError(t, err)
	f := NewForwarder(8)
	return NewServer(common.NopDeps(), ServerOptions{
		Config:        func() *config.Snapshot { return &config.Snapshot{Document: doc} },
		Dispatcher:    NewDispatcher(s, time.Now),
		Runner:        f,
		Hosts:         fixedHost(netip.MustParseAddrPort(strings.TrimPrefix(target.URL, "http://"))),
		Relay:         NewRelay("north", "hop", func() []peers.Member { return nil }, f),
		Issuer:        NewIssuer("e", 1),
		Metrics:       m,
		PauseDetector: common.NewPauseDetector(func() time.Time { return time.Now().Add(time.Hour) }),
	})
}

// ask sends one request and returns its answer. It waits until the context ends or the
// deadline passes.
func ask(ctx context.Context, s *Server, within time.Duration) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/s/job", strings.NewReader("body")).WithContext(ctx)
	r.Header.Set(common.HeaderDeadline, time.Now().Add(within).Format(time.RFC3339Nano))
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// TestAbandonedRunKeepsItsSlot checks that a run whose deadline has passed, or whose
// caller has gone, holds its slot until the target has ended it: nothing stops a run on a
// target, so the next request would run beside it.
func TestAbandonedRunKeepsItsSlot(t *testing.T) {
	for name, ctx := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"the deadline has passed": context.WithCancel,
		"the caller has gone": func(c context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(c, 50*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := &slowTarget{runTime: 300 * time.Millisecond}
			s := oneSlot(t, v)
			c, cancel := ctx(t.Context())
			defer cancel()
			start := time.Now()
			w := ask(c, s, 100*time.Millisecond)
			require.Equal(t, common.MayHaveRun.String(), w.Header().Get(common.HeaderVerdict))
			require.Less(t, time.Since(start), 250*time.Millisecond, "the caller does not wait for the run's end")
			w = ask(t.Context(), s, 5*time.Second)
			require.Equal(t, http.StatusOK, w.Code, w.Body.String())
			require.Equal(t, 2, v.runs)
			require.Equal(t, 1, v.maxActive, "runs at once on a target with one slot")
			require.Eventually(t, func() bool { return s.Dispatcher.Dump().Targets[0].Busy == 0 }, 2*time.Second, 10*time.Millisecond)
		})
	}
}

// TestCancelDuringDialLeavesNoUnknownRun cancels the caller's context just as the
// connection to the target is established: either the target does not run the request, or
// the error tells when the run is over.
func TestCancelDuringDialLeavesNoUnknownRun(t *testing.T) {
	v := &slowTarget{runTime: 5 * time.Millisecond}
	target := httptest.NewServer(v)
	defer target.Close()
	a := netip.MustParseAddrPort(strings.TrimPrefix(target.URL, "http://"))
	for n := range 500 {
		ctx, cancel := context.WithCancel(t.Context())
		f := NewForwarder(8)
		f.pooled.DialContext = func(c context.Context, network, at string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(context.WithoutCancel(c), network, at)
			cancel()
			return conn, err
		}
		before := v.begun()
		_, err := f.Run(ctx, a, Call{ID: "x", Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: []byte("body"), RunsToCompletion: true})
		var e *AttemptError
		if err != nil {
			require.ErrorAs(t, err, &e)
		}
		if e != nil && e.Done == nil {
			time.Sleep(2 * time.Millisecond)
			require.Equal(t, before, v.begun(), "attempt %d was abandoned but ran", n)
		}
		if e != nil && e.Done != nil {
			<-e.Done
		}
		f.pooled.CloseIdleConnections()
		cancel()
	}
}
