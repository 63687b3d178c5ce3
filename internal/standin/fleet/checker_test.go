package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Violates each guarantee once, so that a checker that finds nothing is noticed.
func TestCheckerReportsEachViolation(t *testing.T) {
	c := NewChecker()
	c.CheckStepOrder(1)
	c.recordStart("a.0.0.0", 1, "w1", "dc-0", false)
	require.Empty(t, c.Violations())
	c.recordStart("a.0.0.0", 2, "w2", "dc-0", false)
	require.Len(t, c.Violations(), 1, "two runs of a task at once")
	c.recordStart("a.0.1.0", 3, "w1", "dc-0", false)
	require.Len(t, c.Violations(), 2, "before the previous step is done")
	c.recordEnd("a.0.0.0", 2, "done")
	c.recordStart("a.0.0.0", 4, "w1", "dc-0", false)
	require.Len(t, c.Violations(), 2, "a success that was not acknowledged does not count")
	c.recordEnd("a.0.0.0", 4, "done")
	c.recordAck("a.0.0.0", "done")
	c.recordStart("a.0.0.0", 5, "w1", "dc-0", false)
	require.Len(t, c.Violations(), 3, "after an acknowledged success")
	require.True(t, c.Started("a"))
	require.False(t, c.Started("b"))
}
