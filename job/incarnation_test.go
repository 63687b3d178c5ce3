package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// A worker may crash and restart under its name before its record expires, so that only its
// start time tells the incarnations apart; the ids here consist of name and start time.
// An owner that took the later incarnation for the earlier one would discard its ends, which are
// numbered from one again, as handled already. It would see a clock that goes back, and would
// wait for the lost runs until a poll did not list them.

// restartFixture is a worker that runs one task and restarts as secondIncarnation.
type restartFixture struct {
	*fixture
	run StartRun
}

// The incarnations of w1. The later one has an earlier start time, as the clock has gone back.
const firstIncarnation, secondIncarnation = "w1@1700000000500", "w1@1700000000400"

func newRestartFixture(t *testing.T, others ...string) *restartFixture {
	t.Helper()
	f := newFixture(t)
	f.join(firstIncarnation)
	f.submit(idA, "quick", platform.Step{Count: 1, Resources: platform.Resources{MilliCores: 1000}, Estimate: time.Minute})
	l := f.starts()
	require.Len(t, l, 1)
	f.join(others...)
	return &restartFixture{fixture: f, run: l[0]}
}

// onHost returns the record of a worker on the host of w1.
func onHost(id string) platform.Worker {
	w := testWorker(id)
	w.Host = "host-of-" + firstIncarnation
	return w
}

// reportRun has the first incarnation report its run.
func (f *restartFixture) reportRun() {
	f.acceptStart(f.run)
	f.advance(tickEvery)
	f.answer(firstIncarnation, platform.PollReply{Running: []platform.RunningRow{runningRow(f.run, 10)}})
}

// answeredBy answers a poll of one incarnation as another one would.
func (f *fixture) answeredBy(asked string, i platform.Incarnation, l platform.PollReply) {
	l.Incarnation = i
	f.answer(asked, l)
}

// countLogged counts the log lines with the text.
func (f *fixture) countLogged(what string) int {
	n := 0
	for _, a := range f.out {
		if v, ok := a.(LogLine); ok && v.What == what {
			n++
		}
	}
	return n
}

func TestRestartSeenInRecordEndsEarlierRunsAtOnce(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.reportRun()
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	l := f.starts()
	require.Len(t, l, 1, "the task starts elsewhere without waiting for a lease")
	require.EqualValues(t, "w2", l[0].Worker.ID)
	require.Equal(t, 1, f.countLogged("worker restarted"))
}

func TestRestartSeenInAnswerEndsEarlierRunsAtOnce(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.reportRun()
	f.answeredBy(firstIncarnation, 1700000000400, platform.PollReply{})
	l := f.starts()
	require.Len(t, l, 1)
	require.EqualValues(t, "w2", l[0].Worker.ID)
	require.Contains(t, f.polls, platform.WorkerID(secondIncarnation), "it is polled on its own, and told the fence")
}

// An end of the later incarnation is new even if an end of the earlier one had the same number.
func TestEndNumbersRestartWithIncarnation(t *testing.T) {
	f := newFixture(t)
	f.join(firstIncarnation)
	f.submit(idA, "quick", oneTask(), platform.Step{Count: 1, After: []int{0}})
	l := f.starts()
	f.acceptStart(l[0])
	f.answer(firstIncarnation, platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	f.advance(200 * time.Millisecond)
	next := f.starts()
	require.Len(t, next, 1)
	f.step(StartResult{Worker: firstIncarnation, Run: next[0].Order.Run, Task: next[0].Order.Task, Err: platform.ErrUnknownOutcome})
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	require.Zero(t, f.polls[secondIncarnation].Order.LastAcked, "it has reported no end yet")
	f.advance(tickEvery)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{Ended: []platform.EndedRow{ended(1, next[0], platform.EndDone)}})
	f.advance(200 * time.Millisecond)
	require.Equal(t, platform.StateSucceeded, f.state())
}

// A worker that may have restarted unnoticed is not told the number of the last end, as it would
// forget ends that nobody has read.
func TestSilentWorkerGetsNoAck(t *testing.T) {
	f := newFixture(t)
	f.join(firstIncarnation)
	f.submit(idA, "quick", oneTask(), platform.Step{Count: 1, After: []int{0}, Estimate: time.Minute})
	l := f.starts()
	f.acceptStart(l[0])
	f.answer(firstIncarnation, platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	f.advance(200 * time.Millisecond)
	f.acceptStart(f.starts()[0])
	require.EqualValues(t, 1, f.core.workers[firstIncarnation].lastEndStored)
	f.fail(firstIncarnation, platform.ErrUnknownOutcome)
	f.advance(2 * pollRetry)
	require.Zero(t, f.polls[firstIncarnation].Order.LastAcked)
}

func TestUnansweredStartIsSettledAtNextIncarnation(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.step(StartResult{Worker: firstIncarnation, Run: f.run.Order.Run, Task: f.run.Order.Task, Err: platform.ErrUnknownOutcome})
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.advance(tickEvery)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	require.Empty(t, f.starts(), "it may be carried out late")
	f.advance(settleAfter + tickEvery)
	l := f.stops()
	require.NotEmpty(t, l)
	require.EqualValues(t, secondIncarnation, l[0].Worker.ID)
	f.step(StopResult{Worker: secondIncarnation, Run: f.run.Order.Run, Task: f.run.Order.Task})
	f.advance(tickEvery)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	f.advance(200 * time.Millisecond)
	require.Len(t, f.starts(), 1)
}

func TestStartThatTheNextIncarnationCarriesOutGoesOn(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.advance(tickEvery)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{Running: []platform.RunningRow{runningRow(f.run, 5)}})
	f.acceptStart(f.run)
	require.Empty(t, f.starts())
	require.Empty(t, f.stops())
	f.advance(pollWait)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{Ended: []platform.EndedRow{ended(1, f.run, platform.EndDone)}})
	f.advance(200 * time.Millisecond)
	require.Equal(t, platform.StateSucceeded, f.state())
}

