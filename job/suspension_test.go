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

// While a host is suspended for seconds its monotonic clock stands still, so that an owner on
// it finds its lease as fresh as before. Meanwhile another owner may have taken over, given up
// workers that it cannot reach, and started their tasks again. The first owner must send no
// order after the host has resumed.
func TestOwnerGivesNoOrderAfterItsHostWasSuspended(t *testing.T) {
	paths := make(chan string, 10)
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path
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
	require.Equal(t, "/run-start", <-paths)

	slept = 4 * time.Second
	require.Greater(t, o.sinceRenewal(), slept, "the age of the lease includes the suspension")
	require.False(t, o.performAll(ctx, []Action{start}))
	require.Equal(t, whySuspended, o.resignReason)
	require.Error(t, ctx.Err())
	select {
	case <-paths:
		t.Fatal("an order was sent")
	case <-time.After(50 * time.Millisecond):
	}
}

// A suspension before the claim does not affect the owner.
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
