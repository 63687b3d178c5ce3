package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// cappedConfig returns testConfig with the teams "paint", which has the cap, and "tint",
// which has none.
func cappedConfig(version int64, limit platform.Resources) *platform.Config {
	d := testConfig()
	d.Version = version
	d.Teams = []platform.Team{{Name: "paint", Weight: 10, Cap: limit}, {Name: "tint", Weight: 10}}
	return d
}

func cores(n int64) platform.Resources {
	return platform.Resources{MilliCores: 1000 * n}
}

// submitAs submits a job of a team.
func (f *fixture) submitAs(id, team, queue string, steps ...platform.Step) {
	r := NewRecord(f.core.queues[queue], platform.Submission{Spec: "spec", Steps: steps}, f.now)
	r.Team = team
	require.NoError(f.t, r.Check())
	f.step(Accepted{ID: ID(id), Record: r, Created: platform.Revision(1000 + len(f.core.jobs))})
}

// tasksOf returns a step of n tasks that take one core each.
func tasksOf(n int) platform.Step {
	return platform.Step{Count: n, Resources: platform.Resources{MilliCores: 1000, MemoryMB: 10}, Estimate: time.Second}
}

func (f *fixture) acceptAll(l []StartRun) {
	for _, s := range l {
		f.acceptStart(s)
	}
}

// Nothing limited what a team had running: one that sent twelve times its usual load took
// all room on the workers, 2,724 cores with a cap of 2,472.
func TestTeamHasNoMoreRunningThanItsCap(t *testing.T) {
	f := newFixture(t)
	f.step(ConfigChanged{Config: cappedConfig(2, cores(2))})
	f.join("w1", "w2")
	f.submitAs(idA, "paint", "quick", tasksOf(4))
	f.submitAs(idB, "tint", "patient", tasksOf(3))
	l := f.starts()
	mine, others := byJob(l, idA), byJob(l, idB)
	require.Len(t, mine, 2, "the cap is two cores")
	require.Len(t, others, 3, "tasks that wait for a cap do not block others")
	f.acceptAll(l)
	f.advance(100 * time.Millisecond)
	require.Empty(t, f.starts())
	e, ok := f.core.Explain(idA)
	require.True(t, ok)
	require.Equal(t, waitsForCap, e.Steps[0].Waits)
	f.answer(string(mine[0].Worker.ID), platform.PollReply{
		Ended:   []platform.EndedRow{ended(1, mine[0], platform.EndDone)},
		Running: rowsOf(l, mine[0]),
	})
	require.Len(t, f.starts(), 1, "a run that ends makes room below the cap")
}

// byJob returns the orders for tasks of the job.
func byJob(l []StartRun, id ID) []StartRun {
	var of []StartRun
	for _, s := range l {
		if k, _ := parseTaskKey(s.Order.Task); k.id == id {
			of = append(of, s)
		}
	}
	return of
}

// rowsOf lists the runs on the same worker as the given one, without that one.
func rowsOf(l []StartRun, gone StartRun) []platform.RunningRow {
	var rows []platform.RunningRow
	for _, s := range l {
		if s.Worker.ID == gone.Worker.ID && s.Order.Run != gone.Order.Run {
			rows = append(rows, runningRow(s, 10))
		}
	}
	return rows
}

// The cap limits what a team has running in all services together.
func TestCapHoldsAcrossServices(t *testing.T) {
	f := newFixture(t)
	d := cappedConfig(2, cores(1))
	d.Queues = append(d.Queues, platform.Queue{Name: "green", Host: "h", Prefix: "/g/", Service: "green", Attempts: 2, Stretch: 2, Goal: time.Second})
	f.step(ConfigChanged{Config: d})
	f.join("w1")
	w := testWorker("w2")
	w.Service = "green"
	f.step(WorkerListed{Worker: w})
	f.answer("w2", platform.PollReply{})
	f.submitAs(idA, "paint", "quick", tasksOf(1))
	l := f.starts()
	require.Len(t, l, 1)
	f.acceptAll(l)
	f.submitAs(idB, "paint", "green", tasksOf(1))
	require.Empty(t, f.starts())
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	require.Len(t, f.starts(), 1)
}

