package soak

import (
	"fmt"
	"net/http"
	"time"

	"amberway/internal/standin/fleet"
)

// Parameters of the jobs whose task crashes each worker that starts it.
const (
	// crashIDBase is the first id of such jobs. There is a pause of crashInterval before the
	// next one, so that the pools recover in between and have room for the lasting tasks.
	crashIDBase   = 0x3000000
	crashInterval = 5 * time.Second
	// maxCrashes is how many workers such a task may crash under one owner. Each later owner
	// may miss one crash, which allows one more.
	maxCrashes = 5
	// failed is the answer for a job that has failed.
	failed = `{"state":"failed"}`
)

// runCrashingJobs runs jobs that crash their workers, one after the other, until the faults
// are over.
func (r *Run) runCrashingJobs() {
	for n := 0; time.Until(r.settledAt) > settleTime; n++ {
		r.runCrashingJob(n)
		time.Sleep(crashInterval)
	}
}

// runCrashingJob submits a job whose task crashes its workers, and polls its state until it is
// reported as failed.
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
			r.violationf("%s crashes its workers, but is reported as %d %s", id, code, body)
			return
		case r.settled():
			r.violationf("%s crashes its workers, but is not reported as failed: %d %s %v", id, code, body, err)
			return
		}
		time.Sleep(retryDelay / 2)
	}
}

// checkCrashes checks how many workers the job's task has crashed, given the number of changes
// of ownership since its submission.
func (r *Run) checkCrashes(id string, changes int) {
	if n := r.deployment.Fleet.Checker.CrashCount(id + ".0.0.0"); n > maxCrashes+changes {
		r.violationf("%s crashed %d workers under %d owners", id, n, changes+1)
	}
}

// takeovers returns how often an entry host has become the owner, according to the logs.
func (r *Run) takeovers() int {
	return len(r.deployment.LogLines(`"msg":"takes over"`))
}
