package soak

import (
	"fmt"
	"net/http"
	"time"

	"amberway/internal/standin/fleet"
)

// Figures of the jobs whose task crashes each worker that starts it.
const (
	// crashIDBase begins their ids; one is handed in each crashEvery, so that the pools are
	// whole again for what lasts.
	crashIDBase   = 0x3000000
	crashInterval = 5 * time.Second
	// maxCrashes is how many workers one may bring down under one owner. Each next
	// owner may not hear of one.
	maxCrashes = 5
	failed     = `{"state":"failed"}`
)

// runCrashingJobs hands in jobs that crash their workers, until the faults are over.
func (r *Run) runCrashingJobs() {
	for n := 0; time.Until(r.settledAt) > settleTime; n++ {
		r.runCrashingJob(n)
		time.Sleep(crashInterval)
	}
}

// runCrashingJob hands in a job whose task crashes its workers, and follows it until it is
// shown as failed.
func (r *Run) runCrashingJob(n int) {
	id := fmt.Sprintf("%016x", crashIDBase+n)
	queue := queues[n%len(queues)]
	defer r.beginFault(scopeWorkers)()
	before := r.takeovers()
	j := fleet.Job{Spec: "crashes 1s", Steps: []fleet.Step{{Count: 1, CPU: 500, MemMB: 10, EstimateMs: 300}}}
	if !r.submit(n, queue, id, j) {
		return
	}
	r.count("crashing")
	for i := n; ; i++ {
		code, body, err := r.entry(i).Call(http.MethodGet, queue, id, nil)
		switch {
		case err == nil && code == http.StatusOK && body == failed:
			r.checkCrashes(id, r.takeovers()-before)
			return
		case err == nil && code == http.StatusGone, body == succeeded:
			r.violationf("%s crashes its workers and is shown as %d %s", id, code, body)
			return
		case r.settled():
			r.violationf("%s crashes its workers and is not shown as failed: %d %s %v", id, code, body, err)
			return
		}
		time.Sleep(retryDelay / 2)
	}
}

// checkCrashes checks how many workers the job's task has brought down while ownership
// changed so many times.
func (r *Run) checkCrashes(id string, changes int) {
	if n := r.deployment.Fleet.Checker.CrashCount(id + ".0.0.0"); n > maxCrashes+changes {
		r.violationf("%s has crashed %d workers under %d owners", id, n, changes+1)
	}
}

// takeovers returns how often an entry host has taken ownership over.
func (r *Run) takeovers() int {
	return len(r.deployment.Logs(`"msg":"takes over"`))
}
