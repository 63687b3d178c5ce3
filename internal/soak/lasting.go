package soak

import (
	"fmt"
	"net/http"
	"time"

	"amberway/internal/standin/fleet"
)

// Parameters of the lasting jobs, whose tasks run until they are cancelled.
const (
	lastingJobsPerPool, tasksPerLastingJob = 3, 2
	// lastingCPU is the CPU of a task in millicores. A worker with at most maxRunsWithRoom
	// runs, whichever they are, has room for two such tasks.
	lastingCPU, maxRunsWithRoom = 500, 3
	// restartTimeout is how long a task may take to run again after its last run: an owner's
	// lease, the first second of its successor, and the lease of a removed worker.
	// overdueMargin is how much longer it has to take to count as a violation.
	restartTimeout = 6 * time.Second
	overdueMargin  = 3 * time.Second
	// minCalm is how long there must have been no fault before a violation counts: the time
	// for which the task is overdue, and the lease of a worker before that.
	minCalm = overdueMargin + 4*time.Second
	// lastingWatchTime is how long lasting tasks are watched after the injection of faults
	// ends: the last fault takes up to five seconds, and a violation shows only after that.
	lastingWatchTime = 5*time.Second + restartTimeout + overdueMargin
	// checkInterval is the pause between two checks of the tasks.
	checkInterval = 20 * time.Millisecond
)

// lastingTask is a task that has to run until its job is cancelled.
type lastingTask struct {
	task, queue string
	// unavailableSince is when the task was first seen not to run, or zero while it runs.
	unavailableSince time.Time
	reported         bool
}

// submitLastingJobs submits the lasting jobs and returns their tasks.
func (r *Run) submitLastingJobs() []*lastingTask {
	var l []*lastingTask
	for i := range 2 * lastingJobsPerPool {
		l = append(l, r.submitLastingJob(i, lastingIDBase+i, "lasts", fleet.Step{
			Count: tasksPerLastingJob, CPU: lastingCPU, MemMB: 100, Daemon: true, MaxUnavailable: i % 3,
		})...)
	}
	return l
}

// submitLastingJob submits a job with one lasting step and returns its tasks. It has to be
// called before the first fault.
func (r *Run) submitLastingJob(i, id int, spec string, s fleet.Step) []*lastingTask {
	queue, name := queues[i%len(queues)], fmt.Sprintf("%016x", id)
	code, body, err := r.entry(0).Call(http.MethodPost, queue, name, fleet.Job{Spec: spec, Steps: []fleet.Step{s}})
	if err != nil || code != http.StatusOK {
		r.violationf("%s was not accepted although there was no fault yet: %d %s %v", name, code, body, err)
		return nil
	}
	var l []*lastingTask
	for x := range s.Count {
		l = append(l, &lastingTask{task: fmt.Sprintf("%s.0.0.%d", name, x), queue: queue})
	}
	return l
}

// lastingIDBase is the first id of the lasting jobs.
const lastingIDBase = 0x1000000

// Parameters of the lasting jobs with a disruption budget.
const (
	// Of the tasks of each job, one or two may be unavailable. budgetedCPU is the CPU of a
	// task in millicores, budgetedIDBase the first id of the jobs.
	budgetedJobs, tasksPerBudgetedJob = 6, 5
	budgetedCPU                       = 300
	budgetedIDBase                    = 0x4000000
	// budgetedSpec gives tasks a warm-up time before they are ready, and has them fail by
	// themselves.
	budgetedSpec = "lasts warms:1500ms fails-each:1m"
)

// submitBudgetedJobs submits the lasting jobs with a disruption budget and returns their tasks.
func (r *Run) submitBudgetedJobs() []*lastingTask {
	var l []*lastingTask
	for i := range budgetedJobs {
		id, maxUnavailable := budgetedIDBase+i, 1+i/len(queues)%2
		r.deployment.Fleet.Checker.CheckDisruptions(fmt.Sprintf("%016x", id), tasksPerBudgetedJob, maxUnavailable)
		l = append(l, r.submitLastingJob(i, id, budgetedSpec, fleet.Step{
			Count: tasksPerBudgetedJob, CPU: budgetedCPU, MemMB: 100, Daemon: true, MaxUnavailable: maxUnavailable,
		})...)
	}
	return l
}

// watchLasting checks that each lasting task runs again in time: without faults and with room
// for it, it may be unavailable for restartTimeout, and overdueMargin more before that counts.
func (r *Run) watchLasting(l []*lastingTask) {
	roomSince := map[string]time.Time{}
	for !r.watchIsOver() {
		now := time.Now()
		for _, q := range queues {
			if !r.deployment.Fleet.HasRoom(q, maxRunsWithRoom) {
				roomSince[q] = now
			}
		}
		calm := now.Sub(r.lastFaultAt(anyScope))
		for _, t := range l {
			r.checkLastingTask(t, now, calm, now.Sub(roomSince[t.queue]))
		}
		time.Sleep(checkInterval)
	}
}

// checkLastingTask checks one task, given for how long there has been no fault and for how long
// its pool has had room.
func (r *Run) checkLastingTask(t *lastingTask, now time.Time, calm, room time.Duration) {
	switch {
	case r.deployment.Fleet.Checker.IsRunning(t.task):
		t.unavailableSince, t.reported = time.Time{}, false
		return
	case t.unavailableSince.IsZero():
		t.unavailableSince = now
	}
	unavailable := now.Sub(t.unavailableSince)
	if t.reported || unavailable < restartTimeout+overdueMargin || calm < minCalm || room < overdueMargin {
		return
	}
	t.reported = true
	r.violationf("lasting task %s has been unavailable for %.1f s, the last %.1f s of them without faults", t.task, unavailable.Seconds(), min(calm, unavailable).Seconds())
}
