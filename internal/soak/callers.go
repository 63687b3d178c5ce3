package soak

import (
	"fmt"
	"net/http"
	"time"

	"amberway/internal/standin/fleet"
)

// Figures of the callers.
const (
	// callInterval is the time between two jobs.
	callInterval = 120 * time.Millisecond
	// maxSubmitTries is how often a caller hands a job in, and retryAfter the pause. One of
	// giveUp callers tries once only, so that refusals stand.
	maxSubmitTries = 8
	singleTryEvery = 3
	retryDelay     = 400 * time.Millisecond
	// One of longEvery jobs has tasks that outlast a fault or a look.
	longJobEvery = 5
	// settleTime is how long jobs may take once all faults are over: a silent
	// worker's lease and what an owner waits for after a change, twice.
	settleTime = 40 * time.Second
	// firstStepTasks and secondStep are the tasks of each job.
	firstStepTasks, secondStepTasks = 3, 2
)

// queues are the queues, each with a pool of its name.
var queues = []string{"blue", "green"}

// newJob returns job n. Its estimates are those of a short one.
func newJob(n int) fleet.Job {
	spec := "300ms"
	if n%longJobEvery == 0 {
		spec = "2500ms"
	}
	return fleet.Job{Spec: spec, Steps: []fleet.Step{
		{Count: firstStepTasks, CPU: 1000, MemMB: 100, EstimateMs: 300},
		{Count: secondStepTasks, CPU: 1500, MemMB: 100, EstimateMs: 300, After: []int{0}},
	}}
}

// succeeded is what callers get for a job that is done.
const succeeded = `{"state":"succeeded"}`

// Where the load has turns, the queues take turnCalls jobs by turns; one of offTurn goes to
// another queue meanwhile.
const (
	jobsPerTurn  = 40
	offTurnEvery = 10
)

// queueOf returns the queue of job n.
func (r *Run) queueOf(n int) string {
	if !r.DisruptionBudgets {
		return queues[n%len(queues)]
	}
	turn := n / jobsPerTurn
	if n%offTurnEvery == 0 {
		turn++
	}
	return queues[turn%len(queues)]
}

// runJob hands job n in, at another entry host after each answer that is no
// success, and follows it to its end.
func (r *Run) runJob(n int) {
	id := fmt.Sprintf("%016x", n+1)
	queue := r.queueOf(n)
	if !r.submit(n, queue, id, newJob(n)) {
		return
	}
	r.count("accepted")
	for i := n; ; i++ {
		code, body, err := r.entry(i).Call(http.MethodGet, queue, id, nil)
		switch {
		case err == nil && code == http.StatusOK && body == succeeded:
			r.checkDone(id)
			r.count("succeeded")
			return
		case err == nil && code == http.StatusGone:
			r.violationf("%s was accepted and is not known", id)
			return
		case r.settled():
			r.violationf("%s was accepted and is not done: %d %s %v", id, code, body, err)
			return
		}
		time.Sleep(retryDelay / 2)
	}
}

// submit reports whether the job was accepted. If all answers refused it, it
// may never run.
func (r *Run) submit(n int, queue, id string, j fleet.Job) bool {
	refused := true
	most := maxSubmitTries
	if n%singleTryEvery == 0 {
		most = 1
	}
	for i := range most {
		code, _, err := r.entry(n+i).Call(http.MethodPost, queue, id, j)
		if err == nil && code == http.StatusOK {
			return true
		}
		if err != nil || code != http.StatusServiceUnavailable {
			refused = false
		}
		time.Sleep(retryDelay)
	}
	if !refused {
		r.count("not known")
		return false
	}
	r.count("refused")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedJobs = append(r.refusedJobs, id)
	return false
}

// checkDone checks that all tasks of a job that is shown as succeeded are done.
func (r *Run) checkDone(id string) {
	for step, count := range []int{firstStepTasks, secondStepTasks} {
		for x := range count {
			t := fmt.Sprintf("%s.0.%d.%d", id, step, x)
			if !r.deployment.Fleet.Checker.Done(t) {
				r.violationf("%s is shown as succeeded and %s is not done", id, t)
			}
		}
	}
}
