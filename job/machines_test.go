package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// listMachines passes a machine list with the given machines to the owner.
func (f *fixture) listMachines(l ...platform.Machine) {
	f.step(MachineList{SentAt: f.now, Machines: l})
}

func machineOf(id, pool string) platform.Machine {
	return platform.Machine{
		Name: "host-of-" + id, Pool: pool, State: platform.MachineUp, Worker: platform.WorkerName(id),
		Labels: []string{"a", "r1-1"}, Capacity: platform.Resources{MilliCores: 4000, MemoryMB: 8000},
	}
}

func (f *fixture) maintenanceOrders() []MaintainMachine {
	var l []MaintainMachine
	for _, a := range f.out {
		if m, ok := a.(MaintainMachine); ok {
			l = append(l, m)
		}
	}
	return l
}

func (f *fixture) moves() []MoveMachine {
	var l []MoveMachine
	for _, a := range f.out {
		if m, ok := a.(MoveMachine); ok {
			l = append(l, m)
		}
	}
	return l
}

func TestWaveKeepsToItsCapAndIsReportedWhenAllHaveBegun(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2", "w3")
	up := []platform.Machine{machineOf("w1", "blue"), machineOf("w2", "blue"), machineOf("w3", "blue")}
	f.listMachines(up...)
	f.step(WaveRequested{Wave: platform.Wave{Number: 4, Machines: []string{up[0].Name, up[1].Name}, TimeLimit: 20 * time.Second, MaxDown: 1}})
	f.advance(time.Second)
	l := f.maintenanceOrders()
	require.Len(t, l, 1)
	f.step(MachineOrderResult{Machine: l[0].Machine})
	f.advance(time.Second)
	require.Len(t, f.maintenanceOrders(), 1, "the first is still down")
	f.listMachines(up...)
	f.advance(200 * time.Millisecond)
	l = f.maintenanceOrders()
	require.Len(t, l, 2)
	f.step(MachineOrderResult{Machine: l[1].Machine})
	f.advance(time.Second)
	f.listMachines(up...)
	f.advance(200 * time.Millisecond)
	require.True(t, f.core.waves[4].reported)
}

func TestMaintenanceWaitsForUncontactedWorker(t *testing.T) {
	f := newFixture(t)
	f.step(WorkerListed{Worker: testWorker("w1")})
	f.listMachines(machineOf("w1", "blue"))
	f.step(WaveRequested{Wave: platform.Wave{Number: 4, Machines: []string{"host-of-w1"}, TimeLimit: 20 * time.Second, MaxDown: 1}})
	f.advance(handoverPause + time.Second)
	require.Empty(t, f.maintenanceOrders())
	f.answer("w1", platform.PollReply{})
	f.advance(200 * time.Millisecond)
	require.Len(t, f.maintenanceOrders(), 1)
}

func TestMachineOfUnlistedWorkerIsNotConsideredEmpty(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.listMachines(machineOf("w1", "blue"))
	s := oneTask()
	s.Lasting = true
	s.MaxUnavailable = 1
	f.submit(idA, "quick", s)
	l := f.starts()
	f.acceptStart(l[0])
	f.step(WorkerUnlisted{Name: "w1"})
	f.step(WaveRequested{Wave: platform.Wave{Number: 4, Machines: []string{"host-of-w1"}, TimeLimit: 20 * time.Second, MaxDown: 1}})
	for range 40 {
		f.advance(100 * time.Millisecond)
		if _, ok := f.polls["w1"]; ok {
			f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(l[0], 100)}})
		}
	}
	require.Empty(t, f.maintenanceOrders())
}

func TestListFromBeforeAnOrderDoesNotFinishIt(t *testing.T) {
	f := newFixture(t)
	f.listMachines(machineOf("", "spare"))
	m := f.core.machinesByName["host-of-"]
	m.Worker = ""
	f.core.orderMove(m, "blue", &demand{})
	sent := f.now
	f.advance(100 * time.Millisecond)
	f.step(MachineOrderResult{Machine: m.Name})
	f.step(MachineList{SentAt: sent, Machines: []platform.Machine{machineOf("", "spare")}})
	require.NotNil(t, m.order)
}

