package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// A caller whose POST was answered 504 cancelled the job, and was told that there is no such job. The store
// carried out the write after that, and the job ran for good (review case 8).
func TestCancelOfAJobWhoseWriteIsUnderWayIsKept(t *testing.T) {
	s := newStoreFixture(t)
	n := newTestNode(t, s)
	known, err := n.cancel(t.Context(), idA)
	require.NoError(t, err)
	require.False(t, known)
	s.putJob(t, idA)
	e, _, err := s.claim(t, "entry-1").load(t.Context(), testConfig())
	require.NoError(t, err)
	f := newFixture(t)
	f.step(e)
	f.join("w1")
	f.advance(time.Second)
	require.Empty(t, f.starts())
	require.Equal(t, platform.StateCancelled, f.state())
}

// A job that has ended gets no mark, which nothing would delete before it expires.
func TestCancelOfAFinalJobWritesNothing(t *testing.T) {
	s := newStoreFixture(t)
	n := newTestNode(t, s)
	require.NoError(t, s.Put(progressKey(idA), Progress{State: platform.StateSucceeded}))
	known, err := n.cancel(t.Context(), idA)
	require.NoError(t, err)
	require.True(t, known)
	_, marked := s.Value(cancelKey(idA))
	require.False(t, marked)
}

// A record that comes after its cancel mark starts nothing, whether the owner or the one before has seen
// the mark first.
func TestRecordAfterItsCancelMarkStartsNothing(t *testing.T) {
	for name, mark := range map[string]Event{
		"same owner": CancelRequested{ID: idA},
		"next owner": Inherited{Config: testConfig(), Cancels: []ID{idA}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.step(mark)
			f.join("w1")
			f.advance(forgetAfter - time.Minute)
			f.out = nil
			f.submit(idA, "quick", lastingTask())
			require.Equal(t, platform.StateCancelled, f.state())
			require.Empty(t, f.starts())
			require.Contains(t, f.deletedKeys(), cancelKey(idA))
		})
	}
}

// The mark of a job that never comes is deleted as late as a final job would be.
func TestCancelMarkWithoutAJobIsDeletedInTheEnd(t *testing.T) {
	f := newFixture(t)
	f.step(CancelRequested{ID: idA})
	f.advance(forgetAfter - tickEvery)
	require.NotContains(t, f.deletedKeys(), cancelKey(idA))
	f.advance(2 * forgetEvery)
	require.Contains(t, f.deletedKeys(), cancelKey(idA))
	require.Empty(t, f.core.cancelled)
}

// deletedKeys returns the keys that the owner has deleted since out was last cleared.
func (f *fixture) deletedKeys() []string {
	var l []string
	for _, a := range f.out {
		if k, ok := a.(WriteStore); ok {
			l = append(l, k.Deletes...)
		}
	}
	return l
}
