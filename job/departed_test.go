package job

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// loseFirst cuts the first incarnation off, whose record goes as well, until its owner takes it for ended.
func (f *lateFixture) loseFirst() {
	f.first.silence()
	f.step(WorkerUnlisted{Name: f.first.ID.Name()})
	f.passUntil(6*time.Second, func() bool { return f.core.workers[f.first.ID] == nil })
	require.Nil(f.t, f.core.workers[f.first.ID])
	f.pass(time.Second)
}

// requireLateLeaseOutlasted has the second incarnation carry the kept poll out, run taskB and fall silent.
func (f *lateFixture) requireLateLeaseOutlasted() {
	second := f.start(secondIncarnation, 0)
	f.carryOutLate(renewsLease)
	f.list(second)
	f.requireRunsTaskB(second)
	f.requireMoves(second)
}

// drainingInSameShard returns a new worker that drains, and whose entry is in the shard of the first incarnation.
func (f *lateFixture) drainingInSameShard() *lateWorker {
	for n := 3; ; n++ {
		if name := fmt.Sprint("w", n); rosterShard(platform.WorkerID(name)) == rosterShard(firstIncarnation) {
			w := f.start(name, 0)
			w.Draining = true
			return w
		}
	}
}

// A task ran twice at once: the earlier owner had taken the worker for ended, so that no roster named it when
// it came back under its name with a lease of a poll to its earlier incarnation.
func TestLateLeaseOfAWorkerThatAnEarlierOwnerTookForEndedIsOutlasted(t *testing.T) {
	f := newLateFixture(t, longUp, renewsLease)
	f.untilKept(renewsLease)
	f.loseFirst()
	f.lateOwner = f.takeOver(f.lateOwner)
	f.requireLateLeaseOutlasted()
}

// The same with one more change of owner, after a write of the worker's shard of the roster.
func TestLateLeaseOfAWorkerTakenForEndedTwoOwnersAgoIsOutlasted(t *testing.T) {
	f := newLateFixture(t, longUp, renewsLease)
	f.untilKept(renewsLease)
	f.loseFirst()
	f.lateOwner = f.takeOver(f.lateOwner)
	other := f.drainingInSameShard()
	f.list(other)
	f.pass(time.Second)
	require.True(t, f.roster().has(other.ID))
	f.lateOwner = f.takeOver(f.lateOwner, other)
	f.requireLateLeaseOutlasted()
}

// The same with a worker that left the roster as its machine was to move.
func TestLateLeaseOfAWorkerThatLeftTheRosterForAnOrderIsOutlasted(t *testing.T) {
	f := newLateFixture(t, longUp, renewsLease)
	f.untilKept(renewsLease)
	f.listMachine(f.first)
	f.core.cordon(f.core.machinesByName[f.first.Host])
	f.pass(time.Second)
	require.False(t, f.roster().has(firstIncarnation))
	f.lateOwner = f.takeOver(f.lateOwner)
	f.requireLateLeaseOutlasted()
}

// The same with a roster whose shards cannot be read.
func TestLateLeaseIsOutlastedIfTheRosterCannotBeRead(t *testing.T) {
	f := newLateFixture(t, longUp, renewsLease)
	f.untilKept(renewsLease)
	f.first.silence()
	f.ownerKeys[rosterShardKey(rosterShard(firstIncarnation))] = []byte("{")
	f.lateOwner = f.takeOver(f.lateOwner)
	f.pass(9 * time.Second)
	f.requireLateLeaseOutlasted()
}

// A task ran twice at once: the client had repeated the poll, and only the second copy was answered.
func TestLateFirstCopyOfAnAnsweredPollIsOutlasted(t *testing.T) {
	f := newLateFixture(t, longUp)
	f.submitTask(idC)
	f.passUntil(time.Second, func() bool { return f.first.runs[taskC] != nil })
	require.NotNil(t, f.first.runs[taskC])
	f.keep = func(a Action) bool {
		if renewsLease(a) && len(f.late) == 0 {
			f.late = append(f.late, a)
		}
		return false
	}
	f.untilKept(renewsLease)
	f.first.end(taskC, platform.EndDone)
	f.pass(2 * time.Second)
	require.Equal(t, platform.StateSucceeded, f.stateOf(idC))
	f.loseFirst()
	t.Log("roster", f.roster().Workers)
	f.lateOwner = f.takeOver(f.lateOwner)
	f.requireLateLeaseOutlasted()
}

