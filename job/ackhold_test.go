package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// withoutSparePool puts a configuration without a spare pool in force.
func (f *fixture) withoutSparePool() {
	v := testConfig()
	v.Version = 2
	v.Services = v.Services[:2]
	f.step(ConfigChanged{Config: v})
}

// newBusyWorkerFixture returns an owner whose worker w1 runs n tasks of the job idA, and w2 none.
func newBusyWorkerFixture(t *testing.T, n int) (*fixture, []StartRun) {
	f := newFixture(t)
	f.join("w1")
	l := f.startAll(n)
	f.join("w2")
	return f, l
}

// silence has polls of w1 go unanswered until its lease has expired.
func (f *fixture) silence() {
	for range int((leaseFor + time.Second) / tickEvery) {
		if _, polled := f.polls["w1"]; polled {
			f.fail("w1", platform.ErrUnknownOutcome)
		}
		f.advance(tickEvery)
	}
}

// reply answers the next poll of a worker, which is in flight within a second.
func (f *fixture) reply(id string, l platform.PollReply) platform.PollOrder {
	f.t.Helper()
	for range int(time.Second / tickEvery) {
		if a, polled := f.polls[platform.WorkerID(id)]; polled {
			f.answer(id, l)
			return a.Order
		}
		f.advance(tickEvery)
	}
	require.Fail(f.t, "no poll within a second", "%s", id)
	return platform.PollOrder{}
}

// taintWorker has w1 run a task of idA to its successful end while it is silent, and the task start
// again on w2. It returns the end, which w1 has listed.
func (f *fixture) taintWorker() platform.EndedRow {
	f.join("w1")
	l := f.startAll(1)
	f.join("w2")
	f.silence()
	again := f.starts()
	require.Len(f.t, again, 1)
	e := ended(1, l[0], platform.EndDone)
	f.reply("w1", platform.PollReply{Ended: []platform.EndedRow{e}})
	f.finish(again)
	f.core.workers["w2"].Draining = true
	return e
}

// TestTaintedWorkerIsUsedAgainWithoutSparePool guards against workers that get no starts for good
// after they were cut off, as nothing but a move to the spare pool ended that.
func TestTaintedWorkerIsUsedAgainWithoutSparePool(t *testing.T) {
	f := newFixture(t)
	f.withoutSparePool()
	held := f.taintWorker()
	two := smallStep()
	two.Count = 2
	first := f.startWaiting(two)
	require.Len(t, first, 1, "one start at a time")
	f.acceptStart(first[0])
	w := f.core.workers["w1"]
	require.True(t, w.tainted())
	limit := f.clock + platform.WorkerClock(maxExpendableLease.Milliseconds())
	require.LessOrEqual(t, first[0].Order.LeaseUntil, limit)

	o := f.reply("w1", platform.PollReply{Ended: []platform.EndedRow{held}, Running: []platform.RunningRow{runningRow(first[0], 10)}})
	require.Zero(t, o.LastAcked)
	require.Zero(t, o.LeaseUntil, "its lease is to expire")
	o = f.reply("w1", platform.PollReply{Ended: []platform.EndedRow{held, ended(2, first[0], platform.EndExpired)}})
	require.Zero(t, o.LeaseUntil)

	require.False(t, w.tainted())
	l := f.starts()
	require.Len(t, l, 2, "the tasks start, with leases that are extended")
	require.GreaterOrEqual(t, l[0].Order.LeaseUntil, f.clock+platform.WorkerClock((leaseFor-time.Second).Milliseconds()))
	f.acceptStart(l[0])
	f.acceptStart(l[1])
	f.advance(time.Second)
	require.EqualValues(t, 2, f.polls["w1"].Order.LastAcked)
}

// startWaiting returns the starts on a worker of a job that waits for it.
func (f *fixture) startWaiting(s platform.Step) []StartRun {
	f.submit(idB, "quick", s)
	f.advance(tickEvery)
	return f.starts()
}

// TestTaintedWorkerIsClearedByAnyWork checks that a worker is used again in a pool which has only
// lasting tasks, or only gangs.
func TestTaintedWorkerIsClearedByAnyWork(t *testing.T) {
	lasting := smallStep()
	lasting.Lasting = true
	gang := smallStep()
	gang.Gang, gang.Count = true, 2
	for name, s := range map[string]platform.Step{"lasting": lasting, "gang": gang} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.withoutSparePool()
			held := f.taintWorker()
			l := f.startWaiting(s)
			require.Len(t, l, s.Count)
			rows := []platform.EndedRow{held}
			for i, v := range l {
				f.acceptStart(v)
				rows = append(rows, ended(int64(2+i), v, platform.EndExpired))
			}
			f.reply("w1", platform.PollReply{Ended: rows})
			f.advance(time.Second)
			require.False(t, f.core.workers["w1"].tainted())
			l = f.starts()
			require.Len(t, l, s.Count)
			require.Greater(t, l[0].Order.LeaseUntil, f.clock+platform.WorkerClock(time.Second.Milliseconds()))
		})
	}
}

