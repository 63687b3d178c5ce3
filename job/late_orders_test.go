package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// A call without an answer may be carried out seconds later, by an incarnation that its sender
// did not know of: orders name a worker, not its incarnation. The numbers of ends, the clock and
// the fence start anew there. Only starts are bound to an incarnation, by their connection, unless
// a host of a version before has sent them. The tests force the order in which such calls are
// carried out, and require only what callers and workers see, so that an owner may withhold starts,
// raise its fence or do anything else that keeps the promises.

// A task ran again after its job's caller could have seen it succeed: a poll to an earlier
// incarnation came late and made the later one forget an end that nobody had read.
func TestLatePollOfAnEarlierIncarnationLosesNoEnd(t *testing.T) {
	f := newLateFixture(t, longUp, isAck)
	f.untilKept(isAck)
	second := f.start(secondIncarnation, 0)
	f.list(second)
	f.runFor = 0
	f.started = func(*lateWorker, string) { f.carryOutLate(isAck) }
	f.submitTask(idB)
	f.passUntil(3*time.Second, func() bool { return f.succeeded(taskB) })
	f.carryOutLate(isAck)
	f.requireDone(f.lateOwner)
}

// The same with an end that the owner had read but not stored when it was replaced.
func TestLatePollLosesNoEndThatIsNotStored(t *testing.T) {
	f := newLateFixture(t, longUp, isAck)
	f.untilKept(isAck)
	second := f.start(secondIncarnation, 0)
	f.list(second)
	f.submitTask(idB)
	f.passUntil(5*time.Second, func() bool { return second.runs[taskB] != nil })
	f.holdWrites = true
	if second.runs[taskB] != nil {
		second.end(taskB, platform.EndDone)
	}
	f.pass(200 * time.Millisecond)
	f.carryOutLate(isAck)
	f.runFor = 0
	f.requireDone(f.takeOver(f.lateOwner, second))
}

// A start that nobody had an answer to was carried out by the next incarnation, and the end of its
// run forgotten: the poll sent before the start came after it.
func TestPollSentBeforeALateStartLosesNoEnd(t *testing.T) {
	f := newUnboundLateFixture(t, longUp, isAck, startsB)
	f.untilKept(isAck)
	f.submitTask(idB)
	f.untilKept(startsB)
	f.requireDoneAfterRestart(f.lateOwner, startsB, isAck)
}

// A worker had restarted unnoticed and accepted a start. The poll after the start, which came in
// time, acknowledged the last end of the earlier incarnation, and the later one forgot its own.
func TestPollAfterAStartAtAnUnnoticedIncarnationLosesNoEnd(t *testing.T) {
	for name, c := range map[string]struct {
		clock    platform.WorkerClock
		idle, up time.Duration
	}{
		"its clock is behind the last reading": {clock: longUp, idle: 2 * time.Second},
		"its clock is ahead of it":             {idle: 2 * time.Second, up: 6 * time.Second},
		"the last end is not acknowledged yet": {clock: longUp},
	} {
		t.Run(name, func(t *testing.T) {
			f := newUnboundLateFixture(t, c.clock)
			f.pass(c.idle)
			second := f.start(secondIncarnation, 0)
			f.pass(c.up)
			f.runFor = 0
			f.submitTask(idB)
			f.pass(3 * time.Second)
			f.list(second)
			f.requireDone(f.lateOwner)
		})
	}
}

// A task ran twice at once: an order with a lease by the earlier incarnation's clock had come late
// to the later one, which then held its runs for longer than the owner assumed.
func TestLateLeaseOfAnEarlierIncarnationIsOutlasted(t *testing.T) {
	for name, match := range map[string]func(Action) bool{"poll": renewsLease, "start": startsB} {
		t.Run(name, func(t *testing.T) {
			f := newUnboundLateFixture(t, longUp, match)
			if name == "start" {
				f.submitTask(idB)
			}
			f.untilKept(match)
			sentAt := f.now
			second := f.start(secondIncarnation, 0)
			f.list(second)
			if name == "poll" {
				f.submitTask(idB)
			}
			f.pass(sentAt.Add(5 * time.Second).Sub(f.now))
			f.carryOutLate(match)
			f.requireMoves(second)
		})
	}
}

// requireMoves has a worker fall silent, and requires that taskB runs on another one at last.
func (f *lateFixture) requireMoves(w *lateWorker) {
	w.silence()
	other := f.start("w2", 0)
	f.list(other)
	f.passUntil(recoversWithin, func() bool { return other.runs[taskB] != nil })
	require.NotNil(f.t, other.runs[taskB], "%v", f.trace)
}

// The same with an order that came shortly before the later incarnation first answered, long after
// its record was there.
func TestLateLeaseBeforeTheFirstAnswerIsOutlasted(t *testing.T) {
	f := newLateFixture(t, longUp, renewsLease)
	f.untilKept(renewsLease)
	f.keep = isPoll
	second := f.start(secondIncarnation, 0)
	f.list(second)
	f.submitTask(idB)
	f.pass(5 * time.Second)
	f.keep = func(Action) bool { return false }
	f.carryOutLate(renewsLease)
	f.passUntil(3*time.Second, func() bool { return second.runs[taskB] != nil })
	require.NotNil(t, second.runs[taskB])
	f.requireMoves(second)
}

