package soak

import (
	"fmt"
	"net/http"
	"time"

	"amberway/internal/standin/fleet"
)

// Figures of the jobs whose task crashes each worker that starts it.
const (
	// crashIDs begins their ids; one is handed in each crashEvery, so that the pools are
	// whole again for what lasts.
	crashIDs   = 0x3000000
	crashEvery = 5 * time.Second
	// crashesBorne is how many workers one may bring down under one owner. Each next
	// owner may not hear of one.
	crashesBorne = 5
	failed       = `{"state":"failed"}`
)

// crashWorkers hands in jobs that crash their workers, until the faults are over.
func (r *Run) crashWorkers() {
	for n := 0; time.Until(r.endsAt) > settle; n++ {
		r.callCrashing(n)
		time.Sleep(crashEvery)
	}
}

// callCrashing hands in a job whose task crashes its workers, and follows it until it is
// shown as failed.
func (r *Run) callCrashing(n int) {
	id := fmt.Sprintf("%016x", crashIDs+n)
	queue := queues[n%len(queues)]
	defer r.begin(scopeWorkers)()
	before := r.tenures()
	j := fleet.Job{Spec: "crashes 1s", Steps: []fleet.Step{{Count: 1, CPU: 500, MemMB: 10, Estimate: 300}}}
	if !r.handIn(n, queue, id, j) {
		return
	}
	r.count("crashing")
	for i := n; ; i++ {
		code, body, err := r.entry(i).Call(http.MethodGet, queue, id, nil)
		switch {
		case err == nil && code == http.StatusOK && body == failed:
			r.checkCrashes(id, r.tenures()-before)
			return
		case err == nil && code == http.StatusGone, body == succeeded:
			r.brokef("%s crashes its workers and is shown as %d %s", id, code, body)
			return
		case r.settled():
			r.brokef("%s crashes its workers and is not shown as failed: %d %s %v", id, code, body, err)
			return
		}
		time.Sleep(retryAfter / 2)
	}
}

// checkCrashes checks how many workers the job's task has brought down while ownership
// changed so many times.
func (r *Run) checkCrashes(id string, changes int) {
	if n := r.jobs.Fleet.Books.Crashes(id + ".0.0.0"); n > crashesBorne+changes {
		r.brokef("%s has crashed %d workers under %d owners", id, n, changes+1)
	}
}

// tenures returns how often an entry host has taken ownership over.
func (r *Run) tenures() int {
	return len(r.jobs.Logs(`"msg":"takes over"`))
}
