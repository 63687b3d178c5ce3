package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// notSentTo returns the outcome of a start that was not sent, as another incarnation has answered.
func notSentTo(s StartRun, answered platform.Incarnation) StartResult {
	return startFailed(s, &platform.OtherIncarnationError{ReportedStart: platform.ReportedStart{Incarnation: answered}})
}

// The poll before a start may be the first sign that the worker has restarted.
func TestStartThatFindsAnotherIncarnationReplacesTheWorker(t *testing.T) {
	f := newRestartFixture(t, "w2")
	f.step(notSentTo(f.run, 1700000000400))
	require.Equal(t, 1, f.countLogged("worker restarted"))
	require.NotContains(t, f.core.workers, platform.WorkerID(firstIncarnation))
	require.Contains(t, f.polls, platform.WorkerID(secondIncarnation))
	f.advance(refusedPause + tickEvery)
	l := f.starts()
	require.Len(t, l, 1, "nothing is left to settle")
	require.EqualValues(t, "w2", l[0].Worker.ID)
	require.Empty(t, f.stops())
	require.Zero(t, f.countLogged("crash counted"))
}

// replaceFirst has the second incarnation listed and answer while a start to the first one is not
// answered yet, which turns out not to have been sent. It returns the next start of the task.
func (f *restartFixture) replaceFirst() StartRun {
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.advance(tickEvery)
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	f.step(notSentTo(f.run, 1700000000400))
	f.advance(2*refusedPause + tickEvery)
	l := f.starts()
	require.Len(f.t, l, 1)
	return l[0]
}

// An outcome that concerns a replaced incarnation says nothing about the health of the next one.
func TestStartNotSentToAReplacedIncarnationLeavesTheNextOneItsStarts(t *testing.T) {
	s := newRestartFixture(t).replaceFirst()
	require.EqualValues(t, secondIncarnation, s.Worker.ID)
}

// An incarnation that is known to be replaced cannot have answered last.
func TestStartAnsweredByAReplacedIncarnationProvesNothing(t *testing.T) {
	f := newRestartFixture(t)
	f.step(notSentTo(f.replaceFirst(), 1700000000500))
	require.Contains(t, f.core.workers, platform.WorkerID(secondIncarnation))
	f.advance(unhealthyPause / 2)
	require.Empty(t, f.starts(), "it is not asked again at once")
	f.advance(unhealthyPause)
	require.Len(t, f.starts(), 1)
}

// A start at an incarnation that was not noticed is not carried out there. The task starts once.
func TestStartAtAnUnnoticedIncarnationIsNotSent(t *testing.T) {
	f := newLateFixture(t, longUp)
	f.pass(2 * time.Second)
	second := f.start(secondIncarnation, 0)
	f.submitTask(idB)
	f.pass(time.Second)
	require.Contains(t, f.core.replaced, platform.WorkerID(firstIncarnation), "the poll before the start has told")
	f.list(second)
	f.passUntil(time.Second, func() bool { return second.runs[taskB] != nil })
	require.NotNil(t, second.runs[taskB], "%v", f.trace)
	require.Equal(t, second, f.runsOn(taskB))
}

func TestSharedConnectionIsLogged(t *testing.T) {
	f := newRestartFixture(t)
	f.reportRun()
	f.advance(pollWait)
	f.answeredBy(firstIncarnation, 1700000000400, platform.PollReply{SharedConnection: true})
	require.Equal(t, 1, f.countLogged(whatConnectionShared))
	require.Equal(t, 1, f.countLogged("worker restarted"))
}
