package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCheckerReportsStopsBeyondTheDisruptionBudget(t *testing.T) {
	c := NewChecker()
	c.CheckDisruptions("j", 3, 1)
	for _, task := range []string{"j.0.0.0", "j.0.0.1", "j.0.0.2"} {
		c.recordReady(task)
	}
	c.checkDisruption(stopOrder{task: "j.0.0.0"})
	require.Empty(t, c.Violations())
	c.checkDisruption(stopOrder{task: "j.0.0.0"})
	require.Equal(t, 1, c.Disruptions(), "it is not ready")
	c.checkDisruption(stopOrder{task: "j.0.0.1", exempt: true})
	require.Empty(t, c.Violations(), "its worker is leaving, or the order was delayed")
	c.checkDisruption(stopOrder{task: "j.0.0.2"})
	require.Len(t, c.Violations(), 1)
	require.Contains(t, c.Violations()[0], "while 2 others")
}

func TestFailedTaskCountsAsUnavailableAfterAWhile(t *testing.T) {
	c := NewChecker()
	c.CheckDisruptions("j", 2, 1)
	c.recordReady("j.0.0.0")
	c.recordReady("j.0.0.1")
	c.recordEnd("j.0.0.0", 1, "failed")
	c.checkDisruption(stopOrder{task: "j.0.0.1"})
	require.Empty(t, c.Violations(), "the other task was ready a moment ago")
	c.recordReady("j.0.0.1")
	c.unavailable["j.0.0.0"].since = time.Now().Add(-unavailableAfter)
	c.checkDisruption(stopOrder{task: "j.0.0.1"})
	require.Len(t, c.Violations(), 1)
}

func TestLastingRunIsReadyAfterItsWarmUpAndStopsWithADelay(t *testing.T) {
	r := newRun(1, parseBehaviour("lasts warms:1s fails-each:1m"))
	require.GreaterOrEqual(t, r.warmUp, minWarmUp)
	require.LessOrEqual(t, r.warmUp, time.Second)
	require.Less(t, r.percent(), 100)
	r.startedAt = r.startedAt.Add(-r.warmUp)
	require.Equal(t, 100, r.percent())
	require.True(t, r.failsAt.After(r.startedAt))
	require.Empty(t, r.lastingOutcome(r.startedAt))
	r.stopsAt = time.Now().Add(stopDuration)
	require.Empty(t, r.lastingOutcome(time.Now()))
	require.Equal(t, "stopped", r.lastingOutcome(r.stopsAt))
}