func TestLateRecordOfEarlierIncarnationIsIgnored(t *testing.T) {
	f := newRestartFixture(t)
	f.reportRun()
	f.answeredBy(firstIncarnation, 1700000000400, platform.PollReply{})
	f.advance(tickEvery)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	f.step(WorkerListed{Worker: onHost(firstIncarnation)})
	require.NotContains(t, f.core.workers, platform.WorkerID(firstIncarnation))
	require.Equal(t, 1, f.countLogged("worker record ignored"))
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.advance(200 * time.Millisecond)
	require.NotEmpty(t, f.starts(), "it accepts starts once its own record is there")
}

// An invalid start time does not prove that another incarnation is running.
func TestInvalidStartTimeLosesNoRun(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.reportRun()
	w := onHost("w1")
	w.InvalidStartReason = "start \"soon\" is not a whole number"
	f.step(WorkerListed{Worker: w})
	for range 3 {
		f.advance(pollWait)
		f.answer(firstIncarnation, platform.PollReply{ReportedStart: platform.ReportedStart{InvalidReason: "start -1 is out of range"}, Running: []platform.RunningRow{runningRow(f.run, 20)}})
	}
	require.Empty(t, f.starts())
	require.Equal(t, 2, f.countLogged("worker start time invalid"), "once by its record, once by its answers")
	require.Len(t, f.core.workers, 2)
}

// The machine list names workers, not their incarnations.
func TestMachineListDoesNotIdentifyIncarnations(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.reportRun()
	f.advance(time.Second)
	f.listMachines(platform.Machine{Name: "host-of-" + firstIncarnation, Pool: "blue", State: platform.MachineUp, Worker: "w1"}, machineOf("w2", "blue"))
	require.False(t, f.core.workers[firstIncarnation].stale)
	require.Empty(t, f.starts())
}

// A crash is counted once, however many signs of it there are.
func TestRestartIsOneCrash(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.step(StartResult{Worker: firstIncarnation, Run: f.run.Order.Run, Task: f.run.Order.Task, Err: platform.ErrUnknownOutcome})
	f.answeredBy(firstIncarnation, 1700000000400, platform.PollReply{})
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.step(WorkerListed{Worker: onHost("w1@1700000000600")})
	last := "w1@1700000000600"
	f.advance(settleAfter + 2*tickEvery)
	f.answeredBy(last, 1700000000600, platform.PollReply{})
	require.Zero(t, f.countLogged("crash counted"), "the start may still be carried out")
	f.advance(settleAfter + 2*tickEvery)
	f.step(StopResult{Worker: platform.WorkerID(last), Run: f.run.Order.Run, Task: f.run.Order.Task})
	f.advance(tickEvery)
	f.answeredBy(last, 1700000000600, platform.PollReply{})
	require.Equal(t, 1, f.countLogged("crash counted"), "the start may have been carried out by one of them")
}

// A start that the next incarnation carries out had not been carried out by the crashed one.
func TestStartThatNextIncarnationRunsCountsNoCrash(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.acceptStart(f.run)
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.advance(tickEvery)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{Running: []platform.RunningRow{runningRow(f.run, 1)}})
	f.advance(pollWait)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{Ended: []platform.EndedRow{ended(1, f.run, platform.EndDone)}})
	require.Zero(t, f.countLogged("crash counted"))
}

func TestRestartAfterDrainCountsNoCrash(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.reportRun()
	w := onHost(firstIncarnation)
	w.Draining = true
	f.step(WorkerListed{Worker: w})
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	require.Zero(t, f.countLogged("crash counted"))
	require.Len(t, f.starts(), 1)
}

// The clock of the next incarnation restarts, and so do the leases on it.
func TestLeaseUsesClockOfNextIncarnation(t *testing.T) {
	f := newRestartFixture(t)
	f.reportRun()
	f.clock = 90_000_000
	f.advance(pollWait)
	f.answer(firstIncarnation, platform.PollReply{Running: []platform.RunningRow{runningRow(f.run, 20)}})
	f.clock = 20
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	f.advance(200 * time.Millisecond)
	l := f.starts()
	require.NotEmpty(t, l)
	require.EqualValues(t, secondIncarnation, l[0].Worker.ID)
	require.Less(t, int64(l[0].Order.LeaseUntil), 20+200+leaseFor.Milliseconds()+100)
}