// The same with an order of an earlier owner, which came before the next owner's first poll.
func TestLateLeaseOfAnEarlierOwnerIsOutlasted(t *testing.T) {
	f := newLateFixture(t, longUp, renewsLease)
	f.untilKept(renewsLease)
	second := f.start(secondIncarnation, 0)
	f.carryOutLate(renewsLease)
	f.lateOwner = f.takeOver(f.lateOwner, second)
	f.submitTask(idB)
	f.pass(time.Second)
	f.requireMoves(second)
}

// The next owner started a task whose end the worker had forgotten: a start and a poll of the
// earlier owner were both carried out late by an incarnation that knew no fence.
func TestLateStartAndPollOfAnEarlierOwnerLoseNoEnd(t *testing.T) {
	f := newUnboundLateFixture(t, longUp, isAck, startsB)
	f.untilKept(isAck)
	f.submitTask(idB)
	f.untilKept(startsB)
	second := f.start(secondIncarnation, 0)
	f.runFor = 0
	f.carryOutLate(startsB, isAck)
	f.requireDone(f.takeOver(f.lateOwner, second))
}

// A poll of an earlier owner that comes after the next owner's first poll is refused, so that it
// loses no end.
func TestLatePollOfAnEarlierOwnerLosesNoEnd(t *testing.T) {
	f := newLateFixture(t, longUp, isAck)
	f.untilKept(isAck)
	second := f.start(secondIncarnation, 0)
	f.runFor = 0
	f.started = func(*lateWorker, string) { f.carryOutLate(isAck) }
	f.lateOwner = f.takeOver(f.lateOwner, second)
	f.submitTask(idB)
	f.requireDone(f.lateOwner)
}

// An order to stop of an earlier owner, at an incarnation that knows no fence, neither starts a
// task twice nor keeps it from running.
func TestLateStopOfAnEarlierOwnerLosesNoTask(t *testing.T) {
	for name, order := range map[string][]func(Action) bool{"after the start": {startsB, isStop}, "before the start": {isStop, startsB}, "alone": {isStop}} {
		t.Run(name, func(t *testing.T) {
			f := newUnboundLateFixture(t, longUp, isStop, startsB)
			f.submitTask(idB)
			f.untilKept(isStop)
			second := f.start(secondIncarnation, 0)
			f.runFor = time.Second
			f.carryOutLate(order...)
			o := f.takeOver(f.lateOwner, second)
			f.requireDone(o)
		})
	}
}

// A task ran twice: its start had no answer, and was certain not to be carried out by the worker as
// it was, which then restarted. The next incarnation knew nothing of that, and carried it out.
func TestLateStartAtALaterIncarnationRunsNothingTwice(t *testing.T) {
	t.Run("the earlier one has confirmed a stop", func(t *testing.T) {
		f := newLateFixture(t, longUp, startsB)
		f.submitTask(idB)
		f.untilKept(startsB)
		f.first.Draining = true
		f.list(f.first)
		other := f.start("w2", 0)
		f.list(other)
		f.passUntil(5*time.Second, func() bool { return other.runs[taskB] != nil })
		f.start(secondIncarnation, 0)
		f.carryOutLate(startsB)
		f.requireRuns()
	})
	t.Run("the earlier one has confirmed a stop, and an acknowledgement follows", func(t *testing.T) {
		f := newLateFixture(t, longUp, isAck, startsB)
		f.submitTask(idB)
		f.untilKept(startsB)
		f.untilKept(isAck)
		f.requireDoneAfterRestart(f.lateOwner, startsB, isAck)
	})
	t.Run("its lease had expired, and an acknowledgement follows", func(t *testing.T) {
		f := newLateFixture(t, longUp, isAck, startsB)
		f.submitTask(idB)
		f.untilKept(startsB)
		f.first.silence()
		f.pass(2 * leaseFor)
		f.first.silent = false
		f.untilKept(isAck)
		f.requireDoneAfterRestart(f.lateOwner, startsB, isAck)
	})
	t.Run("its owner was replaced, and an acknowledgement of the next one follows", func(t *testing.T) {
		f := newLateFixture(t, longUp, isAck, startsB)
		f.submitTask(idB)
		f.untilKept(startsB)
		o := f.takeOver(f.lateOwner, f.first)
		o.submit(idC, "quick", oneTask())
		f.passUntil(5*time.Second, func() bool { return f.first.runs[taskC] != nil })
		require.NotNil(t, f.first.runs[taskC])
		f.first.end(taskC, platform.EndDone)
		f.untilKept(isAck)
		f.requireDoneAfterRestart(o, startsB, isAck)
	})
	t.Run("the earlier one knew the fence of a next owner", func(t *testing.T) {
		f := newLateFixture(t, longUp, startsB)
		f.submitTask(idB)
		f.untilKept(startsB)
		f.first.Draining = true
		other := f.start("w2", 0)
		f.takeOver(f.lateOwner, f.first, other)
		f.passUntil(5*time.Second, func() bool { return other.runs[taskB] != nil })
		f.start(secondIncarnation, 0)
		f.carryOutLate(startsB)
		f.requireRuns()
	})
}

// runsOn returns the running incarnation on which the task runs, or nil.
func (f *lateFleet) runsOn(task string) *lateWorker {
	for _, w := range f.lives {
		if w.alive() && w.runs[task] != nil {
			return w
		}
	}
	return nil
}

// requireRuns requires that taskB runs at last.
func (f *lateFixture) requireRuns() {
	f.passUntil(recoversWithin, func() bool { return f.runsOn(taskB) != nil })
	require.NotNil(f.t, f.runsOn(taskB), "%v", f.trace)
}
