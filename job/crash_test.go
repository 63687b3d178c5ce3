package job

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// One job's task crashed every worker that started it within ten milliseconds. The owner
// learned of each crash from the machine list 0.15 s later and started the task on the next
// worker: 58 times in eleven seconds, and for two minutes under three owners in turn, until
// jobs sharing the pool of eleven workers were late or failed. Crashes did not count as
// failures, since a crashed worker reports no end.

// crashesAllowed is how many workers one task may crash: two more starts after three crashes are
// acceptable.
const crashesAllowed = 5

// crashing is an owner with a pool whose workers crash just after they have started a task of
// idA. Each is replaced by another worker at once.
type crashing struct {
	*fixture
	workers int
	crashes int
	// stored holds the stored progress of each job.
	stored map[ID]Progress
}

func newCrashing(t *testing.T, workers int) *crashing {
	f := &crashing{fixture: newFixture(t), stored: map[ID]Progress{}}
	for range workers {
		f.addWorker()
	}
	return f
}

// addWorker adds a worker that has answered.
func (f *crashing) addWorker() {
	f.workers++
	f.join(fmt.Sprint("worker-", f.workers))
}

// applyWrites applies the writes since the last call to the stored progress.
func (f *crashing) applyWrites() {
	for _, a := range f.out {
		w, ok := a.(WriteStore)
		if !ok {
			continue
		}
		for _, p := range w.Puts {
			if id, progress, err := decodeProgress(platform.Entry{Key: p.Key, Value: p.Value}); err == nil && strings.HasPrefix(p.Key, progressPrefix) {
				f.stored[id] = progress
			}
		}
	}
}

// simulate lets time pass: starts are accepted, and a worker that starts a task of idA crashes.
// Other tasks succeed after half a second.
func (f *crashing) simulate(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(tickEvery)
		f.applyWrites()
		for _, s := range f.starts() {
			if f.core.workers[s.Worker.ID] == nil {
				continue
			}
			f.acceptStart(s)
			if strings.HasPrefix(s.Order.Task, idA) {
				f.crash(s.Worker.ID)
			}
		}
		f.endOthers()
	}
}

// crash ends a worker and adds the next one. In this fixture each worker has a machine of its
// own.
func (f *crashing) crash(id platform.WorkerID) {
	f.crashes++
	f.fail(string(id), platform.ErrOtherIncarnation)
	f.addWorker()
}

// endOthers has runs of jobs other than idA succeed after half a second.
func (f *crashing) endOthers() {
	for id, w := range sorted(f.core.workers) {
		if _, ok := f.polls[id]; !ok {
			continue
		}
		var l platform.PollReply
		n := w.lastEndSeen
		for _, r := range w.runs {
			row := platform.RunningRow{Task: r.task.key().String(), Run: r.number, Percent: 50}
			if f.now.Sub(r.sentAt) < 500*time.Millisecond {
				l.Running = append(l.Running, row)
				continue
			}
			n++
			l.Ended = append(l.Ended, platform.EndedRow{Number: n, Task: row.Task, Run: row.Run, End: platform.EndDone})
		}
		f.answer(string(id), l)
	}
}

// replaceOwner replaces the owner by the next one, which inherits what the store holds and the
// workers that exist.
func (f *crashing) replaceOwner() {
	f.applyWrites()
	before := f.core
	roster := f.roster()
	f.now = f.now.Add(ownerTTL)
	f.core = NewCore(before.fence+1000, "entry-2", Size{}, f.now)
	f.polls = map[platform.WorkerID]PollWorker{}
	e := Inherited{Config: testConfig(), Progress: f.stored, Roster: roster}
	for _, w := range sorted(before.workers) {
		e.Workers = append(e.Workers, w.Worker)
	}
	for id, j := range sorted(before.jobs) {
		if !f.stored[id].State.Final() {
			e.Jobs = append(e.Jobs, Accepted{ID: id, Record: j.Record, Created: j.created})
		}
	}
	f.step(e)
}

func TestTaskThatCrashesWorkersFails(t *testing.T) {
	f := newCrashing(t, 4)
	f.submit(idA, "patient", oneTask())
	f.simulate(10 * time.Second)
	require.LessOrEqual(t, f.crashes, crashesAllowed)
	require.Equal(t, platform.StateFailed, f.state())
}