// Runs that are being stopped and starts without an answer count against the cap.
func TestCapCountsWhatMayStillRun(t *testing.T) {
	f := newFixture(t)
	f.step(ConfigChanged{Config: cappedConfig(2, cores(1))})
	f.join("w1", "w2")
	f.submitAs(idA, "paint", "quick", tasksOf(1))
	l := f.starts()
	require.Len(t, l, 1)
	f.step(StartResult{Worker: l[0].Worker.ID, Run: l[0].Order.Run, Task: l[0].Order.Task, Err: platform.ErrUnknownOutcome})
	f.submitAs(idB, "paint", "quick", tasksOf(1))
	require.Empty(t, f.starts(), "the start may be carried out late")
	f.step(CancelRequested{ID: idA})
	f.advance(200 * time.Millisecond)
	require.Empty(t, f.starts(), "it has not ended yet")
	f.step(StopResult{Worker: l[0].Worker.ID, Run: l[0].Order.Run, Task: l[0].Order.Task, Clock: f.clock})
	f.advance(50 * time.Millisecond)
	f.answer(string(l[0].Worker.ID), platform.PollReply{})
	require.Len(t, f.starts(), 1, "the run can never begin")
}

// A new owner counts the runs that an earlier owner may have started on workers that have
// not answered yet.
func TestCapHoldsAcrossOwners(t *testing.T) {
	f := newOwnerFixture(t, 5000)
	rec := NewRecord(testConfig().Queues[0], platform.Submission{Spec: "s", Steps: []platform.Step{tasksOf(2)}}, f.now)
	rec.Team = "paint"
	f.step(Inherited{
		Config: cappedConfig(2, cores(2)), Workers: []platform.Worker{testWorker("w1"), testWorker("w2")},
		Jobs:   []Accepted{{ID: idA, Record: rec, Created: 10}},
		Roster: Roster{Workers: []RosterEntry{rosterEntryOf(newWorker(testWorker("w1"), f.now)), rosterEntryOf(newWorker(testWorker("w2"), f.now))}},
	})
	f.answer("w2", platform.PollReply{})
	f.step(Accepted{ID: idB, Record: rec, Created: 6000})
	require.Empty(t, f.starts(), "w1 may run two tasks of the team")
	f.answer("w1", platform.PollReply{Running: []platform.RunningRow{
		{Task: idA + ".0.0.0", Run: 7, Percent: 20}, {Task: idA + ".0.0.1", Run: 8, Percent: 20},
	}})
	f.advance(100 * time.Millisecond)
	require.Empty(t, f.starts(), "w1 does run two tasks of the team")
	f.advance(pollWait)
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{
		{Number: 1, Task: idA + ".0.0.0", Run: 7, End: platform.EndDone}, {Number: 2, Task: idA + ".0.0.1", Run: 8, End: platform.EndDone},
	}})
	require.Len(t, f.starts(), 2)
}

// A run of a cancelled job counts until it has ended, also for a new owner that finds it on
// a worker.
func TestCapCountsRunsOfCancelledJobs(t *testing.T) {
	f := newOwnerFixture(t, 5000)
	rec := NewRecord(testConfig().Queues[0], platform.Submission{Spec: "s", Steps: []platform.Step{tasksOf(1)}}, f.now)
	rec.Team = "paint"
	f.step(Inherited{
		Config: cappedConfig(2, cores(1)), Workers: []platform.Worker{testWorker("w1"), testWorker("w2")},
		Jobs:    []Accepted{{ID: idA, Record: rec, Created: 10}},
		Cancels: []ID{idA},
		Roster:  Roster{Workers: []RosterEntry{rosterEntryOf(newWorker(testWorker("w1"), f.now))}},
	})
	f.answer("w2", platform.PollReply{})
	f.answer("w1", platform.PollReply{Running: []platform.RunningRow{{Task: idA + ".0.0.0", Run: 7, Percent: 20}}})
	f.step(Accepted{ID: idB, Record: rec, Created: 6000})
	require.Empty(t, f.starts())
	f.advance(50 * time.Millisecond)
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{{Number: 1, Task: idA + ".0.0.0", Run: 7, End: platform.EndStopped}}})
	require.Len(t, f.starts(), 1)
}

// A worker may be known from the roster only, which does not hold its capacity: its record
// was deleted while it was partitioned and owners changed. What may run on it must count in
// full. That count was limited to the capacity of the workers that had not answered, which
// was taken for zero, and a team with a cap of 4,000 thousandths of a core had 5,500 running.
func TestCapCountsRunsOnAWorkerOfUnknownCapacity(t *testing.T) {
	f := newOwnerFixture(t, 5000)
	rec := NewRecord(testConfig().Queues[0], platform.Submission{Spec: "s", Steps: []platform.Step{tasksOf(1)}}, f.now)
	rec.Team = "paint"
	f.step(Inherited{
		Config: cappedConfig(2, cores(1)), Workers: []platform.Worker{testWorker("w2")},
		Jobs:   []Accepted{{ID: idA, Record: rec, Created: 10}},
		Roster: Roster{Workers: []RosterEntry{rosterEntryOf(newWorker(testWorker("w1"), f.now)), rosterEntryOf(newWorker(testWorker("w2"), f.now))}},
	})
	f.answer("w2", platform.PollReply{})
	f.step(Accepted{ID: idB, Record: rec, Created: 6000})
	f.advance(100 * time.Millisecond)
	require.Empty(t, f.starts(), "the task of the first job may run on w1")
	f.answer("w1", platform.PollReply{})
	require.Len(t, f.starts(), 1)
}

