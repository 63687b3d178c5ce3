package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// passRefusing lets time pass as passListing does, but connections to w2 are refused at once. It
// returns the time until the first start, or zero if there is none.
func (f *takeoverFixture) passRefusing(d time.Duration, l ...platform.Machine) time.Duration {
	began := f.now
	for end := f.now.Add(d); f.now.Before(end); {
		if _, ok := f.polls["w2"]; ok && f.core.workers["w2"] != nil {
			f.fail("w2", common.ErrNotSent)
		}
		f.advance(tickEvery)
		if _, ok := f.polls["w1"]; ok {
			f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(f.poolRun, 100)}})
		}
		if f.core.listing {
			f.listMachines(l...)
		}
		if len(f.starts()) > 0 {
			return f.now.Sub(began)
		}
	}
	return 0
}

// If the host refuses connections, the first machine list comes after the poll has failed. The
// second list has to follow soon after the first in that case as well.
func TestNextOwnerDoesNotWaitForARemovedHostThatRefuses(t *testing.T) {
	f := newTakeoverFixture(t)
	took := f.passRefusing(inheritedLease, machineOf("w1", "blue"))
	require.NotZero(t, took)
	require.Less(t, took, lastingRestartWithin)
}

// If a poll fails while a slow machine list is being read, the next list follows soon.
func TestNextOwnerDoesNotWaitForARemovedHostWhileListsAreSlow(t *testing.T) {
	const slow = 700 * time.Millisecond
	f := newTakeoverFixture(t)
	var sent time.Time
	for began := f.now; len(f.starts()) == 0; {
		require.Less(t, f.now.Sub(began), lastingRestartWithin)
		f.advance(tickEvery)
		f.timeOutPoll("w2")
		if _, ok := f.polls["w1"]; ok {
			f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(f.poolRun, 100)}})
		}
		if f.core.listing && sent.IsZero() {
			sent = f.now
		}
		if f.core.listing && f.now.Sub(sent) >= slow {
			f.step(MachineList{SentAt: sent, Machines: []platform.Machine{machineOf("w1", "blue")}})
			sent = time.Time{}
		}
	}
}

// Machine lists requested before a worker's last answer prove nothing about it.
func TestListsFromBeforeAnAnswerDoNotCount(t *testing.T) {
	f := newFixture(t)
	r := lastingOn(f)
	f.passWhileReady(r, time.Second)
	f.listMachines(machineOf("w2", "blue"))
	f.listMachines(machineOf("w2", "blue"))
	f.passWhileReady(r, 3*time.Second)
	f.step(WorkerUnlisted{Name: "w1"})
	f.fail("w1", common.ErrUnknownOutcome)
	f.advance(tickEvery)
	require.NotNil(t, f.core.workers["w1"], "it answered after both lists, and missed only one poll since")
}

// Records disappear in outages of the store, and are back up to two seconds later.
func TestRecordLostInStoreOutageIsNotRemoval(t *testing.T) {
	f := newFixture(t)
	r := lastingOn(f)
	f.passWhileReady(r, time.Second)
	f.advanceWithoutStore(time.Second)
	f.step(WorkerList{testWorker("w2")})
	f.out = nil
	f.fail("w1", common.ErrUnknownOutcome)
	for range 2 {
		f.advanceWithoutStore(listEvery)
		f.listMachines(machineOf("w2", "blue"))
	}
	require.Empty(t, f.starts())
}

func TestMachineListFromBeforeAnAnswerDoesNotEndTheWorker(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.listMachines(machineOf("w1", "blue"))
	sent := f.now
	f.advance(200 * time.Millisecond)
	v := testWorker("w2")
	v.Host = "host-of-w1"
	f.step(WorkerListed{Worker: v})
	f.answer("w2", platform.PollReply{})
	s := oneTask()
	s.Lasting = true
	f.submit(idA, "quick", s)
	f.advance(tickEvery)
	l := f.starts()
	require.Len(t, l, 1)
	f.acceptStart(l[0])
	f.answer("w2", platform.PollReply{Running: []platform.RunningRow{runningRow(l[0], 100)}})
	f.join("w3")
	f.advance(200 * time.Millisecond)
	f.fail("w2", common.ErrUnknownOutcome)
	f.step(MachineList{SentAt: sent, Machines: []platform.Machine{machineOf("w1", "blue")}})
	f.advance(tickEvery)
	require.Empty(t, f.starts(), "w2 is alive: it answered after the list was requested")
}

func TestFirstListOfAnOwnerTakesNoMachineOutOfAWave(t *testing.T) {
	f := newFixture(t)
	f.step(Inherited{
		Config: testConfig(), Workers: []platform.Worker{testWorker("w1"), testWorker("w2")},
		Waves: []platform.Wave{{Number: 4, Machines: []string{"host-of-w2"}, TimeLimit: 20 * time.Second, MaxDown: 1}},
	})
	f.answer("w1", platform.PollReply{})
	f.answer("w2", platform.PollReply{})
	f.listMachines(machineOf("w1", "blue"))
	f.advance(tickEvery)
	require.False(t, f.core.waves[4].reported)
}

// A worker accepts starts again once the order to its machine is over, even if the machine was
// missing from the list meanwhile.
func TestWorkerOfAMachineThatIsListedAgainAcceptsStarts(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2")
	up := []platform.Machine{machineOf("w1", "blue"), machineOf("w2", "blue")}
	f.listMachines(up...)
	f.advance(2 * time.Second)
	l := f.moves()
	require.NotEmpty(t, l)
	var rest []platform.Machine
	for _, m := range up {
		if m.Name != l[0].Machine {
			rest = append(rest, m)
		}
	}
	f.listMachines(rest...)
	f.listMachines(rest...)
	f.step(MachineOrderResult{Machine: l[0].Machine, Verdict: platform.OrderBusy})
	f.listMachines(up...)
	for _, w := range f.core.workers {
		require.False(t, w.cordoned && f.core.machinesByName[w.Host].order == nil, "%s", w.ID)
	}
}

// When a worker falls silent while a machine list is being read, the next list follows soon,
// even if an order to another machine waits for its result.
func TestListFollowsSilenceSoonBesideAnOrder(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2")
	up := []platform.Machine{machineOf("w1", "blue"), machineOf("w2", "blue")}
	f.listMachines(up...)
	f.advance(2 * time.Second)
	require.NotEmpty(t, f.moves())
	sent := f.now
	f.advance(tickEvery)
	f.step(WorkerListed{Worker: testWorker("w3")})
	f.fail("w3", common.ErrUnknownOutcome)
	f.step(MachineList{SentAt: sent, Machines: up})
	require.False(t, f.core.listAt.After(f.now.Add(listAfterSilence)))
}
