package soak

import (
	"fmt"
	"net/http"
	"time"

	"amberway/internal/standin/fleet"
)

// Parameters of the callers.
const (
	// callInterval is the time between the submissions of two jobs.
	callInterval = 120 * time.Millisecond
	// maxSubmitTries is how often a caller tries to submit a job, with a pause of retryDelay
	// in between. One caller in singleTryEvery tries only once, so that some refusals are
	// final.
	maxSubmitTries = 8
	singleTryEvery = 3
	retryDelay     = 400 * time.Millisecond
	// One job in longJobEvery has tasks that run for longer than a short fault or a poll.
	longJobEvery = 5
	// settleTime is how long jobs may take after the injection of faults ends: twice the sum
	// of a silent worker's lease and of the time for which a new owner waits.
	settleTime = 40 * time.Second
	// firstStepTasks and secondStepTasks are the numbers of tasks in the two steps of a job.
	firstStepTasks, secondStepTasks = 3, 2
	// One job in manyStepsEvery has moreSteps short steps after these, each after all earlier ones.
	manyStepsEvery = 20
	moreSteps      = 24
	// One job in wideJobEvery has another step of wideStepTasks small tasks, so that workers have
	// more ends than they list at once while the store refuses writes.
	wideJobEvery  = 40
	wideStepTasks = 300
)

// queues are the names of the queues. Each has a pool of the same name.
var queues = []string{"blue", "green"}

// newJob returns job n. Its estimates are those of a short job, even if it is a long one.
func newJob(n int) fleet.Job {
	spec := "300ms"
	if n%longJobEvery == 0 {
		spec = "2500ms"
	}
	j := fleet.Job{Spec: spec, Steps: []fleet.Step{
		{Count: firstStepTasks, CPU: 1000, MemMB: 100, EstimateMs: 300},
		{Count: secondStepTasks, CPU: 1500, MemMB: 100, EstimateMs: 300, After: []int{0}},
	}}
	switch {
	case n%manyStepsEvery == 1:
		j.Spec = "30ms"
		j.Steps = append(j.Steps, laterSteps(len(j.Steps))...)
	case n%wideJobEvery == 2:
		j.Steps = append(j.Steps, fleet.Step{Count: wideStepTasks, CPU: 20, MemMB: 1, EstimateMs: 300})
	}
	return j
}

// laterSteps returns moreSteps steps of one task that follow the given number of steps.
func laterSteps(before int) []fleet.Step {
	var l []fleet.Step
	for i := range moreSteps {
		s := fleet.Step{Count: 1, CPU: 500, MemMB: 100, EstimateMs: 30}
		for a := range before + i {
			s.After = append(s.After, a)
		}
		l = append(l, s)
	}
	return l
}

// succeeded is the answer for a job that has succeeded.
const succeeded = `{"state":"succeeded"}`

// A load that alternates between the queues sends jobsPerTurn jobs to one queue and then as
// many to the next one. One job in offTurnEvery goes to the other queue.
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

// runJob submits job n, trying another entry host after each failure, and polls its state
// until it has succeeded.
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
			r.checkDone(id, newJob(n))
			r.count("succeeded")
			return
		case err == nil && code == http.StatusGone:
			r.violationf("%s was accepted, but is unknown", id)
			return
		case r.settled():
			r.violationf("%s was accepted, but has not succeeded: %d %s %v", id, code, body, err)
			return
		}
		time.Sleep(retryDelay / 2)
	}
}

// submit submits a job and reports whether it was accepted. A job that every answer refused
// must never run; report checks that.
func (r *Run) submit(n int, queue, id string, j fleet.Job) bool {
	refused := true
	tries := maxSubmitTries
	if n%singleTryEvery == 0 {
		tries = 1
	}
	for i := range tries {
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

// checkDone checks that all tasks of a job that is reported as succeeded are done.
func (r *Run) checkDone(id string, j fleet.Job) {
	for step, s := range j.Steps {
		for x := range s.Count {
			t := fmt.Sprintf("%s.0.%d.%d", id, step, x)
			if !r.deployment.Fleet.Checker.Done(t) {
				r.violationf("%s is reported as succeeded, but its task %s is not done", id, t)
			}
		}
	}
}
