package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the case "cuts". A cut lasts as long as the site files say.
const (
	cutsWorkers  = 3
	cutsFirstAt  = 3 * time.Second
	cutsFor      = 5500 * time.Millisecond
	cutsPause    = 2 * time.Second
	cutsRounds   = 2
	cutsTraffic  = 55 * time.Second
	cutsTaskTime = 2 * time.Second
)

// runCuts cuts off one worker after the other, which run on meanwhile, in two rounds. Once all can be reached again,
// accepted jobs have to run.
func runCuts(rec *recorder, trouble bool) int {
	demand := func(task, _ string) (capacity, time.Duration) {
		return capacity{CPU: stepsTaskCPU, MemMB: stepsTaskMemMB}, time.Duration(spread(task) * float64(cutsTaskTime))
	}
	d, err := newDeployment(rec, cutsWorkers, workerSize, demand)
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
			time.Sleep(cutsFirstAt)
			for i := range cutsRounds * len(d.workers) {
				k := d.workers[i%len(d.workers)]
				rec.printf("%s is cut off", k.id)
				k.listener.cut()
				w.disturbedAt(time.Now().Add(cutsFor))
				time.Sleep(cutsFor)
				k.listener.heal()
				rec.printf("%s can be reached again", k.id)
				w.disturbedAt(time.Now())
				time.Sleep(cutsPause)
			}
		})
	}
	for i := 0; time.Since(begin) < cutsTraffic; i++ {
		g.Go(func() {
			id := newJobID()
			if d.submit(i, id, jobBody{Spec: fmt.Sprint("job ", i), Steps: []step{{Count: 6, CPU: stepsTaskCPU, MemMB: stepsTaskMemMB, EstimateMs: int(cutsTaskTime.Milliseconds())}}}) {
				w.add(id, 6)
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