func TestLastingTasksAreEvacuatedOneByOneWithinTheirBound(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2", "w3")
	s := oneTask()
	s.Count, s.MaxPerWorker, s.Lasting, s.MaxUnavailable = 2, 1, true, 1
	f.submit(idA, "quick", s)
	l := f.starts()
	require.Len(t, l, 2)
	for _, r := range l {
		f.acceptStart(r)
		f.answer(string(r.Worker.ID), platform.PollReply{Running: []platform.RunningRow{runningRow(r, 100)}})
	}
	w := f.core.workers[l[0].Worker.ID]
	other := f.core.workers[l[1].Worker.ID]
	f.core.evictLasting(w)
	require.Empty(t, f.stops(), "the previous owner may have stopped one of them just now")
	f.advance(evictionDelay)
	f.core.evictLasting(w)
	require.Empty(t, f.stops(), "the other's worker has not answered lately")
	for _, r := range l {
		f.answer(string(r.Worker.ID), platform.PollReply{Running: []platform.RunningRow{runningRow(r, 100)}})
	}
	f.core.evictLasting(w)
	f.core.evictLasting(other)
	f.step(Tick{})
	require.Len(t, f.stops(), 1, "the second would leave none of the two ready")
}

// Tasks that started a moment ago may be ready before the next poll shows it.
func TestLastingTasksThatHaveJustBegunAreNotEvacuatedTogether(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.advance(evictionDelay)
	s := oneTask()
	s.Count, s.Lasting, s.MaxUnavailable = 2, true, 1
	f.submit(idA, "quick", s)
	l := f.starts()
	require.Len(t, l, 2)
	for _, r := range l {
		f.acceptStart(r)
	}
	f.join("w2")
	rows := func(percent int) platform.PollReply {
		return platform.PollReply{Running: []platform.RunningRow{runningRow(l[0], percent), runningRow(l[1], percent)}}
	}
	f.advance(500 * time.Millisecond)
	if _, ok := f.polls["w1"]; ok {
		f.answer("w1", rows(60))
	}
	f.core.evictLasting(f.core.workers["w1"])
	f.step(Tick{})
	require.Empty(t, f.stops())
	for range 8 {
		f.advance(500 * time.Millisecond)
		if _, ok := f.polls["w1"]; ok {
			f.answer("w1", rows(60))
		}
	}
	f.core.evictLasting(f.core.workers["w1"])
	f.step(Tick{})
	require.NotEmpty(t, f.stops(), "tasks that never become ready must not defer stops forever")
}

// A lasting task is placed on a host that no wave will maintain, even if one that a wave has yet to
// maintain is fuller and would be preferred.
func TestLastingTasksBeginOnHostsThatNoWaveWillMaintain(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2")
	f.listMachines(machineOf("w1", "blue"), machineOf("w2", "blue"))
	f.submit(idB, "quick", oneTask())
	busy := f.starts()[0]
	f.acceptStart(busy)
	f.step(WaveRequested{Wave: platform.Wave{Number: 4, Machines: []string{busy.Worker.Host}, TimeLimit: 20 * time.Second, MaxDown: 1}})
	f.advance(tickEvery)
	s := oneTask()
	s.Lasting = true
	f.submit(idA, "quick", s)
	l := f.starts()
	require.Len(t, l, 1)
	require.NotEqual(t, busy.Worker.ID, l[0].Worker.ID)
}

// lastingOn has a lasting task run on w1, with capacity free on w2.
func lastingOn(f *fixture) StartRun {
	f.join("w1")
	s := oneTask()
	s.Lasting, s.MaxUnavailable = true, 1
	f.submit(idA, "quick", s)
	l := f.starts()[0]
	f.acceptStart(l)
	f.join("w2")
	return l
}

// passWhileReady lets time pass in which polls show the lasting run as ready.
func (f *fixture) passWhileReady(r StartRun, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(100 * time.Millisecond)
		if _, ok := f.polls[r.Worker.ID]; ok {
			f.answer(string(r.Worker.ID), platform.PollReply{Running: []platform.RunningRow{runningRow(r, 100)}})
		}
	}
}

func TestLastingTaskLeavesAWorkerThatDrains(t *testing.T) {
	f := newFixture(t)
	r := lastingOn(f)
	f.passWhileReady(r, evictionDelay+time.Second)
	require.Empty(t, f.stops())
	w := testWorker("w1")
	w.Draining = true
	f.step(WorkerListed{Worker: w})
	f.passWhileReady(r, 100*time.Millisecond)
	require.Len(t, f.stops(), 1)
}

