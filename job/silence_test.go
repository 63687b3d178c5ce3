package job

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/internal/standin/fleet"
	"amberway/internal/standin/proxy"
	"amberway/platform"
)

// silentStore is a store behind a proxy whose open connections can be silenced.
type silentStore struct {
	storeFixture
	*proxy.Proxy
}

func newSilentStore(t *testing.T) silentStore {
	s := fleet.NewStore()
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.CloseClientConnections)
	p, err := proxy.New(netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://")))
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return silentStore{storeFixture{Store: s, kv: platform.NewKV(p.Address(), &platform.Calls{})}, p}
}

// keepIdle leaves n idle connections to the store open.
func (s silentStore) keepIdle(t *testing.T, n int) {
	var done sync.WaitGroup
	for range n {
		done.Go(func() {
			_, _, err := s.kv.Watch(t.Context(), "nothing", 1<<40, 100*time.Millisecond)
			if err != nil {
				t.Error(err)
			}
		})
	}
	done.Wait()
}

func (s silentStore) putConfig(t *testing.T, version int64) {
	require.NoError(t, s.Put(platform.ConfigKey, map[string]any{"version": version}))
}

func (n *Node) version() int64 {
	if r := n.routes.Load(); r != nil {
		return r.config.Version
	}
	return 0
}

func TestConfigurationIsInForceInTimeAlthoughAllConnectionsToTheStoreGoSilent(t *testing.T) {
	for name, w := range map[string]proxy.Direction{"both": proxy.Both, "answers": proxy.AnswersOnly} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSilentStore(t)
			s.putConfig(t, 1)
			n := newTestNode(t, s.storeFixture)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go n.followOperator(ctx)
			go n.election.follow(ctx)
			require.Eventually(t, func() bool { return n.version() == 1 }, time.Second, 5*time.Millisecond)
			s.keepIdle(t, 6)
			require.GreaterOrEqual(t, s.Silence(w), 6)
			s.putConfig(t, 2)
			require.Eventually(t, func() bool { return n.version() == 2 }, DefaultConfigWithin, 5*time.Millisecond)
		})
	}
}

func TestOwnersLeaseIsRenewedInTimeAlthoughAllConnectionsToTheStoreGoSilent(t *testing.T) {
	for name, w := range map[string]proxy.Direction{"both": proxy.Both, "answers": proxy.AnswersOnly} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSilentStore(t)
			o := s.claim(t, "entry")
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			o.cancel = stop
			go o.renew(ctx)
			s.keepIdle(t, 6)
			require.Eventually(t, func() bool { return o.sinceRenewal() < renewEvery/2 }, time.Second, time.Millisecond)
			require.GreaterOrEqual(t, s.Silence(w), 6)
			require.Never(t, func() bool { return o.sinceRenewal() > 3*ownerTTL/4 }, 2*ownerTTL, 5*time.Millisecond)
			require.NoError(t, ctx.Err(), o.resignReason)
		})
	}
}

// When all idle connections to a peer have gone silent, requests that may be repeated are
// answered in time, and others fail once at most.
func TestSilentPeerConnectionsCostOneTimeout(t *testing.T) {
	const conns = peerConns
	var together sync.WaitGroup
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/jobs/together" {
			together.Done()
			together.Wait()
		}
		text := map[string]string{"GET": "1", "POST": common.Ran.String()}[r.Method]
		_, _ = w.Write([]byte(text))
	}))
	t.Cleanup(h.CloseClientConnections)
	at := netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://"))
	calls := []struct {
		name     string
		repeated bool
		call     func(context.Context, *peers, Owner) error
	}{
		{"state", true, func(ctx context.Context, p *peers, o Owner) error {
			_, _, err := p.state(ctx, o, idA)
			return err
		}},
		{"waiting", true, func(ctx context.Context, p *peers, o Owner) error {
			_, err := p.waiting(ctx, o, "q")
			return err
		}},
		{"relayed job", false, func(ctx context.Context, p *peers, o Owner) error {
			_, err := p.accept(ctx, o.Peer, idA, Record{})
			return err
		}},
		{"relayed cancel", false, func(ctx context.Context, p *peers, o Owner) error {
			_, err := p.cancel(ctx, o.Peer, idA)
			return err
		}},
	}
	for _, c := range calls {
		t.Run(c.name, func(t *testing.T) {
			v, err := proxy.New(at)
			require.NoError(t, err)
			t.Cleanup(v.Close)
			p, o := newPeers(), Owner{Name: "owner", Peer: v.Address()}
			together.Add(conns)
			var done sync.WaitGroup
			for range conns {
				done.Go(func() { _, _, _ = p.state(t.Context(), o, "together") })
			}
			done.Wait()
			require.Equal(t, conns, v.Silence(proxy.Both))
			err = c.call(t.Context(), p, o)
			if c.repeated {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, platform.ErrUnknownOutcome)
			}
			ctx, cancel := context.WithTimeout(t.Context(), peerTimeout)
			defer cancel()
			for range conns {
				require.NoError(t, c.call(ctx, p, o))
			}
		})
	}
}

// Whatever the bound on the configuration's delay, a watch on a silent connection and the next
// watch leave time to apply the configuration. A slow store has time to answer each watch, and
// one silent watch does not make the entry host unready.
func TestConfigWatchFitsItsBound(t *testing.T) {
	const slow = 250 * time.Millisecond
	for _, c := range []time.Duration{1250 * time.Millisecond, 2 * time.Second, 4 * time.Second, time.Minute} {
		w := configWatch(c)
		require.Less(t, w.timeout, c)
		require.Less(t, w.timeout, maxStoreSilence)
		require.GreaterOrEqual(t, w.timeout-w.wait, 2*slow)
	}
	require.Greater(t, configWatch(4*time.Second).wait, configWatch(2*time.Second).wait)
}
