package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A worker started again under its name, and carried out a poll that was meant for its earlier incarnation:
// its lease is as long as the platform allows. The owner noticed the restart, started a task there, and was
// replaced. The next owner took the worker for one that had never restarted, and started the task
// elsewhere while it ran on.
func TestLateLeaseThatAnEarlierOwnerKnewOfIsOutlasted(t *testing.T) {
	f := newLateFixture(t, longUp, renewsLease)
	f.untilKept(renewsLease)
	second := f.start(secondIncarnation, 0)
	f.carryOutLate(renewsLease)
	f.list(second)
	f.submitTask(idB)
	f.passUntil(5*time.Second, func() bool { return second.runs[taskB] != nil })
	require.NotNil(t, second.runs[taskB])
	f.lateOwner = f.takeOver(f.lateOwner, second)
	f.pass(500 * time.Millisecond)
	f.requireMoves(second)
}