// TestEndsBeforeAnExpiredRunAreAcknowledged checks that a worker which lists an expired run after a
// doubtful end is not tainted.
func TestEndsBeforeAnExpiredRunAreAcknowledged(t *testing.T) {
	f, l := newBusyWorkerFixture(t, 2)
	f.silence()
	require.Len(t, f.starts(), 2)
	f.reply("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone), ended(2, l[1], platform.EndExpired)}})
	require.True(t, f.core.workers["w1"].acceptsStarts(f.now))
	require.EqualValues(t, 2, f.core.workers["w1"].lastAckable())
}

// TestNextOwnerHoldsEnds guards against an owner that does not know of the hold of the one before,
// and acknowledges the end of a run whose task has run a second time.
func TestNextOwnerHoldsEnds(t *testing.T) {
	for _, listed := range []bool{false, true} {
		f, l := newBusyWorkerFixture(t, 1)
		if !listed {
			f.step(WorkerUnlisted{Name: "w1"})
		}
		f.silence()
		require.Equal(t, listed, f.core.workers["w1"] != nil)
		require.Len(t, f.starts(), 1)
		next := f.successor("w1", "w2")
		next.reply("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
		require.True(t, next.core.workers["w1"].tainted())
		require.Zero(t, next.core.workers["w1"].lastAckable())
	}
}

// TestWorkerThatWasTakenForEndedHoldsItsEnds guards against a worker whose record and answers are
// missing for longer than its lease, and which comes back with its ends.
func TestWorkerThatWasTakenForEndedHoldsItsEnds(t *testing.T) {
	f, l := newBusyWorkerFixture(t, 1)
	f.step(WorkerUnlisted{Name: "w1"})
	f.silence()
	require.NotContains(t, f.core.workers, platform.WorkerID("w1"))
	again := f.starts()
	require.Len(t, again, 1)
	f.acceptStart(again[0])
	f.step(WorkerListed{Worker: testWorker("w1")})
	f.reply("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	require.Zero(t, f.core.workers["w1"].lastAckable())
	require.Equal(t, platform.StateRunning, f.state(), "the run that goes on decides")
}

// TestNextOwnerHoldsEndsOfAWorkerThatItGaveUp checks a worker that answers a new owner only after all
// leases must have expired.
func TestNextOwnerHoldsEndsOfAWorkerThatItGaveUp(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	l := f.startAll(1)
	next := f.successor("w1", "w2")
	next.giveUp()
	next.reply("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	next.advance(time.Second)
	require.Zero(t, next.core.workers["w1"].lastAckable())
}

// TestTaintedWorkerWithACutListHoldsUpNobody checks that jobs do not wait for ends that a worker may
// never list, as those before them are held.
func TestTaintedWorkerWithACutListHoldsUpNobody(t *testing.T) {
	f, l := newBusyWorkerFixture(t, 2)
	f.silence()
	require.Len(t, f.starts(), 2)
	next := f.successor("w1", "w2")
	next.reply("w1", cutReply(ended(1, l[0], platform.EndDone)))
	next.reply("w2", platform.PollReply{})
	next.advance(time.Second)
	require.NotEmpty(t, next.starts())
}

// giveUp has an owner run the tasks of idA on w2, as w1 has not answered it before all leases must have
// expired.
func (f *fixture) giveUp() {
	f.reply("w2", platform.PollReply{})
	var l []StartRun
	for len(l) == 0 {
		if _, polled := f.polls["w1"]; polled {
			f.fail("w1", platform.ErrUnknownOutcome)
		}
		f.advance(tickEvery)
		l = f.starts()
	}
	f.finish(l)
}

// finish has w2 run tasks of idA, all that are left of it, to their successful ends.
func (f *fixture) finish(l []StartRun) {
	var rows []platform.EndedRow
	for i, v := range l {
		f.acceptStart(v)
		rows = append(rows, ended(int64(1+i), v, platform.EndDone))
	}
	f.reply("w2", platform.PollReply{Ended: rows})
	require.Equal(f.t, platform.StateSucceeded, f.state())
}

// TestExpiryProvesNothingOfLaterEnds checks that an expired run releases the ends before it only: the
// lease may have been extended again before the worker fell silent.
func TestExpiryProvesNothingOfLaterEnds(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	l := f.startAll(3)
	next := f.successor("w1", "w2")
	next.giveUp()
	next.reply("w1", platform.PollReply{Ended: []platform.EndedRow{
		ended(1, l[0], platform.EndDone), ended(2, l[1], platform.EndExpired), ended(3, l[2], platform.EndDone),
	}})
	next.advance(time.Second)
	require.EqualValues(t, 2, next.core.workers["w1"].lastAckable())
}

// TestExpiryBeforeAHoldDoesNotEndIt checks a next owner to which the worker lists an expired run that
// the owner before had seen already.
func TestExpiryBeforeAHoldDoesNotEndIt(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	l := f.startAll(2)
	expired := ended(1, l[0], platform.EndExpired)
	f.holdWrites = true
	f.advance(time.Second)
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{expired}, Running: []platform.RunningRow{runningRow(l[1], 10)}})
	f.answerHeldWrites()
	f.join("w2")
	f.silence()
	next := f.successor("w1", "w2")
	next.reply("w1", platform.PollReply{Ended: []platform.EndedRow{expired, ended(2, l[1], platform.EndDone)}})
	require.True(t, next.core.workers["w1"].tainted())
	require.EqualValues(t, 1, next.core.workers["w1"].lastAckable())
}

// TestWorkerThatWasTakenForRemovedHoldsItsEnds checks a worker whose host is missing in the machine
// lists for a while.
func TestWorkerThatWasTakenForRemovedHoldsItsEnds(t *testing.T) {
	f, l := newBusyWorkerFixture(t, 1)
	f.step(WorkerUnlisted{Name: "w1"})
	f.fail("w1", platform.ErrUnknownOutcome)
	f.advance(relistedWithin)
	for range removedAfterLists {
		f.advance(2 * tickEvery)
		f.step(MachineList{SentAt: f.now, Machines: []platform.Machine{{Name: "host-of-w2", Worker: "w2"}}})
	}
	require.NotContains(t, f.core.workers, platform.WorkerID("w1"))
	f.finish(f.starts())
	f.step(WorkerListed{Worker: testWorker("w1")})
	f.reply("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, l[0], platform.EndDone)}})
	f.advance(time.Second)
	require.Zero(t, f.core.workers["w1"].lastAckable())
}
