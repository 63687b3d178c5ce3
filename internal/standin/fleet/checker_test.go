package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The books have to be able to fail: each promise is broken once.
func TestCheckerReportsEachViolation(t *testing.T) {
	b := NewChecker()
	b.CheckStepOrder(1)
	b.recordStart("a.0.0.0", 1, "w1", false)
	require.Empty(t, b.Violations())
	b.recordStart("a.0.0.0", 2, "w2", false)
	require.Len(t, b.Violations(), 1, "twice at once")
	b.recordStart("a.0.1.0", 3, "w1", false)
	require.Len(t, b.Violations(), 2, "before the step ahead is done")
	b.recordEnd("a.0.0.0", 2, "done")
	b.recordStart("a.0.0.0", 4, "w1", false)
	require.Len(t, b.Violations(), 2, "an end that nobody has taken note of binds nobody")
	b.recordEnd("a.0.0.0", 4, "done")
	b.recordAck("a.0.0.0", "done")
	b.recordStart("a.0.0.0", 5, "w1", false)
	require.Len(t, b.Violations(), 3, "after a good end was taken note of")
	require.True(t, b.Started("a"))
	require.False(t, b.Started("b"))
}