// A gang starts as a whole below the cap or not at all.
func TestGangWaitsUntilItsTeamMayHaveAllOfIt(t *testing.T) {
	f := newFixture(t)
	f.step(ConfigChanged{Config: cappedConfig(2, cores(3))})
	f.join("w1", "w2")
	f.submitAs(idA, "paint", "quick", tasksOf(1))
	l := f.starts()
	require.Len(t, l, 1)
	f.acceptAll(l)
	g := tasksOf(3)
	g.Gang = true
	f.submitAs(idB, "paint", "quick", g)
	require.Empty(t, f.starts())
	f.answer(string(l[0].Worker.ID), platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	require.Len(t, f.starts(), 3)
}

// Caps change with the configuration. A team that is removed keeps its last cap for its
// remaining jobs.
func TestCapsChangeWithTheConfiguration(t *testing.T) {
	f := newFixture(t)
	f.step(ConfigChanged{Config: cappedConfig(2, cores(1))})
	f.join("w1", "w2")
	f.submitAs(idA, "paint", "quick", tasksOf(8))
	count := func() int {
		l := f.starts()
		f.acceptAll(l)
		return len(l)
	}
	require.Equal(t, 1, count())
	f.step(ConfigChanged{Config: cappedConfig(3, cores(3))})
	require.Equal(t, 2, count(), "at once")
	f.step(ConfigChanged{Config: cappedConfig(4, cores(2))})
	require.Zero(t, count())
	gone := cappedConfig(5, cores(0))
	gone.Teams = gone.Teams[1:]
	f.step(ConfigChanged{Config: gone})
	require.Zero(t, count())
	f.step(ConfigChanged{Config: cappedConfig(6, platform.Resources{})})
	require.Equal(t, 5, count(), "without a cap")
}

// No hosts are moved for tasks that wait for their team's cap: they would stay idle.
func TestWorkBeyondACapAsksForNoHosts(t *testing.T) {
	wants := func(limit platform.Resources) int {
		f := newFixture(t)
		f.step(ConfigChanged{Config: cappedConfig(2, limit)})
		f.join("w1")
		f.submitAs(idA, "paint", "quick", tasksOf(4))
		f.acceptAll(f.starts())
		for i := range 6 {
			f.submitAs(string(rune('0'+i))+idB[1:], "paint", "quick", tasksOf(8))
		}
		return f.core.wantedHosts("blue")
	}
	require.Equal(t, 2, wants(cores(4)))
	require.Greater(t, wants(platform.Resources{}), 10)
}

// A job that can never run within its team's cap is refused with that reason.
func TestJobThatNeverFitsItsCapIsRefusedAtOnce(t *testing.T) {
	n := newKeyedNode(t)
	go n.intake.run(t.Context())
	d := keyedConfig(2)
	d.Teams[0].Cap = platform.Resources{MilliCores: 99}
	n.routes.Store(newRoutes(d))
	w := callWith(n, "POST", "/q/"+idA, keyA)
	require.Equal(t, 429, w.Code)
	require.Contains(t, w.Body.String(), "cap")
	require.Equal(t, "not-run", w.Header().Get(common.HeaderVerdict))
	require.Equal(t, 200, callWith(n, "POST", "/q/"+idA, keyB).Code, "the other team has no cap")
	d.Teams[0].Cap.MilliCores = 100
	n.routes.Store(newRoutes(d))
	require.Equal(t, 200, callWith(n, "POST", "/q/"+idB, keyA).Code)
	gang := Record{Steps: []platform.Step{{Count: 3, Gang: true, Resources: cores(1)}}}
	require.Error(t, checkCap(gang, platform.Team{Cap: cores(2)}))
	require.NoError(t, checkCap(gang, platform.Team{Cap: cores(3)}))
	gang.Steps[0].Gang = false
	require.NoError(t, checkCap(gang, platform.Team{Cap: cores(1)}), "without a gang the tasks can run one after the other")
}
