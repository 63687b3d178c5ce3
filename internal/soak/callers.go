package soak

import (
	"fmt"
	"net/http"
	"time"

	"amberway/internal/standin/fleet"
)

// Figures of the callers.
const (
	// callEvery is the time between two jobs.
	callEvery = 120 * time.Millisecond
	// tries is how often a caller hands a job in, and retryAfter the pause.
	tries      = 8
	retryAfter = 400 * time.Millisecond
	// settle is how long jobs may take once all faults are over: a silent
	// worker's lease and what an owner waits for after a change, twice.
	settle = 40 * time.Second
	// firstStep and secondStep are the tasks of each job.
	firstStep, secondStep = 3, 2
)

var work = fleet.Job{Spec: "300ms", Steps: []fleet.Step{
	{Count: firstStep, CPU: 1000, MemMB: 100, Estimate: 300},
	{Count: secondStep, CPU: 1500, MemMB: 100, Estimate: 300, After: []int{0}},
}}

// final is what a state of a final job looks like to callers.
const succeeded = `{"state":"succeeded"}`

// call hands job n in, at another entry host after each answer that is no
// success, and follows it to its end.
func (r *Run) call(n int) {
	id := fmt.Sprintf("%016x", n+1)
	queue := []string{"blue", "green"}[n%2]
	if !r.handIn(n, queue, id) {
		return
	}
	r.count("accepted")
	for i := n; ; i++ {
		code, body, err := r.jobs.Entries[i%len(r.jobs.Entries)].Call(http.MethodGet, queue, id, nil)
		switch {
		case err == nil && code == http.StatusOK && body == succeeded:
			r.checkDone(id)
			r.count("succeeded")
			return
		case err == nil && code == http.StatusGone:
			r.broke("%s was accepted and is not known", id)
			return
		case r.settled():
			r.broke("%s was accepted and is not done: %d %s %v", id, code, body, err)
			return
		}
		time.Sleep(retryAfter / 2)
	}
}

// handIn reports whether the job was accepted. If all answers refused it, it
// may never run.
func (r *Run) handIn(n int, queue, id string) bool {
	refused := true
	for i := range tries {
		code, _, err := r.jobs.Entries[(n+i)%len(r.jobs.Entries)].Call(http.MethodPost, queue, id, work)
		if err == nil && code == http.StatusOK {
			return true
		}
		if err != nil || code != http.StatusServiceUnavailable {
			refused = false
		}
		time.Sleep(retryAfter)
	}
	if !refused {
		r.count("not known")
		return false
	}
	r.count("refused")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = append(r.refused, id)
	return false
}

// checkDone checks that all tasks of a job that is shown as succeeded are done.
func (r *Run) checkDone(id string) {
	for step, count := range []int{firstStep, secondStep} {
		for x := range count {
			t := fmt.Sprintf("%s.0.%d.%d", id, step, x)
			if !r.jobs.Fleet.Books.Done(t) {
				r.broke("%s is shown as succeeded and %s is not done", id, t)
			}
		}
	}
}
