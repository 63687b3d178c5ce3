package job

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// takeoverFixture is an owner that has taken over a lasting job whose task ran on w2 under the
// previous owner. Worker w1 has answered, has room, and stays in its pool for a task of a new
// job. w2 no longer has a record in the store, and does not answer.
type takeoverFixture struct {
	*fixture
	poolRun StartRun
}

func newTakeoverFixture(t *testing.T) *takeoverFixture {
	t.Helper()
	f := newFixture(t)
	s := oneTask()
	s.Lasting = true
	rec := NewRecord(f.core.queues["quick"], platform.Submission{Spec: "s", Steps: []platform.Step{s}}, f.now)
	last := RosterEntry{ID: "w2", Service: "blue", Host: "host-of-w2", Address: netip.MustParseAddrPort("10.0.0.2:80")}
	f.step(Inherited{
		Config: testConfig(), Workers: []platform.Worker{testWorker("w1")},
		Jobs:   []Accepted{{ID: idA, Record: rec, Created: 50}},
		Roster: Roster{Workers: []RosterEntry{last}},
	})
	f.answer("w1", platform.PollReply{})
	f.submit(idB, "quick", s)
	l := f.starts()
	require.Len(t, l, 1, "no earlier owner has seen the new job")
	h := &takeoverFixture{fixture: f, poolRun: l[0]}
	h.acceptStart(h.poolRun)
	return h
}

// passListing lets time pass. Machine lists contain the given machines, polls of w2 time out,
// and w1 answers. It returns the starts of that time.
func (f *takeoverFixture) passListing(d time.Duration, l ...platform.Machine) []StartRun {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(tickEvery)
		f.timeOutPoll("w2")
		if _, ok := f.polls["w1"]; ok {
			f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(f.poolRun, 100)}})
		}
		if f.core.listing {
			f.listMachines(l...)
		}
	}
	return f.starts()
}

// timeOutPoll fails the poll in flight to a worker that does not answer, once it has timed out.
func (f *takeoverFixture) timeOutPoll(id platform.WorkerID) {
	w := f.core.workers[id]
	a, ok := f.polls[id]
	if ok && w != nil && f.now.Sub(w.pollSentAt) >= pollSlack+a.Order.Wait {
		f.fail(string(id), common.ErrNotSent)
	}
}

// lastingRestartWithin is how soon after a change of owner a lasting task of a removed host
// has to start. A task counts as lost six seconds after the end of its last run, of which the
// previous owner's lease takes up to one and a half.
const lastingRestartWithin = 4 * time.Second

func TestNextOwnerDoesNotWaitForAHostThatWasRemoved(t *testing.T) {
	f := newTakeoverFixture(t)
	l := f.passListing(lastingRestartWithin, machineOf("w1", "blue"))
	require.Len(t, l, 1)
	require.EqualValues(t, "w1", l[0].Worker.ID)
}

// A partitioned host is still in the machine list: its worker may go on.
func TestNextOwnerWaitsForAHostThatTheListNames(t *testing.T) {
	f := newTakeoverFixture(t)
	machines := []platform.Machine{machineOf("w1", "blue"), machineOf("w2", "blue")}
	require.Empty(t, f.passListing(inheritedLease-time.Second, machines...))
	require.Len(t, f.passListing(2*time.Second, machines...), 1)
}

// The pages of a machine list are no consistent snapshot: a single list without a host proves
// nothing.
func TestSingleListWithoutHostIsNotRemoval(t *testing.T) {
	f := newTakeoverFixture(t)
	f.fail("w2", common.ErrNotSent)
	f.listMachines(machineOf("w1", "blue"))
	f.listMachines(machineOf("w1", "blue"), machineOf("w2", "blue"))
	f.listMachines(machineOf("w1", "blue"))
	f.advance(tickEvery)
	require.Empty(t, f.starts())
}

// A worker with a record has either just started, so that the machine list may lag behind, or
// is about to lose the record.
func TestWorkerWithARecordIsNotTakenForRemoved(t *testing.T) {
	f := newTakeoverFixture(t)
	f.step(WorkerListed{Worker: testWorker("w2")})
	require.Empty(t, f.passListing(lastingRestartWithin, machineOf("w1", "blue")))
}

// A host that answers was not removed, whatever the machine list says.
func TestHostThatAnswersIsNotTakenForRemoved(t *testing.T) {
	f := newTakeoverFixture(t)
	task := taskKey{id: idA}.String()
	for range 20 {
		f.advance(100 * time.Millisecond)
		if _, ok := f.polls["w2"]; ok {
			f.answer("w2", platform.PollReply{Running: []platform.RunningRow{{Task: task, Run: 7, Percent: 100}}})
		}
		f.listMachines(machineOf("w1", "blue"))
	}
	require.Empty(t, f.starts())
}

