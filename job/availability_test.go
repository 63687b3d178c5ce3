package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// A run that was still warming up three seconds after its start was considered stuck, and was
// stopped without regard to its step's disruption budget. Its start had been carried out late:
// it was ready when the stop arrived, while another task of the step was unavailable. That
// happened when two hosts were emptied for maintenance within seconds and the task had just
// moved from the first to the second.
func TestWarmingRunIsNotStoppedWhileOthersAreUnavailable(t *testing.T) {
	f := newFixture(t)
	runs := threeReady(f)
	f.join("w4")
	f.drain("w1")
	f.advance(2 * tickEvery)
	require.Len(t, f.stops(), 1, "the run on w1 is stopped")
	moved := f.moveFrom("w1", runs)
	delete(runs, "w2")
	percent := 0
	warm := func(d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.advance(200 * time.Millisecond)
			f.pollAll(runs)
			if _, ok := f.polls[moved.Worker.ID]; ok && percent < 90 {
				percent += 5
				f.answer(string(moved.Worker.ID), platform.PollReply{Running: []platform.RunningRow{runningRow(moved, percent)}})
			}
		}
	}
	warm(pollFreshFor + tickEvery)
	f.drain(moved.Worker.ID)
	f.join("w5")
	warm(warmUp)
	require.Len(t, f.stops(), 1, "the task on w2 may be unavailable")
	require.Len(t, f.logged("stop deferred"), 1)
}

// moveFrom has the run on the worker end as stopped, and returns the start that follows
// elsewhere.
func (f *fixture) moveFrom(id platform.WorkerID, runs map[platform.WorkerID]StartRun) StartRun {
	if _, ok := f.polls[id]; !ok {
		f.step(StopResult{Worker: id, Run: runs[id].Order.Run, Task: runs[id].Order.Task, Clock: f.clock})
	}
	f.answer(string(id), platform.PollReply{Ended: []platform.EndedRow{ended(1, runs[id], platform.EndStopped)}})
	delete(runs, id)
	f.advance(tickEvery)
	l := f.starts()
	require.Len(f.t, l, 1)
	f.acceptStart(l[0])
	return l[0]
}

// missPolls drains w1, whose task of threeReady is then started on w4. That start is not
// answered yet. The returned runs are without w2: its polls stay unanswered, so that its task
// may be unavailable.
func missPolls(f *fixture) (runs map[platform.WorkerID]StartRun, moved StartRun) {
	runs = threeReady(f)
	f.join("w4")
	f.drain("w1")
	f.advance(2 * tickEvery)
	f.step(StopResult{Worker: "w1", Run: runs["w1"].Order.Run, Task: runs["w1"].Order.Task, Clock: f.clock})
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, runs["w1"], platform.EndStopped)}})
	f.advance(tickEvery)
	l := f.starts()
	require.Len(f.t, l, 1)
	delete(runs, "w1")
	delete(runs, "w2")
	f.out = nil
	return runs, l[0]
}

// answerLate answers the poll in flight, which was sent the given time ago.
func (f *fixture) answerLate(id platform.WorkerID, took time.Duration, r platform.PollReply) {
	delete(f.polls, id)
	r.Clock = f.clock
	f.step(PollResult{Worker: id, SentAt: f.now.Add(-took), Poll: r})
}

// Ready lasting tasks were stopped while others of their steps were unavailable: three of one
// step, and seven on one host within a millisecond. The answers to their starts had been lost,
// and the starts were carried out late. A single poll that did not list such a run was enough
// to stop it, no matter how old the poll was and how many other tasks were unavailable.
func TestUnconfirmedStartIsStoppedOnlyWhenKnownAbsent(t *testing.T) {
	f := newFixture(t)
	runs, moved := missPolls(f)
	f.advance(pollFreshFor)
	f.pollAll(runs)
	f.loseStartReply(moved)
	for range 2 {
		f.advance(400 * time.Millisecond)
		f.pollAll(runs)
		if _, ok := f.polls["w4"]; ok {
			f.answerLate("w4", 400*time.Millisecond, platform.PollReply{})
		}
		f.advance(tickEvery)
	}
	require.Empty(t, f.stops(), "it may be ready by now, and the task of w2 may be unavailable")
	f.advance(400 * time.Millisecond)
	f.answer("w4", platform.PollReply{})
	require.Len(t, f.stops(), 1, "it is known to be absent now")
}

