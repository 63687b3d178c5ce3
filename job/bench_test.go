package job

import (
	"fmt"
	"testing"
	"time"

	"amberway/platform"
)

// BenchmarkStep measures a Tick while all workers are busy and jobs wait: the largest amount
// of work in one step of the owner.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{50, 500, 5000} {
		for _, jobs := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("workers=%d/jobs=%d", workers, jobs), func(b *testing.B) { benchmarkStep(b, workers, jobs) })
		}
	}
}

func benchmarkStep(b *testing.B, workers, jobs int) {
	c := NewCore(100, "entry-1", Size{}, time.Unix(1e9, 0))
	now := time.Unix(1e9, 0)
	do := func(e Event) {
		for _, a := range c.Step(now, e) {
			if k, ok := a.(WriteStore); ok {
				c.Step(now, WriteResult{Number: k.Number})
			}
		}
	}
	do(ConfigChanged{Config: testConfig()})
	var listed, polled Batch
	for i := range workers {
		w := testWorker(fmt.Sprint("w", i))
		listed = append(listed, WorkerListed{Worker: w})
		polled = append(polled, PollResult{Worker: w.ID, SentAt: now, Poll: platform.PollReply{Clock: 1}})
	}
	do(listed)
	do(polled)
	step := platform.Step{Count: 5, Resources: platform.Resources{MilliCores: 4000, MemoryMB: 100}, Estimate: time.Second}
	for i := range workers/5 + jobs {
		r := NewRecord(c.queues["quick"], platform.Submission{Spec: "s", Steps: []platform.Step{step}}, now)
		do(Accepted{ID: ID(fmt.Sprintf("%016x", i)), Record: r, Created: platform.Revision(1000 + i)})
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		do(Tick{})
	}
}