// An owner starts the tasks of a removed host before the lease expires, without a takeover as
// well.
func TestLastingTaskOfARemovedHostStartsBeforeItsLeaseExpires(t *testing.T) {
	f := newFixture(t)
	r := lastingOn(f)
	f.passWhileReady(r, time.Second)
	f.step(WorkerUnlisted{Name: "w1"})
	f.out = nil
	f.fail("w1", common.ErrNotSent)
	for began := f.now; f.now.Sub(began) < relistedWithin; {
		require.Empty(t, f.starts(), "its record may have been lost with the store")
		f.advance(listEvery)
		f.listMachines(machineOf("w2", "blue"))
	}
	f.advance(tickEvery)
	require.Len(t, f.starts(), 1, "well before the four seconds of a lease")
}

// A wave does not wait for a machine that was removed during its maintenance.
func TestWaveDoesNotWaitForAMachineThatWasRemoved(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2", "w3")
	up := []platform.Machine{machineOf("w1", "blue"), machineOf("w2", "blue"), machineOf("w3", "blue")}
	f.listMachines(up...)
	f.step(WaveRequested{Wave: platform.Wave{Number: 4, Machines: []string{up[0].Name, up[1].Name}, TimeLimit: 20 * time.Second, MaxDown: 1}})
	f.advance(time.Second)
	first := f.maintenanceOrders()[0].Machine
	f.step(MachineOrderResult{Machine: first})
	var rest []platform.Machine
	for _, m := range up {
		if m.Name != first {
			rest = append(rest, m)
		}
	}
	for range 2 {
		f.advance(listEvery)
		f.listMachines(rest...)
	}
	f.advance(200 * time.Millisecond)
	l := f.maintenanceOrders()
	require.Len(t, l, 2, "the removed machine does not count towards the cap")
	f.step(MachineOrderResult{Machine: l[1].Machine})
	f.advance(time.Second)
	f.listMachines(rest...)
	f.advance(200 * time.Millisecond)
	require.True(t, f.core.waves[4].reported)
}

// A wave waited forever for a machine that the list shows as up, whose worker was removed
// after its lease had expired and has no record, as nothing was known of what ran there.
// Nothing does once the longest lease that any owner can have given has ended.
func TestWaveDoesNotWaitForAMachineWhoseWorkerIsUnknown(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2")
	up := []platform.Machine{machineOf("w1", "blue"), machineOf("w2", "blue")}
	f.listMachines(up...)
	f.step(WorkerUnlisted{Name: "w1"})
	began := f.now
	f.step(WaveRequested{Wave: platform.Wave{Number: 4, Machines: []string{up[0].Name}, TimeLimit: 20 * time.Second, MaxDown: 1}})
	for f.now.Sub(began) < 20*time.Second && len(f.maintenanceOrders()) == 0 {
		if _, ok := f.polls["w1"]; ok && f.core.workers["w1"] != nil {
			f.fail("w1", common.ErrUnknownOutcome)
		}
		f.advance(tickEvery)
		if f.core.listing {
			f.listMachines(up...)
		}
	}
	require.NotEmpty(t, f.maintenanceOrders(), "within the time of the wave")
	require.Nil(t, f.core.workers["w1"])
	require.GreaterOrEqual(t, f.now.Sub(began), inheritedLease, "not while a lease may last")
}

// The next worker of a host was forgotten for good, as its record was not written again: the answer
// of the worker before, which had crashed meanwhile, to a poll that was sent before the record came
// counted as proof that the host ran that one.
func TestLateFirstAnswerRemovesNoLaterWorker(t *testing.T) {
	f := newFixture(t)
	f.step(WorkerListed{Worker: testWorker("w1")})
	f.advance(tickEvery)
	next := testWorker("w2")
	next.Host = testWorker("w1").Host
	f.step(WorkerListed{Worker: next})
	f.answerLate("w1", tickEvery, platform.PollReply{})
	require.Contains(t, f.core.workers, next.ID)
	f.answer("w2", platform.PollReply{})
	require.NotContains(t, f.core.workers, platform.WorkerID("w1"))
	f.advance(tickEvery)
	require.Equal(t, []platform.WorkerID{"w2"}, workersOf([]StartRun{f.startOf(idA)}))
}
