package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// shrunk returns the record of worker w1 with a reduced capacity.
func shrunk(milliCores int64) WorkerListed {
	w := testWorker("w1")
	w.Capacity.MilliCores = milliCores
	return WorkerListed{Worker: w}
}

// A worker's capacity may shrink and grow again while it runs. Workers that do not check it
// start whatever they are ordered to, so the owner must follow their records at once.
func TestStartsFollowACapacityThatShrinksAndGrows(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	s := oneTask()
	s.Count = 4
	f.submit(idA, "patient", s)
	l := f.starts()
	require.Len(t, l, 4)
	for _, r := range l {
		f.acceptStart(r)
	}
	f.step(shrunk(2000))
	f.submit(idB, "quick", oneTask())
	f.advance(tickEvery)
	f.answer("w1", platform.PollReply{
		Running: []platform.RunningRow{runningRow(l[2], 10), runningRow(l[3], 10)},
		Ended:   []platform.EndedRow{ended(1, l[0], platform.EndDone), ended(2, l[1], platform.EndDone)},
	})
	f.advance(time.Second)
	require.Empty(t, f.starts(), "two tasks fill the reduced capacity")
	f.step(shrunk(3000))
	require.Len(t, f.starts(), 1)
}

// A run that is being stopped keeps its room until the worker reports its end.
func TestRunThatIsBeingStoppedTakesItsRoomAfterAShrink(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	s := oneTask()
	s.Count = 3
	f.submit(idA, "patient", s)
	l := f.starts()
	for _, r := range l {
		f.acceptStart(r)
	}
	f.step(shrunk(3000))
	f.step(CancelRequested{ID: idA})
	f.submit(idB, "quick", oneTask())
	require.Empty(t, f.starts())
	f.advance(tickEvery)
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndStopped)}, Running: []platform.RunningRow{runningRow(l[1], 1), runningRow(l[2], 1)}})
	require.Len(t, f.starts(), 1)
}

// A new owner uses the capacity that a worker reports now, not the one it had earlier.
func TestNextOwnerUsesTheReportedCapacity(t *testing.T) {
	f := newOwnerWithInheritedRuns(t)
	require.Empty(t, f.starts())
	f.step(shrunk(3000))
	require.Len(t, f.starts(), 1)
}

// newOwnerWithInheritedRuns returns an owner that finds two tasks of a job running on a
// worker without room for more, and a third task waiting.
func newOwnerWithInheritedRuns(t *testing.T) *fixture {
	f := newFixture(t)
	s := oneTask()
	s.Count = 3
	rec := NewRecord(f.core.queues["quick"], platform.Submission{Spec: "s", Steps: []platform.Step{s}}, f.now)
	f.step(Inherited{
		Config: testConfig(), Workers: []platform.Worker{shrunk(2000).Worker},
		Jobs:   []Accepted{{ID: idA, Record: rec, Created: 50}},
		Roster: Roster{Workers: []RosterEntry{{ID: "w1", Service: "blue", Host: "host-of-w1", Address: testWorker("w1").Address}}},
	})
	f.answer("w1", platform.PollReply{Running: []platform.RunningRow{
		{Task: idA + ".0.0.0", Run: 7}, {Task: idA + ".0.0.1", Run: 8},
	}})
	f.advance(tickEvery)
	return f
}