// A run that makes no progress may resume at any time, and be ready when the stop arrives.
func TestStalledRunIsStoppedOnlyWhenKnownUnready(t *testing.T) {
	f := newFixture(t)
	runs, moved := missPolls(f)
	f.acceptStart(moved)
	reply := platform.PollReply{Running: []platform.RunningRow{runningRow(moved, 40)}}
	for range 9 {
		f.advance(400 * time.Millisecond)
		f.pollAll(runs)
		if _, ok := f.polls["w4"]; ok {
			f.answerLate("w4", 400*time.Millisecond, reply)
		}
	}
	require.Empty(t, f.stops(), "it may be ready by now, and the task of w2 may be unavailable")
	f.advance(400 * time.Millisecond)
	f.answer("w4", reply)
	require.Len(t, f.stops(), 1)
	require.Equal(t, "it makes no progress", f.logged("stop")[0].Why)
}

// Behind a slow link no poll is prompt, and the starts of all tasks of a step may be
// unconfirmed. They must not wait for one another forever.
func TestUnconfirmedStartsAreSettledWhenPollsAreSlow(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	s := oneTask()
	s.Count, s.Lasting, s.MaxUnavailable = 2, true, 1
	f.submit(idA, "quick", s)
	for _, r := range f.starts() {
		f.loseStartReply(r)
	}
	for range 20 {
		f.advance(400 * time.Millisecond)
		if _, ok := f.polls["w1"]; ok {
			f.answerLate("w1", 400*time.Millisecond, platform.PollReply{})
		}
	}
	require.Len(t, f.stops(), 2)
}

// The stop of a lasting task was not answered and was sent again 1.1 s later without checking
// the disruption budget again. Four other tasks of the step had become unavailable by then,
// and the run was ready.
func TestRepeatedStopChecksDisruptionBudgetAgain(t *testing.T) {
	f := newFixture(t)
	runs := threeReady(f)
	w1 := runs["w1"]
	f.join("w4")
	f.drain("w1")
	f.advance(2 * tickEvery)
	require.Len(t, f.stops(), 1)
	delete(runs, "w2")
	f.passReady(runs, pollFreshFor)
	f.step(StopResult{Worker: "w1", Run: w1.Order.Run, Task: w1.Order.Task, Err: common.ErrUnknownOutcome})
	f.passReady(runs, time.Second)
	require.Len(t, f.stops(), 1, "it is ready, and the task on w2 may be unavailable")
	require.Len(t, f.logged("stop withdrawn"), 1)
}

// Two stops that were not answered must not wait for one another forever.
func TestUnansweredStopsDoNotDeadlock(t *testing.T) {
	f := newFixture(t)
	ready := threeReady(f)
	f.join("w4")
	for _, id := range []platform.WorkerID{"w1", "w2"} {
		r := f.core.workers[id].findRun(taskKey{id: idA, index: ready[id].index()}, ready[id].Order.Run)
		f.core.stop(r, "its worker is being drained")
		r.stopPending = false
		f.drain(id)
	}
	f.out = nil
	f.passReady(ready, maxOrderDelay+2*time.Second)
	require.Len(t, f.stops(), 1)
}

// A ready lasting task was stopped a second after a takeover while another task of its step
// was being stopped by the previous owner. A worker goes on listing a run while it stops it,
// so its first answer to the new owner does not prove that the run is ready. The pause in
// evictions after a takeover does not cover a first answer that comes late.
func TestFirstPollDoesNotConfirmAdoptedTasksReady(t *testing.T) {
	f := newFixture(t)
	s := oneTask()
	s.Count, s.Lasting, s.MaxUnavailable, s.MilliCores = 2, true, 1, 4000
	f.submit(idA, "quick", s)
	reply := func(index int) platform.PollReply {
		k := taskKey{id: idA, index: index}
		return platform.PollReply{Running: []platform.RunningRow{{Task: k.String(), Run: int64(99*runsPerFence + index), Percent: 100}}}
	}
	answer := func(id platform.WorkerID, index int) {
		if _, ok := f.polls[id]; ok {
			f.answer(string(id), reply(index))
		}
	}
	f.step(WorkerListed{Worker: testWorker("w1")})
	f.step(WorkerListed{Worker: testWorker("w2")})
	for f.now.Before(f.core.evictFrom.Add(-100 * time.Millisecond)) {
		answer("w2", 1)
		f.advance(tickEvery)
	}
	answer("w1", 0)
	adopted := f.now
	f.join("w3")
	f.drain("w2")
	for range 10 {
		f.advance(tickEvery)
		answer("w2", 1)
	}
	require.Empty(t, f.stops(), "the previous owner may have stopped the other one")
	for range 10 {
		f.advance(tickEvery)
		answer("w2", 1)
		if f.now.After(adopted.Add(maxStopTime)) {
			answer("w1", 0)
		}
	}
	f.advance(pollWait)
	answer("w1", 0)
	f.advance(tickEvery)
	require.NotEmpty(t, f.stops())
}
