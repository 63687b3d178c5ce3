package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// A lasting job failed, and four ready tasks on healthy workers were stopped, because three
// hosts crashed within a few seconds, each a moment after the job's fifth task had started
// there. The task had not caused the crashes. The crash limit is meant for short tasks: a
// lasting task meets crashes of hosts for as long as it lasts.

// crashTask has the given number of workers crash just after they have started the same task,
// and returns the starts of the other tasks of its step, which are ready.
func crashTask(f *fixture, crashes int) map[platform.WorkerID]StartRun {
	runs := map[platform.WorkerID]StartRun{}
	f.join("w1", "w2", "w3", "w4")
	s := oneTask()
	s.Count, s.MaxPerWorker, s.Lasting, s.MaxUnavailable = 5, 1, true, 1
	f.submit(idA, "patient", s)
	for _, r := range f.starts() {
		f.acceptStart(r)
		runs[r.Worker.ID] = r
	}
	f.passReady(runs, stableAfter)
	for n := range crashes {
		id := fmt.Sprint("crashes-", n)
		f.join(id)
		f.advance(2 * tickEvery)
		l := f.starts()
		require.Len(f.t, l, 1, "start %d", n)
		f.acceptStart(l[0])
		f.fail(id, platform.ErrOtherIncarnation)
	}
	return runs
}

func TestLastingJobSurvivesHostCrashes(t *testing.T) {
	f := newFixture(t)
	runs := crashTask(f, crashLimit)
	require.Equal(t, platform.StateRunning, f.state())
	require.Empty(t, f.stops(), "the others are ready")
	f.join("w5")
	f.passReady(runs, restartWithin)
	require.Len(t, f.starts(), 1, "the task runs again in time")
}

// restartWithin is the time after the end of its last run in which a lasting task has to run
// again.
const restartWithin = 6 * time.Second

// The backoff of a task that does crash its workers grows to one crash per maxCrashBackoff.
func TestLastingTaskThatCrashesWorkersBacksOff(t *testing.T) {
	f := newCrashing(t, 4)
	s := oneTask()
	s.Lasting = true
	f.submit(idA, "patient", s)
	f.simulate(2 * time.Minute)
	require.LessOrEqual(t, f.crashes, 8)
	before := f.crashes
	f.replaceOwner()
	f.simulate(maxCrashBackoff - time.Second)
	require.Equal(t, before, f.crashes, "the next owner waits as well")
	require.Equal(t, platform.StateRunning, f.state())
}

// TestLastingTaskThatIsAwayLongestStartsFirst guards against a task that waits for as long as others
// of its step, with a lower index, keep losing their workers.
func TestLastingTaskThatIsAwayLongestStartsFirst(t *testing.T) {
	f := newFixture(t)
	f.withoutSparePool()
	f.join("w1", "w2")
	s := oneTask()
	s.Count, s.MaxPerWorker, s.Lasting, s.MaxUnavailable = 2, 1, true, 2
	f.submit(idA, "quick", s)
	l := f.starts()
	require.Len(t, l, 2)
	for _, r := range l {
		f.acceptStart(r)
		f.answer(string(r.Worker.ID), platform.PollReply{Running: []platform.RunningRow{runningRow(r, 100)}})
	}
	f.advance(time.Second)
	for _, r := range []StartRun{l[1], l[0]} {
		w := testWorker(string(r.Worker.ID))
		w.Draining = true
		f.step(WorkerListed{Worker: w})
		f.advance(100 * time.Millisecond)
		f.answer(string(r.Worker.ID), platform.PollReply{Ended: []platform.EndedRow{ended(1, r, platform.EndFailed)}})
		f.advance(time.Second)
	}
	f.starts()
	f.join("w3")
	f.advance(tickEvery)
	next := f.starts()
	require.Len(t, next, 1)
	require.Equal(t, l[1].Order.Task, next[0].Order.Task)
}
