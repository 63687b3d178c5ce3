package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// holdMax is the longest lease that the platform's workers of these tests accept.
const holdMax = 6 * time.Second

// Tasks ran twice at once: an order to an earlier incarnation was carried out late by the next one,
// and gave it a longer lease than the owner waited for.

// Until its first start a restarted worker may carry out orders to an earlier incarnation, which
// extend its lease. The roster may be written long after its first answer.
func TestLeaseOfRestartedWorkerCountsFromItsFirstStart(t *testing.T) {
	f := newFixture(t)
	f.join(firstIncarnation)
	acknowledged := f.finishTask(firstIncarnation)
	f.answer(firstIncarnation, platform.PollReply{})
	f.holdWrites = true
	s := f.startOf(idB)
	f.acceptStart(s)
	f.advance(time.Second)
	f.answer(firstIncarnation, platform.PollReply{Running: []platform.RunningRow{runningRow(s, 5)}})
	f.advance(tickEvery)
	held := f.polls[firstIncarnation].Order
	require.Greater(t, held.Fence, acknowledged.Fence)
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	f.advance(tickEvery)
	require.GreaterOrEqual(t, held.Fence, f.polls[secondIncarnation].Order.Fence, "the late poll is not refused")
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	w := f.core.workers[secondIncarnation]
	f.advance(6 * time.Second)
	require.NotContains(t, f.polls, platform.WorkerID(secondIncarnation), "nothing has told the worker a higher fence")
	carriedOutAt := f.now
	f.holdWrites = false
	f.revision++
	f.step(WriteResult{Number: f.core.writeNumber, Revision: f.revision})
	f.advance(2 * tickEvery)
	require.True(t, w.inRoster)
	until := carriedOutAt.Add(holdMax)
	require.NotEmpty(t, f.starts(), "it gets its first start before the lease of the late poll is over")
	require.False(t, w.leaseExpired(until.Add(-tickEvery)), "the lease counts as expired while runs may go on")
}

// A worker that is listed after its earlier incarnation was removed may have carried out a late
// order to that one, too, which extended its lease by more than any order to itself.
func TestLeaseOfWorkerListedAfterRemovalOfEarlierIncarnation(t *testing.T) {
	f := newFixture(t)
	f.join(firstIncarnation)
	s := f.startOf(idA)
	f.acceptStart(s)
	l := platform.PollReply{Running: []platform.RunningRow{runningRow(s, 5)}}
	f.answer(firstIncarnation, l)
	f.advance(tickEvery)
	held, sentAt := f.polls[firstIncarnation].Order, f.now
	require.NotZero(t, held.LeaseUntil)
	f.step(WorkerUnlisted{Name: "w1"})
	for f.core.workers[firstIncarnation] != nil {
		if _, ok := f.polls[firstIncarnation]; ok {
			f.fail(firstIncarnation, platform.ErrUnknownOutcome)
		}
		f.advance(tickEvery)
	}
	// The later incarnation carries the poll out before it knows any fence.
	carriedOutAt := f.now
	f.step(WorkerListed{Worker: onHost(secondIncarnation)})
	require.Less(t, carriedOutAt.Sub(sentAt), maxOrderDelay)
	f.clock = 100
	f.answeredBy(secondIncarnation, 1700000000400, platform.PollReply{})
	f.advance(tickEvery)
	next := f.starts()
	require.NotEmpty(t, next)
	w := f.core.workers[secondIncarnation]
	f.acceptStart(next[0])
	require.False(t, w.leaseExpired(carriedOutAt.Add(holdMax-tickEvery)), "the lease counts as expired while runs may go on")
}
