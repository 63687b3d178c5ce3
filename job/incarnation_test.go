package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// A worker may crash and start again under its name, sooner than its record lapses. What
// it says of its start is all that tells: the ids here are its name and the time of its
// start. Before that was read, the next start was taken for the same worker: its ends,
// numbered anew from one, were taken for those that had been read, its clock for one that
// had gone back, and its runs of before for runs that go on, until a look missed them.

// restartFixture is a worker of the fixture that runs one task, and its next incarnation.
type restartFixture struct {
	*fixture
	run StartRun
}

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

// onHost returns the record of a worker on the machine of w1.
func onHost(id string) platform.Worker {
	w := testWorker(id)
	w.Host = "host-of-" + firstIncarnation
	return w
}

// listed says that the worker runs its task.
func (f *restartFixture) listed() {
	f.took(f.run)
	f.pass(tickEvery)
	f.answer(firstIncarnation, platform.PollReply{Running: []platform.RunningRow{runningRow(f.run, 10)}})
}

// answeredBy answers a look at one incarnation as the other would.
func (f *fixture) answeredBy(asked string, i platform.Incarnation, l platform.PollReply) {
	l.Incarnation = i
	f.answer(asked, l)
}

// notes counts the log lines of a kind.
func (f *fixture) notes(what string) int {
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
	f.listed()
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	l := f.starts()
	require.Len(t, l, 1, "the task starts elsewhere without waiting for a lease")
	require.EqualValues(t, "w2", l[0].Worker.ID)
	require.Equal(t, 1, f.notes("worker started again"))
}

func TestRestartSeenInAnswerEndsEarlierRunsAtOnce(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.listed()
	f.answeredBy(firstIncarnation, 1700000000400, platform.PollReply{})
	l := f.starts()
	require.Len(t, l, 1)
	require.EqualValues(t, "w2", l[0].Worker.ID)
	require.Contains(t, f.looks, platform.WorkerID(secondIncarnation), "it is asked by itself, and told the fence")
}

// An end that the worker numbers as one of before is another end.
func TestEndNumbersRestartWithIncarnation(t *testing.T) {
	f := newFixture(t)
	f.join(firstIncarnation)
	f.submit(idA, "quick", oneTask(), platform.Step{Count: 1, After: []int{0}})
	l := f.starts()
	f.took(l[0])
	f.answer(firstIncarnation, platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	f.pass(200 * time.Millisecond)
	next := f.starts()
	require.Len(t, next, 1)
	f.step(StartResult{Worker: firstIncarnation, Run: next[0].Order.Run, Task: next[0].Order.Task, Err: platform.ErrUnknown})
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	require.Zero(t, f.looks[secondIncarnation].Order.LastSeen, "it has told of no end yet")
	f.pass(tickEvery)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{Ended: []platform.EndedRow{ended(1, next[0], platform.EndDone)}})
	f.pass(200 * time.Millisecond)
	require.Equal(t, platform.StateSucceeded, f.state())
}

// The number of the last end is not told to a worker that may have started again unheard:
// it would forget ends that nobody has read.
func TestSilentWorkerGetsNoAck(t *testing.T) {
	f := newFixture(t)
	f.join(firstIncarnation)
	f.submit(idA, "quick", oneTask(), platform.Step{Count: 1, After: []int{0}, Estimate: time.Minute})
	l := f.starts()
	f.took(l[0])
	f.answer(firstIncarnation, platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	f.pass(200 * time.Millisecond)
	f.took(f.starts()[0])
	require.EqualValues(t, 1, f.core.workers[firstIncarnation].lastEndStored)
	f.fail(firstIncarnation, platform.ErrUnknown)
	f.pass(2 * pollRetry)
	require.Zero(t, f.looks[firstIncarnation].Order.LastSeen)
}

func TestUnansweredStartIsResolvedAtNextIncarnation(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.step(StartResult{Worker: firstIncarnation, Run: f.run.Order.Run, Task: f.run.Order.Task, Err: platform.ErrUnknown})
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.pass(tickEvery)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	require.Empty(t, f.starts(), "it may be carried out late")
	f.pass(settleAfter + tickEvery)
	l := f.stops()
	require.NotEmpty(t, l)
	require.EqualValues(t, secondIncarnation, l[0].Worker.ID)
	f.step(StopResult{Worker: secondIncarnation, Run: f.run.Order.Run, Task: f.run.Order.Task})
	f.pass(tickEvery)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	f.pass(200 * time.Millisecond)
	require.Len(t, f.starts(), 1)
}

func TestStartThatTheNextIncarnationCarriesOutGoesOn(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.pass(tickEvery)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{Running: []platform.RunningRow{runningRow(f.run, 5)}})
	f.took(f.run)
	require.Empty(t, f.starts())
	require.Empty(t, f.stops())
	f.pass(pollWait)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{Ended: []platform.EndedRow{ended(1, f.run, platform.EndDone)}})
	f.pass(200 * time.Millisecond)
	require.Equal(t, platform.StateSucceeded, f.state())
}

