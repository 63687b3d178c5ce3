package job

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// stopsOf counts the orders to stop a run that were sent so far.
func (f *fixture) stopsOf(run int64) int {
	n := 0
	for _, s := range f.stops() {
		if s.Run == run {
			n++
		}
	}
	return n
}

func (f *fixture) loseStartReply(s StartRun) {
	f.step(StartResult{Worker: s.Worker.ID, Run: s.Order.Run, Task: s.Order.Task, Err: platform.ErrUnknownOutcome})
}

func (f *fixture) loseStopReply(s StartRun) {
	f.step(StopResult{Worker: s.Worker.ID, Run: s.Order.Run, Task: s.Order.Task, Err: platform.ErrUnknownOutcome})
}

// lastingTask returns a step of one task that runs until its job is cancelled.
func lastingTask() platform.Step {
	s := oneTask()
	s.Lasting = true
	return s
}

// The worker carries out the start after the job was cancelled, and the first order to stop got
// lost. The run is stopped again within orderTimeout and settleAfter.
func TestCancelledRunThatStartsLateIsStoppedAgain(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", lastingTask())
	l := f.starts()
	f.loseStartReply(l[0])
	f.step(CancelRequested{ID: idA})
	require.Equal(t, 1, f.stopsOf(l[0].Order.Run), "the order to stop is sent at once, and prevents a late start")
	f.advance(orderTimeout)
	f.loseStopReply(l[0])
	f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(l[0], 100)}})
	f.advance(settleAfter + 2*tickEvery)
	require.Equal(t, 2, f.stopsOf(l[0].Order.Run))
}

// The worker is silent until its lease has expired, so that its runs are given up. If it lists one
// of them later, that run is stopped at once.
func TestCancelledRunThatWasGivenUpIsStoppedWhenListed(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", lastingTask())
	l := f.starts()
	f.loseStartReply(l[0])
	f.step(CancelRequested{ID: idA})
	f.fail("w1", platform.ErrUnknownOutcome)
	for f.core.workers["w1"].findRun(taskKey{id: idA}, l[0].Order.Run) != nil {
		f.advance(tickEvery)
		if _, ok := f.polls["w1"]; ok {
			f.fail("w1", platform.ErrUnknownOutcome)
		}
	}
	sent := f.stopsOf(l[0].Order.Run)
	f.advance(pollRetry)
	f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(l[0], 100)}})
	require.Equal(t, sent+1, f.stopsOf(l[0].Order.Run))
}

// The owner that sent the start is gone. Whatever the store still holds of the job, the next owner
// stops the run after the first poll that lists it, and again if that order gets no response.
func TestNextOwnerStopsRunsOfCancelledJobs(t *testing.T) {
	rec := NewRecord(testConfig().Queues[0], platform.Submission{Spec: "s", Steps: []platform.Step{lastingTask()}}, time.Unix(1e9, 0))
	accepted := []Accepted{{ID: idA, Record: rec, Created: 50}}
	for name, e := range map[string]Inherited{
		"marked":    {Jobs: accepted, Cancels: []ID{idA}},
		"final":     {Progress: map[ID]Progress{idA: {State: platform.StateCancelled}}},
		"forgotten": {},
		"unlisted worker of the roster": {Roster: Roster{Workers: []RosterEntry{
			{ID: "w1", Service: "blue", Host: "host-of-w1", Address: testWorker("w1").Address},
		}}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newOwnerFixture(t, 200)
			e.Config = testConfig()
			if len(e.Roster.Workers) == 0 {
				e.Workers = []platform.Worker{testWorker("w1")}
			}
			f.step(e)
			late := StartRun{Worker: testWorker("w1"), Order: platform.StartOrder{Task: taskKey{id: idA}.String(), Run: 7}}
			f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(late, 100)}})
			require.Equal(t, 1, f.stopsOf(7))
			require.Empty(t, f.starts())
			f.advance(orderTimeout)
			f.loseStopReply(late)
			f.advance(2 * tickEvery)
			require.Equal(t, 2, f.stopsOf(7))
		})
	}
}

