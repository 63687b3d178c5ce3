package request

import (
	"context"
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"amberway/common"
	"amberway/internal/standin"
)

// idCreatedAt returns a version 7 id with the time and a number.
func idCreatedAt(at time.Time, n uint32) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[0:8], uint64(at.UnixMilli())<<16)
	id[6] = 0x70
	id[8] = 0x80
	binary.BigEndian.PutUint32(id[12:16], n)
	return id
}

// claimModel is several entry hosts that claim from one shard, over a store that loses
// answers, with clocks that differ by up to a second and with pauses inside their calls.
// It counts the runs of each id.
type claimModel struct {
	t       *rapid.T
	now     time.Time
	skew    []time.Duration
	shards  []*shard
	store   *standin.FaultyStore
	ids     []uuid.UUID
	runs    map[uuid.UUID]int
	attempt uint64
	depth   int
	// busy marks the hosts that are inside a call: each works on one batch at a time.
	busy map[int]bool
}

func newClaimModel(t *rapid.T) *claimModel {
	m := &claimModel{t: t, now: time.Unix(1e9, 0), store: standin.NewFaultyStore(), runs: map[uuid.UUID]int{}, busy: map[int]bool{}}
	m.store.Decide = m.decide
	for n := range rapid.IntRange(2, 3).Draw(t, "hosts") {
		m.skew = append(m.skew, time.Duration(rapid.IntRange(0, 1000).Draw(t, "skew"))*time.Millisecond)
		m.shards = append(m.shards, m.newShard(n))
	}
	return m
}

func (m *claimModel) newShard(n int) *shard {
	s := newShard(claimStore{m.store, 0}, rate.Inf, func() time.Time { return m.clock(n) }, common.NopDeps().Log("test"), func() {})
	s.retryDelay = 0
	return s
}

// clock returns the time of one host's clock; two differ by less than MaxClockSkew.
func (m *claimModel) clock(n int) time.Time {
	return m.now.Add(m.skew[n])
}

// decide draws the fate of one call, after a pause in which time passes and other hosts
// act.
func (m *claimModel) decide(bool) standin.Outcome {
	if m.depth < 3 && rapid.IntRange(0, 9).Draw(m.t, "pause") == 0 {
		m.depth++
		m.advance()
		m.claim()
		m.depth--
	}
	fates := []standin.Outcome{
		standin.Succeeds, standin.Succeeds, standin.Succeeds, standin.Succeeds,
		standin.NotSent, standin.RequestLost, standin.AnswerLost, standin.Delayed,
	}
	return rapid.SampledFrom(fates).Draw(m.t, "fate")
}

func (m *claimModel) advance() {
	steps := []time.Duration{time.Second, time.Minute, IDLifetime / 2, IDLifetime, 2 * IDLifetime, SegmentLifetime}
	m.now = m.now.Add(rapid.SampledFrom(steps).Draw(m.t, "pass"))
}

// claim lets one host claim a new id or one that was claimed before, and run it if the
// claim is granted and the id is still fresh.
func (m *claimModel) claim() {
	n := rapid.IntRange(0, len(m.shards)-1).Draw(m.t, "host")
	if m.busy[n] {
		return
	}
	m.busy[n] = true
	defer delete(m.busy, n)
	id := m.pickID()
	m.attempt++
	p := pendingClaim{ctx: context.Background(), claim: Claim{ID: id, Attempt: m.attempt}, done: make(chan ClaimOutcome, 1)}
	m.shards[n].commit(context.Background(), []pendingClaim{p})
	if <-p.done != ClaimGranted || !Fresh(m.clock(n), id) {
		return
	}
	m.runs[id]++
	if m.runs[id] > 1 {
		m.t.Fatalf("%s was run twice", id)
	}
}

