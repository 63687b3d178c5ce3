package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// Callers saw more tasks of a lasting job away at once than it may miss. A host was emptied
// for its upkeep a few seconds after another had been, onto which the job's task had just
// moved, and the owner stopped that task, at work, while another of its step was away. The
// line `stop`, its worker is to be emptied, has `away` 2 of `may_miss` 1, `percent` 36 by a
// look of 430 ms before, `age_ms` 3020: a run that was not at work three seconds after its
// start was taken for one that never would be, and its stop did not ask how many were away.
// Its start had been carried out late, and it was at work when the stop came.
func TestRunThatIsOnItsWayIsNotStoppedWhileOthersAreAway(t *testing.T) {
	f := newFixture(t)
	at := threeAtWork(f)
	f.join("w4")
	f.drain("w1")
	f.pass(2 * tickEvery)
	require.Len(t, f.stops(), 1, "the first leaves")
	moved := f.moveFrom("w1", at)
	delete(at, "w2")
	percent := 0
	warm := func(d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.pass(200 * time.Millisecond)
			f.lookAll(at)
			if _, ok := f.looks[moved.Worker.ID]; ok && percent < 90 {
				percent += 5
				f.answer(string(moved.Worker.ID), platform.Look{Running: []platform.RunningRow{runningRow(moved, percent)}})
			}
		}
	}
	warm(soundFor + tickEvery)
	f.drain(moved.Worker.ID)
	f.join("w5")
	warm(warmUp)
	require.Len(t, f.stops(), 1, "what runs on w2 may be away")
	require.Len(t, f.noted("stop held back"), 1)
}

// moveFrom has the run on the worker end as stopped, and returns the start that follows.
func (f *fixture) moveFrom(id platform.WorkerID, at map[platform.WorkerID]StartRun) StartRun {
	if _, ok := f.looks[id]; !ok {
		f.step(Stopped{Worker: id, Run: at[id].Order.Run, Task: at[id].Order.Task, Clock: f.clock})
	}
	f.answer(string(id), platform.Look{Ended: []platform.EndedRow{ended(1, at[id], platform.EndStopped)}})
	delete(at, id)
	f.pass(tickEvery)
	l := f.starts()
	require.Len(f.t, l, 1)
	f.took(l[0])
	return l[0]
}
