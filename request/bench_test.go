package request

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/metric/noop"
	"golang.org/x/time/rate"

	"amberway/common"
	"amberway/config"
	"amberway/internal/standin"
	"amberway/platform"
)

// BenchmarkDecision measures the scheduling of one request: offer, start and end.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			s := onePool(n)
			now := time.Unix(1e9, 0)
			b.ReportAllocs()
			for b.Loop() {
				i := &Item{Service: "s", Job: "job", Deadline: now.Add(time.Hour)}
				s.Offer(now, i)
				v, _ := s.Next(now, "p")
				s.Done(now.Add(time.Millisecond), v.Item, Outcome{OK: true})
			}
		})
	}
}

// BenchmarkCancel measures one cancellation with n requests waiting.
func BenchmarkCancel(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			s := onePool(1)
			now := time.Unix(1e9, 0)
			for k := range n {
				s.Offer(now, &Item{Service: "s", Job: "job", Deadline: now.Add(time.Hour + time.Duration(k))})
			}
			for b.Loop() {
				i := &Item{Service: "s", Job: "job", Deadline: now.Add(time.Hour + time.Duration(rand.IntN(n)))}
				s.Offer(now, i)
				s.Cancel(i)
			}
		})
	}
}

// slowStore delays its answers, as the platform does.
type slowStore struct {
	*standin.FaultyStore
	mu     sync.Mutex
	writes atomic.Int64
}

const storeTime = 2 * time.Millisecond

// Swap answers after storeTime.
func (s *slowStore) Swap(ctx context.Context, key string, v []byte, base platform.Revision) (platform.Revision, error) {
	time.Sleep(storeTime)
	s.writes.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.FaultyStore.Swap(ctx, key, v, base)
}

// BenchmarkClaims claims ids from 256 requests at once: batched by one shard with its
// share of the platform's writes, and with one swap for each request at the same rate.
func BenchmarkClaims(b *testing.B) {
	perSecond := rate.Limit(float64(segmentWritesPerSecond) / claimShards)
	b.Run("gathered", func(b *testing.B) {
		m := &slowStore{FaultyStore: standin.NewFaultyStore()}
		s := newShard(claimStore{m, 0}, perSecond, time.Now, common.NopDeps().Log("bench"), func() {})
		go s.run(b.Context())
		claimAll(b, m, func(id uuid.UUID) {
			p := pendingClaim{ctx: b.Context(), claim: Claim{ID: id, Attempt: 1}, done: make(chan ClaimOutcome, 1)}
			s.queue <- p
			if <-p.done != ClaimGranted {
				b.Error("not granted")
			}
		})
	})
	b.Run("one-swap-each", func(b *testing.B) {
		m := &slowStore{FaultyStore: standin.NewFaultyStore()}
		l := rate.NewLimiter(perSecond, 2)
		claimAll(b, m, func(id uuid.UUID) {
			if l.Wait(b.Context()) != nil {
				return
			}
			if _, err := m.Swap(b.Context(), "claims/"+id.String(), nil, 0); err != nil {
				b.Error(err)
			}
		})
	})
}

// claimAll runs b.N claims, 256 at a time.
func claimAll(b *testing.B, m *slowStore, claim func(uuid.UUID)) {
	ids := make(chan uuid.UUID)
	var g sync.WaitGroup
	var waited atomic.Int64
	start := time.Now()
	for range 256 {
		g.Go(func() {
			for id := range ids {
				at := time.Now()
				claim(id)
				waited.Add(int64(time.Since(at)))
			}
		})
	}
	for range b.N {
		ids <- uuid.Must(uuid.NewV7())
	}
	close(ids)
	g.Wait()
	d := time.Since(start).Seconds()
	b.ReportMetric(float64(b.N)/d, "claims/s")
	b.ReportMetric(float64(m.writes.Load())/d, "writes/s")
	b.ReportMetric(float64(waited.Load())/float64(b.N)/1e6, "ms/claim")
}

// BenchmarkReload measures reading a shard's log from its start, which a new owner does
// once.
func BenchmarkReload(b *testing.B) {
	for _, n := range []int{1000, 10000, 50000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			m := standin.NewFaultyStore()
			s := newShard(claimStore{m, 0}, rate.Inf, time.Now, common.NopDeps().Log("bench"), func() {})
			for k := 0; k < n; k += 50 {
				g := Segment{Write: "w", Committed: time.Now()}
				for range 50 {
					g.Claims = append(g.Claims, Claim{ID: uuid.Must(uuid.NewV7()), Attempt: 1})
				}
				if err := s.store.create(b.Context(), int64(k/50+1), g); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				if err := s.reload(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(s.log.Len()), "ids")
		})
	}
}

// benchServer returns a server for one service on the target at the address.
func benchServer(b testing.TB, target netip.AddrPort) http.Handler {
	b.Helper()
	doc := &config.Document{
		Services: []config.Service{{Name: "s", Pool: "p", Jobs: []config.Job{{Name: "job", Repeatable: true, Timeout: time.Minute}}}},
	}
	s := NewScheduler(DefaultPolicy(), rand.New(rand.NewPCG(1, 2)))
	s.SetServices([]ServiceSpec{{Name: "s", Pool: "p", Weight: 1}})
	s.SetTargets([]TargetSpec{{Name: "t", Pool: "p", Slots: 64}})
	m, err := NewMetrics(noop.NewMeterProvider().Meter("bench"))
	if err != nil {
		b.Fatal(err)
	}
	return NewServer(common.NopDeps(), ServerOptions{
		Config:        func() *config.Snapshot { return &config.Snapshot{Document: doc} },
		Dispatcher:    NewDispatcher(s, time.Now),
		Runner:        NewForwarder(64),
		Issuer:        NewIssuer("bench", 1),
		Hosts:         fixedHost(target),
		Metrics:       m,
		PauseDetector: common.NewPauseDetector(func() time.Time { return time.Now().Add(time.Hour) }),
	})
}

// fixedHost implements Hosts with one address.
type fixedHost netip.AddrPort

// Address implements Hosts.
func (f fixedHost) Address(string) (netip.AddrPort, bool) {
	return netip.AddrPort(f), true
}

// BenchmarkRequest measures one request to a target that answers at once, directly and
// through an entry host.
func BenchmarkRequest(b *testing.B) {
	t := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }))
	defer t.Close()
	a := netip.MustParseAddrPort(strings.TrimPrefix(t.URL, "http://"))
	e := httptest.NewServer(benchServer(b, a))
	defer e.Close()
	for _, v := range []struct{ name, url string }{{"direct", t.URL}, {"through", e.URL}} {
		b.Run(v.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				res, err := http.Post(v.url+"/s/job", "text/plain", strings.NewReader("body"))
				if err != nil || res.StatusCode != http.StatusOK {
					b.Fatal(res, err)
				}
				_ = res.Body.Close()
			}
		})
	}
}

// BenchmarkIssued measures the claim of an id by the process that issued it.
func BenchmarkIssued(b *testing.B) {
	i := NewIssuer("bench", 1)
	now := time.Now()
	for b.Loop() {
		if i.Claim(now, i.New()) != ClaimGranted {
			b.Fatal("not granted")
		}
	}
}
