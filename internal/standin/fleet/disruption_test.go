package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCheckerReportsStopsBeyondTheDisruptionBudget(t *testing.T) {
	b := NewChecker()
	b.CheckDisruptions("j", 3, 1)
	for _, task := range []string{"j.0.0.0", "j.0.0.1", "j.0.0.2"} {
		b.recordReady(task)
	}
	b.checkDisruption(stopOrder{task: "j.0.0.0"})
	require.Empty(t, b.Violations())
	b.checkDisruption(stopOrder{task: "j.0.0.0"})
	require.Equal(t, 1, b.Disruptions(), "it is not at work")
	b.checkDisruption(stopOrder{task: "j.0.0.1", exempt: true})
	require.Empty(t, b.Violations(), "its worker leaves, or the order was held up")
	b.checkDisruption(stopOrder{task: "j.0.0.2"})
	require.Len(t, b.Violations(), 1)
	require.Contains(t, b.Violations()[0], "while 2 others")
}

func TestFailedTaskCountsAsUnavailableAfterAWhile(t *testing.T) {
	b := NewChecker()
	b.CheckDisruptions("j", 2, 1)
	b.recordReady("j.0.0.0")
	b.recordReady("j.0.0.1")
	b.recordEnd("j.0.0.0", 1, "failed")
	b.checkDisruption(stopOrder{task: "j.0.0.1"})
	require.Empty(t, b.Violations(), "it was at work a moment ago")
	b.recordReady("j.0.0.1")
	b.unavailable["j.0.0.0"].since = time.Now().Add(-unavailableAfter)
	b.checkDisruption(stopOrder{task: "j.0.0.1"})
	require.Len(t, b.Violations(), 1)
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