// The same with a second copy that could not be sent, as the worker was gone.
func TestLateFirstCopyOfAPollThatWasNotSentAgainIsOutlasted(t *testing.T) {
	f := newLateFixture(t, longUp, renewsLease)
	f.untilKept(renewsLease)
	require.Len(t, f.late, 1)
	sent := f.now
	f.answers = nil // in place of ErrUnknownOutcome
	f.first.silence()
	f.pass(pollWait + pollSlack)
	f.step(PollResult{Worker: firstIncarnation, SentAt: sent, Err: platform.ErrNotSent})
	f.step(WorkerUnlisted{Name: f.first.ID.Name()})
	f.passUntil(6*time.Second, func() bool { return f.core.workers[firstIncarnation] == nil })
	require.Nil(t, f.core.workers[firstIncarnation])
	f.pass(time.Second)
	t.Log("roster", f.roster().Workers)
	f.lateOwner = f.takeOver(f.lateOwner)
	f.requireLateLeaseOutlasted()
}

// listMachine tells the owner of the worker's machine.
func (f *lateFixture) listMachine(w *lateWorker) {
	f.step(MachineList{SentAt: f.now, Machines: []platform.Machine{{Name: w.Host, Pool: "blue", State: platform.MachineUp, Worker: w.ID.Name()}}})
}

// A task ran twice at once: the poll that acknowledged the last end extended the lease of a worker that had left the
// roster.
func TestWorkerThatLeftTheRosterForAnOrderGetsNoLease(t *testing.T) {
	f := newLateFixture(t, longUp)
	f.submitTask(idC)
	f.passUntil(time.Second, func() bool { return f.first.runs[taskC] != nil })
	require.NotNil(t, f.first.runs[taskC])
	f.listMachine(f.first)
	f.first.end(taskC, platform.EndDone)
	f.passUntil(2*time.Second, func() bool { return f.stateOf(idC) == platform.StateSucceeded })
	require.Equal(t, platform.StateSucceeded, f.stateOf(idC))
	f.core.cordon(f.core.machinesByName[f.first.Host])
	require.True(t, f.core.workers[firstIncarnation].offRoster)
	f.keepFirst(isAck)
	f.untilKept(isAck)
	require.Len(t, f.late, 1)
	require.False(t, renewsLease(f.late[0]))
}

// A task ran twice at once: the record of the worker was there again at the takeover, and went again.
func TestLateLeaseIsOutlastedIfTheRecordWasBackAtTheTakeover(t *testing.T) {
	f := newLateFixture(t, longUp, renewsLease)
	f.untilKept(renewsLease)
	f.loseFirst()
	t.Log("roster", f.roster().Workers)
	f.lateOwner = f.takeOver(f.lateOwner, f.first)
	other := f.drainingInSameShard()
	f.list(other)
	f.pass(time.Second)
	f.step(WorkerUnlisted{Name: f.first.ID.Name()})
	f.pass(500 * time.Millisecond)
	t.Log("roster", f.roster().Workers)
	f.lateOwner = f.takeOver(f.lateOwner, other)
	f.requireLateLeaseOutlasted()
}

// The same with a record that was there again under the same owner.
func TestLateLeaseIsOutlastedIfTheRecordWasBackInBetween(t *testing.T) {
	f := newLateFixture(t, longUp, renewsLease)
	f.untilKept(renewsLease)
	f.loseFirst()
	f.step(WorkerListed{Worker: f.first.Worker})
	other := f.drainingInSameShard()
	f.list(other)
	f.pass(time.Second)
	f.step(WorkerUnlisted{Name: f.first.ID.Name()})
	f.pass(500 * time.Millisecond)
	t.Log("roster", f.roster().Workers)
	f.lateOwner = f.takeOver(f.lateOwner, other)
	f.requireLateLeaseOutlasted()
}

