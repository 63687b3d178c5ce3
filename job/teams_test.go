package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/common"
	"amberway/platform"
)

// cappedConfig is testConfig with the team "paint", which may have as much running, and "tint",
// which may have anything.
func cappedConfig(version int64, limit platform.Resources) *platform.Deployed {
	d := testConfig()
	d.Version = version
	d.Teams = []platform.Team{{Name: "paint", Weight: 10, Cap: limit}, {Name: "tint", Weight: 10}}
	return d
}

func cores(n int64) platform.Resources {
	return platform.Resources{MilliCores: 1000 * n}
}

// handIn hands a job of a team in.
func (f *fixture) handIn(id, team, queue string, steps ...platform.Step) {
	r := NewRecord(f.core.queues[queue], platform.Submission{Spec: "spec", Steps: steps}, f.now)
	r.Team = team
	require.NoError(f.t, r.Check())
	f.step(JobAccepted{ID: ID(id), Record: r, Created: platform.Revision(1000 + len(f.core.jobs))})
}

// tasksOf returns a step of n tasks that take a core each.
func tasksOf(n int) platform.Step {
	return platform.Step{Count: n, Resources: platform.Resources{MilliCores: 1000, MemoryMB: 10}, Estimate: time.Second}
}

func (f *fixture) tookAll(l []StartRun) {
	for _, s := range l {
		f.took(s)
	}
}

// One team sent twelve times its usual, and had as much running as the workers had room
// for, 2,724 cores where 2,472 were its bound: nothing counted what a team has running.
func TestTeamHasNoMoreRunningThanItsCap(t *testing.T) {
	f := newFixture(t)
	f.step(ConfigChanged{Config: cappedConfig(2, cores(2))})
	f.join("w1", "w2")
	f.handIn(idA, "paint", "quick", tasksOf(4))
	f.handIn(idB, "tint", "patient", tasksOf(3))
	l := f.starts()
	mine, others := byJob(l, idA), byJob(l, idB)
	require.Len(t, mine, 2, "its cap is two cores")
	require.Len(t, others, 3, "what waits for a cap holds nobody up")
	f.tookAll(l)
	f.pass(100 * time.Millisecond)
	require.Empty(t, f.starts())
	e, ok := f.core.Explain(idA)
	require.True(t, ok)
	require.Equal(t, waitsForCap, e.Steps[0].Waits)
	f.answer(string(mine[0].Worker.ID), platform.PollReply{
		Ended:   []platform.EndedRow{ended(1, mine[0], platform.EndDone)},
		Running: rowsOf(l, mine[0]),
	})
	require.Len(t, f.starts(), 1, "an end makes room below the cap")
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

// rowsOf lists the runs at the worker of one of them, but for that one.
func rowsOf(l []StartRun, gone StartRun) []platform.RunningRow {
	var rows []platform.RunningRow
	for _, s := range l {
		if s.Worker.ID == gone.Worker.ID && s.Order.Run != gone.Order.Run {
			rows = append(rows, runningRow(s, 10))
		}
	}
	return rows
}

// Tasks of a team wait in one service for what it has running in another.
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
	f.handIn(idA, "paint", "quick", tasksOf(1))
	l := f.starts()
	require.Len(t, l, 1)
	f.tookAll(l)
	f.handIn(idB, "paint", "green", tasksOf(1))
	require.Empty(t, f.starts())
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	require.Len(t, f.starts(), 1)
}

// What is being stopped, and what was ordered without an answer, still counts.
func TestCapCountsWhatMayStillRun(t *testing.T) {
	f := newFixture(t)
	f.step(ConfigChanged{Config: cappedConfig(2, cores(1))})
	f.join("w1", "w2")
	f.handIn(idA, "paint", "quick", tasksOf(1))
	l := f.starts()
	require.Len(t, l, 1)
	f.step(StartResult{Worker: l[0].Worker.ID, Run: l[0].Order.Run, Task: l[0].Order.Task, Err: platform.ErrUnknown})
	f.handIn(idB, "paint", "quick", tasksOf(1))
	require.Empty(t, f.starts(), "the start may be carried out late")
	f.step(CancelRequested{ID: idA})
	f.pass(200 * time.Millisecond)
	require.Empty(t, f.starts(), "it has not ended yet")
	f.step(StopResult{Worker: l[0].Worker.ID, Run: l[0].Order.Run, Task: l[0].Order.Task, Clock: f.clock})
	f.pass(50 * time.Millisecond)
	f.answer(string(l[0].Worker.ID), platform.PollReply{})
	require.Len(t, f.starts(), 1, "the run can never begin")
}

// The next owner starts nothing of a team beyond its cap while a worker may still run what
// an earlier owner started there.
func TestCapHoldsAcrossOwners(t *testing.T) {
	f := newOwnerFixture(t, 5000)
	rec := NewRecord(testConfig().Queues[0], platform.Submission{Spec: "s", Steps: []platform.Step{tasksOf(2)}}, f.now)
	rec.Team = "paint"
	f.step(Inherited{
		Config: cappedConfig(2, cores(2)), Workers: []platform.Worker{testWorker("w1"), testWorker("w2")},
		Jobs:   []JobAccepted{{ID: idA, Record: rec, Created: 10}},
		Roster: Roster{Workers: []RosterEntry{rosterEntryOf(newWorker(testWorker("w1"), f.now)), rosterEntryOf(newWorker(testWorker("w2"), f.now))}},
	})
	f.answer("w2", platform.PollReply{})
	f.step(JobAccepted{ID: idB, Record: rec, Created: 6000})
	require.Empty(t, f.starts(), "w1 may run two tasks of the team")
	f.answer("w1", platform.PollReply{Running: []platform.RunningRow{
		{Task: idA + ".0.0.0", Run: 7, Percent: 20}, {Task: idA + ".0.0.1", Run: 8, Percent: 20},
	}})
	f.pass(100 * time.Millisecond)
	require.Empty(t, f.starts(), "it does")
	f.pass(pollWait)
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{
		{Number: 1, Task: idA + ".0.0.0", Run: 7, How: platform.EndDone}, {Number: 2, Task: idA + ".0.0.1", Run: 8, How: platform.EndDone},
	}})
	require.Len(t, f.starts(), 2)
}

