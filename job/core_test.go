package job

import (
	"errors"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// fixture drives a Core: it answers writes at once, and polls when a test says so.
type fixture struct {
	t    *testing.T
	core *Core
	now  time.Time
	// out holds the actions so far. Helpers such as starts remove those that they return.
	out   []Action
	polls map[platform.WorkerID]PollWorker
	// holdWrites leaves writes unanswered.
	holdWrites bool
	// ownerKeys holds the owner's keys after all writes so far, answered or not.
	ownerKeys ownerStore
	clock     platform.WorkerClock
	// revision is the revision of the last write.
	revision platform.Revision
}

// ownerStore holds the entries under ownerOnlyPrefix.
type ownerStore map[string][]byte

// apply applies a write.
func (s ownerStore) apply(a WriteStore) {
	for _, p := range a.Puts {
		if strings.HasPrefix(p.Key, ownerOnlyPrefix) {
			s[p.Key] = p.Value
		}
	}
	for _, k := range a.Deletes {
		delete(s, k)
	}
}

// roster returns the roster that the next owner would read.
func (s ownerStore) roster() Roster {
	var l []platform.Entry
	for k, v := range sorted(s) {
		l = append(l, platform.Entry{Key: k, Value: v})
	}
	return readRoster(l)
}

// roster returns the roster that the next owner would read.
func (f *fixture) roster() Roster {
	return f.ownerKeys.roster()
}

// has reports whether the roster has the worker.
func (r Roster) has(id platform.WorkerID) bool {
	return slices.ContainsFunc(r.Workers, func(e RosterEntry) bool { return e.ID == id && !e.Departed })
}

func newFixture(t *testing.T) *fixture {
	return newOwnerFixture(t, 100)
}

func newOwnerFixture(t *testing.T, fence platform.Fence) *fixture {
	f := &fixture{t: t, now: time.Unix(1e9, 0), polls: map[platform.WorkerID]PollWorker{}, ownerKeys: ownerStore{}, clock: 1000, revision: platform.Revision(fence)}
	f.core = NewCore(fence, "entry-1", Size{}, f.now)
	f.step(ConfigChanged{Config: testConfig()})
	return f
}

func testConfig() *platform.Config {
	return &platform.Config{
		Version: 1,
		Queues: []platform.Queue{
			{Name: "quick", Host: "h", Prefix: "/q/", Service: "blue", Attempts: 2, Stretch: 1.5, Goal: time.Second},
			{Name: "patient", Host: "h", Prefix: "/p/", Service: "blue", Priority: 1, Attempts: 3, Stretch: 2, Goal: time.Second},
		},
		Services: []platform.Service{{Name: "blue", RejectsOverload: true}, {Name: "green", RejectsOverload: true}, {Name: "spare", Spare: true}},
	}
}

// step applies the event and answers writes.
func (f *fixture) step(e Event) {
	l := f.core.Step(f.now, e)
	for _, a := range l {
		f.out = append(f.out, a)
		switch a := a.(type) {
		case PollWorker:
			f.polls[a.Worker.ID] = a
		case WriteStore:
			f.ownerKeys.apply(a)
			if !f.holdWrites {
				f.revision++
				f.step(WriteResult{Number: a.Number, Revision: f.revision})
			}
		}
	}
}

// advance advances the time in steps of one tick, and renews the owner's lease.
func (f *fixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step(LeaseRenewed{SentAt: f.now.Add(tickEvery)})
		f.advanceWithoutStore(tickEvery)
	}
}

// advanceWithoutStore advances the time without renewing the owner's lease.
func (f *fixture) advanceWithoutStore(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickEvery)
		f.clock += platform.WorkerClock(tickEvery.Milliseconds())
		f.step(Tick{})
	}
}

func testWorker(id string) platform.Worker {
	return platform.Worker{
		ID: platform.WorkerID(id), Service: "blue", Host: "host-of-" + id,
		Address:  netip.MustParseAddrPort("10.0.0.1:80"),
		Capacity: platform.Resources{MilliCores: 4000, MemoryMB: 8000}, Labels: []string{"a", "r1-1"},
	}
}

// join adds workers that have answered a poll.
func (f *fixture) join(ids ...string) {
	for _, id := range ids {
		f.step(WorkerListed{Worker: testWorker(id)})
		f.answer(id, platform.PollReply{})
	}
}