// The same with a next incarnation that one owner knew by its record only.
func TestLateLeaseIsOutlastedIfTheNextIncarnationWasKnownByItsRecordOnly(t *testing.T) {
	f := newLateFixture(t, longUp, renewsLease)
	f.untilKept(renewsLease)
	f.loseFirst()
	second := f.start(secondIncarnation, 0)
	f.keep = func(a Action) bool { to, _ := recipientOf(a); return isPoll(a) && to == "w1" }
	f.lateOwner = f.takeOver(f.lateOwner, second)
	other := f.drainingInSameShard()
	f.list(other)
	f.pass(time.Second)
	other.Draining = true
	t.Log("roster", f.roster().Workers)
	f.keep = func(Action) bool { return false }
	kept := f.late[:1]
	f.late = kept
	f.lateOwner = f.takeOver(f.lateOwner, second, other)
	f.carryOutLate(renewsLease)
	f.requireRunsTaskB(second)
	f.requireMoves(second)
}

// The same with a next incarnation that had left the roster for an order.
func TestLateLeaseIsOutlastedIfTheNextIncarnationLeftTheRoster(t *testing.T) {
	f := newLateFixture(t, longUp)
	f.submitTask(idC)
	f.passUntil(time.Second, func() bool { return f.first.runs[taskC] != nil })
	require.NotNil(t, f.first.runs[taskC])
	f.holdWrites = true
	f.first.end(taskC, platform.EndDone)
	f.pass(200 * time.Millisecond)
	f.keepFirst(renewsLease)
	f.untilKept(renewsLease)
	second := f.start(secondIncarnation, 0)
	f.pass(2 * time.Second)
	f.list(second)
	f.pass(200 * time.Millisecond)
	f.holdWrites = false
	f.revision++
	f.step(WriteResult{Number: f.core.writeNumber, Revision: f.revision})
	f.pass(time.Second)
	require.Equal(t, platform.StateSucceeded, f.stateOf(idC))
	f.stored[idC] = f.core.progress(f.core.jobs[idC])
	f.listMachine(second)
	t.Log("roster in", f.roster().Workers)
	f.core.cordon(f.core.machinesByName[second.Host])
	f.pass(time.Second)
	other := f.drainingInSameShard()
	f.list(other)
	f.pass(time.Second)
	t.Log("roster", f.roster().Workers)
	f.lateOwner = f.takeOver(f.lateOwner, second, other)
	f.carryOutLate(renewsLease)
	f.requireRunsTaskB(second)
	f.requireMoves(second)
}

func TestEachOfTwoIncarnationsThatLeftTheRosterIsKnown(t *testing.T) {
	a, b := platform.WorkerID(firstIncarnation), platform.WorkerID(secondIncarnation)
	for _, l := range [][]platform.WorkerID{{b, a}, {a, b}} {
		f := newLateFleet(t)
		o := f.addOwner(100)
		var r Roster
		for _, id := range l {
			r.Workers = append(r.Workers, RosterEntry{ID: id, Departed: true})
		}
		o.step(Inherited{Config: testConfig(), Roster: r})
		f.list(f.start(secondIncarnation, 0))
		require.True(t, o.core.workers[b].restarted, "%v", l)
	}
}

// A name that stayed in the roster made the next owners wait for a worker that came up under it.
func TestWorkerThatLeftTheRosterIsNamedForAWhileOnly(t *testing.T) {
	f := newLateFixture(t, longUp, renewsLease)
	f.untilKept(renewsLease)
	f.loseFirst()
	departed := func(e RosterEntry) bool { return e.Departed }
	require.True(t, slices.ContainsFunc(f.roster().Workers, departed))
	f.pass(maxPollDelay)
	f.list(f.start("w2", 0))
	f.pass(time.Second)
	require.False(t, slices.ContainsFunc(f.roster().Workers, departed))
}

// Workers that report no start use an id once only.
func TestWorkerWithoutAStartTimeThatComesBackIsNotRestarted(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	s := f.startOf(idA)
	f.acceptStart(s)
	f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(s, 5)}})
	f.step(WorkerUnlisted{Name: "w1"})
	for f.core.workers["w1"] != nil {
		if _, ok := f.polls["w1"]; ok {
			f.fail("w1", platform.ErrUnknownOutcome)
		}
		f.advance(tickEvery)
	}
	f.step(WorkerListed{Worker: testWorker("w1")})
	require.False(t, f.core.workers["w1"].restarted)
}
