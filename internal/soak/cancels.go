package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"amberway/internal/standin/fleet"
)

// Parameters of the jobs that callers cancel.
const (
	// With one job in cancelledJobEvery, another one is submitted, which its caller cancels
	// at most maxCancelDelay after it was accepted.
	cancelledJobEvery = 2
	maxCancelDelay    = 2500 * time.Millisecond
	// cancelIDBase is the first id of such jobs, and cancelTasks how many tasks each has.
	cancelIDBase, cancelTasks = 0x2000000, 3
	// cancelledRunTimeout is how long tasks of a cancelled job may still run: the time in
	// which a cancellation has to reach the owner, plus the time that a stop takes.
	cancelledRunTimeout = 3*time.Second + 400*time.Millisecond
	// cancelled is the answer for a job that has been cancelled.
	cancelled = `{"state":"cancelled"}`
)

// cancellation is a job whose cancellation was acknowledged.
type cancellation struct {
	id      string
	ackedAt time.Time
	// reported has the tasks for which a violation was reported.
	reported map[string]bool
}

// runCancelledJob submits a lasting job, cancels it, and polls its state until it is reported
// as cancelled.
func (r *Run) runCancelledJob(n int) {
	id := fmt.Sprintf("%016x", cancelIDBase+n)
	queue := queues[n%len(queues)]
	j := fleet.Job{Spec: "lasts", Steps: []fleet.Step{{Count: cancelTasks, CPU: 200, MemMB: 10, Daemon: true}}}
	if !r.submit(n, queue, id, j) {
		return
	}
	time.Sleep(time.Duration(n) * 317 * time.Millisecond % maxCancelDelay)
	if !r.cancel(n, queue, id) {
		return
	}
	r.count("cancelled")
	for i := n; ; i++ {
		code, body, err := r.entry(i).Call(http.MethodGet, queue, id, nil)
		switch {
		case err == nil && code == http.StatusOK && body == cancelled:
			return
		case err == nil && code == http.StatusGone, body == succeeded:
			r.violationf("%s was cancelled, but is reported as %d %s", id, code, body)
			return
		case r.settled():
			r.violationf("%s was cancelled, but is not reported as cancelled: %d %s %v", id, code, body, err)
			return
		}
		time.Sleep(retryDelay / 2)
	}
}

// cancel cancels a job and reports whether that was acknowledged.
func (r *Run) cancel(n int, queue, id string) bool {
	for i := n; !r.settled(); i++ {
		code, body, err := r.entry(i).Call(http.MethodDelete, queue, id, nil)
		switch {
		case err == nil && code == http.StatusOK:
			r.mu.Lock()
			defer r.mu.Unlock()
			r.cancellations = append(r.cancellations, &cancellation{id: id, ackedAt: time.Now(), reported: map[string]bool{}})
			return true
		case err == nil && code == http.StatusGone:
			r.violationf("%s was accepted, but is unknown when it is cancelled: %s", id, body)
			return false
		}
		time.Sleep(retryDelay)
	}
	r.violationf("%s could not be cancelled", id)
	return false
}

// watchCancelled checks that no task of a cancelled job keeps running.
func (r *Run) watchCancelled() {
	for !r.watchIsOver() {
		time.Sleep(checkInterval)
		now := time.Now()
		calmFrom := r.lastFaultAt(func(scope string) bool { return scope != scopeRemoval }).Add(reconnectTime)
		r.mu.Lock()
		l := r.cancellations
		r.mu.Unlock()
		for _, c := range l {
			for _, run := range r.deployment.Fleet.Checker.RunsOfJob(c.id) {
				r.checkStopped(c, run, now, calmFrom)
			}
		}
	}
}

// checkStopped checks that a run of a cancelled job ends within cancelledRunTimeout of the
// cancellation or, if the faults end later, of calmFrom. For a run whose start order was
// executed late, the time begins only once the owner must have learnt of the run.
func (r *Run) checkStopped(c *cancellation, run fleet.StartedRun, now, calmFrom time.Time) {
	due := c.ackedAt
	if run.Delayed && run.StartedAt.Add(reconnectTime).After(due) {
		due = run.StartedAt.Add(reconnectTime)
	}
	if calmFrom.After(due) {
		due = calmFrom
	}
	if c.reported[run.Task] || now.Sub(due) < cancelledRunTimeout {
		return
	}
	c.reported[run.Task] = true
	r.violationf("%s run %d still runs on %s, started %.1f s ago (late: %t), %.1f s after its job was cancelled", run.Task, run.Number, run.Worker,
		now.Sub(run.StartedAt).Seconds(), run.Delayed, now.Sub(c.ackedAt).Seconds())
}

// countLateStarts counts the start orders that were executed late, and those among them whose
// job's cancellation had been acknowledged before.
func (r *Run) countLateStarts() {
	for _, run := range r.deployment.Fleet.Checker.DelayedStarts() {
		r.count("late")
		for _, c := range r.cancellations {
			if strings.HasPrefix(run.Task, c.id+".") && run.StartedAt.After(c.ackedAt) {
				r.count("late and cancelled")
			}
		}
	}
}
