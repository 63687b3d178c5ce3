package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBooksTellOfTasksThatAnOrderTakesBeyondWhatTheirStepMayMiss(t *testing.T) {
	b := NewBooks()
	b.Guard("j", 3, 1)
	for _, task := range []string{"j.0.0.0", "j.0.0.1", "j.0.0.2"} {
		b.cameToWork(task)
	}
	b.endedByOrder(order{task: "j.0.0.0"})
	require.Empty(t, b.Broken())
	b.endedByOrder(order{task: "j.0.0.0"})
	require.Equal(t, 1, b.Endings(), "it is not at work")
	b.endedByOrder(order{task: "j.0.0.1", exempt: true})
	require.Empty(t, b.Broken(), "its worker leaves, or the order was held up")
	b.endedByOrder(order{task: "j.0.0.2"})
	require.Len(t, b.Broken(), 1)
	require.Contains(t, b.Broken()[0], "while 2 others")
}

func TestTaskThatFailsIsAwayAfterAWhile(t *testing.T) {
	b := NewBooks()
	b.Guard("j", 2, 1)
	b.cameToWork("j.0.0.0")
	b.cameToWork("j.0.0.1")
	b.ended("j.0.0.0", 1, "failed")
	b.endedByOrder(order{task: "j.0.0.1"})
	require.Empty(t, b.Broken(), "it was at work a moment ago")
	b.cameToWork("j.0.0.1")
	b.away["j.0.0.0"].since = time.Now().Add(-noticeAfter)
	b.endedByOrder(order{task: "j.0.0.1"})
	require.Len(t, b.Broken(), 1)
}

func TestLastingRunIsAtWorkAfterItsTimeAndEndsAWhileAfterItsStop(t *testing.T) {
	r := newRun(1, behaviourOf("lasts warms:1s fails-each:1m"))
	require.GreaterOrEqual(t, r.warms, warmsLeast)
	require.LessOrEqual(t, r.warms, time.Second)
	require.Less(t, r.percent(), 100)
	r.began = r.began.Add(-r.warms)
	require.Equal(t, 100, r.percent())
	require.True(t, r.failsAt.After(r.began))
	require.Empty(t, r.over(r.began))
	r.stopsAt = time.Now().Add(stopTakes)
	require.Empty(t, r.over(time.Now()))
	require.Equal(t, "stopped", r.over(r.stopsAt))
}
