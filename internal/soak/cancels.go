package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"amberway/internal/standin/fleet"
)

// Figures of the jobs that callers cancel.
const (
	// cancelEvery is how many callers come to one that cancels its job, at most
	// cancelAfter after it was accepted.
	cancelEvery    = 2
	maxCancelDelay = 2500 * time.Millisecond
	// cancelIDBase begins the ids of such jobs, and cancelTasks is how many tasks
	// each has.
	cancelIDBase, cancelTasks = 0x2000000, 3
	// cancelledRunTimeout is when no task of a cancelled job may run any more: the time
	// in which a cancelling has to reach the owner, and that of a stop.
	cancelledRunTimeout = 3*time.Second + 400*time.Millisecond
	cancelled           = `{"state":"cancelled"}`
)

// cancellation is a job whose cancelling was acknowledged.
type cancellation struct {
	id      string
	ackedAt time.Time
	// reported are the tasks of which a breach was told.
	reported map[string]bool
}

// runCancelledJob hands in a job that would last, cancels it, and follows it until it
// is shown as cancelled.
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
			r.violationf("%s was cancelled and is shown as %d %s", id, code, body)
			return
		case r.settled():
			r.violationf("%s was cancelled and is not shown so: %d %s %v", id, code, body, err)
			return
		}
		time.Sleep(retryDelay / 2)
	}
}

// cancel reports whether the cancelling was acknowledged.
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
			r.violationf("%s was accepted and is not known to be cancelled: %s", id, body)
			return false
		}
		time.Sleep(retryDelay)
	}
	r.violationf("%s could not be cancelled", id)
	return false
}

// watchCancelled checks that no task of a cancelled job runs on.
func (r *Run) watchCancelled() {
	for !r.watchIsOver() {
		time.Sleep(checkInterval)
		now := time.Now()
		calmFrom := r.lastFaultAt(func(scope string) bool { return scope != scopeRemoval }).Add(reconnectTime)
		r.mu.Lock()
		l := r.cancellations
		r.mu.Unlock()
		for _, c := range l {
			for _, g := range r.deployment.Fleet.Checker.RunsOfJob(c.id) {
				r.checkStopped(c, g, now, calmFrom)
			}
		}
	}
}

// checkStopped checks one run: it has to end in time after the cancelling, and one
// whose order was carried out late, after its start and the time to learn of it;
// both once the system is in touch.
func (r *Run) checkStopped(c *cancellation, g fleet.ActiveRun, now, calmFrom time.Time) {
	due := c.ackedAt
	if g.Late && g.StartedAt.Add(reconnectTime).After(due) {
		due = g.StartedAt.Add(reconnectTime)
	}
	if calmFrom.After(due) {
		due = calmFrom
	}
	if c.reported[g.Task] || now.Sub(due) < cancelledRunTimeout {
		return
	}
	c.reported[g.Task] = true
	r.violationf("%s run %d runs on %s, begun %.1f s ago (late: %t), %.1f s after its job was cancelled", g.Task, g.Number, g.Worker,
		now.Sub(g.StartedAt).Seconds(), g.Late, now.Sub(c.ackedAt).Seconds())
}

// countLateStarts counts the starts that were carried out late, and those of jobs whose
// cancelling had been acknowledged before.
func (r *Run) countLateStarts() {
	for _, g := range r.deployment.Fleet.Checker.LateStarts() {
		r.count("late")
		for _, c := range r.cancellations {
			if strings.HasPrefix(g.Task, c.id+".") && g.StartedAt.After(c.ackedAt) {
				r.count("late and cancelled")
			}
		}
	}
}
