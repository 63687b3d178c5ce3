package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// A pool orders hosts for a step that will be unblocked by the time they run tasks, but not
// for one that is unblocked later.
func TestPoolWantsHostsForStepsThatAreAboutToOpen(t *testing.T) {
	for _, v := range []struct {
		first time.Duration
		wants bool
	}{{time.Second, true}, {20 * time.Second, false}} {
		f := newFixture(t)
		f.join("w1")
		f.listMachines(machineOf("w1", "blue"))
		first, wide := oneTask(), oneTask()
		first.Estimate = v.first
		wide.Count = 40
		wide.After = []int{0}
		f.submit(idA, "quick", first, wide)
		f.acceptStart(f.starts()[0])
		f.advance(100 * time.Millisecond)
		got := f.core.upcomingDemand("blue", f.now.Add(moveDuration)).MilliCores
		if v.wants {
			require.EqualValues(t, 40_000, got)
		} else {
			require.EqualValues(t, 1000, got)
		}
		f.advance(4 * arrivalWindow)
		require.Equal(t, v.wants, f.core.wantedHosts("blue") > 10, "after the arrivals have decayed")
	}
}

// A job that may not run yet because a worker of an earlier owner has not answered reserves
// no hosts: they would stay idle until that worker's leases have expired.
func TestPoolHoldsNoHostsForJobsThatMayNotRunYet(t *testing.T) {
	f := newFixture(t)
	s := oneTask()
	s.Count = 24
	s.MaxPerWorker = 1
	r := NewRecord(f.core.queues["quick"], platform.Submission{Spec: "spec", Steps: []platform.Step{s}}, f.now)
	f.step(Inherited{
		Config:  testConfig(),
		Workers: []platform.Worker{testWorker("w1")},
		Roster:  Roster{Workers: []RosterEntry{{ID: "w1", Service: "blue", Host: "host-of-w1"}}},
		Jobs:    []Accepted{{ID: idA, Record: r, Created: 50}},
	})
	f.listMachines(machineOf("w1", "blue"))
	require.Zero(t, f.core.hostsForSpread("blue"))
	require.Zero(t, f.core.upcomingDemand("blue", f.now.Add(moveDuration)).MilliCores)
	f.answer("w1", platform.PollReply{})
	require.Equal(t, 24, f.core.hostsForSpread("blue"))
}