// A worker loses its record without ever announcing that it drains, and goes on serving.
func TestLastingTaskLeavesAWorkerWhoseRecordDoesNotComeBack(t *testing.T) {
	f := newFixture(t)
	r := lastingOn(f)
	f.passWhileReady(r, evictionDelay+time.Second)
	f.step(WorkerUnlisted{Name: "w1"})
	f.passWhileReady(r, relistedWithin-200*time.Millisecond)
	require.Empty(t, f.stops(), "the store may have been unreachable, and the record may come back")
	f.passWhileReady(r, time.Second)
	require.Len(t, f.stops(), 1)
}

// Records that expired while the store was unreachable are written again within two seconds after
// it is back.
func TestLastingTaskStaysWhileRecordsComeBackAfterAnOutage(t *testing.T) {
	f := newFixture(t)
	r := lastingOn(f)
	f.passWhileReady(r, evictionDelay+time.Second)
	f.step(WorkerUnlisted{Name: "w1"})
	for range 40 {
		f.advanceWithoutStore(100 * time.Millisecond)
		if _, ok := f.polls[r.Worker.ID]; ok {
			f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(r, 100)}})
		}
	}
	f.passWhileReady(r, relistedWithin-200*time.Millisecond)
	require.Empty(t, f.stops())
}

// Tasks of a silent worker start elsewhere as soon as the machine list shows that its machine is
// down, long before its lease expires.
func TestMachineListRevealsCrash(t *testing.T) {
	f := newFixture(t)
	r := lastingOn(f)
	f.passWhileReady(r, time.Second)
	f.fail("w1", common.ErrUnknownOutcome)
	f.advance(listAfterSilence + tickEvery)
	require.Contains(t, f.out, Action(ListMachines{}))
	m := machineOf("w1", "blue")
	m.State, m.Worker = platform.MachineDown, ""
	f.out = nil
	f.listMachines(m, machineOf("w2", "blue"))
	f.advance(100 * time.Millisecond)
	require.Len(t, f.starts(), 1)
}

func TestShortPoolGetsSpareHosts(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	spare := machineOf("s1", "spare")
	spare.Worker = ""
	f.listMachines(machineOf("w1", "blue"), spare)
	f.advance(handoverPause + 100*time.Millisecond)
	s := oneTask()
	s.Count = 8
	f.submit(idA, "quick", s)
	f.advance(300 * time.Millisecond)
	o := f.lastMove()
	require.Greater(t, o.Holder.Fence, platform.Fence(100))
	require.Equal(t, MoveMachine{Holder: platform.Holder{Name: "entry-1", Fence: o.Holder.Fence}, Machine: "host-of-s1", Pool: "blue"}, o)
}

func TestIdleHostsGoToTheSparePool(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2")
	f.listMachines(machineOf("w1", "blue"), machineOf("w2", "blue"))
	f.advance(handoverPause + poolIdleTimeout + time.Second)
	l := f.moves()
	require.NotEmpty(t, l)
	require.Equal(t, "spare", l[0].Pool)
}

func TestPaceFallsAtOnceAndRisesSlowly(t *testing.T) {
	require.Zero(t, nextPace(100, 1.5))
	require.Equal(t, 50, nextPace(100, 1.0))
	require.Zero(t, nextPace(25, 1.0))
	require.Equal(t, 25, nextPace(0, 0.2))
	require.Equal(t, 100, nextPace(90, 0.2))
	require.Equal(t, 50, nextPace(50, 0.7), "between the thresholds nothing changes")
}

func TestWorkerOfAMovedMachineDoesNotHoldUpTheNextOwner(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2")
	f.listMachines(machineOf("w1", "blue"), machineOf("w2", "blue"))
	f.advance(handoverPause + poolIdleTimeout + time.Second)
	require.NotEmpty(t, f.moves())
	require.Contains(t, f.ownerKeys, rosterShardKey(rosterShard("w1")), "the roster named it before")
	for _, e := range f.roster().Workers {
		require.NotEqual(t, f.moves()[0].Machine, e.Host)
	}
}

