package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// joinIn adds a worker in the data centre that has answered a poll.
func (f *fixture) joinIn(dataCentre, id string) {
	w := testWorker(id)
	w.DataCentre = dataCentre
	f.step(WorkerListed{Worker: w})
	f.answer(id, platform.PollReply{})
}

// evacuate reports that just these data centres are evacuated, as of the revision.
func (f *fixture) evacuate(at platform.Revision, dataCentres ...string) {
	f.step(EvacuationsChanged{Evacuations: evacuationsOf(at, dataCentres...), Source: "watch"})
}

func evacuationsOf(at platform.Revision, dataCentres ...string) Evacuations {
	e := Evacuations{At: at, DataCentres: map[string]platform.Revision{}}
	for _, d := range dataCentres {
		e.DataCentres[d] = at
	}
	return e
}

// machineIn returns the machine of the worker in the data centre.
func machineIn(dataCentre, id, pool string) platform.Machine {
	m := machineOf(id, pool)
	m.Name, m.DataCentre = "host-of-"+id, dataCentre
	return m
}

// spareIn returns a machine of the spare pool in the data centre.
func spareIn(dataCentre, name string) platform.Machine {
	m := machineIn(dataCentre, "", "spare")
	m.Name = name
	return m
}

func workersOf(l []StartRun) []platform.WorkerID {
	var ids []platform.WorkerID
	for _, s := range l {
		ids = append(ids, s.Worker.ID)
	}
	return ids
}

// Tasks were started in a data centre for as long as its evacuation lasted: nothing read the
// operator's request.
func TestEvacuatedDataCentreGetsNoStarts(t *testing.T) {
	f := newFixture(t)
	f.joinIn("dc-1", "w1")
	f.joinIn("dc-2", "w2")
	f.evacuate(10, "dc-1")
	s := oneTask()
	s.Count = 8
	f.submit(idA, "quick", s)
	require.Equal(t, []platform.WorkerID{"w2", "w2", "w2", "w2"}, workersOf(f.starts()), "room for four on w2")
	f.advance(2 * time.Second)
	require.Empty(t, f.starts())
	f.evacuate(11)
	require.Equal(t, []platform.WorkerID{"w1", "w1", "w1", "w1"}, workersOf(f.starts()))
	require.Len(t, f.logged("data centre evacuated"), 1)
	require.Len(t, f.logged("evacuation ended"), 1)
}

// Two evacuations overlap, the second of the last data centre with room. Nothing starts until
// one of them is withdrawn.
func TestOverlappingEvacuationsOfAllRoomHoldTasks(t *testing.T) {
	f := newFixture(t)
	f.joinIn("dc-1", "w1")
	f.joinIn("dc-2", "w2")
	f.evacuate(10, "dc-1")
	f.evacuate(11, "dc-1", "dc-2")
	f.submit(idA, "quick", oneTask())
	f.advance(2 * time.Second)
	require.Empty(t, f.starts())
	e, _ := f.core.Explain(idA)
	require.Equal(t, "for room on a worker outside the evacuated dc-1, dc-2", e.Steps[0].Waits)
	f.evacuate(12, "dc-2")
	require.Equal(t, []platform.WorkerID{"w1"}, workersOf(f.starts()))
}

// A takeover lists the evacuations beside the watch, so that an older state may come later.
func TestOlderStateOfEvacuationsIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.joinIn("dc-1", "w1")
	f.evacuate(12, "dc-1")
	f.evacuate(11)
	f.submit(idA, "quick", oneTask())
	require.Empty(t, f.starts())
	f.evacuate(13)
	f.evacuate(12, "dc-1")
	require.Len(t, f.starts(), 1)
}

func TestNextOwnerInheritsEvacuations(t *testing.T) {
	f := newFixture(t)
	w := testWorker("w1")
	w.DataCentre = "dc-1"
	f.step(Inherited{Config: testConfig(), Workers: []platform.Worker{w}, Evacuations: evacuationsOf(10, "dc-1")})
	f.answer("w1", platform.PollReply{})
	f.submit(idA, "quick", oneTask())
	f.advance(time.Second)
	require.Empty(t, f.starts())
	f.evacuate(11)
	require.Len(t, f.starts(), 1)
}

// Only starts are withheld: what runs in an evacuated data centre keeps its lease and goes on. A
// lasting task that ends there starts again elsewhere.
func TestRunsInAnEvacuatedDataCentreGoOn(t *testing.T) {
	f := newFixture(t)
	f.joinIn("dc-1", "w1")
	s := oneTask()
	s.Lasting, s.MaxUnavailable = true, 1
	f.submit(idA, "quick", s)
	l := f.starts()
	f.acceptStart(l[0])
	f.joinIn("dc-2", "w2")
	f.evacuate(10, "dc-1")
	for range 60 {
		f.advance(100 * time.Millisecond)
		if p, ok := f.polls["w1"]; ok {
			require.Positive(t, p.Order.LeaseUntil)
			f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(l[0], 100)}})
		}
	}
	require.Empty(t, f.stops())
	require.Empty(t, f.starts())
	f.advance(pollWait)
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndFailed)}})
	f.advance(time.Second)
	require.Equal(t, []platform.WorkerID{"w2"}, workersOf(f.starts()))
}

