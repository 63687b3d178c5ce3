package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// recurringRecord returns a job whose times have all been due for long.
func (f *fixture) recurringRecord(times int, steps ...platform.Step) Record {
	return NewRecord(f.core.queues["quick"], platform.Submission{Spec: "s", Steps: steps, Times: times, First: f.now.Add(-24 * time.Hour), Every: time.Second}, f.now)
}

// createdTasks counts the tasks of the job's instances.
func (j *job) createdTasks() int {
	n := 0
	for _, i := range j.instances {
		for _, s := range i.steps {
			n += len(s.tasks)
		}
	}
	return n
}

// A job of 10,000 times of 100 tasks, all due, took 330 MB of each owner, which was killed for it; no
// other job started any more (review case 5).
func TestRecurringJobTakesLittleMemoryWhenAllItsTimesAreDue(t *testing.T) {
	f := newFixture(t)
	s := oneTask()
	s.Count = 100
	f.step(Accepted{ID: idA, Record: f.recurringRecord(maxTimes, s), Created: 1000})
	f.advance(time.Second)
	require.LessOrEqual(t, f.core.jobs[idA].createdTasks(), defaultMaxWaiting+s.Count)
	f.join("w1")
	f.submit(idB, "patient", oneTask())
	require.NotEmpty(t, f.starts())
}

// All instances of a job run, in their order and each task once, although few exist at a time.
func TestAllInstancesOfARecurringJobRun(t *testing.T) {
	f := newFixture(t)
	f.core.maxWaiting = 3
	f.join("w1")
	s := oneTask()
	s.Count = 2
	f.step(Accepted{ID: idA, Record: f.recurringRecord(20, s), Created: 1000})
	started := map[string]bool{}
	highest, number := 0, int64(0)
	var l []platform.EndedRow
	for range 400 {
		f.advance(tickEvery)
		for _, r := range f.starts() {
			require.False(t, started[r.Order.Task], r.Order.Task)
			started[r.Order.Task] = true
			k, _ := parseTaskKey(r.Order.Task)
			require.GreaterOrEqual(t, k.instance, highest)
			highest = k.instance
			f.acceptStart(r)
			number++
			l = append(l, ended(number, r, platform.EndDone))
		}
		if _, polled := f.polls["w1"]; polled {
			f.answer("w1", platform.PollReply{Ended: l})
		}
	}
	require.Len(t, started, 40)
	require.Equal(t, platform.StateSucceeded, f.state())
}

// inheritRecurring has the owner inherit a job of which an earlier owner has started instances that it
// would not create yet. Worker w1 has answered.
func (f *fixture) inheritRecurring(p Progress, l platform.PollReply) {
	f.core.maxWaiting = 2
	w := testWorker("w1")
	f.step(Inherited{
		Config: testConfig(), Workers: []platform.Worker{w},
		Jobs:     []Accepted{{ID: idA, Record: f.recurringRecord(50, oneTask()), Created: 50}},
		Progress: map[ID]Progress{idA: p},
		Roster:   Roster{Workers: []RosterEntry{{ID: w.ID, Service: w.Service, Address: w.Address, Host: w.Host}}},
	})
	f.answer("w1", l)
	f.advance(tickEvery)
}

// The earlier owner was further ahead: its ends were not stored yet when it was killed. What workers list
// of later instances is neither stopped nor, once acknowledged, run again.
func TestNextOwnerTakesOverInstancesThatItWouldNotCreateYet(t *testing.T) {
	f := newFixture(t)
	f.inheritRecurring(Progress{State: platform.StateRunning, OldestInstance: 3}, platform.PollReply{
		Running: []platform.RunningRow{{Task: idA + ".30.0.0", Run: 7, Percent: 10}},
		Ended:   []platform.EndedRow{{Number: 1, Task: idA + ".31.0.0", Run: 8, End: platform.EndDone}},
	})
	j := f.core.jobs[idA]
	require.Len(t, j.instances[30].steps[0].tasks[0].runs, 1)
	require.True(t, j.complete[31])
	require.Empty(t, f.stops())
	for _, s := range f.starts() {
		require.NotContains(t, []string{idA + ".30.0.0", idA + ".31.0.0"}, s.Order.Task)
	}
	f.advance(time.Second)
	p, ok := f.core.progress(j).Instances[31]
	require.True(t, ok && p.Complete)
}

// Progress of instances that the owner would not create yet, or that are not due by its own clock, is
// kept. Tasks that are not due do not start.
func TestNextOwnerKeepsProgressOfLaterInstances(t *testing.T) {
	f := newFixture(t)
	rec := f.recurringRecord(50, oneTask())
	rec.First = f.now.Add(-40 * time.Second)
	failed := InstanceProgress{Failures: []TaskFailures{{Runs: []int64{5}}}}
	f.step(Inherited{
		Config: testConfig(), Workers: []platform.Worker{testWorker("w1")},
		Jobs: []Accepted{{ID: idA, Record: rec, Created: 50}},
		Progress: map[ID]Progress{idA: {
			State: platform.StateRunning, OldestInstance: 38,
			Instances: map[int]InstanceProgress{45: {Complete: true}, 46: failed},
		}},
	})
	f.answer("w1", platform.PollReply{})
	f.advance(tickEvery)
	j := f.core.jobs[idA]
	require.True(t, j.complete[45])
	require.Equal(t, []int64{5}, j.instances[46].steps[0].tasks[0].failedRuns)
	require.Len(t, f.starts(), 3, "instances 38 to 40 are due")
	require.Equal(t, failed.Failures, f.core.progress(j).Instances[46].Failures)
}

// Due instances that have not been created count against the cap of the job's team as long as workers
// may run them for an earlier owner.
func TestUncreatedInstancesCountAgainstTheCapOfTheirTeam(t *testing.T) {
	f := newFixture(t)
	f.core.maxWaiting = 2
	f.step(Accepted{ID: idA, Record: f.recurringRecord(50, oneTask()), Created: 1000})
	j := f.core.jobs[idA]
	require.Less(t, j.createdTasks(), 50)
	require.EqualValues(t, 50_000, f.core.addUnknownRuns(platform.Resources{}, j).MilliCores)
}
