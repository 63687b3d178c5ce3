package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// A host that is idle gets an order to another pool while the store, which accepts a write
// only now and then, does not hold all ends on it yet. If the next owner did not find the
// host in the roster, it would start these tasks again, although the host still reports that
// they have ended.
func TestHostWithUnwrittenEndsStaysInTheRoster(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.listMachines(machineOf("w1", "blue"))
	// More jobs than one write holds.
	const manyJobs = platform.MaxTxn
	var rows []platform.EndedRow
	for i := range manyJobs {
		s := oneTask()
		s.MilliCores = 100
		tooLarge := platform.Step{Count: 1, After: []int{0}, Resources: platform.Resources{MilliCores: 9000}}
		f.submit(fmt.Sprintf("%016x", i), "quick", s, tooLarge)
		f.advance(tickEvery)
		for _, s := range f.starts() {
			f.acceptStart(s)
			rows = append(rows, ended(int64(i+1), s, platform.EndDone))
		}
	}
	require.Len(t, rows, manyJobs)
	f.advance(200 * time.Millisecond)
	f.holdWrites = true
	f.answer("w1", platform.PollReply{Ended: rows})
	require.True(t, f.core.workers["w1"].hasUnstoredEnds())
	f.core.recordOrder(f.core.machinesByName["host-of-w1"], &machineOrder{pool: "spare"})
	f.advance(100 * time.Millisecond)
	require.True(t, f.roster().has("w1"), "the write holds the ends of only some jobs")
}

// A start whose answer was lost may have been carried out long ago: stopping the run could
// leave fewer tasks ready than the step allows.
func TestLastingRunWithUnansweredStartIsNotStoppedBeforeAPoll(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2")
	s := oneTask()
	s.Count, s.Lasting, s.MaxUnavailable = 2, true, 1
	f.submit(idA, "quick", s)
	l := f.starts()
	require.Len(t, l, 2)
	for _, r := range l {
		f.step(StartResult{Worker: r.Worker.ID, Run: r.Order.Run, Task: r.Order.Task, Err: common.ErrUnknownOutcome})
	}
	f.advance(settleAfter + 100*time.Millisecond)
	require.Empty(t, f.stops(), "both runs may be ready")
	f.answer(string(l[0].Worker.ID), platform.PollReply{Running: []platform.RunningRow{runningRow(l[0], 100), runningRow(l[1], 100)}})
	f.advance(settleAfter + 100*time.Millisecond)
	require.Empty(t, f.stops(), "both runs are ready")
}

// A start whose answer was lost may be carried out late. A stop rules that out; it is sent
// once a poll shows that the run is not there, so that the stop ends nothing.
func TestAbsentLastingRunIsStoppedAfterALostAnswer(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	s := oneTask()
	s.Lasting, s.MaxUnavailable = true, 1
	f.submit(idA, "quick", s)
	l := f.starts()
	f.step(StartResult{Worker: "w1", Run: l[0].Order.Run, Task: l[0].Order.Task, Err: common.ErrUnknownOutcome})
	f.advance(100 * time.Millisecond)
	f.answer("w1", platform.PollReply{})
	f.advance(settleAfter + 100*time.Millisecond)
	require.Len(t, f.stops(), 1)
}