func TestInheritedWorkerWhoseMachineRunsAnotherIncarnationIsGivenUp(t *testing.T) {
	f := newFixture(t)
	rec := NewRecord(f.core.queues["quick"], platform.Submission{Spec: "s", Steps: []platform.Step{oneTask()}}, f.now)
	gone := RosterEntry{ID: "older", Service: "blue", Host: "host-of-w1"}
	f.step(Inherited{
		Config: testConfig(), Workers: []platform.Worker{testWorker("w2")},
		Jobs:   []Accepted{{ID: idA, Record: rec, Created: 50}},
		Roster: Roster{Workers: []RosterEntry{gone}},
	})
	f.answer("w2", platform.PollReply{})
	f.fail("older", platform.ErrNotSent)
	require.Empty(t, f.starts())
	f.listMachines(machineOf("w1", "spare"), machineOf("w2", "blue"))
	f.advance(tickEvery)
	require.Len(t, f.starts(), 1)
}

func TestMachineOrderedByPreviousOwnerIsLeftAloneForAWhile(t *testing.T) {
	f := newFixture(t)
	f.step(Inherited{
		Config: testConfig(), Workers: []platform.Worker{testWorker("w1"), testWorker("w2")},
		Roster: Roster{Ordered: []string{"host-of-w1"}},
	})
	f.answer("w1", platform.PollReply{})
	f.answer("w2", platform.PollReply{})
	f.listMachines(machineOf("w1", "blue"), machineOf("w2", "blue"))
	f.step(WaveRequested{Wave: platform.Wave{Number: 4, Machines: []string{"host-of-w1", "host-of-w2"}, TimeLimit: 20 * time.Second, MaxDown: 2}})
	f.advance(handoverPause - 200*time.Millisecond)
	for _, m := range f.maintenanceOrders() {
		require.Equal(t, "host-of-w2", m.Machine)
	}
	require.Len(t, f.maintenanceOrders(), 1)
	f.advance(time.Second)
	require.Len(t, f.maintenanceOrders(), 2)
}

func TestOrderIsSentOnlyOnceTheStoreNamesItsMachine(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.listMachines(machineOf("w1", "blue"))
	f.advance(firstOrderDelay + tickEvery)
	f.out = nil
	f.holdWrites = true
	f.step(WaveRequested{Wave: platform.Wave{Number: 4, Machines: []string{"host-of-w1"}, TimeLimit: 20 * time.Second, MaxDown: 1}})
	f.advance(300 * time.Millisecond)
	require.Empty(t, f.maintenanceOrders())
	f.holdWrites = false
	f.step(WriteResult{Number: f.core.writeNumber})
	f.advance(200 * time.Millisecond)
	require.Len(t, f.maintenanceOrders(), 1)
	require.Equal(t, []string{"host-of-w1"}, f.roster().Ordered)
}

// TestNextOrderAfterARefusedOneIsSentOnceItIsRecorded guards against an order that is sent before
// the store has recorded it, and then once more. It comes about if an order is refused, or not sent
// as the owner's lease has not been renewed, and the retry delay after it is taken for the time to
// resend the next order. That one would go out without a fence of its own, and a next owner that
// took over in between would order the host as well.
func TestNextOrderAfterARefusedOneIsSentOnceItIsRecorded(t *testing.T) {
	for name, refused := range map[string]MachineOrderResult{
		"not sent": {Err: errLeaseNotRenewed},
		"busy":     {Verdict: platform.OrderBusy},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			host := machineOf("s1", "spare")
			host.Worker = ""
			f.listMachines(host)
			m := f.core.machinesByName[host.Name]
			f.core.orderMove(m, "blue", &demand{})
			f.advance(tickEvery)
			refused.Machine = host.Name
			f.step(refused)
			require.Nil(t, m.order)
			f.advance(orderRetry + tickEvery)
			f.out = nil
			f.holdWrites = true
			f.core.orderMove(m, "blue", &demand{})
			f.advance(time.Second)
			require.Empty(t, f.moves())
			f.step(WriteResult{Number: f.core.writeNumber, Revision: f.revision + 1})
			f.advance(time.Second)
			require.Len(t, f.moves(), 1)
		})
	}
}

// An owner that inherits many old jobs does not count them as arrivals: pools that need hosts now
// would have to wait for them.
func TestInheritedJobsAreNoNewLoad(t *testing.T) {
	f := newOwnerFixture(t, 200)
	earlier, now := f.now.Add(-20*time.Second), f.now
	q := f.core.queues["quick"]
	record := func(receivedAt time.Time) Record {
		return NewRecord(q, platform.Submission{Spec: "s", Steps: []platform.Step{{Count: 100, Resources: platform.Resources{MilliCores: 1000}, Estimate: time.Second}}}, receivedAt)
	}
	f.step(Inherited{Config: testConfig(), Jobs: []Accepted{{ID: idA, Record: record(earlier), Created: 10}}})
	require.Less(t, f.core.balance.arrivals["blue"].long.value(f.now), 1.0, "cores")
	f.step(Accepted{ID: idB, Record: record(now), Created: 300})
	require.Greater(t, f.core.balance.arrivals["blue"].long.value(f.now), 80.0, "cores")
}

