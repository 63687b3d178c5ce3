package job

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/internal/standin/fleet"
	"amberway/platform"
)

// process is an entry host's process that follows the owner's key and campaigns for ownership.
type process struct {
	*election
	store storeFixture
	owns  chan tenure
	// stop ends the process without giving anything up.
	stop context.CancelFunc
}

func (s storeFixture) process(t *testing.T, name, id string, z Size) *process {
	ctx, cancel := context.WithCancel(t.Context())
	p := &process{store: s, owns: make(chan tenure, 1), stop: cancel}
	p.election = newElection(s.kv, Owner{Name: name, Process: id}, z, nil, time.Now, neverSuspended)
	p.noteConfigured()
	go p.follow(ctx)
	go func() {
		for {
			n, ok := p.campaign(ctx)
			if !ok {
				return
			}
			p.owns <- n
		}
	}()
	return p
}

// took waits for the process to become the owner, and returns its owner with the time that it took.
func (p *process) took(t *testing.T) (*owner, time.Duration) {
	began := time.Now()
	select {
	case n := <-p.owns:
		m, err := newMetrics(common.NopDeps().Meter, observed{})
		require.NoError(t, err)
		o := newOwner(Clients{KV: p.store.kv}, nil, time.Now, neverSuspended, Settings{Name: p.self.Name}, n, newSpeedMonitor(time.Now), m)
		return o, time.Since(began)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the process does not become the owner")
		return nil, 0
	}
}

// neverOwns requires that the process does not become the owner for a while.
func (p *process) neverOwns(t *testing.T) {
	t.Helper()
	select {
	case <-p.owns:
		require.Fail(t, "the process became the owner")
	case <-time.After(ownerTTL / 3):
	}
}

var largeHost = Size{Cores: 1}

// holder returns the process that the owner's key names, with the key's revision.
func (s storeFixture) holder(t *testing.T) (Owner, platform.Entry) {
	v, err := s.kv.Get(t.Context(), ownerKey)
	require.NoError(t, err)
	var o Owner
	require.NoError(t, json.Unmarshal(v.Value, &o))
	return o, v
}

// A killed owner's next process waited for the lease of the killed one: it was up after 0.5 s and
// took over after 1.46 s.
func TestNextProcessTakesOverAtOnce(t *testing.T) {
	for name, size := range map[string]Size{"large": largeHost, "small": {Cores: 0.04}} {
		t.Run(name, func(t *testing.T) {
			s := newStoreFixture(t)
			killed := s.process(t, "entry", "first", size)
			o, _ := killed.took(t)
			killed.stop()
			next, took := s.process(t, "entry", "second", size).took(t)
			require.Less(t, took, smallHostDelay/2)
			require.Greater(t, next.tenure.fence, o.tenure.fence)
			require.Equal(t, takeoverPredecessor, next.tenure.kind())
		})
	}
}

// An owner that inherits jobs and workers without knowing any pool takes all of them for unconfigured.
func TestNextProcessTakesOverOnlyWithAConfiguration(t *testing.T) {
	s := newStoreFixture(t)
	killed := s.process(t, "entry", "first", largeHost)
	killed.took(t)
	e := newElection(s.kv, Owner{Name: "entry", Process: "second"}, largeHost, nil, time.Now, neverSuspended)
	ctx, cancel := context.WithTimeout(t.Context(), ownerTTL/4)
	defer cancel()
	go e.follow(t.Context())
	_, ok := e.campaign(ctx)
	require.False(t, ok)
	e.noteConfigured()
	_, ok = e.campaign(t.Context())
	require.True(t, ok)
}

// The claim of another host, or one that is under no lease, is left to expire.
func TestOtherClaimsAreNotReplaced(t *testing.T) {
	s := newStoreFixture(t)
	s.process(t, "entry", "first", largeHost).took(t)
	s.process(t, "another", "second", largeHost).neverOwns(t)
	require.NoError(t, s.Put(ownerKey, Owner{Name: "third", Process: "earlier"}))
	s.process(t, "third", "later", largeHost).neverOwns(t)
}

// A record of an earlier version names no process.
func TestClaimOfAnEarlierVersionIsReplaced(t *testing.T) {
	s := newStoreFixture(t)
	before := s.process(t, "entry", "", largeHost)
	before.took(t)
	before.stop()
	_, took := s.process(t, "entry", "second", largeHost).took(t)
	require.Less(t, took, ownerTTL/2)
}

