package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// requestWave requests a wave over the machines of the workers.
func (f *fixture) requestWave(maxDown int, workers ...string) {
	v := platform.Wave{Number: 4, TimeLimit: 20 * time.Second, MaxDown: maxDown}
	for _, w := range workers {
		v.Machines = append(v.Machines, "host-of-"+w)
	}
	f.step(WaveRequested{Wave: v})
}

// TestDrainAheadEndsForATaskThatNeedsItsWorker guards against tasks that wait for a slot of a wave, as
// the only worker with their label is drained ahead of it.
func TestDrainAheadEndsForATaskThatNeedsItsWorker(t *testing.T) {
	f := newFixture(t)
	f.withoutSparePool()
	f.join("w1", "w3")
	w := testWorker("w2")
	w.Labels = append(w.Labels, "gold")
	f.step(WorkerListed{Worker: w})
	f.answer("w2", platform.PollReply{})
	f.listMachines(machineOf("w1", "blue"), machineOf("w2", "blue"), machineOf("w3", "blue"))
	f.requestWave(1, "w1", "w2")
	f.advance(time.Second)
	require.Len(t, f.maintenanceOrders(), 1)
	require.True(t, f.core.workers["w2"].cordoned)
	s := oneTask()
	s.Requires = "gold"
	f.submit(idA, "quick", s)
	f.advance(4 * tickEvery)
	require.Len(t, f.starts(), 1)
}

// TestDrainThatCannotEndIsEndedAfterAWhile guards against drains that keep starts off a worker for as
// long as a lasting task cannot leave it.
func TestDrainThatCannotEndIsEndedAfterAWhile(t *testing.T) {
	f := newFixture(t)
	f.withoutSparePool()
	f.join("w1")
	s := oneTask()
	s.Count, s.Lasting, s.MaxUnavailable, s.Requires = 2, true, 1, "r1-1"
	f.submit(idA, "quick", s)
	l := f.starts()
	require.Len(t, l, 2)
	for _, r := range l {
		f.acceptStart(r)
	}
	other := testWorker("w2")
	other.Labels = nil
	f.step(WorkerListed{Worker: other})
	f.answer("w2", platform.PollReply{})
	f.listMachines(machineOf("w1", "blue"), machineOf("w2", "blue"))
	f.requestWave(1, "w1")
	w := f.core.workers["w1"]
	cordoned := 0
	for range 180 {
		f.advance(100 * time.Millisecond)
		if _, ok := f.polls["w1"]; ok {
			f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(l[0], 100), runningRow(l[1], 100)}})
		}
		if w.cordoned {
			cordoned++
		}
	}
	require.Empty(t, f.stops())
	require.Less(t, cordoned, 140, "of 180 tenths of a second")
}

// TestDrainEndsWithItsWave guards against machines that get no starts any more after they have left
// the wave that they were drained for.
func TestDrainEndsWithItsWave(t *testing.T) {
	f := newFixture(t)
	f.withoutSparePool()
	f.join("w1", "w2")
	busy := oneTask()
	busy.Count = 8
	f.submit(idA, "quick", busy)
	for _, r := range f.starts() {
		f.acceptStart(r)
	}
	f.listMachines(machineOf("w1", "blue"), machineOf("w2", "blue"))
	f.requestWave(1, "w1")
	f.advance(time.Second)
	require.True(t, f.core.workers["w1"].cordoned)
	f.core.waves[4].drop("host-of-w1")
	f.advance(2 * tickEvery)
	require.False(t, f.core.workers["w1"].cordoned)
}

// TestStoppedLastingTasksDoNotStartAgainBeforeTheMaintenance guards against drains that end after lasting
// tasks were stopped for them, as those tasks wait for the worker.
func TestStoppedLastingTasksDoNotStartAgainBeforeTheMaintenance(t *testing.T) {
	f := newFixture(t)
	f.withoutSparePool()
	f.join("w1", "w2")
	lasting := oneTask()
	lasting.Count, lasting.MaxPerWorker, lasting.Lasting, lasting.MaxUnavailable = 2, 1, true, 2
	f.submit(idA, "quick", lasting)
	runs := map[platform.WorkerID]StartRun{}
	for _, r := range f.starts() {
		f.acceptStart(r)
		runs[r.Worker.ID] = r
	}
	require.Len(t, runs, 2)
	short := oneTask()
	short.Count = 6
	f.submit(idB, "quick", short)
	rows := map[platform.WorkerID][]platform.RunningRow{}
	for _, r := range f.starts() {
		f.acceptStart(r)
		rows[r.Worker.ID] = append(rows[r.Worker.ID], runningRow(r, 1))
	}
	f.listMachines(machineOf("w1", "blue"), machineOf("w2", "blue"))
	f.advance(evictionDelay)
	f.requestWave(2, "w1", "w2")
	for range 80 {
		f.advance(tickEvery)
		for id, r := range runs {
			if _, ok := f.polls[id]; ok {
				f.answer(string(id), f.rowsOf(r, rows[id], id == "w2"))
			}
		}
	}
	require.Len(t, f.maintenanceOrders(), 2)
	require.Empty(t, f.starts())
}

// rowsOf returns the answer to a poll of a worker with a lasting run and others. It lists the end of the
// lasting run once that was ordered to stop; if late, only after another machine was ordered.
func (f *fixture) rowsOf(lasting StartRun, others []platform.RunningRow, late bool) platform.PollReply {
	for _, a := range f.stops() {
		if a.Task == lasting.Order.Task && (!late || len(f.maintenanceOrders()) > 0) {
			return platform.PollReply{Running: others, Ended: []platform.EndedRow{ended(1, lasting, platform.EndStopped)}}
		}
	}
	return platform.PollReply{Running: append([]platform.RunningRow{runningRow(lasting, 100)}, others...)}
}

// TestDrainThatWaitsForABudgetIsEndedAfterAWhile guards against drains that keep starts off workers for as
// long as a disruption budget is used up, although the lasting tasks have room elsewhere.
func TestDrainThatWaitsForABudgetIsEndedAfterAWhile(t *testing.T) {
	f := newFixture(t)
	f.withoutSparePool()
	f.join("w1", "w2")
	s := oneTask()
	s.Count, s.MaxPerWorker, s.Lasting, s.MaxUnavailable = 2, 1, true, 1
	f.submit(idA, "quick", s)
	runs := map[platform.WorkerID]StartRun{}
	for _, r := range f.starts() {
		f.acceptStart(r)
		runs[r.Worker.ID] = r
	}
	require.Len(t, runs, 2)
	f.join("w3")
	f.listMachines(machineOf("w1", "blue"), machineOf("w2", "blue"), machineOf("w3", "blue"))
	f.advance(evictionDelay)
	f.requestWave(1, "w1")
	cordoned := 0
	for x := range 180 {
		f.advance(100 * time.Millisecond)
		for id, r := range runs {
			percent := 100
			if id == "w2" {
				percent = 10 + x/10
			}
			if _, ok := f.polls[id]; ok {
				f.answer(string(id), platform.PollReply{Running: []platform.RunningRow{runningRow(r, percent)}})
			}
		}
		if f.core.workers["w1"].cordoned {
			cordoned++
		}
	}
	require.Empty(t, f.stops())
	require.Less(t, cordoned, 140, "of 180 tenths of a second")
}