func TestLateRecordOfEarlierIncarnationIsIgnored(t *testing.T) {
	f := newRestartFixture(t)
	f.listed()
	f.answeredBy(firstIncarnation, 1700000000400, platform.PollReply{})
	f.pass(tickEvery)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	f.step(WorkerListed{Worker: onHost(firstIncarnation)})
	require.NotContains(t, f.core.workers, platform.WorkerID(firstIncarnation))
	require.Equal(t, 1, f.notes("worker's record left aside"))
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.pass(200 * time.Millisecond)
	require.NotEmpty(t, f.starts(), "its own record opens it to starts")
}

// What a worker says of its start and is not understood speaks for no other incarnation.
func TestInvalidStartTimeLosesNoRun(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.listed()
	w := onHost("w1")
	w.InvalidStart = "start \"soon\" is no whole number"
	f.step(WorkerListed{Worker: w})
	for range 3 {
		f.pass(pollWait)
		f.answer(firstIncarnation, platform.PollReply{Origin: platform.Origin{Invalid: "start -1 is no time"}, Running: []platform.RunningRow{runningRow(f.run, 20)}})
	}
	require.Empty(t, f.starts())
	require.Equal(t, 2, f.notes("worker's start not understood"), "once by its record, once by its answers")
	require.Len(t, f.core.workers, 2)
}

// A list of machines names workers, not their incarnations.
func TestListOfMachinesSaysNothingOfIncarnations(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.listed()
	f.pass(time.Second)
	f.listMachines(platform.Machine{Name: "host-of-" + firstIncarnation, Pool: "blue", State: platform.MachineUp, Worker: "w1"}, machineOf("w2", "blue"))
	require.False(t, f.core.workers[firstIncarnation].stale)
	require.Empty(t, f.starts())
}

// A crash is counted once, whoever notices it first.
func TestRestartIsOneCrash(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.step(StartResult{Worker: firstIncarnation, Run: f.run.Order.Run, Task: f.run.Order.Task, Err: platform.ErrUnknown})
	f.answeredBy(firstIncarnation, 1700000000400, platform.PollReply{})
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.step(WorkerListed{Worker: onHost("w1@1700000000600")})
	last := "w1@1700000000600"
	f.pass(settleAfter + 2*tickEvery)
	f.answeredBy(last, 1700000000600, platform.PollReply{})
	require.Zero(t, f.notes("crash counted"), "it may be carried out yet")
	f.pass(settleAfter + 2*tickEvery)
	f.step(StopResult{Worker: platform.WorkerID(last), Run: f.run.Order.Run, Task: f.run.Order.Task})
	f.pass(tickEvery)
	f.answeredBy(last, 1700000000600, platform.PollReply{})
	require.Equal(t, 1, f.notes("crash counted"), "the start may have been carried out by one of them")
}

// A start that the next incarnation runs had not begun at the one that crashed.
func TestStartThatNextIncarnationRunsCountsNoCrash(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.took(f.run)
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.pass(tickEvery)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{Running: []platform.RunningRow{runningRow(f.run, 1)}})
	f.pass(pollWait)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{Ended: []platform.EndedRow{ended(1, f.run, platform.EndDone)}})
	require.Zero(t, f.notes("crash counted"))
}

func TestRestartAfterDrainCountsNoCrash(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.listed()
	w := onHost(firstIncarnation)
	w.Draining = true
	f.step(WorkerListed{Worker: w})
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	require.Zero(t, f.notes("crash counted"))
	require.Len(t, f.starts(), 1)
}