// answer answers the poll in flight of a worker.
func (f *fixture) answer(id string, l platform.PollReply) {
	a, ok := f.polls[platform.WorkerID(id)]
	require.True(f.t, ok, "no poll of %s is in flight", id)
	delete(f.polls, platform.WorkerID(id))
	l.Clock = f.clock
	f.step(PollResult{Worker: platform.WorkerID(id), SentAt: f.now, Acked: a.Order.LastAcked, Fence: a.Order.Fence, Poll: l})
}

func (f *fixture) fail(id string, err error) {
	delete(f.polls, platform.WorkerID(id))
	f.step(PollResult{Worker: platform.WorkerID(id), SentAt: f.now, Err: err})
}

// starts removes the orders to start from out, and returns them.
func (f *fixture) starts() []StartRun {
	var l []StartRun
	var rest []Action
	for _, a := range f.out {
		if s, ok := a.(StartRun); ok {
			l = append(l, s)
		} else {
			rest = append(rest, a)
		}
	}
	f.out = rest
	return l
}

func (f *fixture) stops() []StopRun {
	var l []StopRun
	for _, a := range f.out {
		if s, ok := a.(StopRun); ok {
			l = append(l, s)
		}
	}
	return l
}

func (f *fixture) acceptStart(s StartRun) {
	f.step(StartResult{Worker: s.Worker.ID, Run: s.Order.Run, Task: s.Order.Task, Fence: s.Order.Fence, Clock: f.clock})
}

func (f *fixture) submit(id string, queue string, steps ...platform.Step) {
	q := f.core.queues[queue]
	r := NewRecord(q, platform.Submission{Spec: "spec", Steps: steps}, f.now)
	require.NoError(f.t, r.Check())
	f.step(Accepted{ID: ID(id), Record: r, Created: platform.Revision(1000 + len(f.core.jobs))})
}

// state returns the state of the job idA after a tick, in which due writes are made.
func (f *fixture) state() platform.JobState {
	f.advance(tickEvery)
	s, ok := f.core.StateOf(idA)
	require.True(f.t, ok)
	return s
}

func ended(n int64, s StartRun, how platform.End) platform.EndedRow {
	return platform.EndedRow{Number: n, Task: s.Order.Task, Run: s.Order.Run, End: how}
}

func runningRow(s StartRun, percent int) platform.RunningRow {
	return platform.RunningRow{Task: s.Order.Task, Run: s.Order.Run, Percent: percent}
}

func oneTask() platform.Step {
	return platform.Step{Count: 1, Resources: platform.Resources{MilliCores: 1000, MemoryMB: 10}, Estimate: time.Second}
}

// jobsPerWrite is the most final jobs that one write holds.
const jobsPerWrite = (platform.MaxTxn - entriesPerWrite) / entriesPerJob

const idA, idB = "00000000000000aa", "00000000000000bb"

func TestJobSucceedsOnceItsEndsAreStored(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", oneTask(), platform.Step{Count: 2, Resources: platform.Resources{MilliCores: 500}, After: []int{0}})
	require.Equal(t, platform.StateQueued, f.state())
	l := f.starts()
	require.Len(t, l, 1, "the second step waits for the first")
	f.acceptStart(l[0])
	require.Equal(t, platform.StateRunning, f.state())
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	next := f.starts()
	require.Len(t, next, 2)
	f.acceptStart(next[0])
	f.acceptStart(next[1])
	f.advance(200 * time.Millisecond)
	f.holdWrites = true
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(2, next[0], platform.EndDone), ended(3, next[1], platform.EndDone)}})
	require.Equal(t, platform.StateRunning, f.state(), "the store does not hold the end yet")
	f.step(WriteResult{Number: f.core.writeNumber})
	require.Equal(t, platform.StateSucceeded, f.state())
}

func TestEndIsAcknowledgedOnlyAfterItIsStored(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", oneTask(), platform.Step{Count: 1, After: []int{0}})
	l := f.starts()
	f.acceptStart(l[0])
	f.holdWrites = true
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	f.advance(pollWait + 200*time.Millisecond)
	if a, ok := f.polls["w1"]; ok {
		require.Zero(t, a.Order.LastAcked)
		f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	}
	f.holdWrites = false
	f.step(WriteResult{Number: f.core.writeNumber, Revision: f.revision + 1})
	f.acceptStart(f.starts()[0])
	f.advance(time.Second)
	require.EqualValues(t, 1, f.polls["w1"].Order.LastAcked)
}

