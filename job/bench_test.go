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

// BenchmarkShortPools measures the decisions on pools, of which one is due every poolPlanInterval, and
// on admission at the scale that is planned for. Every second pool wants more hosts than there are.
func BenchmarkShortPools(b *testing.B) {
	b.Run("plan", func(b *testing.B) {
		c := newShortPools(259, 10_000)
		b.ReportAllocs()
		for b.Loop() {
			c.now = c.now.Add(poolPlanInterval)
			c.reconcilePools()
			b.StopTimer()
			c.actions = nil
			for m := range c.machinesByAge.All() {
				if m.order == nil && m.transferTo != "" {
					c.cancelTransfer(m)
				}
			}
			b.StartTimer()
		}
	})
	b.Run("admission", func(b *testing.B) {
		c := newShortPools(259, 10_000)
		b.ReportAllocs()
		for b.Loop() {
			c.now = c.now.Add(admissionInterval)
			// Starts were held back, so that the limits are evaluated anew.
			c.flow.startsHeldAt = c.now
			c.reconcileAdmission()
			c.actions = nil
		}
	})
}

// newShortPools returns a Core with a queue for each of the pools and all workers busy. In every second
// pool, three times as many tasks wait as run. Nothing is spare.
func newShortPools(pools, workers int) *Core {
	now := time.Unix(1e9, 0)
	c := NewCore(100, "entry-1", Size{LinkMbps: 1000, Cores: 1}, now)
	var starts Batch
	var do func(e Event)
	do = func(e Event) {
		for _, a := range c.Step(now, e) {
			switch a := a.(type) {
			case WriteStore:
				do(WriteResult{Number: a.Number, Revision: 1000})
			case StartRun:
				starts = append(starts, StartResult{Worker: a.Worker.ID, Run: a.Order.Run, Task: a.Order.Task, Fence: a.Order.Fence, Clock: 1})
			}
		}
	}
	cfg := &platform.Config{Version: 1, Services: []platform.Service{{Name: "spare", Spare: true}}}
	for i := range pools {
		n := fmt.Sprint("p", i)
		cfg.Services = append(cfg.Services, platform.Service{Name: n})
		cfg.Queues = append(cfg.Queues, platform.Queue{Name: n, Host: "h", Prefix: "/" + n + "/", Service: n, Attempts: 2, Stretch: 1.6, Goal: time.Second})
	}
	do(ConfigChanged{Config: cfg})
	var listed, polled Batch
	l := MachineList{SentAt: now}
	for i := range workers {
		w := testWorker(fmt.Sprint("w", i))
		w.Service = fmt.Sprint("p", i%pools)
		listed, l.Machines = append(listed, WorkerListed{Worker: w}), append(l.Machines, machineOf(string(w.ID), w.Service))
		polled = append(polled, PollResult{Worker: w.ID, SentAt: now, Poll: platform.PollReply{Clock: 1}})
	}
	do(append(listed, append(polled, l)...))
	// A worker of four cores runs two tasks.
	step := platform.Step{Count: 8, Resources: platform.Resources{MilliCores: 1500, MemoryMB: 100}, Estimate: time.Second}
	var jobs Batch
	for i := range pools {
		n := workers/pools*2/step.Count + 1
		if i%2 == 0 {
			n *= 4
		}
		for k := range n {
			r := NewRecord(cfg.Queues[i], platform.Submission{Spec: "s", Steps: []platform.Step{step}}, now)
			jobs = append(jobs, Accepted{ID: ID(fmt.Sprintf("%08x%08x", i, k)), Record: r, Created: 1000})
		}
	}
	do(jobs)
	// The first polls have used up the send budget, so that the starts take some seconds.
	for end := now.Add(8 * time.Second); now.Before(end); {
		now = now.Add(minStartDelay)
		e := starts
		starts = nil
		do(append(e, LeaseRenewed{SentAt: now}, Woken{}))
	}
	return c
}

// BenchmarkManyDependencies measures a Tick after the average run time has changed, with jobs that
// have as many steps and dependencies as a job may have.
func BenchmarkManyDependencies(b *testing.B) {
	for name, steps := range map[string][]platform.Step{"chain": chained(maxSteps), "two layers": layered(2, maxSteps/2)} {
		b.Run(name, func(b *testing.B) {
			c := NewCore(100, "entry-1", Size{}, time.Unix(1e9, 0))
			now := time.Unix(1e9, 0)
			c.Step(now, ConfigChanged{Config: testConfig()})
			for i := range 10 {
				r := NewRecord(c.queues["quick"], platform.Submission{Spec: "s", Steps: steps}, now)
				c.Step(now, Accepted{ID: ID(fmt.Sprintf("%016x", i)), Record: r, Created: platform.Revision(1000 + i)})
			}
			e := &runTimeEstimate{runs: 5}
			c.runTimes["quick"] = e
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				e.mean += time.Millisecond
				c.Step(now, Tick{})
			}
		})
	}
}
