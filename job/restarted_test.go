package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// requireRunsTaskB submits taskB and requires that it runs on the worker.
func (f *lateFixture) requireRunsTaskB(w *lateWorker) {
	f.submitTask(idB)
	f.passUntil(15*time.Second, func() bool { return w.runs[taskB] != nil })
	require.NotNil(f.t, w.runs[taskB], "%v", f.trace)
	f.pass(500 * time.Millisecond)
}

// A task ran twice at once: an idle worker carried a poll to its earlier incarnation out long after it was found
// to have restarted, as it knew no fence above that of the poll before its first start.
func TestLateLeaseOfAnIdleRestartedWorkerIsOutlasted(t *testing.T) {
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
	f.holdWrites = false
	f.revision++
	f.step(WriteResult{Number: f.core.writeNumber, Revision: f.revision})
	f.pass(6 * time.Second)
	require.Equal(t, platform.StateSucceeded, f.stateOf(idC))
	f.carryOutLate(renewsLease)
	f.requireRunsTaskB(second)
	f.requireMoves(second)
}

// A task ran twice at once: the owner learned that a worker had restarted after it had named it in the roster,
// which was not written again.
func TestRestartThatIsNoticedLaterIsToldToTheNextOwner(t *testing.T) {
	f := newLateFixture(t, longUp)
	f.submitTask(idC)
	f.passUntil(time.Second, func() bool { return f.first.runs[taskC] != nil })
	require.NotNil(t, f.first.runs[taskC])
	f.lateOwner = f.takeOver(f.lateOwner)
	f.listMachine(f.first)
	f.pass(time.Second)
	f.keepFirst(renewsLease)
	f.untilKept(renewsLease)
	f.keep = isPoll
	second := f.start(secondIncarnation, 0)
	f.list(second)
	f.pass(time.Second)
	require.True(t, f.roster().has(secondIncarnation))
	f.keep = func(Action) bool { return false }
	f.carryOutLate(renewsLease)
	f.requireRunsTaskB(second)
	f.lateOwner = f.takeOver(f.lateOwner, second)
	f.pass(500 * time.Millisecond)
	f.requireMoves(second)
}

// A task ran twice at once: the client repeated the poll after the restart had been noticed.
func TestLateLeaseByACopySentAfterTheRestartIsOutlasted(t *testing.T) {
	f := newLateFixture(t, longUp)
	f.pass(30 * time.Second)
	f.submitTask(idC)
	f.passUntil(time.Second, func() bool { return f.first.runs[taskC] != nil })
	require.NotNil(t, f.first.runs[taskC])
	f.holdWrites = true
	f.first.end(taskC, platform.EndDone)
	f.pass(200 * time.Millisecond)
	f.keepFirst(renewsLease)
	f.untilKept(renewsLease)
	require.Len(t, f.late, 1)
	second := f.start(secondIncarnation, 0)
	f.list(second)
	noticed := f.now
	f.pass(100 * time.Millisecond)
	f.holdWrites = false
	f.revision++
	f.step(WriteResult{Number: f.core.writeNumber, Revision: f.revision})
	f.pass(13400 * time.Millisecond)
	require.Equal(t, platform.StateSucceeded, f.stateOf(idC))
	t.Log("late copy after", f.now.Sub(noticed), "second knows", second.fence, "poll has", fenceOf(f.late[0]))
	f.carryOutLate(renewsLease)
	f.keep = startsB
	f.submitTask(idB)
	f.passUntil(3*time.Second, func() bool { return len(f.late) > 0 })
	require.Len(t, f.late, 1)
	f.keep = func(Action) bool { return false }
	f.carryOutLate(startsB)
	require.NotNil(t, second.runs[taskB])
	f.requireMoves(second)
}

