package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// Callers saw more tasks of a lasting job away at once than it may miss. A host was emptied
// for its upkeep a few seconds after another had been, onto which the job's task had just
// moved, and the owner stopped that task, at work, while another of its step was away. The
// line `stop`, its worker is to be emptied, has `away` 2 of `may_miss` 1, `percent` 36 by a
// look of 430 ms before, `age_ms` 3020: a run that was not at work three seconds after its
// start was taken for one that never would be, and its stop did not ask how many were away.
// Its start had been carried out late, and it was at work when the stop came.
func TestWarmingRunIsNotStoppedWhileOthersAreUnavailable(t *testing.T) {
	f := newFixture(t)
	at := threeReady(f)
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
			f.pollAll(at)
			if _, ok := f.looks[moved.Worker.ID]; ok && percent < 90 {
				percent += 5
				f.answer(string(moved.Worker.ID), platform.PollReply{Running: []platform.RunningRow{runningRow(moved, percent)}})
			}
		}
	}
	warm(pollFreshFor + tickEvery)
	f.drain(moved.Worker.ID)
	f.join("w5")
	warm(warmUp)
	require.Len(t, f.stops(), 1, "what runs on w2 may be away")
	require.Len(t, f.noted("stop deferred"), 1)
}

// moveFrom has the run on the worker end as stopped, and returns the start that follows.
func (f *fixture) moveFrom(id platform.WorkerID, at map[platform.WorkerID]StartRun) StartRun {
	if _, ok := f.looks[id]; !ok {
		f.step(StopResult{Worker: id, Run: at[id].Order.Run, Task: at[id].Order.Task, Clock: f.clock})
	}
	f.answer(string(id), platform.PollReply{Ended: []platform.EndedRow{ended(1, at[id], platform.EndStopped)}})
	delete(at, id)
	f.pass(tickEvery)
	l := f.starts()
	require.Len(f.t, l, 1)
	f.took(l[0])
	return l[0]
}

// missPolls has w2, on which a task of threeAtWork runs, answer nothing for so long that the
// task may be away, and the task of w1 start on w4, which leaves the start unanswered.
func missPolls(f *fixture) (at map[platform.WorkerID]StartRun, moved StartRun) {
	at = threeReady(f)
	f.join("w4")
	f.drain("w1")
	f.pass(2 * tickEvery)
	f.step(StopResult{Worker: "w1", Run: at["w1"].Order.Run, Task: at["w1"].Order.Task, Clock: f.clock})
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, at["w1"], platform.EndStopped)}})
	f.pass(tickEvery)
	l := f.starts()
	require.Len(f.t, l, 1)
	delete(at, "w1")
	delete(at, "w2")
	f.out = nil
	return at, l[0]
}

// answerLate answers the look under way, which has taken for so long.
func (f *fixture) answerLate(id platform.WorkerID, took time.Duration, l platform.PollReply) {
	delete(f.looks, id)
	l.Clock = f.clock
	f.step(PollResult{Worker: id, SentAt: f.now.Add(-took), Poll: l})
}

// Lasting tasks that had just moved were stopped at work, three of a step and seven on one
// host within a millisecond, while others of their steps were away. Their starts had been
// left without an answer and were carried out late. The log has `start not answered`, and a
// second later `stop`, its start was not answered, with `away` 2 of `may_miss` 1: one look
// that did not list the run had been enough to stop it, at whatever time later and however
// many were away.
func TestUnconfirmedStartIsStoppedOnlyWhenKnownAbsent(t *testing.T) {
	f := newFixture(t)
	at, moved := missPolls(f)
	f.pass(pollFreshFor)
	f.pollAll(at)
	f.loseStartReply(moved)
	for range 2 {
		f.pass(400 * time.Millisecond)
		f.pollAll(at)
		if _, ok := f.looks["w4"]; ok {
			f.answerLate("w4", 400*time.Millisecond, platform.PollReply{})
		}
		f.pass(tickEvery)
	}
	require.Empty(t, f.stops(), "it may be at work by now, and the task of w2 may be away")
	f.pass(400 * time.Millisecond)
	f.answer("w4", platform.PollReply{})
	require.Len(t, f.stops(), 1, "it is not there at this moment")
}

// The same for a run that makes no progress: what stands still may go on at any time.
func TestStalledRunIsStoppedOnlyWhenKnownUnready(t *testing.T) {
	f := newFixture(t)
	at, moved := missPolls(f)
	f.took(moved)
	row := platform.PollReply{Running: []platform.RunningRow{runningRow(moved, 40)}}
	for range 9 {
		f.pass(400 * time.Millisecond)
		f.pollAll(at)
		if _, ok := f.looks["w4"]; ok {
			f.answerLate("w4", 400*time.Millisecond, row)
		}
	}
	require.Empty(t, f.stops(), "it may be at work by now, and the task of w2 may be away")
	f.pass(400 * time.Millisecond)
	f.answer("w4", row)
	require.Len(t, f.stops(), 1)
	require.Equal(t, "it makes no progress", f.noted("stop")[0].Why)
}