// An earlier owner's start may be carried out by the next incarnation, which knows no fence
// yet. The next owner polls that one before it starts tasks that the earlier owner knew of.
func TestNextOwnerPollsNextIncarnationFirst(t *testing.T) {
	f := newRestartFixture(t)
	f.reportRun()
	h := newOwnerFixture(t, 200)
	r := NewRecord(f.core.queues["quick"], platform.Submission{Spec: "spec", Steps: []platform.Step{oneTask()}}, f.now)
	h.step(Inherited{
		Config: testConfig(), Workers: []platform.Worker{onHost(firstIncarnation), testWorker("w2")}, Roster: f.roster(),
		Jobs: []Accepted{{ID: idA, Record: r, Created: 50}}, Progress: map[ID]Progress{},
	})
	h.answer("w2", platform.PollReply{})
	h.step(WorkerListed{Worker: onHost(secondIncarnation)})
	h.advance(time.Second)
	require.Empty(t, h.starts())
	h.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	h.advance(200 * time.Millisecond)
	require.Len(t, h.starts(), 1)
}

// A restarted worker knows no fence. An owner that was paused, and may have been replaced
// meanwhile, renews its lease before it starts anything.
func TestPausedOwnerStartsNothingBeforeLeaseRenewal(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.now = f.now.Add(4 * time.Second)
	f.submit(idA, "quick", oneTask())
	require.Empty(t, f.starts())
	f.advance(tickEvery)
	require.Len(t, f.starts(), 1)
}

// After an order to a machine, a worker of the same name there may be another incarnation.
func TestWorkerIsPolledAgainAfterMachineOrder(t *testing.T) {
	f := newFixture(t)
	f.join(firstIncarnation)
	m := platform.Machine{Name: "host-of-" + firstIncarnation, Pool: "blue", State: platform.MachineUp, Worker: "w1"}
	f.listMachines(m)
	f.advance(tickEvery)
	f.core.recordOrder(f.core.machinesByName[m.Name], &machineOrder{pool: "green"})
	f.advance(tickEvery)
	f.step(MachineOrderResult{Machine: m.Name, Verdict: platform.OrderAccepted})
	f.advance(2 * time.Second)
	f.listMachines(m)
	f.submit(idA, "quick", oneTask())
	require.Empty(t, f.starts(), "not before it has answered")
	f.advance(tickEvery)
	f.answeredBy(firstIncarnation, 1700000000400, platform.PollReply{})
	require.NotContains(t, f.core.workers, platform.WorkerID(firstIncarnation))
}

// If a record shows one incarnation and an answer another, it is unknown which is the later
// one, so both are polled. The removal of the record concerns both.
func TestRemovedRecordUnlistsEachIncarnation(t *testing.T) {
	f := newRestartFixture(t)
	f.reportRun()
	f.answeredBy(firstIncarnation, 1700000000400, platform.PollReply{})
	third := "w1@1700000000700"
	f.step(WorkerListed{Worker: onHost(third)})
	require.Contains(t, f.polls, platform.WorkerID(third))
	f.step(WorkerUnlisted{Name: "w1"})
	for id, w := range f.core.workers {
		require.False(t, w.listed, id)
	}
	f.answeredBy(third, 1700000000700, platform.PollReply{})
	require.NotContains(t, f.core.workers, platform.WorkerID(secondIncarnation), "the one that answers last is the later one")
	require.EqualValues(t, third, f.core.current["w1"].ID)
}

// The time that a takeover takes to read the store does not count as a pause: the owner checks its
// ownership afterwards.
func TestLongTakeoverDelaysNoStart(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := NewCore(100, "entry-1", Size{}, now)
	now = now.Add(3 * time.Second)
	c.Step(now, ConfigChanged{Config: testConfig()})
	require.False(t, c.maybeReplaced())
}

// A run was taken for stopped at a worker that had restarted, as the answer of the earlier
// incarnation came after the run was reassigned. The later one may still carry out the start.
func TestStopConfirmedByAnEarlierIncarnationIsSentAgain(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.step(StartResult{Worker: firstIncarnation, Run: f.run.Order.Run, Task: f.run.Order.Task, Err: platform.ErrUnknownOutcome})
	f.advance(settleAfter + tickEvery)
	l := f.stops()
	require.Len(t, l, 1)
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.step(StopResult{Worker: firstIncarnation, Run: l[0].Run, Task: l[0].Task, Fence: l[0].Fence})
	f.advance(tickEvery)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	f.advance(settleAfter + tickEvery)
	require.Empty(t, f.starts())
	l = f.stops()
	require.EqualValues(t, secondIncarnation, l[len(l)-1].Worker.ID)
}
