package job

import (
	"testing"
	"time"
)

// A task ran twice at once: a worker that had restarted unnoticed accepted a start with a lease by
// the clock of the earlier incarnation, and fell silent before its next poll.
func TestLeaseOfAStartAtAnUnnoticedIncarnationIsOutlasted(t *testing.T) {
	f := newLateFixture(t, longUp)
	f.pass(2 * time.Second)
	second := f.start(secondIncarnation, 0)
	f.submitTask(idB)
	f.keep = isPoll
	f.passUntil(5*time.Second, func() bool { return second.runs[taskB] != nil })
	f.keep = func(Action) bool { return false }
	f.requireMoves(second)
}