// A machine that is moved or maintained returns to its evacuated data centre with a new worker.
func TestWorkerThatReturnsToAnEvacuatedDataCentreGetsNoStarts(t *testing.T) {
	f := newFixture(t)
	f.evacuate(10, "dc-1")
	f.joinIn("dc-1", "w1")
	f.submit(idA, "quick", oneTask())
	f.advance(time.Second)
	require.Empty(t, f.starts())
}

func TestGangStartsOutsideAnEvacuatedDataCentre(t *testing.T) {
	f := newFixture(t)
	f.joinIn("dc-1", "w1")
	f.joinIn("dc-2", "w2")
	f.evacuate(10, "dc-1")
	f.submit(idA, "quick", platform.Step{Count: 3, Resources: platform.Resources{MilliCores: 2000}, Gang: true, Estimate: time.Second})
	require.Empty(t, f.starts(), "w2 has room for two members")
	f.joinIn("dc-2", "w3")
	require.Len(t, f.starts(), 3)
	require.Empty(t, f.core.workers["w1"].runs)
}

// Data in an evacuated data centre does not hold a task there.
func TestTaskLeavesTheRackOfItsDataWhenThatIsEvacuated(t *testing.T) {
	f := newFixture(t)
	f.joinIn("dc-1", "w1")
	other := testWorker("w2")
	other.DataCentre, other.Labels = "dc-2", []string{"a", "r2-1"}
	f.step(WorkerListed{Worker: other})
	f.answer("w2", platform.PollReply{})
	f.evacuate(10, "dc-1")
	s := oneTask()
	s.NearRack = "r1-1"
	f.submit(idA, "quick", s)
	require.Equal(t, []platform.WorkerID{"w2"}, workersOf(f.starts()))
}

// A pool replaces its hosts in an evacuated data centre by spare ones of other data centres, and
// gives back those that run nothing.
func TestPoolCountsOnlyHostsOutsideEvacuatedDataCentres(t *testing.T) {
	f := newFixture(t)
	f.joinIn("dc-1", "w1")
	f.listMachines(machineIn("dc-1", "w1", "blue"), spareIn("dc-1", "a-spare"), spareIn("dc-2", "b-spare"))
	f.evacuate(10, "dc-1")
	f.submit(idA, "quick", oneTask())
	f.advance(firstOrderDelay + 200*time.Millisecond)
	require.Equal(t, "b-spare", f.lastMove().Machine)
	require.Equal(t, "blue", f.lastMove().Pool)
	f.step(MachineOrderResult{Machine: "b-spare"})
	for range 20 {
		f.advance(100 * time.Millisecond)
		if _, ok := f.polls["w1"]; ok {
			f.answer("w1", platform.PollReply{})
		}
	}
	require.Equal(t, "host-of-w1", f.lastMove().Machine)
	require.Equal(t, "spare", f.lastMove().Pool)
	require.Len(t, f.moves(), 2, "a-spare is of no use")
}

// A lasting task that goes on in an evacuated data centre needs no other host.
func TestRunsInAnEvacuatedDataCentreNeedNoOtherHost(t *testing.T) {
	f := newFixture(t)
	f.joinIn("dc-1", "w1")
	s := oneTask()
	s.Lasting, s.MaxPerWorker = true, 1
	f.submit(idA, "quick", s)
	f.acceptStart(f.starts()[0])
	require.Equal(t, 1, f.core.wantedHosts("blue"))
	f.evacuate(10, "dc-1")
	require.Zero(t, f.core.wantedHosts("blue"))
}

// An owner that the store turns away does not hear of an evacuation, and starts are sent to
// workers all the same. It holds them back before the evacuation would have to be in force.
func TestOwnerThatCannotReadEvacuationsHoldsStarts(t *testing.T) {
	f := newFixture(t)
	s := Settings{EvacuationWithin: 5 * time.Second}
	f.joinIn("dc-1", "w1")
	f.step(OperatorRead{StartsUntil: s.startsUntil(f.now)})
	readAt := f.now
	f.advance(5*time.Second - orderTimeout)
	f.submit(idA, "quick", oneTask())
	require.Len(t, f.starts(), 1)
	f.advance(tickEvery)
	f.submit(idB, "quick", oneTask())
	f.advance(time.Second)
	require.Empty(t, f.starts())
	require.Len(t, f.logged("starts held back"), 1)
	f.step(OperatorRead{StartsUntil: s.startsUntil(readAt)})
	require.Empty(t, f.starts(), "an earlier read says nothing new")
	f.step(OperatorRead{StartsUntil: s.startsUntil(f.now)})
	require.Len(t, f.starts(), 1)
	require.Len(t, f.logged("starts resumed"), 1)
}

