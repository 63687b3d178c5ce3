package job

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// A host may be suspended for seconds, and the steady clock stands still meanwhile: the
// owner on it finds its lease as fresh as before and goes on giving orders, while another
// has taken over, given up workers that it does not reach, and started their tasks anew.
// None may leave after the host has woken up.
func TestOwnerGivesNoOrderAfterItsHostWasSuspended(t *testing.T) {
	asked := make(chan string, 10)
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Path
		_, _ = w.Write([]byte(`{"clock_ms":1}`))
	}))
	t.Cleanup(h.Close)
	o := newStoreFixture(t).claim(t, "owner")
	o.Workers = platform.NewWorkers()
	slept := time.Duration(0)
	o.suspended = func() time.Duration { return slept }
	ctx, cancel := context.WithCancel(t.Context())
	ctx, o.cancel = context.WithCancel(ctx)
	defer cancel()

	worker := testWorker("w1")
	worker.Address = netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://"))
	start := StartRun{Worker: worker, Order: platform.StartOrder{Task: idA + ".0.0.0", Run: 1}}
	require.True(t, o.performAll(ctx, []Action{start}))
	require.Equal(t, "/run-start", <-asked)

	slept = 4 * time.Second
	require.Greater(t, o.sinceRenewal(), slept, "the lease is as old as the world says")
	require.False(t, o.performAll(ctx, []Action{start}))
	require.Equal(t, whySuspended, o.resignReason)
	require.Error(t, ctx.Err())
	select {
	case <-asked:
		t.Fatal("an order was sent")
	case <-time.After(50 * time.Millisecond):
	}
}

// An owner that claimed after its host had woken up is as good as any.
func TestSuspensionBeforeAClaimDoesNotCount(t *testing.T) {
	s := newStoreFixture(t)
	slept := func() time.Duration { return time.Minute }
	e := newElection(s.kv, Owner{Name: "owner"}, Size{Cores: 1}, nil, time.Now, slept)
	n, err := e.claim(t.Context())
	require.NoError(t, err)
	o := newOwner(Clients{KV: s.kv}, nil, time.Now, slept, Settings{}, n, newSpeedMonitor(time.Now), nil)
	require.Zero(t, o.suspendedFor())
	require.Empty(t, o.lostAuthority())
}
