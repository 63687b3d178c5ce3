package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case "ends". The workers and the time of a task are like those of melitzana-prod, the tasks take less of a
// worker. A job has as many tasks as the widest of its short jobs, and the store is down for less than twice as long as
// in its site file.
const (
	endsWorkers      = 2
	endsTaskCPU      = 500
	endsTaskMemMB    = 500
	endsTaskTime     = 800 * time.Millisecond
	endsJobs         = 130
	endsTasks        = 24
	endsJobEvery     = 22 * time.Millisecond
	endsOutageAt     = 3 * time.Second
	endsOutageFor    = 5500 * time.Millisecond
	endsFinishWithin = 40 * time.Second
)

// runEnds takes the store away while workers run many short tasks, so that more of them end than one answer of a
// worker lists. Each task has to run once.
func runEnds(rec *recorder, trouble bool) int {
	demand := func(task, _ string) (capacity, time.Duration) {
		return capacity{CPU: endsTaskCPU, MemMB: endsTaskMemMB}, time.Duration(spread(task) * float64(endsTaskTime))
	}
	d, err := newDeployment(rec, endsWorkers, workerSize, demand)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		report(rec, "could not run: %v", err)
		return couldNot
	}
	begin := time.Now()
	if trouble {
		time.AfterFunc(endsOutageAt, func() {
			rec.printf("the store is down")
			d.gate.close()
		})
		time.AfterFunc(endsOutageAt+endsOutageFor, func() {
			rec.printf("the store is back")
			d.gate.open()
		})
	}
	ids := make([]string, endsJobs)
	var accepted atomic.Int64
	var g sync.WaitGroup
	for i := range ids {
		ids[i] = newJobID()
		g.Go(func() {
			if d.submit(i, ids[i], jobBody{Spec: fmt.Sprint("job ", i), Steps: []step{{Count: endsTasks, CPU: endsTaskCPU, MemMB: endsTaskMemMB, EstimateMs: int(endsTaskTime.Milliseconds())}}}) {
				accepted.Add(1)
			}
		})
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * endsJobEvery)))
	}
	g.Wait()
	if accepted.Load() == 0 {
		report(rec, "could not run: no job was accepted")
		return couldNot
	}
	time.Sleep(time.Until(begin.Add(endsOutageAt + endsOutageFor + time.Second)))
	for end := time.Now().Add(endsFinishWithin); time.Now().Before(end); time.Sleep(time.Second) {
		open := 0
		for i, id := range ids {
			if s, b := d.call(d.entries[i%len(d.entries)], "GET", id, nil); s == 200 && b != `{"state":"succeeded"}` {
				open++
			}
		}
		if open == 0 {
			break
		}
	}
	// The last ends are taken note of.
	time.Sleep(3 * time.Second)
	tasks, starts := d.runs.counts()
	v := d.runs.twice()
	for _, s := range v {
		rec.printf("%s", s)
	}
	report(rec, "%d jobs, %d accepted; %d tasks have run, %d starts; TWICE is broken %d times", endsJobs, accepted.Load(), tasks, starts, len(v))
	if len(v) > 0 {
		return ruleBroken
	}
	return ruleHeld
}

// counts returns how many tasks have run, and how many starts there were.
func (l *runLog) counts() (tasks, starts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.byTask {
		starts += len(r)
	}
	return len(l.byTask), starts
}
