package job

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// reroutedConfig returns a configuration that sends the queue "quick" to the service, or drops it if
// that is empty.
func reroutedConfig(version int64, service string) *platform.Config {
	c := testConfig()
	c.Version = version
	c.Services = append(c.Services, platform.Service{Name: redService, RejectsOverload: true})
	c.Queues[0].Service = service
	if service == "" {
		c.Queues = c.Queues[1:]
	}
	return c
}

// workerOf returns a worker of a service.
func workerOf(id, service string) platform.Worker {
	w := testWorker(id)
	w.Service = service
	return w
}

// reroutedFixture is an owner that has accepted idA for the service "blue", and has started its task on
// w2 of the service "green", to which its queue was sent since.
func reroutedFixture(t *testing.T) (*fixture, StartRun) {
	f := newFixture(t)
	f.step(ConfigChanged{Config: reroutedConfig(2, "blue")})
	for _, w := range []platform.Worker{workerOf("w2", "green"), workerOf("w3", redService)} {
		f.step(WorkerListed{Worker: w})
		f.answer(string(w.ID), platform.PollReply{})
	}
	second := oneTask()
	second.After = []int{0}
	f.submit(idA, "quick", oneTask(), second)
	f.step(ConfigChanged{Config: reroutedConfig(3, "green")})
	f.advance(tickEvery)
	l := f.starts()
	require.Len(t, l, 1)
	require.EqualValues(t, "w2", l[0].Worker.ID)
	f.acceptStart(l[0])
	return f, l[0]
}

// nextOwner returns an owner that takes over from the fixture's, with a configuration in force. Worker w3
// answers it, and w2 does not.
func (f *fixture) nextOwner(c *platform.Config, workers ...platform.Worker) *fixture {
	n := newOwnerFixture(f.t, platform.Fence(f.revision+1000))
	n.now, n.clock, n.ownerKeys = f.now, f.clock, f.ownerKeys
	e := Inherited{Config: c, Workers: workers, Roster: f.roster()}
	for _, j := range f.core.active {
		e.Jobs = append(e.Jobs, Accepted{ID: j.id, Record: j.Record, Created: j.created})
	}
	n.step(e)
	n.answer("w3", platform.PollReply{})
	return n
}

// requireWaitsFor requires that the fixture starts nothing while w2 is silent and its lease may be valid,
// and starts the task once that has expired.
func (f *fixture) requireWaitsForSilent(id platform.WorkerID) {
	began := f.now
	var l []StartRun
	for len(l) == 0 {
		require.Less(f.t, f.now.Sub(began), inheritedLease+time.Second, "the task is never started")
		f.advance(tickEvery)
		if _, polled := f.polls[id]; polled {
			f.fail(string(id), common.ErrUnknownOutcome)
		}
		if _, polled := f.polls["w3"]; polled {
			f.answer("w3", platform.PollReply{})
		}
		l = f.starts()
	}
	require.Greater(f.t, f.now.Sub(began), inheritedLease-time.Second, "the run on %s may continue", id)
}

// A queue was sent from blue to green and to red. The next owner did not wait for a worker of green that
// was cut off, and started its task a second time in red (review case 4). It guards against the same for
// a queue that is dropped, and for a worker whose record names another service since.
func TestNextOwnerWaitsForWorkersOfServicesInBetween(t *testing.T) {
	for name, c := range map[string]struct {
		next    *platform.Config
		service string
	}{
		"sent elsewhere": {next: reroutedConfig(4, redService), service: "green"},
		"dropped":        {next: reroutedConfig(4, ""), service: "green"},
		"moved worker":   {next: reroutedConfig(4, redService), service: "spare"},
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := reroutedFixture(t)
			f.step(ConfigChanged{Config: c.next})
			f.advance(3 * time.Second)
			n := f.nextOwner(c.next, workerOf("w1", "blue"), workerOf("w2", c.service), workerOf("w3", redService))
			n.answer("w1", platform.PollReply{})
			n.requireWaitsForSilent("w2")
		})
	}
}

