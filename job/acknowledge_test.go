package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

const stepDownFenced = "a worker has seen a higher fence"

// finishTask has the worker run the task of idA to its successful end, its first one, and returns
// the poll in flight that acknowledges the end.
func (f *fixture) finishTask(worker string) platform.PollOrder {
	s := f.startOf(idA)
	f.acceptStart(s)
	f.answer(worker, platform.PollReply{Ended: []platform.EndedRow{ended(1, s, platform.EndDone)}})
	f.advance(ackDelay + 2*tickEvery)
	o := f.polls[platform.WorkerID(worker)].Order
	require.EqualValues(f.t, 1, o.LastAcked)
	return o
}

// refuse answers the poll in flight as a worker that has seen a higher fence.
func (f *fixture) refuse(worker platform.WorkerID) {
	a := f.polls[worker]
	delete(f.polls, worker)
	f.step(PollResult{Worker: worker, SentAt: f.now, Fence: a.Order.Fence, Rejection: platform.RejectedFenced})
}

// startOf submits a job of one task and returns its start.
func (f *fixture) startOf(id string) StartRun {
	f.submit(id, "quick", oneTask())
	l := f.starts()
	require.Len(f.t, l, 1)
	return l[0]
}

// An incarnation that runs a task refuses the acknowledgements that were meant for earlier ones.
func TestOrdersAfterAnAcknowledgementHaveHigherFences(t *testing.T) {
	f := newFixture(t)
	f.join(firstIncarnation)
	acknowledged := f.finishTask(firstIncarnation)
	s := f.startOf(idB)
	require.Greater(t, s.Order.Fence, acknowledged.Fence)
	f.acceptStart(s)
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.advance(tickEvery)
	require.Greater(t, f.polls[secondIncarnation].Order.Fence, acknowledged.Fence)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	l := f.starts()
	require.NotEmpty(t, l)
	require.Greater(t, l[0].Order.Fence, acknowledged.Fence)
}

// A start that was not answered may be carried out by a later incarnation, before the
// acknowledgement that follows it.
func TestNoEndIsAcknowledgedBehindAnUnansweredStart(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	first := f.startOf(idA)
	f.acceptStart(first)
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, first, platform.EndDone)}})
	next := f.startOf(idB)
	f.advance(pollRetry + 2*tickEvery)
	require.EqualValues(t, 1, f.core.workers["w1"].lastEndStored)
	require.Zero(t, f.polls["w1"].Order.LastAcked)
	f.acceptStart(next)
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(1, first, platform.EndDone)}, Running: []platform.RunningRow{runningRow(next, 5)}})
	require.EqualValues(t, 1, f.polls["w1"].Order.LastAcked)
}

// Ends that need no write are acknowledged although the owner has nothing to write.
func TestEndIsAcknowledgedWithoutOtherWrites(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.finishTask("w1")
	f.answer("w1", platform.PollReply{})
	s := f.startOf(idB)
	f.acceptStart(s)
	f.advance(time.Second)
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(2, s, platform.EndExpired)}})
	f.acceptStart(f.starts()[0])
	f.advance(2 * pollRetry)
	if f.polls["w1"].Order.LastAcked == 0 {
		f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(2, s, platform.EndExpired)}})
		f.advance(pollRetry)
	}
	require.EqualValues(t, 2, f.polls["w1"].Order.LastAcked)
}

// A poll that arrives behind a later order of the same owner is refused by its fence.
func TestOvertakenPollIsRepeated(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.finishTask("w1")
	f.acceptStart(f.startOf(idB))
	f.refuse("w1")
	require.NotContains(t, f.out, Action(StepDown{Why: stepDownFenced}))
	require.Contains(t, f.polls, platform.WorkerID("w1"))
	f.refuse("w1")
	require.Contains(t, f.out, Action(StepDown{Why: stepDownFenced}), "no order of this owner had a higher fence")
}

// An acknowledgement that is refused though nothing was sent after it shows another owner.
func TestRefusedAcknowledgementEndsTheOwnership(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.finishTask("w1")
	f.refuse("w1")
	require.Contains(t, f.out, Action(StepDown{Why: stepDownFenced}))
}

func TestOvertakenStopIsRepeated(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	s := f.startOf(idA)
	f.acceptStart(s)
	f.step(CancelRequested{ID: idA})
	f.core.workers["w1"].sentFence++
	f.step(StopResult{Worker: "w1", Run: s.Order.Run, Task: s.Order.Task, Fence: f.stops()[0].Fence, Rejection: platform.RejectedFenced})
	f.advance(settleAfter + 2*tickEvery)
	require.Len(t, f.stops(), 2)
	require.NotContains(t, f.out, Action(StepDown{Why: stepDownFenced}))
}

// A start that arrives behind a later order was not carried out, and never will be.
func TestOvertakenStartIsRepeated(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	s := f.startOf(idA)
	f.core.workers["w1"].sentFence++
	f.step(StartResult{Worker: "w1", Run: s.Order.Run, Task: s.Order.Task, Fence: s.Order.Fence, Rejection: platform.RejectedFenced})
	f.advance(fullPause + 2*tickEvery)
	require.Len(t, f.starts(), 1)
	require.NotContains(t, f.out, Action(StepDown{Why: stepDownFenced}))
}

// The fence of the next owner exceeds that of each order of the previous one, so that workers
// refuse the previous one once they have heard of the next.
func TestOrderFencesStayBelowNextOwner(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.finishTask("w1")
	f.answer("w1", platform.PollReply{})
	require.LessOrEqual(t, int64(f.startOf(idB).Order.Fence), int64(f.revision))
}
