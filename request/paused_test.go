package request

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
)

// TestPausedEntryHostServesWaitingRequests checks that a request which reached an entry
// host that was paused is served once the host has caught up with what it may have
// missed, and not refused.
func TestPausedEntryHostServesWaitingRequests(t *testing.T) {
	s := oneSlot(t, &slowTarget{})
	var behind atomic.Int64
	behind.Store(int64(2 * time.Second))
	s.PauseDetector = common.NewPauseDetector(func() time.Time { return time.Now().Add(-time.Duration(behind.Load())) })
	behind.Store(0)
	require.True(t, s.PauseDetector.Recovering(time.Now()))

	start := time.Now()
	w := ask(t.Context(), s, 100*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, common.NotRun.String(), w.Header().Get(common.HeaderVerdict))
	require.Less(t, time.Since(start), time.Second, "its deadline bounds the wait")

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.PauseDetector.Run(ctx, func(c context.Context) error {
		common.Sleep(c, 200*time.Millisecond)
		return c.Err()
	})
	w = ask(t.Context(), s, 5*time.Second)
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
}

// removedHost implements Hosts without one host that the scheduler still knows.
type removedHost struct {
	Hosts
	removed string
}

// Address implements Hosts.
func (l removedHost) Address(name string) (netip.AddrPort, bool) {
	if name == l.removed {
		return netip.AddrPort{}, false
	}
	return l.Hosts.Address(name)
}

// TestRemovedTargetCostsNoRequest checks that requests whose target is removed after the
// scheduler has chosen it run on another one, however many they are.
func TestRemovedTargetCostsNoRequest(t *testing.T) {
	s := oneSlot(t, &slowTarget{})
	s.Hosts = removedHost{Hosts: s.Hosts, removed: "a"}
	s.Dispatcher.Update(func(c *Scheduler) {
		c.SetTargets([]TargetSpec{{Name: "a", Pool: "p", Slots: 8}, {Name: "b", Pool: "p", Slots: 8}})
	})
	for n := range 100 {
		w := ask(t.Context(), s, 5*time.Second)
		require.Equal(t, http.StatusOK, w.Code, "request %d: %s", n, w.Body.String())
	}
}

// returnedHost implements Hosts with one host that is missing at the first call and back
// from then on.
type returnedHost struct {
	Hosts
	lookups atomic.Int64
}

// Address implements Hosts.
func (b *returnedHost) Address(name string) (netip.AddrPort, bool) {
	if b.lookups.Add(1) == 1 {
		return netip.AddrPort{}, false
	}
	return b.Hosts.Address(name)
}

// TestReturnedTargetIsUsed checks that a target found missing is not taken from the
// scheduler if the update that brings it back has already been applied.
func TestReturnedTargetIsUsed(t *testing.T) {
	s := oneSlot(t, &slowTarget{})
	s.Hosts = &returnedHost{Hosts: s.Hosts}
	w := ask(t.Context(), s, 5*time.Second)
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
}