// A run of a job that was cancelled counts until it has ended, also for a next owner,
// which finds it at a worker.
func TestCapCountsRunsOfCancelledJobs(t *testing.T) {
	f := newOwnerFixture(t, 5000)
	rec := NewRecord(testConfig().Queues[0], platform.Submission{Spec: "s", Steps: []platform.Step{tasksOf(1)}}, f.now)
	rec.Team = "paint"
	f.step(Inherited{
		Config: cappedConfig(2, cores(1)), Workers: []platform.Worker{testWorker("w1"), testWorker("w2")},
		Jobs:    []JobAccepted{{ID: idA, Record: rec, Created: 10}},
		Cancels: []ID{idA},
		Roster:  Roster{Workers: []RosterEntry{rosterEntryOf(newWorker(testWorker("w1"), f.now))}},
	})
	f.answer("w2", platform.PollReply{})
	f.answer("w1", platform.PollReply{Running: []platform.RunningRow{{Task: idA + ".0.0.0", Run: 7, Percent: 20}}})
	f.step(JobAccepted{ID: idB, Record: rec, Created: 6000})
	require.Empty(t, f.starts())
	f.pass(50 * time.Millisecond)
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{{Number: 1, Task: idA + ".0.0.0", Run: 7, How: platform.EndStopped}}})
	require.Len(t, f.starts(), 1)
}

// A team had 5,500 thousandths of a core running where its cap is 4,000: a worker with its
// lasting tasks was cut off, and its record went with the cut, as one owner after the other
// fell. The third of them knew it by the roster only, which does not tell what a worker has:
// `inherited jobs wait` names it, and jobs that came after that owner were started beside it
// in the moment in which all other workers had answered. What may run unheard was bounded by
// what the silent workers have, which was nothing.
func TestCapCountsRunsOnAWorkerOfUnknownCapacity(t *testing.T) {
	f := newOwnerFixture(t, 5000)
	rec := NewRecord(testConfig().Queues[0], platform.Submission{Spec: "s", Steps: []platform.Step{tasksOf(1)}}, f.now)
	rec.Team = "paint"
	f.step(Inherited{
		Config: cappedConfig(2, cores(1)), Workers: []platform.Worker{testWorker("w2")},
		Jobs:   []JobAccepted{{ID: idA, Record: rec, Created: 10}},
		Roster: Roster{Workers: []RosterEntry{rosterEntryOf(newWorker(testWorker("w1"), f.now)), rosterEntryOf(newWorker(testWorker("w2"), f.now))}},
	})
	f.answer("w2", platform.PollReply{})
	f.step(JobAccepted{ID: idB, Record: rec, Created: 6000})
	f.pass(100 * time.Millisecond)
	require.Empty(t, f.starts(), "the first may run on w1")
	f.answer("w1", platform.PollReply{})
	require.Len(t, f.starts(), 1)
}

// A gang starts whole below the cap or not at all.
func TestGangWaitsUntilItsTeamMayHaveAllOfIt(t *testing.T) {
	f := newFixture(t)
	f.step(ConfigChanged{Config: cappedConfig(2, cores(3))})
	f.join("w1", "w2")
	f.handIn(idA, "paint", "quick", tasksOf(1))
	l := f.starts()
	require.Len(t, l, 1)
	f.tookAll(l)
	g := tasksOf(3)
	g.Gang = true
	f.handIn(idB, "paint", "quick", g)
	require.Empty(t, f.starts())
	f.answer(string(l[0].Worker.ID), platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	require.Len(t, f.starts(), 3)
}

// Caps change with the configuration, up and down; a team that is gone keeps its last one
// for the jobs that it handed in.
func TestCapsChangeWithTheConfiguration(t *testing.T) {
	f := newFixture(t)
	f.step(ConfigChanged{Config: cappedConfig(2, cores(1))})
	f.join("w1", "w2")
	f.handIn(idA, "paint", "quick", tasksOf(8))
	count := func() int {
		l := f.starts()
		f.tookAll(l)
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
	require.Equal(t, 5, count(), "no bound is set")
}

// Hosts are not fetched for work that waits for its team's cap: they would stand idle.
func TestWorkBeyondACapAsksForNoHosts(t *testing.T) {
	wants := func(limit platform.Resources) int {
		f := newFixture(t)
		f.step(ConfigChanged{Config: cappedConfig(2, limit)})
		f.join("w1")
		f.handIn(idA, "paint", "quick", tasksOf(4))
		f.tookAll(f.starts())
		for i := range 6 {
			f.handIn(string(rune('0'+i))+idB[1:], "paint", "quick", tasksOf(8))
		}
		return f.core.wantedHosts("blue")
	}
	require.Equal(t, 2, wants(cores(4)))
	require.Greater(t, wants(platform.Resources{}), 10)
}

// What can never run within its team's cap is refused as it comes, and says why.
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
	require.NoError(t, checkCap(gang, platform.Team{Cap: cores(1)}), "a wide step runs in parts")
}
