package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// A lasting job was shown as failed, and its four tasks that were at work on sound workers
// were stopped in the same millisecond and never came back. Three hosts had crashed within
// a few seconds, each a moment after a start of the same fifth task, which waves had moved
// on from host to host. The log said `crash counted` three times, with `crashes` 1 to 3, and
// then `job failed`, workers crashed under task ... as often as is borne, followed by a
// `stop` of each other task, job is failed. The task had nothing to do with the crashes: what
// gives up a task that ends after seconds was applied to one that hosts' crashes hit for as
// long as it lasts.

// crashTask has so many workers crash a moment after they have started the task, and
// returns the starts of the others of its step, which are at work.
func crashTask(f *fixture, crashes int) map[platform.WorkerID]StartRun {
	at := map[platform.WorkerID]StartRun{}
	f.join("w1", "w2", "w3", "w4")
	s := oneTask()
	s.Count, s.MaxPerWorker, s.Lasting, s.MaxUnavailable = 5, 1, true, 1
	f.submit(idA, "patient", s)
	for _, r := range f.starts() {
		f.took(r)
		at[r.Worker.ID] = r
	}
	f.passReady(at, stableAfter)
	for n := range crashes {
		id := fmt.Sprint("crashes-", n)
		f.join(id)
		f.pass(2 * tickEvery)
		l := f.starts()
		require.Len(f.t, l, 1, "start %d", n)
		f.took(l[0])
		f.fail(id, platform.ErrOtherIncarnation)
	}
	return at
}

func TestLastingJobSurvivesHostCrashes(t *testing.T) {
	f := newFixture(t)
	at := crashTask(f, crashLimit)
	require.Equal(t, platform.StateRunning, f.state())
	require.Empty(t, f.stops(), "the others are at work")
	f.join("w5")
	f.passReady(at, restartWithin)
	require.Len(t, f.starts(), 1, "the task runs again in time")
}

// restartWithin is when a lasting task is to run again after its last run.
const restartWithin = 6 * time.Second

// A task that does crash its workers costs one of them each crashPauseMost in the end.
func TestLastingTaskThatCrashesWorkersBacksOff(t *testing.T) {
	f := newCrashing(t, 4)
	s := oneTask()
	s.Lasting = true
	f.submit(idA, "patient", s)
	f.play(2 * time.Minute)
	require.LessOrEqual(t, f.crashes, 8)
	before := f.crashes
	f.succeed()
	f.play(maxCrashBackoff - time.Second)
	require.Equal(t, before, f.crashes, "the next owner waits as well")
	require.Equal(t, platform.StateRunning, f.state())
}