// The clock of the next incarnation begins anew, and so do the leases on it.
func TestLeaseUsesClockOfNextIncarnation(t *testing.T) {
	f := newRestartFixture(t)
	f.listed()
	f.clock = 90_000_000
	f.pass(pollWait)
	f.answer(firstIncarnation, platform.PollReply{Running: []platform.RunningRow{runningRow(f.run, 20)}})
	f.clock = 20
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	f.pass(200 * time.Millisecond)
	l := f.starts()
	require.NotEmpty(t, l)
	require.EqualValues(t, secondIncarnation, l[0].Worker.ID)
	require.Less(t, int64(l[0].Order.Until), 20+200+leaseFor.Milliseconds()+100)
}

// An earlier owner does not know of the next incarnation, which knows no fence yet: its
// start may be carried out there. The next owner asks before it starts what both know.
func TestNextOwnerPollsNextIncarnationFirst(t *testing.T) {
	f := newRestartFixture(t)
	f.listed()
	h := newOwnerFixture(t, 200)
	r := NewRecord(f.core.queues["quick"], platform.Submission{Spec: "spec", Steps: []platform.Step{oneTask()}}, f.now)
	h.step(Inherited{
		Config: testConfig(), Workers: []platform.Worker{onHost(firstIncarnation), testWorker("w2")}, Roster: f.roster(),
		Jobs: []JobAccepted{{ID: idA, Record: r, Created: 50}}, Progress: map[ID]Progress{},
	})
	h.answer("w2", platform.PollReply{})
	h.step(WorkerListed{Worker: onHost(secondIncarnation)})
	h.pass(time.Second)
	require.Empty(t, h.starts())
	h.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	h.pass(200 * time.Millisecond)
	require.Len(t, h.starts(), 1)
}

// A worker that starts again knows no fence: an owner that has stood still, and may have
// been replaced meanwhile, asks the store before it starts anything.
func TestPausedOwnerStartsNothingBeforeLeaseRenewal(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.now = f.now.Add(4 * time.Second)
	f.submit(idA, "quick", oneTask())
	require.Empty(t, f.starts())
	f.pass(tickEvery)
	require.Len(t, f.starts(), 1)
}

// The machine of a worker has had its order: a worker of the same name may be another.
func TestWorkerIsPolledAgainAfterMachineOrder(t *testing.T) {
	f := newFixture(t)
	f.join(firstIncarnation)
	m := platform.Machine{Name: "host-of-" + firstIncarnation, Pool: "blue", State: platform.MachineUp, Worker: "w1"}
	f.listMachines(m)
	f.pass(tickEvery)
	f.core.recordOrder(f.core.machinesByName[m.Name], &machineOrder{pool: "green"})
	f.pass(tickEvery)
	f.step(MachineOrderResult{Machine: m.Name, Verdict: platform.OrderTaken})
	f.pass(2 * time.Second)
	f.listMachines(m)
	f.submit(idA, "quick", oneTask())
	require.Empty(t, f.starts(), "not before it has answered")
	f.pass(tickEvery)
	f.answeredBy(firstIncarnation, 1700000000400, platform.PollReply{})
	require.NotContains(t, f.core.workers, platform.WorkerID(firstIncarnation))
}

// A record may tell of an incarnation while an answer told of another: which is the later
// is not known then, and both are asked. The record's end concerns both.
func TestRemovedRecordUnlistsEachIncarnation(t *testing.T) {
	f := newRestartFixture(t)
	f.listed()
	f.answeredBy(firstIncarnation, 1700000000400, platform.PollReply{})
	third := "w1@1700000000700"
	f.step(WorkerListed{Worker: onHost(third)})
	require.Contains(t, f.looks, platform.WorkerID(third))
	f.step(WorkerUnlisted{Name: "w1"})
	for id, w := range f.core.workers {
		require.False(t, w.listed, id)
	}
	f.answeredBy(third, 1700000000700, platform.PollReply{})
	require.NotContains(t, f.core.workers, platform.WorkerID(secondIncarnation), "what answers last is the later one")
	require.EqualValues(t, third, f.core.current["w1"].ID)
}

// Reading what to take over is no pause: the owner has looked once more whether it owns.
func TestLongTakeoverDelaysNoStart(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := NewCore(100, "entry-1", Size{}, now)
	now = now.Add(3 * time.Second)
	c.Step(now, ConfigChanged{Config: testConfig()})
	require.False(t, c.maybeReplaced())
}