// A worker that first answers the next owner late may have carried out orders of the previous owner
// until then. All runs that it lists are stopped.
func TestRunOnWorkerThatAnswersLaterIsStopped(t *testing.T) {
	f := newOwnerFixture(t, 200)
	w := testWorker("w1")
	f.step(Inherited{Config: testConfig(), Workers: []platform.Worker{w}, Roster: Roster{Workers: []RosterEntry{rosterEntryOf(newWorker(w, f.now))}}})
	for range 10 {
		f.fail("w1", platform.ErrUnknownOutcome)
		f.advance(pollRetry + tickEvery)
	}
	late := StartRun{Worker: testWorker("w1"), Order: platform.StartOrder{Task: taskKey{id: idA}.String(), Run: 7}}
	f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(late, 100)}})
	require.Equal(t, 1, f.stopsOf(7))
}

// If the cancel mark were deleted before the final state is written, and the owner died between
// the two writes, the next owner would run the job again.
func TestCancelMarkStaysUntilItsJobIsFinalInTheStore(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	s := oneTask()
	s.MilliCores = 100
	for i := range jobsPerWrite {
		f.submit(fmt.Sprintf("%016x", i), "quick", s)
	}
	f.submit(idA, "quick", s)
	var ends []platform.EndedRow
	for i, l := range f.starts() {
		f.acceptStart(l)
		ends = append(ends, ended(int64(i+1), l, platform.EndDone))
	}
	require.Len(t, ends, jobsPerWrite+1)
	f.advance(100 * time.Millisecond)
	f.answer("w1", platform.PollReply{Ended: ends})
	f.step(CancelRequested{ID: idA})
	f.advance(time.Second)
	final := false
	for _, a := range f.out {
		write, ok := a.(WriteStore)
		if !ok {
			continue
		}
		for _, p := range write.Puts {
			final = final || (p.Key == progressKey(idA) && strings.Contains(string(p.Value), string(platform.StateSucceeded)))
		}
		if slices.Contains(write.Deletes, cancelKey(idA)) {
			require.True(t, final, "the mark is deleted before the store has the final state")
		}
	}
	require.True(t, final)
}

// A worker's clock is extrapolated from its last answer, and may be slow. An order that is carried
// out late remains valid until its lease expires, which has to be within the time that the next
// owner waits.
func TestLeaseOfIdleWorkerEndsWithinTakeoverWait(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	lastClock := f.clock
	f.advance(time.Minute)
	f.submit(idA, "quick", oneTask())
	leaseUntil := f.starts()[0].Order.LeaseUntil
	slowClock := lastClock + platform.WorkerClock(0.98*float64(f.clock-lastClock))
	longest := inheritedLease - ownerAuthority
	require.LessOrEqual(t, time.Duration(float64(leaseUntil-slowClock)/0.98)*time.Millisecond, longest)
	require.GreaterOrEqual(t, time.Duration(leaseUntil-f.clock)*time.Millisecond, leaseFor/2, "the next poll is sent at once and extends it")
}

// Polls that do not wait would be sent in a tight loop while the run stops.
func TestPollWaitsForTheEndOfAStoppedRun(t *testing.T) {
	f := newOwnerFixture(t, 200)
	f.step(Inherited{Config: testConfig(), Workers: []platform.Worker{testWorker("w1")}})
	late := StartRun{Worker: testWorker("w1"), Order: platform.StartOrder{Task: taskKey{id: idA}.String(), Run: 7}}
	f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(late, 100)}})
	f.step(StopResult{Worker: "w1", Run: 7, Task: late.Order.Task, Clock: f.clock})
	f.advance(2 * tickEvery)
	require.Equal(t, pollWait, f.polls["w1"].Order.Wait)
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, late, platform.EndStopped)}})
	require.Empty(t, f.core.workers["w1"].orphans)
	f.submit(idB, "quick", oneTask())
	require.Len(t, f.starts(), 1, "its resources are free at once")
}

// The cancel mark is in the store, so that any owner reaches the same state.
func TestCancelledStateIsReportedBeforeItIsStored(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", lastingTask())
	f.holdWrites = true
	f.step(CancelRequested{ID: idA})
	require.Equal(t, platform.StateCancelled, f.state())
}
