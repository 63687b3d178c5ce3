package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The books have to be able to fail: each promise is broken once.
func TestBooksTellOfEachBrokenPromise(t *testing.T) {
	b := NewBooks()
	b.CheckOrder(1)
	b.began("a.0.0.0", 1, "w1", false)
	require.Empty(t, b.Broken())
	b.began("a.0.0.0", 2, "w2", false)
	require.Len(t, b.Broken(), 1, "twice at once")
	b.began("a.0.1.0", 3, "w1", false)
	require.Len(t, b.Broken(), 2, "before the step ahead is done")
	b.ended("a.0.0.0", 2, "done")
	b.began("a.0.0.0", 4, "w1", false)
	require.Len(t, b.Broken(), 2, "an end that nobody has taken note of binds nobody")
	b.ended("a.0.0.0", 4, "done")
	b.note("a.0.0.0", "done")
	b.began("a.0.0.0", 5, "w1", false)
	require.Len(t, b.Broken(), 3, "after a good end was taken note of")
	require.True(t, b.Started("a"))
	require.False(t, b.Started("b"))
}
