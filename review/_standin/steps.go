package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the case "steps".
const (
	stepsWorkers    = 3
	stepsSmallEvery = 250 * time.Millisecond
	stepsSmallTasks = 3
	stepsTaskCPU    = 500
	stepsTaskMemMB  = 200
	stepsTaskTime   = 500 * time.Millisecond
	stepsTraffic    = 16 * time.Second
	stepsLargeAt    = 5 * time.Second
	stepsLargeJobs  = 3
	stepsOfLargeJob = 26
)

// largeJob returns a job whose steps run one after the other: each names all earlier steps as those that come before.
func largeJob(steps int) jobBody {
	j := jobBody{Spec: "large"}
	for i := range steps {
		s := step{Count: 1, CPU: stepsTaskCPU, MemMB: stepsTaskMemMB, EstimateMs: int(stepsTaskTime.Milliseconds())}
		for k := range i {
			s.After = append(s.After, k)
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// runSteps hands in three large jobs at once beside small ones. All accepted jobs have to run, as most of the room is free.
func runSteps(rec *recorder, trouble bool) int {
	n := envInt("STEPS", stepsOfLargeJob)
	demand := func(task, _ string) (capacity, time.Duration) {
		return capacity{CPU: stepsTaskCPU, MemMB: stepsTaskMemMB}, time.Duration(spread(task) * float64(stepsTaskTime))
	}
	d, err := newDeployment(rec, stepsWorkers, workerSize, demand)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		report(rec, "could not run: %v", err)
		return couldNot
	}
	w := &watcher{d: d}
	stop := make(chan struct{})
	go w.run(stop)
	begin := time.Now()
	var g sync.WaitGroup
	if trouble {
		g.Go(func() {
			time.Sleep(stepsLargeAt)
			parallel(envInt("JOBS", stepsLargeJobs), func(i int) {
				id := newJobID()
				rec.printf("the large job %s is handed in", id)
				if d.submit(i, id, largeJob(n)) {
					w.add(id, n)
				}
			})
			if envInt("KILL", 0) == 1 {
				// A trial: does another owner help?
				time.Sleep(3 * time.Second)
				killOwner(d, w)
			}
		})
	}
	for i := 0; time.Since(begin) < stepsTraffic; i++ {
		g.Go(func() {
			id := newJobID()
			if d.submit(i, id, jobBody{Spec: fmt.Sprint("small ", i), Steps: []step{{Count: stepsSmallTasks, CPU: stepsTaskCPU, MemMB: stepsTaskMemMB, EstimateMs: int(stepsTaskTime.Milliseconds())}}}) {
				w.add(id, stepsSmallTasks)
			}
		})
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * stepsSmallEvery)))
	}
	g.Wait()
	rec.printf("the traffic has ended; owner: %v", ownerName(d))
	time.Sleep(finishAfter)
	close(stop)
	return w.verdict()
}

func ownerName(d *deployment) string {
	if e := d.owner(); e != nil {
		return e.name
	}
	return "none"
}
