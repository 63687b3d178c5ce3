package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"amberway/internal/standin/fleet"
)

// Parameters of recurring jobs, all times of which are due.
const (
	// recurringIDBase is the first id of such jobs, the next of which follows after recurringInterval.
	recurringIDBase   = 0x4000000
	recurringInterval = 4 * time.Second
	// Jobs of recurringTimes times have to succeed. One of endlessTimes takes longer than any run, and
	// is cancelled after endlessFor.
	recurringTimes = 60
	endlessTimes   = 10000
	endlessFor     = 8 * time.Second
)

// runRecurringJobs submits recurring jobs until the injection of faults ends.
func (r *Run) runRecurringJobs() {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; time.Until(r.settledAt) > settleTime; n++ {
		wg.Go(func() { r.runEndlessJob(n) })
		wg.Go(func() { r.runRecurringJob(n) })
		time.Sleep(recurringInterval)
	}
}

// runRecurringJob submits a job and polls its state until it has succeeded.
func (r *Run) runRecurringJob(n int) {
	j := fleet.Job{Spec: "50ms", Times: recurringTimes, IntervalMs: 1000, Steps: []fleet.Step{{Count: firstStepTasks, CPU: 500, MemMB: 10, EstimateMs: 50}}}
	id, queue := fmt.Sprintf("%016x", recurringIDBase+2*n), queues[n%len(queues)]
	if !r.submit(n, queue, id, j) {
		return
	}
	r.count("recurring")
	for i := n; ; i++ {
		code, body, err := r.entry(i).Call(http.MethodGet, queue, id, nil)
		if err == nil && code == http.StatusOK && body == succeeded {
			return
		}
		if r.settled() {
			r.violationf("%s is recurring and was accepted, but has not succeeded: %d %s %v", id, code, body, err)
			return
		}
		time.Sleep(retryDelay)
	}
}

// runEndlessJob submits a job of more tasks than can run, and cancels it.
func (r *Run) runEndlessJob(n int) {
	j := fleet.Job{Spec: "100ms", Times: endlessTimes, IntervalMs: 1000, Steps: []fleet.Step{{Count: 100, CPU: 500, MemMB: 10, EstimateMs: 100}}}
	id, queue := fmt.Sprintf("%016x", recurringIDBase+2*n+1), queues[n%len(queues)]
	if r.submit(n, queue, id, j) {
		time.Sleep(endlessFor)
		r.cancel(n, queue, id)
	}
}