// Behind a narrow link no look is answered soon, and no start of any task of a step may have
// been: they must not wait for one another without end.
func TestUnconfirmedStartsAreResolvedWhenPollsAreSlow(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	s := oneTask()
	s.Count, s.Lasting, s.MaxUnavailable = 2, true, 1
	f.submit(idA, "quick", s)
	for _, r := range f.starts() {
		f.loseStartReply(r)
	}
	for range 20 {
		f.pass(400 * time.Millisecond)
		if _, ok := f.looks["w1"]; ok {
			f.answerLate("w1", 400*time.Millisecond, platform.PollReply{})
		}
	}
	require.Len(t, f.stops(), 2)
}

// A stop of a lasting task that nobody was away beside was not answered, and was sent again
// 1.1 s later, when four others of its step had gone: `stop sent again`, `sent` 1,
// `decided_ms` 1130, `away` 4 of `may_miss` 1. The run had begun and was at work by then.
// Only the decision had asked how many were away.
func TestRepeatedStopChecksDisruptionBudgetAgain(t *testing.T) {
	f := newFixture(t)
	at := threeReady(f)
	w1 := at["w1"]
	f.join("w4")
	f.drain("w1")
	f.pass(2 * tickEvery)
	require.Len(t, f.stops(), 1)
	delete(at, "w2")
	f.passReady(at, pollFreshFor)
	f.step(StopResult{Worker: "w1", Run: w1.Order.Run, Task: w1.Order.Task, Err: common.ErrUnknown})
	f.passReady(at, time.Second)
	require.Len(t, f.stops(), 1, "it is at work, and what runs on w2 may be away")
	require.Len(t, f.noted("stop withdrawn"), 1)
}

// Two stops that were not answered must not wait for one another without end.
func TestUnansweredStopsDoNotDeadlock(t *testing.T) {
	f := newFixture(t)
	at := threeReady(f)
	f.join("w4")
	for _, id := range []platform.WorkerID{"w1", "w2"} {
		r := f.core.workers[id].runs[runID{task: taskKey{id: idA, index: at[id].index()}, number: at[id].Order.Run}]
		f.core.stop(r, "its worker is to be emptied")
		r.stopPending = false
		f.drain(id)
	}
	f.out = nil
	f.passReady(at, maxOrderDelay+2*time.Second)
	require.Len(t, f.stops(), 1)
}

// A lasting task was stopped at work while another of its step was away, a second after a
// takeover. The owner before, which only the store had let go, had stopped the other one just
// before that task's worker first answered the next owner: `run taken over`, then `stop` of
// the second, `away` 0 by a look of 1.1 s before. A worker lists a run that it was told to
// stop for as long as the stop takes, and its first answer came so late that the pause after
// a takeover, which is meant for that, was over a moment later.
func TestFirstPollDoesNotConfirmAdoptedTasksReady(t *testing.T) {
	f := newFixture(t)
	s := oneTask()
	s.Count, s.Lasting, s.MaxUnavailable, s.MilliCores = 2, true, 1, 4000
	f.submit(idA, "quick", s)
	row := func(index int) platform.PollReply {
		k := taskKey{id: idA, index: index}
		return platform.PollReply{Running: []platform.RunningRow{{Task: k.String(), Run: int64(99*runsPerFence + index), Percent: 100}}}
	}
	answer := func(id platform.WorkerID, index int) {
		if _, ok := f.looks[id]; ok {
			f.answer(string(id), row(index))
		}
	}
	f.step(WorkerListed{Worker: testWorker("w1")})
	f.step(WorkerListed{Worker: testWorker("w2")})
	for f.now.Before(f.core.evacuateFrom.Add(-100 * time.Millisecond)) {
		answer("w2", 1)
		f.pass(tickEvery)
	}
	answer("w1", 0)
	adopted := f.now
	f.join("w3")
	f.drain("w2")
	for range 10 {
		f.pass(tickEvery)
		answer("w2", 1)
	}
	require.Empty(t, f.stops(), "the owner before may have stopped the other one")
	for range 10 {
		f.pass(tickEvery)
		answer("w2", 1)
		if f.now.After(adopted.Add(maxStopTime)) {
			answer("w1", 0)
		}
	}
	f.pass(pollWait)
	answer("w1", 0)
	f.pass(tickEvery)
	require.NotEmpty(t, f.stops())
}
