package soak

import (
	"fmt"
	"net/http"
	"time"

	"amberway/internal/standin/fleet"
)

// Figures of the jobs whose tasks run until they are cancelled.
const (
	// lastingJobsPerPool is how many each pool has, and lastingTasks how many tasks each
	// of them.
	lastingJobsPerPool, tasksPerLastingJob = 3, 2
	// lastingCPU is what a task takes, in thousandths of a core. A worker with
	// at most roomRuns runs has room for it twice over, whichever they are.
	lastingCPU, maxRunsWithRoom = 500, 3
	// restartTimeout is how long a task may be away after its last run: an owner's
	// lease, its successor's first second, and the lease of a worker that is no
	// more. overdueFor is how long it has to be overdue to count.
	restartTimeout = 6 * time.Second
	overdueMargin  = 3 * time.Second
	// minCalm is how long before there must have been no fault: the time that it
	// is overdue, and the lease of a worker before that.
	minCalm = overdueMargin + 4*time.Second
	// watchTime is how long lasting tasks are watched after the last fault was
	// drawn: a fault lasts five seconds, and a breach shows after that.
	watchTime = 5*time.Second + restartTimeout + overdueMargin
	// checkInterval is the pause between two looks at them.
	checkInterval = 20 * time.Millisecond
)

// lastingTask is a task that is to run until its job is cancelled.
type lastingTask struct {
	task, queue string
	// unavailableSince is when it was first seen not to run; zero while it runs.
	unavailableSince time.Time
	reported         bool
}

// submitLastingJobs hands the lasting jobs in, and returns their tasks.
func (r *Run) submitLastingJobs() []*lastingTask {
	var l []*lastingTask
	for i := range 2 * lastingJobsPerPool {
		l = append(l, r.submitLastingJob(i, lastingIDBase+i, "lasts", fleet.Step{
			Count: tasksPerLastingJob, CPU: lastingCPU, MemMB: 100, Daemon: true, MaxUnavailable: i % 3,
		})...)
	}
	return l
}

// submitLastingJob hands in a job of one lasting step before any fault, and returns its tasks.
func (r *Run) submitLastingJob(i, id int, spec string, s fleet.Step) []*lastingTask {
	queue, name := queues[i%len(queues)], fmt.Sprintf("%016x", id)
	code, body, err := r.entry(0).Call(http.MethodPost, queue, name, fleet.Job{Spec: spec, Steps: []fleet.Step{s}})
	if err != nil || code != http.StatusOK {
		r.violationf("%s was not accepted before any fault: %d %s %v", name, code, body, err)
		return nil
	}
	var l []*lastingTask
	for x := range s.Count {
		l = append(l, &lastingTask{task: fmt.Sprintf("%s.0.0.%d", name, x), queue: queue})
	}
	return l
}

// lastingIDBase begins the ids of lasting jobs.
const lastingIDBase = 0x1000000

// Figures of the lasting jobs of which only some tasks may be away.
const (
	// budgetedJobs is how many there are, guardedTasks how many tasks each has, of which one
	// or two may be away, and guardedCPU what a task takes.
	budgetedJobs, tasksPerBudgetedJob = 6, 5
	budgetedCPU                       = 300
	budgetedIDBase                    = 0x4000000
	// budgetedSpec has tasks need time to be at work, and fail by themselves.
	budgetedSpec = "lasts warms:1500ms fails-each:1m"
)

// submitBudgetedJobs hands in the lasting jobs of which only some tasks may be away, and returns
// their tasks.
func (r *Run) submitBudgetedJobs() []*lastingTask {
	var l []*lastingTask
	for i := range budgetedJobs {
		id, mayMiss := budgetedIDBase+i, 1+i/len(queues)%2
		r.deployment.Fleet.Checker.CheckDisruptions(fmt.Sprintf("%016x", id), tasksPerBudgetedJob, mayMiss)
		l = append(l, r.submitLastingJob(i, id, budgetedSpec, fleet.Step{
			Count: tasksPerBudgetedJob, CPU: budgetedCPU, MemMB: 100, Daemon: true, MaxUnavailable: mayMiss,
		})...)
	}
	return l
}

// watchLasting checks that each task is at work again in time: in calm, with
// room, it is away for restartIn at most, and overdueFor more to count.
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

func (r *Run) checkLastingTask(t *lastingTask, now time.Time, calm, room time.Duration) {
	switch {
	case r.deployment.Fleet.Checker.IsRunning(t.task):
		t.unavailableSince, t.reported = time.Time{}, false
		return
	case t.unavailableSince.IsZero():
		t.unavailableSince = now
	}
	away := now.Sub(t.unavailableSince)
	if t.reported || away < restartTimeout+overdueMargin || calm < minCalm || room < overdueMargin {
		return
	}
	t.reported = true
	r.violationf("%s is to last and has been away for %.1f s, the last %.1f s of them calm", t.task, away.Seconds(), min(calm, away).Seconds())
}
