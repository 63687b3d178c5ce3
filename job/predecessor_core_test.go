package job

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// An earlier process that is still alive orders machines until ownerTTL after its last renewal, which
// may have been sent just before its lease was revoked. With the pause of any takeover, two holders
// gave orders to one machine within 1.7 s.
func TestMachineOrderedByThePredecessorIsLeftAloneForLonger(t *testing.T) {
	for name, replaced := range map[string]bool{"vacant": false, "predecessor": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.step(Inherited{
				Config: testConfig(), Workers: []platform.Worker{testWorker("w1"), testWorker("w2")},
				Roster: Roster{Ordered: []string{"host-of-w1"}}, Replaced: replaced,
			})
			f.answer("w1", platform.PollReply{})
			f.answer("w2", platform.PollReply{})
			f.listMachines(machineOf("w1", "blue"), machineOf("w2", "blue"))
			f.step(WaveRequested{Wave: platform.Wave{Number: 4, Machines: []string{"host-of-w1", "host-of-w2"}, TimeLimit: 20 * time.Second, MaxDown: 2}})
			pause := handoverPause
			if replaced {
				pause += ownerTTL
			}
			f.advance(pause - 200*time.Millisecond)
			require.Len(t, f.maintenanceOrders(), 1)
			require.Equal(t, "host-of-w2", f.maintenanceOrders()[0].Machine)
			f.advance(time.Second)
			require.Len(t, f.maintenanceOrders(), 2)
		})
	}
}

// inheritRun has the owner inherit a job whose task runs on w1, and w2, which has not answered it.
func (f *fixture) inheritRun(replaced bool) StartRun {
	rec := NewRecord(f.core.queues["quick"], platform.Submission{Spec: "s", Steps: []platform.Step{oneTask()}}, f.now)
	entry := func(id string) RosterEntry {
		w := testWorker(id)
		return RosterEntry{ID: w.ID, Service: w.Service, Address: w.Address, Host: w.Host}
	}
	f.step(Inherited{
		Config: testConfig(), Workers: []platform.Worker{testWorker("w1"), testWorker("w2")},
		Jobs:   []Accepted{{ID: idA, Record: rec, Created: 50}},
		Roster: Roster{Workers: []RosterEntry{entry("w1"), entry("w2")}}, Replaced: replaced,
	})
	return StartRun{Order: platform.StartOrder{Task: taskKey{id: idA}.String(), Run: 1}}
}

// The next process noted an end and acknowledged it, and the worker crashed. The earlier process, cut
// off from the store but not from the workers, took the run for lost, and as its lease had been renewed
// less than ownerTTL before, it started the task on a worker that did not know the next fence.
func TestEndIsNotAcknowledgedWhileThePredecessorMayRestartItsTask(t *testing.T) {
	for name, replaced := range map[string]bool{"vacant": false, "predecessor": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			s := f.inheritRun(replaced)
			done := platform.PollReply{Ended: []platform.EndedRow{ended(1, s, platform.EndDone)}}
			f.answer("w1", done)
			f.advance(ackDelay + 2*tickEvery)
			require.Equal(t, platform.StateSucceeded, f.core.jobs[idA].state, "the job does not wait")
			require.Equal(t, !replaced, f.polls["w1"].Order.LastAcked == 1)
			if !replaced {
				return
			}
			for w := range f.polls {
				if w == "w1" {
					f.answer("w1", done)
				}
			}
			f.advance(ownerTTL)
			require.EqualValues(t, 1, f.polls["w1"].Order.LastAcked)
		})
	}
}

// Once each worker of the roster knows the fence, none takes a start of the earlier process.
func TestEndIsAcknowledgedAtOnceIfAllWorkersKnowTheFence(t *testing.T) {
	f := newFixture(t)
	s := f.inheritRun(true)
	f.answer("w2", platform.PollReply{})
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, s, platform.EndDone)}})
	f.advance(ackDelay + 2*tickEvery)
	require.EqualValues(t, 1, f.polls["w1"].Order.LastAcked)
}

// An owner that took over and ended soon after had written the shard of ordered machines without those
// that it had inherited. The next owner ordered one of them 0.8 s after the first had.
func TestOrdersOfEarlierOwnersStayRecordedForTheNextOne(t *testing.T) {
	f := newFixture(t)
	machines := []platform.Machine{machineOf("w1", "blue"), machineOf("w2", "blue")}
	other := 2
	for orderedShard("host-of-w1") != orderedShard("host-of-w"+strconv.Itoa(other)) {
		other++
	}
	sameShard := "w" + strconv.Itoa(other)
	machines[1] = machineOf(sameShard, "blue")
	f.step(Inherited{
		Config: testConfig(), Workers: []platform.Worker{testWorker("w1"), testWorker(sameShard)},
		Roster: Roster{Ordered: []string{"host-of-w1"}},
	})
	f.answer("w1", platform.PollReply{})
	f.answer(sameShard, platform.PollReply{})
	f.listMachines(machines...)
	f.step(WaveRequested{Wave: platform.Wave{Number: 4, Machines: []string{"host-of-" + sameShard}, TimeLimit: 20 * time.Second, MaxDown: 2}})
	f.advance(time.Second)
	require.Len(t, f.maintenanceOrders(), 1)
	require.Equal(t, []string{"host-of-w1", "host-of-" + sameShard}, f.roster().Ordered)
}

// The lease of the earlier process may be revoked long after the claim, and it may give orders until then.
func TestOrdersOfAPredecessorCountFromTheTakeover(t *testing.T) {
	f := newOwnerFixture(t, 200)
	f.advance(5 * time.Second)
	f.step(Inherited{Config: testConfig(), Replaced: true})
	require.Equal(t, f.now.Add(inheritedLease), f.core.earlierOrdersUntil)
	require.Equal(t, f.now.Add(ownerAuthority+maxPollDelay), f.core.earlierLeasesUntil)
}
