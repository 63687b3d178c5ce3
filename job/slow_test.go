package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// spread starts a job of six tasks on three of four workers, two on each, and returns the
// starts by worker.
func spread(f *fixture) map[platform.WorkerID][]StartRun {
	s := oneTask()
	s.Count = 6
	s.MaxPerWorker = 2
	f.join("w1", "w2", "w3", "w4")
	f.submit(idA, "quick", s)
	l := map[platform.WorkerID][]StartRun{}
	for _, r := range f.starts() {
		f.acceptStart(r)
		l[r.Worker.ID] = append(l[r.Worker.ID], r)
	}
	require.Len(f.t, l, 3)
	return l
}

// reportPercent answers a poll of the worker: all its runs are at the percentage.
func (f *fixture) reportPercent(w platform.WorkerID, l []StartRun, percent int) {
	var rows []platform.RunningRow
	for _, r := range l {
		rows = append(rows, runningRow(r, percent))
	}
	f.answer(string(w), platform.PollReply{Running: rows})
}

// A task that takes long everywhere stays where it is, as a restart would only lose its
// progress.
func TestLongTaskIsNotTakenForASlowWorker(t *testing.T) {
	f := newFixture(t)
	l := spread(f)
	f.advance(time.Second)
	for range 2 {
		for w, r := range l {
			f.reportPercent(w, r, 16)
		}
		f.advance(100 * time.Millisecond)
	}
	require.Empty(t, f.stops(), "all take six times as long as expected")
}

// Tasks on a slow worker are started again elsewhere once others of their step have proved much
// faster.
func TestSlowWorkerIsDetectedByTasksOfSameStep(t *testing.T) {
	f := newFixture(t)
	l := spread(f)
	f.advance(time.Second)
	var slow platform.WorkerID
	for w, r := range l {
		if slow == "" {
			slow = w
			continue
		}
		f.reportPercent(w, r, 70)
	}
	f.reportPercent(slow, l[slow], 15)
	s := f.stops()
	require.Len(t, s, 2)
	require.Equal(t, slow, s[0].Worker.ID)
}

// Without tasks of the same step on other workers, other jobs on the worker decide.
func TestSlowWorkerIsDetectedByOtherJobs(t *testing.T) {
	for _, v := range []struct {
		others int
		stops  bool
	}{{15, true}, {60, false}} {
		f := newFixture(t)
		f.join("w1")
		for _, id := range []string{idA, idB, "00000000000000cc"} {
			f.submit(id, "quick", oneTask())
		}
		l := f.starts()
		require.Len(t, l, 3)
		for _, r := range l {
			f.acceptStart(r)
		}
		f.join("w2")
		f.advance(time.Second)
		rows := []platform.RunningRow{runningRow(l[1], v.others), runningRow(l[2], v.others), runningRow(l[0], 15)}
		f.answer("w1", platform.PollReply{Running: rows})
		f.advance(50 * time.Millisecond)
		f.answer("w1", platform.PollReply{Running: rows})
		require.Equal(t, v.stops, len(f.stops()) > 0, "others at %d", v.others)
	}
}