func TestUnansweredStartIsStoppedBeforeTheTaskRunsElsewhere(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2")
	f.submit(idA, "quick", oneTask())
	l := f.starts()
	f.step(StartResult{Worker: l[0].Worker.ID, Run: l[0].Order.Run, Task: l[0].Order.Task, Err: platform.ErrUnknownOutcome})
	id := string(l[0].Worker.ID)
	for range 10 {
		f.advance(100 * time.Millisecond)
		if _, ok := f.polls[platform.WorkerID(id)]; ok {
			f.answer(id, platform.PollReply{})
		}
	}
	require.Empty(t, f.starts(), "the order may still be carried out")
	s := f.stops()
	require.NotEmpty(t, s)
	require.Equal(t, l[0].Order.Run, s[0].Run)
	f.step(StopResult{Worker: s[0].Worker.ID, Run: s[0].Run, Task: s[0].Task, Clock: f.clock})
	f.advance(50 * time.Millisecond)
	f.answer(id, platform.PollReply{})
	next := f.starts()
	require.Len(t, next, 1)
	require.Greater(t, next[0].Order.Run, l[0].Order.Run)
}

func TestRunListedAfterALostAnswerContinues(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", oneTask())
	l := f.starts()
	f.step(StartResult{Worker: "w1", Run: l[0].Order.Run, Task: l[0].Order.Task, Err: platform.ErrUnknownOutcome})
	f.advance(50 * time.Millisecond)
	f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(l[0], 10)}})
	f.advance(time.Second)
	require.Empty(t, f.stops())
}

func TestSilentWorkerIsGivenUpOnlyOnceItsLeaseHasExpired(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", oneTask())
	l := f.starts()
	f.acceptStart(l[0])
	f.join("w2")
	began := f.now
	f.fail("w1", platform.ErrUnknownOutcome)
	for len(f.starts()) == 0 {
		require.Less(t, f.now.Sub(began), 2*leaseFor, "the run is never given up")
		f.advance(tickEvery)
		if _, ok := f.polls["w1"]; ok {
			require.Zero(t, f.polls["w1"].Order.LeaseUntil, "a poll of a silent worker extends its lease")
			f.fail("w1", platform.ErrUnknownOutcome)
		}
	}
	require.GreaterOrEqual(t, f.now.Sub(began), leaseFor)
}

// An owner that cannot reach the store may have been replaced, and the next one may have
// extended the lease of a worker that does not answer this one.
func TestSilentWorkerIsNotGivenUpWithoutTheStore(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", oneTask())
	s := f.starts()[0]
	f.acceptStart(s)
	f.join("w2")
	f.advanceWithoutStore(time.Second)
	f.fail("w1", common.ErrUnknownOutcome)
	for range 80 {
		f.advanceWithoutStore(100 * time.Millisecond)
		if _, ok := f.polls["w1"]; ok {
			f.fail("w1", common.ErrUnknownOutcome)
		}
	}
	require.Empty(t, f.starts(), "the next owner may have the task running on w1")
	f.step(LeaseRenewed{SentAt: f.now})
	f.step(Tick{})
	require.Len(t, f.starts(), 1, "this owner was not replaced, so the lease has expired")
}

// A worker that answers in its first millisecond reports a clock of zero.
func TestLeaseOfAWorkerWithClockZeroLasts(t *testing.T) {
	f := newFixture(t)
	f.clock = 0
	f.join("w1")
	f.submit(idA, "quick", oneTask())
	f.acceptStart(f.starts()[0])
	f.join("w2")
	f.clock = 500
	f.step(PollResult{Worker: "w1", SentAt: f.now, Poll: platform.PollReply{Clock: f.clock}})
	f.fail("w1", common.ErrUnknownOutcome)
	f.advance(time.Second)
	require.Empty(t, f.starts(), "its lease lasts four seconds")
}