// Without a limit in the settings an outage of the store holds no starts back.
func TestOwnerWithoutEvacuationLimitStartsThroughAnOutage(t *testing.T) {
	f := newFixture(t)
	f.joinIn("dc-1", "w1")
	f.step(OperatorRead{StartsUntil: Settings{}.startsUntil(f.now)})
	f.advance(ownerAuthority)
	f.submit(idA, "quick", oneTask())
	require.Len(t, f.starts(), 1)
}

// Tasks wait for room only where workers of their pool may get starts: the log says so.
func TestHeldStartsAreLogged(t *testing.T) {
	f := newFixture(t)
	f.joinIn("dc-1", "w1")
	f.listMachines(machineIn("dc-1", "w1", "blue"))
	f.evacuate(10, "dc-1")
	f.submit(idA, "quick", oneTask())
	for range 50 {
		f.advance(100 * time.Millisecond)
		if _, ok := f.polls["w1"]; ok {
			f.answer("w1", platform.PollReply{})
		}
	}
	l := f.logged("starts held back")
	require.NotEmpty(t, l)
	require.LessOrEqual(t, len(l), 3, "one line in poolLogInterval")
	require.Equal(t, []EvacuationOverview{{DataCentre: "dc-1", Revision: 10, Workers: 1}}, f.core.Overview().Evacuations)
}

// A transfer of a draining host is cancelled when its data centre is evacuated, as it would be
// of no use to the other pool.
func TestTransferEndsWhenItsDataCentreIsEvacuated(t *testing.T) {
	f := newFixture(t)
	f.joinIn("dc-1", "w1")
	f.listMachines(machineIn("dc-1", "w1", "blue"))
	m := f.core.machinesByName["host-of-w1"]
	m.transferTo, m.drainingSince = "green", f.now
	f.core.workers["w1"].cordoned = true
	f.evacuate(10, "dc-1")
	f.advance(firstOrderDelay + 200*time.Millisecond)
	require.Empty(t, m.transferTo)
	require.False(t, f.core.workers["w1"].cordoned)
}

func TestEvacuationsFollowTheStore(t *testing.T) {
	key := func(d string) platform.Entry { return platform.Entry{Key: platform.EvacuationPrefix + d, Revision: 7} }
	gone := func(d string) platform.Event { return platform.Event{Entry: key(d), Deleted: true} }
	l := listEvacuations([]platform.Entry{{Key: platform.ConfigKey}, key("dc-1"), {Key: platform.WavePrefix + "1"}, key("")}, 8)
	require.Equal(t, Evacuations{At: 8, DataCentres: map[string]platform.Revision{"dc-1": 7}}, l)
	next := l.changed([]platform.Event{{Entry: key("dc-2")}, gone("dc-1"), {Entry: key("dc-3")}, gone("dc-3")}, 12)
	require.Equal(t, []string{"dc-2"}, next.names(), "dc-3 was evacuated and taken back within one answer")
	require.Equal(t, []string{"dc-1"}, l.names())
	require.Empty(t, listEvacuations(nil, 20).names(), "withdrawn while the history was lost")
}

// The watch of what operators write has to show an evacuation in time as well as a configuration.
func TestOperatorIsWatchedWithinBothLimits(t *testing.T) {
	require.Equal(t, 2*time.Second, Settings{ConfigWithin: 2 * time.Second}.operatorWithin())
	require.Equal(t, 2*time.Second, Settings{ConfigWithin: 2 * time.Second, EvacuationWithin: 5 * time.Second}.operatorWithin())
	require.Equal(t, time.Second, Settings{ConfigWithin: 2 * time.Second, EvacuationWithin: time.Second}.operatorWithin())
}

// A worker in an evacuated data centre that was silent is not asked to start anything once it
// answers again.
func TestSilentWorkerInAnEvacuatedDataCentreGetsNoStartsLater(t *testing.T) {
	f := newFixture(t)
	f.joinIn("dc-1", "w1")
	f.advance(ackDelay)
	f.fail("w1", common.ErrUnknownOutcome)
	f.evacuate(10, "dc-1")
	f.submit(idA, "quick", oneTask())
	f.advance(pollRetry)
	f.answer("w1", platform.PollReply{})
	f.advance(time.Second)
	require.Empty(t, f.starts())
}
