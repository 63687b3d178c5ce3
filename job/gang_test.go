package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// TestMembersOfAGangBringOneSnapshot guards against gangs that never work again after a crash, as their
// members go on from different snapshots.
func TestMembersOfAGangBringOneSnapshot(t *testing.T) {
	f := newFixture(t)
	f.join("w1", "w2", "w3")
	g := oneTask()
	g.Count, g.MaxPerWorker, g.Gang, g.Checkpoints, g.Estimate = 3, 1, true, true, 5*time.Second
	f.submit(idA, "quick", g)
	l := f.starts()
	require.Len(t, l, 3)
	for _, r := range l {
		f.acceptStart(r)
	}
	f.advance(time.Second)
	for i, r := range l {
		row := runningRow(r, 40)
		row.Snapshot = []string{"first", "", "first"}[i]
		f.answer(string(r.Worker.ID), platform.PollReply{Running: []platform.RunningRow{row}})
	}
	f.advance(time.Second)
	for i, r := range l {
		e := ended(1, r, platform.EndBroken)
		e.Snapshot = []string{"", "second", ""}[i]
		f.answer(string(r.Worker.ID), platform.PollReply{Ended: []platform.EndedRow{e}})
	}
	f.advance(time.Second)
	next := f.starts()
	require.Len(t, next, 3)
	for _, r := range next {
		require.Equal(t, "second", r.Order.Snapshot, r.Order.Task)
	}
}