func TestRepeatedFailedEndCountsOnceAcrossOwners(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", oneTask())
	l := f.starts()
	f.acceptStart(l[0])
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndFailed)}})
	p := f.core.progress(f.core.jobs[idA])
	rec := f.core.jobs[idA].Record

	next := newOwnerFixture(t, 200)
	next.step(Inherited{
		Config: testConfig(), Workers: []platform.Worker{testWorker("w1")},
		Jobs: []Accepted{{ID: idA, Record: rec, Created: 50}}, Progress: map[ID]Progress{idA: p},
	})
	next.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndFailed)}})
	require.Equal(t, platform.StateRunning, next.state(), "one failed run was counted twice")
	again := next.starts()
	require.Len(t, again, 1)
	next.acceptStart(again[0])
	next.advance(100 * time.Millisecond)
	next.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(2, again[0], platform.EndFailed)}})
	require.Equal(t, platform.StateFailed, next.state())
}

func TestCancelMarkSeenBeforeItsJobCancelsIt(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.step(CancelRequested{ID: idA})
	f.submit(idA, "quick", oneTask())
	require.Equal(t, platform.StateCancelled, f.state())
	require.Empty(t, f.starts())
}

func TestNextOwnerWaitsForWorkersThatMayRunAnInheritedTask(t *testing.T) {
	f := newFixture(t)
	rec := NewRecord(f.core.queues["quick"], platform.Submission{Spec: "s", Steps: []platform.Step{oneTask()}}, f.now)
	gone := RosterEntry{ID: "w2", Service: "blue", Host: "host-of-w2", Address: netip.MustParseAddrPort("10.0.0.2:80")}
	f.step(Inherited{
		Config: testConfig(), Workers: []platform.Worker{testWorker("w1")},
		Jobs:   []Accepted{{ID: idA, Record: rec, Created: 50}},
		Roster: Roster{Workers: []RosterEntry{gone}},
	})
	f.answer("w1", platform.PollReply{})
	require.Empty(t, f.starts(), "w2 may run the task")
	f.submit(idB, "quick", oneTask())
	require.Len(t, f.starts(), 1, "no earlier owner has seen the new job")
	f.answer("w2", platform.PollReply{})
	require.Len(t, f.starts(), 1)
}

func TestInheritedRunIsAdopted(t *testing.T) {
	f := newFixture(t)
	rec := NewRecord(f.core.queues["quick"], platform.Submission{Spec: "s", Steps: []platform.Step{oneTask()}}, f.now)
	f.step(Inherited{
		Config: testConfig(), Workers: []platform.Worker{testWorker("w1")},
		Jobs: []Accepted{{ID: idA, Record: rec, Created: 50}},
	})
	task := taskKey{id: idA}.String()
	f.answer("w1", platform.PollReply{Running: []platform.RunningRow{{Task: task, Run: 7, Percent: 30}, {Task: taskKey{id: idB}.String(), Run: 8}}})
	require.Empty(t, f.starts())
	require.Equal(t, platform.StateRunning, f.state())
	s := f.stops()
	require.Len(t, s, 1, "a run of an unknown job is stopped")
	require.EqualValues(t, 8, s[0].Run)
}

func TestRecordOfAnEarlierIncarnationDoesNotEndTheLaterOne(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2")
	f.submit(idA, "quick", oneTask())
	l := f.starts()
	f.acceptStart(l[0])
	stale := testWorker("older")
	stale.Host = l[0].Worker.Host
	f.step(WorkerListed{Worker: stale})
	require.Empty(t, f.starts())
	require.Contains(t, f.core.workers, l[0].Worker.ID)
}

func TestHigherFenceEndsTheOwnership(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", oneTask())
	l := f.starts()
	f.step(StartResult{Worker: "w1", Run: l[0].Order.Run, Task: l[0].Order.Task, Fence: l[0].Order.Fence, Rejection: platform.RejectedFenced})
	require.Contains(t, f.out, Action(StepDown{Why: "a worker has seen a higher fence"}))
}

