package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/internal/standin/fleet"
)

func TestStoreHealthRejectsAndProbesWhileWritesFail(t *testing.T) {
	var r storeHealth
	now := time.Unix(1e9, 0)
	r.record(now, now, false)
	require.False(t, r.rejects(now.Add(2*storeOutageAfter)), "one lost answer proves nothing")
	r.record(now.Add(100*time.Millisecond), now.Add(150*time.Millisecond), false)
	require.False(t, r.rejects(now.Add(storeOutageAfter/2)), "a slow store is not unreachable")
	now = now.Add(2 * storeOutageAfter)
	require.False(t, r.rejects(now), "one job probes whether the store is back")
	require.True(t, r.rejects(now.Add(storeProbeEvery/2)))
	require.False(t, r.rejects(now.Add(storeProbeEvery)))
	gone, _ := r.record(now, now, false)
	require.True(t, gone)
	gone, _ = r.record(now, now, false)
	require.False(t, gone, "reported once")
	_, back := r.record(now, now, true)
	require.True(t, back)
	require.False(t, r.rejects(now.Add(storeProbeEvery/4)))
}

// When the store stops answering, the first callers wait until their requests time out. Later
// ones are told at once that their jobs were not accepted.
func TestJobsAreRejectedAtOnceWhileStoreIsUnreachable(t *testing.T) {
	s := newStoreFixture(t)
	s.SetFault(fleet.StoreFault{LoseAnswers: true})
	i := newIntake(s.kv, nil, time.Now)
	go i.run(t.Context())
	r := NewRecord(testConfig().Queues[0], fixtureSubmission(), time.Now())
	v, _ := i.accept(t.Context(), idA, r, time.Now().Add(storeOutageAfter+300*time.Millisecond))
	require.Equal(t, common.MayHaveRun, v)
	_, _ = i.accept(t.Context(), "00000000000000cc", r, time.Now().Add(200*time.Millisecond))
	began := time.Now()
	v, err := i.accept(t.Context(), idB, r, time.Now().Add(5*time.Second))
	require.ErrorIs(t, err, errStoreUnreachable)
	require.Equal(t, common.NotRun, v)
	require.Less(t, time.Since(began), 100*time.Millisecond)
	_, found := s.Value(recordKey(idB))
	require.False(t, found, "a rejected job is never sent")
}
