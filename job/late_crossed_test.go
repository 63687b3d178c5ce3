package job

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A task ran twice at once: a worker that had restarted unnoticed accepted a start with a lease by
// the clock of the earlier incarnation, and fell silent before its next poll.
func TestLeaseOfAStartAtAnUnnoticedIncarnationIsOutlasted(t *testing.T) {
	f := newUnboundLateFixture(t, longUp)
	f.pass(2 * time.Second)
	second := f.start(secondIncarnation, 0)
	f.submitTask(idB)
	f.keep = isPoll
	f.passUntil(5*time.Second, func() bool { return second.runs[taskB] != nil })
	f.keep = func(Action) bool { return false }
	f.requireMoves(second)
}

// A task ran twice at once: an earlier incarnation had confirmed a stop, and its answer came after
// the run was reassigned to the later one. That one was then not told to stop it, and carried out
// the start late.
func TestStopConfirmedByAnEarlierIncarnationHoldsForThatOneOnly(t *testing.T) {
	f := newUnboundLateFixture(t, longUp, startsB, isStop)
	f.submitTask(idB)
	f.untilKept(startsB)
	f.untilKept(isStop)
	i := slices.IndexFunc(f.late, isStop)
	require.GreaterOrEqual(t, i, 0)
	answer := f.first.answer(f.late[i], f.first.carryOut(f.late[i]))
	f.answers = nil
	second := f.start(secondIncarnation, 0)
	second.Draining = true
	f.list(second)
	f.pass(100 * time.Millisecond)
	f.notef("the answer of %s to the stop arrives", f.first.ID)
	f.step(answer)
	other := f.start("w2", 0)
	f.list(other)
	f.passUntil(5*time.Second, func() bool { return other.runs[taskB] != nil })
	f.carryOutLate(startsB)
	f.requireRuns()
}