// While the earlier process stands still, the next one takes over. Then the earlier one is refused by
// the store, its lease is not renewed any more, it resigns, and it does not claim the key back.
func TestFrozenPredecessorIsReplacedAndDoesNotClaimBack(t *testing.T) {
	s := newStoreFixture(t)
	frozen := s.process(t, "entry", "first", largeHost)
	old, _ := frozen.took(t)
	second := s.process(t, "entry", "second", largeHost)
	next, _ := second.took(t)
	_, _, err := next.load(t.Context(), testConfig())
	require.NoError(t, err)

	require.ErrorIs(t, s.kv.Renew(t.Context(), old.tenure.lease), platform.ErrNotFound)
	require.ErrorIs(t, old.writer.write(t.Context(), WriteStore{Number: 1}, func() {}), errDeposed)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	ctx, old.cancel = context.WithCancel(ctx)
	old.followJobs(ctx, platform.Revision(old.tenure.fence))
	require.Equal(t, errDeposed.Error(), old.resignReason)
	require.NoError(t, s.kv.Renew(t.Context(), next.tenure.lease), "the next process's lease is not the one revoked")
	frozen.neverOwns(t)
	_, at := s.holder(t)
	require.Equal(t, platform.Revision(next.tenure.fence), at.Revision)
}

// Two live processes of one name must not take the key from each other in turn: each call, watch and
// takeover would be cut short by the next.
func TestTwoLiveProcessesOfOneNameTakeTheKeyOnce(t *testing.T) {
	s := newStoreFixture(t)
	first := s.process(t, "entry", "first", largeHost)
	first.took(t)
	second := s.process(t, "entry", "second", largeHost)
	o, _ := second.took(t)
	_, before := s.holder(t)
	for began := time.Now(); time.Since(began) < 2*ownerTTL; time.Sleep(renewEvery) {
		require.NoError(t, s.kv.Renew(t.Context(), o.tenure.lease))
	}
	_, after := s.holder(t)
	require.Equal(t, before.Revision, after.Revision)

	// Each treats the claim of the other as that of another owner.
	other, ok := first.otherOwner()
	require.False(t, ok, "their addresses are the same, so that a call would come back")
	require.Equal(t, "second", other.Process)
	first.self.Peer = netip.MustParseAddrPort("127.0.0.1:1")
	_, ok = first.otherOwner()
	require.True(t, ok)
	_, ok = second.otherOwner()
	require.False(t, ok)
}