// The same as with an idle worker, under an owner that has owned for long.
func TestLateLeaseOfARestartedWorkerIsOutlastedUnderAnOldOwner(t *testing.T) {
	f := newLateFixture(t, longUp)
	f.pass(30 * time.Second)
	f.submitTask(idC)
	f.passUntil(time.Second, func() bool { return f.first.runs[taskC] != nil })
	require.NotNil(t, f.first.runs[taskC])
	f.holdWrites = true
	f.first.end(taskC, platform.EndDone)
	f.pass(200 * time.Millisecond)
	f.keepFirst(renewsLease)
	f.untilKept(renewsLease)
	require.Len(t, f.late, 1)
	second := f.start(secondIncarnation, 0)
	f.pass(2 * time.Second)
	f.list(second)
	f.holdWrites = false
	f.revision++
	f.step(WriteResult{Number: f.core.writeNumber, Revision: f.revision})
	f.pass(6 * time.Second)
	require.Equal(t, platform.StateSucceeded, f.stateOf(idC))
	f.carryOutLate(renewsLease)
	f.keep = startsB
	f.submitTask(idB)
	f.passUntil(3*time.Second, func() bool { return len(f.late) > 0 })
	require.Len(t, f.late, 1)
	f.keep = func(Action) bool { return false }
	f.carryOutLate(startsB)
	require.NotNil(t, second.runs[taskB])
	f.requireMoves(second)
}

// A task ran twice at once: the earlier incarnation was taken for ended when the later one was known by its record.
func TestLateLeaseOfAWorkerWhoseEarlierIncarnationEndedLaterIsOutlasted(t *testing.T) {
	f := newLateFixture(t, longUp, renewsLease)
	f.untilKept(renewsLease)
	require.Len(t, f.late, 1)
	sent := f.now
	second := f.start(secondIncarnation, 0)
	f.lateOwner = f.takeOver(f.lateOwner, second)
	kept := f.late
	f.keep = func(a Action) bool { to, _ := recipientOf(a); return isPoll(a) && to == "w1" }
	f.passUntil(11*time.Second, func() bool { return f.core.workers[firstIncarnation] == nil })
	require.Nil(t, f.core.workers[firstIncarnation])
	require.NotNil(t, f.core.workers[secondIncarnation])
	f.keep = func(Action) bool { return false }
	f.late = kept
	t.Log("late by", f.now.Sub(sent), "restarted", f.core.workers[secondIncarnation].restarted)
	f.carryOutLate(renewsLease)
	f.requireRunsTaskB(second)
	f.requireMoves(second)
}

// busyFirst has the first incarnation run taskC, and keeps the next poll that extends its lease back.
func (f *lateFixture) busyFirst() {
	f.submitTask(idC)
	f.passUntil(time.Second, func() bool { return f.first.runs[taskC] != nil })
	require.NotNil(f.t, f.first.runs[taskC])
	f.pass(200 * time.Millisecond)
	f.keepFirst(renewsLease)
	f.untilKept(renewsLease)
	require.Len(f.t, f.late, 1)
}

// The same with a run on the earlier incarnation.
func TestLateLeaseIsOutlastedIfTheEarlierIncarnationEndedLaterWithARun(t *testing.T) {
	f := newLateFixture(t, longUp)
	f.busyFirst()
	second := f.start(secondIncarnation, 0)
	f.lateOwner = f.takeOver(f.lateOwner, second)
	kept := f.late
	f.keep = func(a Action) bool { to, _ := recipientOf(a); return isPoll(a) && to == "w1" }
	f.passUntil(11*time.Second, func() bool { return f.core.workers[firstIncarnation] == nil })
	require.Nil(t, f.core.workers[firstIncarnation])
	f.keep = func(Action) bool { return false }
	f.late = kept
	f.carryOutLate(renewsLease)
	f.requireRunsTaskB(second)
	f.requireMoves(second)
}

// Jobs of earlier owners wait no longer for a restarted worker that is silent than its runs may last.
func TestWaitForASilentRestartedWorkerIsBounded(t *testing.T) {
	f := newLateFixture(t, longUp)
	second := f.start(secondIncarnation, 0)
	f.list(second)
	f.pass(2 * time.Second)
	second.silence()
	f.submitTask(idB)
	f.lateOwner = f.takeOver(f.lateOwner, second)
	other := f.start("w2", 0)
	f.list(other)
	f.passUntil(ownerAuthority+leaseFor+inheritedLease+time.Second, func() bool { return other.runs[taskB] != nil })
	require.NotNil(t, other.runs[taskB])
}
