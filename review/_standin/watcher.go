package main

import (
	"net/http"
	"sync"
	"time"
)

// Bounds of the rule LOST: for how long a job may have nothing running, how much later than the end of the traffic jobs
// are asked for, and how long nothing may have happened before the time that counts.
const (
	idleLimit   = 3 * time.Second
	finishAfter = 14 * time.Second
	calmBefore  = 4 * time.Second
)

// tracked is an accepted job, with the longest time for which it had nothing running though it could have.
type tracked struct {
	id            string
	tasks         int
	idleSince     time.Time
	longest       time.Duration
	longestBefore time.Time
}

// watcher observes what runs of each accepted job.
type watcher struct {
	d    *deployment
	mu   sync.Mutex
	jobs []*tracked
	// calmFrom is when the time begins that counts: until then something has just happened.
	calmFrom time.Time
}

// disturbedAt notes when something was done to the deployment.
func (w *watcher) disturbedAt(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calmFrom = at.Add(calmBefore)
}

func (w *watcher) add(id string, tasks int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs = append(w.jobs, &tracked{id: id, tasks: tasks})
}

func (w *watcher) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		w.look()
	}
}

// look notes for each job whether nothing of it runs though a task's turn has come and most of the room is free.
func (w *watcher) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	free := w.halfFree()
	calm := !time.Now().Before(w.calmFrom)
	for _, j := range w.jobs {
		if !free || !calm || w.d.runs.runningOf(j.id) > 0 || w.d.runs.doneOf(j.id) >= j.tasks {
			j.idleSince = time.Time{}
			continue
		}
		if j.idleSince.IsZero() {
			j.idleSince = time.Now()
		}
		if idle := time.Since(j.idleSince); idle > j.longest {
			j.longest, j.longestBefore = idle, time.Now()
		}
	}
}

// halfFree reports whether under half of the capacity is in use.
func (w *watcher) halfFree() bool {
	var used, all int64
	for _, k := range w.d.workers {
		k.mu.Lock()
		used += k.used().CPU
		k.mu.Unlock()
		all += k.capacity.CPU
	}
	return 2*used < all
}

// verdict asks for all jobs and tells whether the rule LOST was broken.
func (w *watcher) verdict() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	rec := w.d.rec
	if len(w.jobs) == 0 {
		report(rec, "could not run: no job was accepted")
		return couldNot
	}
	noAnswer := make([]bool, len(w.jobs))
	parallel(len(w.jobs), func(i int) {
		status, _ := w.d.call(w.d.entries[i%len(w.d.entries)], http.MethodGet, w.jobs[i].id, nil)
		noAnswer[i] = status != http.StatusOK
	})
	idle, unanswered, never := 0, 0, 0
	for i, j := range w.jobs {
		if noAnswer[i] {
			unanswered++
		}
		if w.d.runs.runsOf(j.id) == 0 {
			never++
		}
		if j.longest > idleLimit {
			idle++
			rec.printf("LOST: job %s (%d tasks, %d done) had nothing running for %d ms until %.3f with under half of the room in use",
				j.id, j.tasks, w.d.runs.doneOf(j.id), j.longest.Milliseconds(), j.longestBefore.Sub(rec.begin).Seconds())
		}
	}
	report(rec, "%d jobs accepted; %d had nothing running for over 3 s with room free, %d of them never ran; %d were not answered for %d s after the traffic; owner: %s",
		len(w.jobs), idle, never, unanswered, int(finishAfter.Seconds()), ownerName(w.d))
	if idle > 0 || unanswered > 0 {
		return ruleBroken
	}
	return ruleHeld
}