// A node with a live process of its name elsewhere used to take that one's claim for its own, and asked
// nobody.
func TestNodeCallsAnotherOwnerOfItsName(t *testing.T) {
	n := newTestNode(t, newStoreFixture(t))
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("7")) }))
	t.Cleanup(h.Close)
	n.election.setOwner(Owner{Name: "entry", Process: "another", Peer: netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://")), Fence: 7})
	c, err := n.waiting(t.Context(), "quick")
	require.NoError(t, err)
	require.Equal(t, 7, c)
}

// The claim was made and its answer lost. The process finds its own claim and keeps it.
func TestOwnClaimWhoseAnswerWasLostIsRecognised(t *testing.T) {
	for name, before := range map[string]bool{"vacant": false, "predecessor": true} {
		t.Run(name, func(t *testing.T) {
			s, lost := newStoreThatLosesAClaim(t)
			if before {
				e := newElection(s.kv, Owner{Name: "entry", Process: "first"}, largeHost, nil, time.Now, neverSuspended)
				_, err := e.claim(t.Context())
				require.NoError(t, err)
			}
			lost.Store(true)
			o, took := s.process(t, "entry", "second", largeHost).took(t)
			require.False(t, lost.Load(), "no answer was lost")
			require.Less(t, took, ownerTTL)
			h, at := s.holder(t)
			require.Equal(t, "second", h.Process)
			require.Equal(t, at.Revision, platform.Revision(o.tenure.fence))
			require.NoError(t, s.kv.Renew(t.Context(), o.tenure.lease))
			require.Equal(t, before, o.tenure.kind() == takeoverPredecessor)
		})
	}
}

// The store carried out the claim, and then answered nothing for longer than the claim's lease can be
// kept. Both leases are given up, so that the earlier process cannot take itself for the owner.
func TestAbandonedClaimEndsBothLeases(t *testing.T) {
	s := newStoreFixture(t)
	first := s.process(t, "entry", "first", largeHost)
	old, _ := first.took(t)
	first.stop()
	e := newElection(s.kv, Owner{Name: "entry", Process: "second"}, largeHost, nil, time.Now, neverSuspended)
	lease, err := s.kv.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	before := ownerClaim{Owner: Owner{Name: "entry", Process: "first", Fence: old.tenure.fence}, lease: old.tenure.lease}
	_, err = e.writeClaim(t.Context(), tenure{lease: lease, since: time.Now()}, before)
	require.NoError(t, err)
	e.abandonClaim(t.Context(), tenure{lease: lease, replaced: before.lease}, before)
	_, err = s.kv.Get(t.Context(), ownerKey)
	require.ErrorIs(t, err, platform.ErrNotFound)
	require.ErrorIs(t, s.kv.Renew(t.Context(), before.lease), platform.ErrNotFound)
}

// A claim that was not made leaves the earlier process's lease alone: if it is alive it still owns.
func TestClaimThatWasNotMadeLeavesThePredecessor(t *testing.T) {
	s := newStoreFixture(t)
	first := s.process(t, "entry", "first", largeHost)
	old, _ := first.took(t)
	lease, err := s.kv.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	before := ownerClaim{Owner: Owner{Fence: old.tenure.fence}, lease: old.tenure.lease}
	first.abandonClaim(t.Context(), tenure{lease: lease, replaced: before.lease}, before)
	require.NoError(t, s.kv.Renew(t.Context(), old.tenure.lease))
}

// A planned stop revokes the lease. Whether the next process sees the key before that or after, it
// owns, and the late revocation does not end its ownership.
func TestPlannedStopDoesNotEndTheNextProcess(t *testing.T) {
	s := newStoreFixture(t)
	first := s.process(t, "entry", "first", largeHost)
	o, _ := first.took(t)
	first.withdraw()
	second := s.process(t, "entry", "second", largeHost)
	next, _ := second.took(t)
	first.revokeLeases(t.Context(), o.tenure)
	first.neverOwns(t)
	require.NoError(t, next.checkOwnership(t.Context()))

	first.stop()
	second.stop()
	second.revokeLeases(t.Context(), next.tenure)
	_, took := s.process(t, "entry", "third", largeHost).took(t)
	require.Less(t, took, ownerTTL/2)
}

// A process that was asked to stop before its claim was answered gives it up.
func TestStoppingProcessReplacesNothing(t *testing.T) {
	s := newStoreFixture(t)
	first := s.process(t, "entry", "first", largeHost)
	o, _ := first.took(t)
	e := newElection(s.kv, Owner{Name: "entry", Process: "second"}, largeHost, nil, time.Now, neverSuspended)
	e.noteConfigured()
	e.withdraw()
	go e.follow(t.Context())
	ctx, cancel := context.WithTimeout(t.Context(), ownerTTL/3)
	defer cancel()
	_, ok := e.campaign(ctx)
	require.False(t, ok)
	require.NoError(t, o.checkOwnership(t.Context()))
}

// While the store is down, leases do not expire, and the claim is retried until the store is back.
func TestClaimOverThePredecessorIsRetriedWhileTheStoreIsDown(t *testing.T) {
	for name, f := range map[string]fleet.StoreFault{"refuses": {Refuse: true}, "slow": {Delay: 250 * time.Millisecond}, "loses answers": {LoseAnswers: true}} {
		t.Run(name, func(t *testing.T) {
			s := newStoreFixture(t)
			first := s.process(t, "entry", "first", largeHost)
			first.took(t)
			first.stop()
			s.SetFault(f)
			next := s.process(t, "entry", "second", largeHost)
			time.Sleep(ownerTTL / 2)
			s.SetFault(fleet.StoreFault{})
			next.took(t)
			h, _ := s.holder(t)
			require.Equal(t, "second", h.Process)
		})
	}
}

// The owner acts only once the lease of the earlier process is revoked: until then its renewals succeed.
func TestOwnerLoadsNothingBeforeThePredecessorsLeaseHasEnded(t *testing.T) {
	s := newStoreFixture(t)
	s.process(t, "entry", "first", largeHost).took(t)
	o, _ := s.process(t, "entry", "second", largeHost).took(t)
	kept := o.tenure.replaced
	s.SetFault(fleet.StoreFault{Refuse: true})
	_, _, err := o.load(t.Context(), testConfig())
	require.Error(t, err)
	// Once the fault ends, the store may still carry out a revocation that the failed load has
	// abandoned.
	require.True(t, s.HasLease(int64(kept)))
	s.SetFault(fleet.StoreFault{})
	e, _, err := o.load(t.Context(), testConfig())
	require.NoError(t, err)
	require.True(t, e.Replaced)
	require.ErrorIs(t, s.kv.Renew(t.Context(), kept), platform.ErrNotFound)
}