// A machine that has left a pool is not counted there any more, even while the record of the
// worker that ended with the move is still listed.
func TestPoolDoesNotCountHostsThatHaveLeft(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2")
	f.listMachines(machineOf("w1", "blue"), machineOf("w2", "blue"))
	gone := machineOf("", "spare")
	gone.Name = "host-of-w1"
	f.listMachines(gone, machineOf("w2", "blue"))
	for _, d := range f.core.poolDemands("spare") {
		if d.service == "blue" {
			require.Equal(t, 1, d.have)
		}
	}
}

// A list may be a second old when it arrives. It does not include an incarnation that has started
// since, whatever else it says about the machine.
func TestMachineListFromBeforeAnIncarnationSaysNothingOfIt(t *testing.T) {
	f := newFixture(t)
	requestedAt := f.now
	f.advance(500 * time.Millisecond)
	f.join("w1", "w2")
	f.submit(idA, "quick", oneTask())
	s := f.starts()[0]
	f.step(StartResult{Worker: s.Worker.ID, Run: s.Order.Run, Task: s.Order.Task, Err: common.ErrUnknownOutcome})
	f.fail(string(s.Worker.ID), common.ErrUnknownOutcome)
	before := machineOf(string(s.Worker.ID), "blue")
	before.Worker = "an earlier incarnation"
	f.step(MachineList{SentAt: requestedAt, Machines: []platform.Machine{before}})
	require.Contains(t, f.core.workers, s.Worker.ID)
	require.Empty(t, f.starts(), "the order may still be carried out")
	f.step(MachineList{SentAt: f.now, Machines: []platform.Machine{before}})
	require.NotContains(t, f.core.workers, s.Worker.ID)
}

// TestSilentOrderedMachineTriggersNoListOnNarrowLink has a worker become silent whose machine has
// an order, as happens with each move: on a narrow link it must not cause an early read of the
// whole list.
func TestSilentOrderedMachineTriggersNoListOnNarrowLink(t *testing.T) {
	lists := func(f *fixture) (n int) {
		for _, a := range f.out {
			if _, ok := a.(ListMachines); ok {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
		ordered  bool
		megabits float64
		want     int
	}{{true, 0.01, 0}, {true, 200, 1}, {false, 0.01, 1}, {false, 200, 1}} {
		f := newFixture(t)
		f.core.flow = newFlowControl(Size{LinkMbps: c.megabits}, f.now)
		f.join("w1")
		f.listMachines(machineOf("w1", "blue"))
		if c.ordered {
			f.core.recordOrder(f.core.machinesByName["host-of-w1"], &machineOrder{pool: "spare"})
			f.advance(tickEvery)
		}
		f.out = nil
		f.core.poll(f.core.workers["w1"])
		f.fail("w1", platform.ErrUnknownOutcome)
		f.advance(listAfterSilence + 2*tickEvery)
		require.Equal(t, c.want, lists(f), "%+v", c)
		f.advance(maxListGap)
		require.Equal(t, 1, lists(f))
	}
}

// TestLastingTaskStaysUntilTheServiceOfItsQueueHasRoom guards against lasting tasks that are stopped as
// workers have room on which their queue, which is sent to another service by now, starts nothing.
func TestLastingTaskStaysUntilTheServiceOfItsQueueHasRoom(t *testing.T) {
	f := newFixture(t)
	r := lastingOn(f)
	f.passWhileReady(r, evictionDelay+time.Second)
	d := testConfig()
	d.Version = 2
	d.Queues[0].Service = "green"
	f.step(ConfigChanged{Config: d})
	w := testWorker("w1")
	w.Draining = true
	f.step(WorkerListed{Worker: w})
	f.passWhileReady(r, time.Second)
	require.Empty(t, f.stops())
	other := testWorker("w3")
	other.Service = "green"
	f.step(WorkerListed{Worker: other})
	f.answer("w3", platform.PollReply{})
	f.passWhileReady(r, 200*time.Millisecond)
	require.Len(t, f.stops(), 1)
}