func (m *claimModel) pickID() uuid.UUID {
	if len(m.ids) > 0 && rapid.Bool().Draw(m.t, "copy") {
		return rapid.SampledFrom(m.ids).Draw(m.t, "id")
	}
	id := idCreatedAt(m.now, uint32(len(m.ids)))
	m.ids = append(m.ids, id)
	return id
}

func (m *claimModel) trim() {
	n := rapid.IntRange(0, len(m.shards)-1).Draw(m.t, "host")
	m.shards[n].nextTrim = time.Time{}
	m.busy[n] = true
	m.shards[n].trim(context.Background())
	delete(m.busy, n)
}

func (m *claimModel) restart() {
	n := rapid.IntRange(0, len(m.shards)-1).Draw(m.t, "host")
	m.shards[n] = m.newShard(n)
}

// TestClaimsRunAtMostOnce checks that ids run at most once, with copies sent through
// several hosts, lost and late answers, pauses of any length, restarts and the removal of
// old segments.
func TestClaimsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newClaimModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"claim":   func(t *rapid.T) { m.t = t; m.claim() },
			"pass":    func(t *rapid.T) { m.t = t; m.advance() },
			"trim":    func(t *rapid.T) { m.t = t; m.trim() },
			"restart": func(t *rapid.T) { m.t = t; m.restart() },
			"deliver": func(*rapid.T) { m.store.DeliverDelayed() },
		})
	})
}

// TestClaimIsGrantedOnce checks that a claim is granted, that a copy of it is not, and
// that its own repetition is.
func TestClaimIsGrantedOnce(t *testing.T) {
	now := time.Unix(1e9, 0)
	m := standin.NewFaultyStore()
	s := newShard(claimStore{m, 0}, rate.Inf, func() time.Time { return now }, common.NopDeps().Log("test"), func() {})
	id := idCreatedAt(now, 1)
	ask := func(attempt uint64) ClaimOutcome {
		p := pendingClaim{ctx: context.Background(), claim: Claim{ID: id, Attempt: attempt}, done: make(chan ClaimOutcome, 1)}
		s.commit(context.Background(), []pendingClaim{p})
		return <-p.done
	}
	require.Equal(t, ClaimGranted, ask(1))
	require.Equal(t, ClaimTaken, ask(2))
	require.Equal(t, ClaimGranted, ask(1))
	now = now.Add(IDLifetime)
	require.Equal(t, ClaimExpired, ask(1))
	require.Equal(t, ClaimExpired, ask(3))
}

// TestSegmentNumbersAreNeverReused checks that the last segment is kept, however old it
// is.
func TestSegmentNumbersAreNeverReused(t *testing.T) {
	l := NewClaimLog()
	now := time.Unix(1e9, 0)
	l.Apply(now, 1, Segment{})
	l.Apply(now, 2, Segment{})
	old := l.Trim(now.Add(2 * SegmentLifetime))
	require.Equal(t, []int64{1}, old)
	require.Equal(t, int64(3), l.Next())
}

// TestAbandonedClaimIsNotWritten checks that a claim whose request was abandoned during a
// platform outage does not take the id: when the caller retries with it, as it was told
// to, the claim is granted.
func TestAbandonedClaimIsNotWritten(t *testing.T) {
	m := standin.NewFaultyStore()
	s := newShard(claimStore{m, 0}, rate.Inf, time.Now, common.NopDeps().Log("test"), func() {})
	id := idCreatedAt(time.Now(), 1)
	abandoned, abandon := context.WithCancel(t.Context())
	first := pendingClaim{ctx: abandoned, claim: Claim{ID: id, Attempt: 1}, done: make(chan ClaimOutcome, 1)}
	s.queue <- first
	abandon()
	second := pendingClaim{ctx: t.Context(), claim: Claim{ID: id, Attempt: 2}, done: make(chan ClaimOutcome, 1)}
	s.queue <- second
	s.commit(t.Context(), s.gather(t.Context()))
	require.Equal(t, ClaimUnknown, <-first.done)
	require.Equal(t, ClaimGranted, <-second.done)
}