// The roster of the owner in between names the worker of its new service, and the service before.
func TestWorkerThatMovedWhileBusyIsWaitedForByTwoOwners(t *testing.T) {
	f, _ := reroutedFixture(t)
	f.step(WorkerListed{Worker: workerOf("w2", redService)})
	f.core.markRosterDirty(f.core.workers["w2"])
	f.advance(time.Second)
	require.Equal(t, "green", f.roster().Workers[slices.IndexFunc(f.roster().Workers, func(e RosterEntry) bool { return e.ID == "w2" })].Former)
	n := f.nextOwner(reroutedConfig(4, "green"), workerOf("w1", "green"), workerOf("w2", redService), workerOf("w3", redService))
	n.answer("w1", platform.PollReply{})
	n.requireWaitsForSilent("w2")
}

// The next owner learns of the service from the store, so that the first task starts there only once
// the store names it.
func TestTaskStartsInAnotherServiceOnceTheStoreNamesIt(t *testing.T) {
	f := newFixture(t)
	f.step(WorkerListed{Worker: workerOf("w2", "green")})
	f.answer("w2", platform.PollReply{})
	f.submit(idA, "quick", oneTask())
	f.holdWrites = true
	f.step(ConfigChanged{Config: reroutedConfig(3, "green")})
	f.advance(tickEvery)
	require.Empty(t, f.starts())
	require.Equal(t, queueServices{"quick": {"green"}}, f.roster().Services)
	f.holdWrites = false
	f.step(WriteResult{Number: f.core.writeNumber, Revision: f.revision + 1})
	f.advance(tickEvery)
	require.Len(t, f.starts(), 1)
}

// A failed write of the services is repeated.
func TestServicesAreWrittenAgainAfterAFailure(t *testing.T) {
	f := newFixture(t)
	f.step(WorkerListed{Worker: workerOf("w2", "green")})
	f.answer("w2", platform.PollReply{})
	f.submit(idA, "quick", oneTask())
	f.holdWrites = true
	f.step(ConfigChanged{Config: reroutedConfig(3, "green")})
	f.holdWrites = false
	f.step(WriteResult{Number: f.core.writeNumber, Err: common.ErrUnknownOutcome})
	f.advance(time.Second)
	require.Len(t, f.starts(), 1)
}

// A service is no longer named once the next owner needs not wait for it: nothing of the queue runs
// there, and its ends are stored.
func TestServicesInBetweenAreForgottenOnceNothingRunsThere(t *testing.T) {
	f, s := reroutedFixture(t)
	f.step(ConfigChanged{Config: reroutedConfig(4, redService)})
	f.advance(2 * pruneServicesEvery)
	require.Equal(t, queueServices{"quick": {"green", redService}}, f.roster().Services, "its run in green continues")
	f.answer("w2", platform.PollReply{Ended: []platform.EndedRow{ended(1, s, platform.EndDone)}})
	f.advance(2 * pruneServicesEvery)
	require.Equal(t, queueServices{"quick": {redService}}, f.roster().Services)
	l := f.starts()
	require.Len(t, l, 1)
	f.acceptStart(l[0])
	f.answer("w3", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	f.advance(2 * pruneServicesEvery)
	require.Empty(t, f.roster().Services)
}

// What a final job's runs take counts against its team's cap until the workers of all services in which
// they may be have answered.
func TestLeftoverRunsNameTheServicesInBetween(t *testing.T) {
	f, _ := reroutedFixture(t)
	j := f.core.jobs[idA]
	j.team = f.core.teams.find("paint")
	j.team.Cap = platform.Resources{MilliCores: 4000}
	f.step(ConfigChanged{Config: reroutedConfig(4, redService)})
	require.Equal(t, []string{"blue", "green"}, f.core.leftoverRuns(j).OtherServices)
}

// A value that cannot be read holds up the jobs of one owner, not of each next one.
func TestUnreadableServicesAreWrittenAnew(t *testing.T) {
	f := newFixture(t)
	f.ownerKeys[queueServicesKey] = []byte("[")
	f.step(Inherited{Config: testConfig(), Roster: f.roster()})
	f.advance(time.Second)
	require.Empty(t, f.roster().unreadableKeys)
}
