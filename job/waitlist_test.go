package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// A job that is cancelled while it waits adds to the demand no longer, even if it was the
// last one of its service.
func TestDemandForgetsCancelledJobs(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	large := oneTask()
	large.MilliCores = 100_000
	f.submit(idA, "quick", large)
	require.EqualValues(t, 100_000, f.core.balance.unplaced["blue"].MilliCores)
	f.step(CancelRequested{ID: idA})
	require.Zero(t, f.core.balance.unplaced["blue"].MilliCores)
}

// A change in one service causes no placement or sorting in another.
func TestOnlyTheServiceThatChangedIsPlacedAnew(t *testing.T) {
	f := newFixture(t)
	f.join("w1")
	f.submit(idA, "quick", oneTask())
	f.acceptStart(f.starts()[0])
	green := f.core.listOf("green")
	green.needsPlacement = false
	blue := f.core.listOf("blue")
	f.answer("w1", platform.PollReply{Running: nil})
	require.False(t, blue.needsPlacement || green.needsPlacement, "a poll without news requests no placement")
	f.core.replan("blue")
	require.True(t, blue.needsPlacement)
	require.False(t, blue.needsSort, "new room alone does not change the order")
	require.False(t, green.needsPlacement)
}

// BenchmarkEnds measures the end of a task in one of several services while jobs wait in all
// of them, which is most of an owner's work under load.
func BenchmarkEnds(b *testing.B) {
	for _, jobs := range []int{100, 1000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) { benchmarkEnds(b, jobs) })
	}
}

func benchmarkEnds(b *testing.B, jobs int) {
	const services, workers = 5, 350
	now := time.Unix(1e9, 0)
	c := NewCore(100, "entry-1", Size{Cores: 1, LinkMbps: 1000}, now)
	var starts []StartRun
	do := func(e Event) {
		for _, a := range c.Step(now, e) {
			switch a := a.(type) {
			case WriteStore:
				c.Step(now, WriteResult{Number: a.Number})
			case StartRun:
				starts = append(starts, a)
				c.Step(now, StartResult{Worker: a.Worker.ID, Run: a.Order.Run, Task: a.Order.Task, Clock: 1})
			}
		}
	}
	d := &platform.Config{Version: 1}
	for i := range services {
		s := fmt.Sprint("s", i)
		d.Services = append(d.Services, platform.Service{Name: s, RejectsOverload: true})
		d.Queues = append(d.Queues, platform.Queue{Name: s, Service: s, Attempts: 2, Stretch: 1.5, Goal: time.Second})
	}
	do(ConfigChanged{Config: d})
	for i := range workers {
		w := testWorker(fmt.Sprint("w", i))
		w.Service = fmt.Sprint("s", i%services)
		do(WorkerListed{Worker: w})
		do(PollResult{Worker: w.ID, SentAt: now, Poll: platform.PollReply{Clock: 1}})
	}
	now = now.Add(time.Second)
	step := platform.Step{Count: 8, Resources: platform.Resources{MilliCores: 2000, MemoryMB: 100}, Estimate: time.Second}
	for i := range workers/2 + jobs {
		q := c.queues[fmt.Sprint("s", i%services)]
		r := NewRecord(q, platform.Submission{Spec: "s", Steps: []platform.Step{step}}, now)
		do(Accepted{ID: ID(fmt.Sprintf("%016x", i)), Record: r, Created: platform.Revision(1000 + i)})
	}
	ends := map[platform.WorkerID]int64{}
	b.ReportAllocs()
	for b.Loop() {
		if len(starts) == 0 {
			b.Fatal("nothing runs any more")
		}
		s := starts[0]
		starts = starts[1:]
		now = now.Add(time.Millisecond)
		id := s.Worker.ID
		ends[id]++
		// The run is stopped, so that its task waits again.
		do(PollResult{Worker: id, SentAt: now, Poll: platform.PollReply{Clock: 1, Ended: []platform.EndedRow{ended(ends[id], s, platform.EndStopped)}}})
	}
}
