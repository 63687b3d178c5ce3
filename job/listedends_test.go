package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// cutReply returns a reply that lists the ends, of which there are more.
func cutReply(l ...platform.EndedRow) platform.PollReply {
	return platform.PollReply{Ended: l, MoreEnds: true}
}

// startAll submits the job idA with one step of n tasks and returns their starts, which are accepted.
func (f *fixture) startAll(n int) []StartRun {
	s := smallStep()
	s.Count = n
	f.submit(idA, "quick", s)
	l := f.starts()
	require.Len(f.t, l, n)
	for _, v := range l {
		f.acceptStart(v)
	}
	return l
}

// answerHeldWrites answers the write in flight, and all later ones.
func (f *fixture) answerHeldWrites() {
	f.holdWrites = false
	f.revision++
	f.step(WriteResult{Number: f.core.writeNumber, Revision: f.revision})
}

// successor returns the next owner, which inherits the roster, the jobs as they were accepted, and
// the workers that have records.
func (f *fixture) successor(workers ...string) *fixture {
	next := newOwnerFixture(f.t, platform.Fence(f.revision+1000))
	next.now, next.clock = f.now, f.clock
	e := Inherited{Roster: f.roster()}
	for id, j := range sorted(f.core.active) {
		e.Jobs = append(e.Jobs, Accepted{ID: id, Record: j.Record, Created: j.created})
	}
	for _, w := range workers {
		e.Workers = append(e.Workers, testWorker(w))
	}
	next.core.now = f.now
	next.step(e)
	return next
}

// TestRunWhoseEndIsNotListedYetIsNotStartedAgain guards against an owner that takes a run for lost
// because its end did not fit into the worker's answer, and starts its task a second time.
func TestRunWhoseEndIsNotListedYetIsNotStartedAgain(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	l := f.startAll(2)
	f.join("w2")
	f.holdWrites = true
	f.advance(time.Second)
	first, second := ended(1, l[0], platform.EndDone), ended(2, l[1], platform.EndDone)
	f.answer("w1", cutReply(first))
	for range 10 {
		f.advance(pollRetry)
		if _, polled := f.polls["w1"]; polled {
			f.answer("w1", cutReply(first))
		}
	}
	require.Empty(t, f.starts())
	f.answerHeldWrites()
	f.advance(pollRetry)
	require.EqualValues(t, 1, f.polls["w1"].Order.LastAcked)
	f.answer("w1", platform.PollReply{Ended: []platform.EndedRow{second}})
	require.Equal(t, platform.StateSucceeded, f.state())
	require.Empty(t, f.starts())
}

// TestLastingRunThatEndedIsReplacedBeforeItsEndIsListed checks that a lasting task does not wait for
// an end that its worker does not list yet.
func TestLastingRunThatEndedIsReplacedBeforeItsEndIsListed(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	s := smallStep()
	s.Lasting = true
	f.submit(idA, "quick", s)
	l := f.starts()
	f.acceptStart(l[0])
	f.answer("w1", platform.PollReply{Running: []platform.RunningRow{runningRow(l[0], 100)}})
	f.join("w2")
	f.advance(time.Second)
	f.answer("w1", cutReply())
	f.advance(time.Second)
	require.Len(t, f.starts(), 1)
}

// TestNextOwnerWaitsUntilAllEndsAreListed guards against a new owner that is content with the first
// answer of a worker, and starts tasks again whose ends did not fit into it.
func TestNextOwnerWaitsUntilAllEndsAreListed(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	l := f.startAll(2)
	next := f.successor("w1", "w2")
	next.answer("w2", platform.PollReply{})
	next.answer("w1", cutReply(ended(1, l[0], platform.EndDone)))
	require.Empty(t, next.starts(), "the second task may have ended as well")
	r := NewRecord(next.core.queues["quick"], platform.Submission{Spec: "spec", Steps: []platform.Step{smallStep()}}, next.now)
	next.step(Accepted{ID: idB, Record: r, Created: next.revision + 1})
	require.Len(t, next.starts(), 1, "a job that came after the takeover waits for nobody")
	next.advance(pollRetry)
	require.EqualValues(t, 1, next.polls["w1"].Order.LastAcked, "no wait before the next part of the list")
	next.answer("w1", platform.PollReply{Ended: []platform.EndedRow{ended(2, l[1], platform.EndDone)}})
	next.advance(time.Second)
	require.Equal(t, platform.StateSucceeded, next.state())
	require.Empty(t, next.starts())
}

// TestMachineWithUnlistedEndsIsNotIdle checks that a worker whose list of ends is cut is not taken
// for one that runs nothing and can be moved without loss.
func TestMachineWithUnlistedEndsIsNotIdle(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	m := &machine{Machine: platform.Machine{Name: "host-of-w1", Worker: "w1"}}
	require.True(t, f.core.runsKnown(m))
	f.core.workers["w1"].moreEnds = true
	require.False(t, f.core.runsKnown(m))
}