func TestGangStartsAsAWholeAndSucceedsWithOneMember(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	g := platform.Step{Count: 3, Resources: platform.Resources{MilliCores: 2000}, Gang: true, Estimate: time.Second}
	f.submit(idA, "quick", g)
	require.Empty(t, f.starts(), "there is room for two of three members")
	f.join("w2")
	l := f.starts()
	require.Len(t, l, 3)
	require.Equal(t, l[0].Order.Run, l[2].Order.Run)
	for _, s := range l {
		f.acceptStart(s)
	}
	f.answer(string(l[0].Worker.ID), platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	require.Equal(t, platform.StateSucceeded, f.state())
}

func TestInstancesStartWhenDue(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	r := NewRecord(f.core.queues["quick"], platform.Submission{
		Spec: "s", Steps: []platform.Step{oneTask()}, Times: 2, First: f.now.Add(time.Second), Every: time.Second,
	}, f.now)
	f.step(Accepted{ID: idA, Record: r, Created: 1000})
	f.advance(900 * time.Millisecond)
	require.Empty(t, f.starts())
	f.advance(200 * time.Millisecond)
	require.Len(t, f.starts(), 1)
	f.advance(time.Second)
	require.Len(t, f.starts(), 1)
}

func TestMaxPerWorkerBoundsTheTasksOfAStep(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2")
	s := oneTask()
	s.Count = 3
	s.MaxPerWorker = 1
	s.Lasting = true
	f.submit(idA, "quick", s)
	l := f.starts()
	require.Len(t, l, 2)
	require.NotEqual(t, l[0].Worker.ID, l[1].Worker.ID)
}

func TestLastingTaskStartsAgainHoweverItEnds(t *testing.T) {
	for i, how := range []platform.End{platform.EndDone, platform.EndFailed, platform.EndExpired, platform.EndStopped} {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			f := newFixture(t)
			f.join("w1")
			s := oneTask()
			s.Lasting = true
			f.submit(idA, "quick", s)
			l := f.starts()
			f.acceptStart(l[0])
			f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], how)}})
			f.advance(shortRunRestartDelay + 100*time.Millisecond)
			require.Len(t, f.starts(), 1)
		})
	}
}

func TestUrgentQueueGoesFirst(t *testing.T) {
	f := newFixture(t)
	s := oneTask()
	s.MilliCores = 4000
	f.submit(idA, "patient", s)
	f.submit(idB, "quick", s)
	f.join("w1")
	l := f.starts()
	require.Len(t, l, 1)
	require.Equal(t, taskKey{id: idB}.String(), l[0].Order.Task)
}

func TestRefusedStartIsTriedElsewhere(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2")
	f.submit(idA, "quick", oneTask())
	l := f.starts()
	f.step(StartResult{Worker: l[0].Worker.ID, Run: l[0].Order.Run, Task: l[0].Order.Task, Err: platform.ErrRefused})
	f.advance(100 * time.Millisecond)
	next := f.starts()
	require.Len(t, next, 1)
	require.NotEqual(t, l[0].Worker.ID, next[0].Worker.ID)
}

func TestFailedWriteIsRetried(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", oneTask())
	l := f.starts()
	f.acceptStart(l[0])
	f.holdWrites = true
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	f.advance(tickEvery)
	f.step(WriteResult{Number: f.core.writeNumber, Err: errors.New("store is unreachable")})
	require.Equal(t, platform.StateRunning, f.state())
	f.holdWrites = false
	f.advance(2 * writeRetry)
	require.Equal(t, platform.StateSucceeded, f.state())
}

func TestStalledRunIsMovedElsewhere(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2", "w3", "w4")
	f.submit(idA, "quick", oneTask())
	l := f.starts()
	f.acceptStart(l[0])
	id := string(l[0].Worker.ID)
	for range 20 {
		f.advance(200 * time.Millisecond)
		if _, ok := f.polls[l[0].Worker.ID]; ok {
			f.answer(id, platform.PollReply{Running: []platform.RunningRow{runningRow(l[0], 10)}})
		}
	}
	s := f.stops()
	require.Len(t, s, 1)
	f.step(StopResult{Worker: s[0].Worker.ID, Run: s[0].Run, Task: s[0].Task, Clock: f.clock})
	f.answer(id, platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndStopped)}})
	next := f.starts()
	require.Len(t, next, 1)
	require.NotEqual(t, l[0].Worker.ID, next[0].Worker.ID)
}