func TestCrashCountsSurviveOwnerChange(t *testing.T) {
	f := newCrashing(t, 4)
	f.submit(idA, "patient", oneTask())
	for n := 0; n < 10 && f.stored[idA].State != platform.StateFailed; n++ {
		for before := f.crashes; f.crashes == before && f.stored[idA].State != platform.StateFailed; {
			f.simulate(tickEvery)
		}
		f.simulate(2 * writeDelay)
		f.replaceOwner()
	}
	require.LessOrEqual(t, f.crashes, crashesAllowed)
	require.Equal(t, platform.StateFailed, f.stored[idA].State)
}

// Jobs that share a worker with a task that crashes it must not fail with it.
func TestJobsBesideACrashingTaskSucceed(t *testing.T) {
	f := newCrashing(t, 3)
	s := oneTask()
	s.Count = 3
	f.submit(idA, "patient", oneTask())
	f.submit(idB, "patient", s)
	f.simulate(8 * time.Second)
	require.Equal(t, platform.StateFailed, f.state())
	require.Equal(t, platform.StateSucceeded, f.stored[idB].State)
}

// If an owner counted crashes in its memory only, the next one would start from zero.
func TestIsolatedTaskWaitsUntilItsCrashesAreStored(t *testing.T) {
	f := newCrashing(t, 4)
	f.submit(idA, "patient", oneTask())
	f.holdWrites = true
	f.simulate(3 * time.Second)
	require.Equal(t, isolateFrom, f.crashes)
	f.holdWrites = false
	f.step(WriteResult{Number: f.core.writeNumber})
	f.simulate(time.Second)
	require.Equal(t, crashLimit, f.crashes)
}

// Nothing else starts beside an isolated task, so that its next crash has no other suspect.
func TestIsolatedTaskStartsAlone(t *testing.T) {
	f := newFixture(t)
	f.submit(idA, "patient", oneTask())
	f.core.task(taskKey{id: idA}).crashes = crashes{All: isolateFrom, Confirmed: isolateFrom}
	f.join("w1")
	f.submit(idB, "patient", oneTask())
	l := f.starts()
	require.Len(t, l, 1)
	require.True(t, strings.HasPrefix(l[0].Order.Task, idA))
	f.advance(startupWindow - tickEvery)
	require.Empty(t, f.starts())
	f.advance(2 * tickEvery)
	require.Len(t, f.starts(), 1)
}

// A task that lasts for weeks meets host crashes that it did not cause.
func TestStableRunClearsCrashes(t *testing.T) {
	f := newFixture(t)
	s := oneTask()
	s.Lasting = true
	f.submit(idA, "patient", s)
	for n := range 2 * crashLimitShared {
		id := fmt.Sprint("worker-", n)
		f.join(id)
		l := f.starts()
		require.Len(t, l, 1)
		f.acceptStart(l[0])
		for f.now.Before(f.core.task(taskKey{id: idA}).runs[0].sentAt.Add(stableAfter + time.Second)) {
			f.advance(pollWait)
			f.answer(id, platform.PollReply{Running: []platform.RunningRow{runningRow(l[0], 100)}})
		}
		f.fail(id, platform.ErrOtherIncarnation)
		require.Zero(t, f.core.task(taskKey{id: idA}).crashes)
	}
	require.Equal(t, platform.StateRunning, f.state())
}

// A start whose answer was lost may not have been carried out, so unconfirmed crashes fail a
// task only at a higher limit.
func TestUnconfirmedCrashesFailATaskLater(t *testing.T) {
	f := newFixture(t)
	f.submit(idA, "patient", oneTask())
	for n := 1; n <= crashLimitUnconfirmed; n++ {
		require.NotEqual(t, platform.StateFailed, f.state(), "after %d crashes", n-1)
		id := fmt.Sprint("worker-", n)
		f.join(id)
		f.advance(tickEvery)
		l := f.starts()
		require.Len(t, l, 1)
		f.loseStartReply(l[0])
		f.fail(id, platform.ErrOtherIncarnation)
	}
	require.Equal(t, platform.StateFailed, f.state())
}