func TestSlowRunIsMovedOnceIfThatIsFaster(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2")
	f.submit(idA, "quick", oneTask(), oneTask())
	l := f.starts()
	f.acceptStart(l[0])
	f.acceptStart(l[1])
	f.advance(time.Second)
	id := string(l[0].Worker.ID)
	rows := []platform.RunningRow{runningRow(l[0], 10)}
	if l[1].Worker.ID == l[0].Worker.ID {
		rows = append(rows, runningRow(l[1], 60))
	}
	f.answer(id, platform.PollReply{Running: rows})
	s := f.stops()
	require.Len(t, s, 1, "with 10 % done after one second it needs nine more")
	require.Equal(t, l[0].Order.Run, s[0].Run)
}

func TestFinalJobsAreDeletedAfterTheirRetention(t *testing.T) {
	f := newFixture(t)
	f.submit(idA, "quick", oneTask())
	f.step(CancelRequested{ID: idA})
	require.Equal(t, platform.StateCancelled, f.state())
	f.advance(2 * time.Minute)
	require.Contains(t, f.core.jobs, ID(idA))
	f.advance(90 * time.Second)
	require.NotContains(t, f.core.jobs, ID(idA))
	var removed []string
	for _, a := range f.out {
		if k, ok := a.(WriteStore); ok {
			removed = append(removed, k.Deletes...)
		}
	}
	require.Contains(t, removed, progressKey(idA))
}

func TestOwnerStepsDownOnlyIfMostWorkersAreSilent(t *testing.T) {
	f := newFixture(t)
	ids := []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"}
	f.join(ids...)
	stepsDown := func() bool {
		for _, a := range f.out {
			if _, ok := a.(StepDown); ok {
				return true
			}
		}
		return false
	}
	silence := func(n int) {
		for range 8 {
			for _, id := range ids[:n] {
				w := f.core.workers[platform.WorkerID(id)]
				w.missedPolls = max(1, w.missedPolls)
				if _, ok := f.polls[w.ID]; ok {
					f.fail(id, platform.ErrUnknownOutcome)
				}
			}
			f.advance(200 * time.Millisecond)
		}
	}
	silence(4)
	require.False(t, stepsDown(), "five of nine have just answered")
	silence(5)
	require.True(t, stepsDown())
}

func TestGangMembersOnOneWorkerAreDistinguished(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	g := platform.Step{Count: 3, Resources: platform.Resources{MilliCores: 1000}, Gang: true, Estimate: time.Second}
	f.submit(idA, "quick", g)
	l := f.starts()
	require.Len(t, l, 3)
	var rows []platform.RunningRow
	for _, s := range l {
		f.acceptStart(s)
		rows = append(rows, runningRow(s, 20))
	}
	f.advance(100 * time.Millisecond)
	f.answer("w1", platform.PollReply{Running: rows})
	require.Empty(t, f.stops())
	require.EqualValues(t, 3000, f.core.workers["w1"].used.MilliCores)
	var ends []platform.EndedRow
	for i, s := range l {
		ends = append(ends, ended(int64(i+1), s, platform.EndBroken))
	}
	f.answer("w1", platform.PollReply{Ended: ends})
	require.Len(t, f.starts(), 3, "a broken gang starts again as a whole")
}

func TestSuccessOfARestartedRunIsNeverAcknowledged(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", oneTask())
	l := f.starts()
	f.acceptStart(l[0])
	f.join("w2")
	f.fail("w1", platform.ErrUnknownOutcome)
	var again []StartRun
	for len(again) == 0 {
		f.advance(tickEvery)
		if _, ok := f.polls["w1"]; ok {
			f.fail("w1", platform.ErrUnknownOutcome)
		}
		again = f.starts()
	}
	f.acceptStart(again[0])
	for range 5 {
		f.advance(300 * time.Millisecond)
		if a, ok := f.polls["w1"]; ok {
			require.Zero(t, a.Order.LastAcked)
			f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
		}
	}
	require.Equal(t, platform.StateRunning, f.state(), "the end of the restarted run decides")
	f.answer("w2", platform.PollReply{Ended: []platform.EndedRow{ended(1, again[0], platform.EndDone)}})
	require.Equal(t, platform.StateSucceeded, f.state())
	f.advance(2 * time.Second)
	if a, ok := f.polls["w1"]; ok {
		require.Zero(t, a.Order.LastAcked)
	}
	require.False(t, f.core.workers["w1"].acceptsStarts(f.now))
}
