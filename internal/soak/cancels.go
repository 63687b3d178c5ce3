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
	cancelEvery = 2
	cancelAfter = 2500 * time.Millisecond
	// cancelIDs begins the ids of such jobs, and cancelTasks is how many tasks
	// each has.
	cancelIDs, cancelTasks = 0x2000000, 3
	// stoppedWithin is when no task of a cancelled job may run any more: the time
	// in which a cancelling has to reach the owner, and that of a stop.
	stoppedWithin = 3*time.Second + 400*time.Millisecond
	cancelled     = `{"state":"cancelled"}`
)

// cancelling is a job whose cancelling was acknowledged.
type cancelling struct {
	id string
	at time.Time
	// told are the tasks of which a breach was told.
	told map[string]bool
}

// callAndCancel hands in a job that would last, cancels it, and follows it until it
// is shown as cancelled.
func (r *Run) callAndCancel(n int) {
	id := fmt.Sprintf("%016x", cancelIDs+n)
	queue := queues[n%len(queues)]
	j := fleet.Job{Spec: "lasts", Steps: []fleet.Step{{Count: cancelTasks, CPU: 200, MemMB: 10, Daemon: true}}}
	if !r.handIn(n, queue, id, j) {
		return
	}
	time.Sleep(time.Duration(n) * 317 * time.Millisecond % cancelAfter)
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
			r.brokef("%s was cancelled and is shown as %d %s", id, code, body)
			return
		case r.settled():
			r.brokef("%s was cancelled and is not shown so: %d %s %v", id, code, body, err)
			return
		}
		time.Sleep(retryAfter / 2)
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
			r.cancels = append(r.cancels, &cancelling{id: id, at: time.Now(), told: map[string]bool{}})
			return true
		case err == nil && code == http.StatusGone:
			r.brokef("%s was accepted and is not known to be cancelled: %s", id, body)
			return false
		}
		time.Sleep(retryAfter)
	}
	r.brokef("%s could not be cancelled", id)
	return false
}

// watchCancelled checks that no task of a cancelled job runs on.
func (r *Run) watchCancelled() {
	for !r.watched() {
		time.Sleep(lookEvery)
		now := time.Now()
		calmFrom := r.disturbedAt(func(scope string) bool { return scope != scopeRemoval }).Add(contactFor)
		r.mu.Lock()
		l := r.cancels
		r.mu.Unlock()
		for _, c := range l {
			for _, g := range r.jobs.Fleet.Books.RunsOf(c.id) {
				r.checkStopped(c, g, now, calmFrom)
			}
		}
	}
}

// checkStopped checks one run: it has to end in time after the cancelling, and one
// whose order was carried out late, after its start and the time to learn of it;
// both once the system is in touch.
func (r *Run) checkStopped(c *cancelling, g fleet.Going, now, calmFrom time.Time) {
	due := c.at
	if g.Late && g.Since.Add(contactFor).After(due) {
		due = g.Since.Add(contactFor)
	}
	if calmFrom.After(due) {
		due = calmFrom
	}
	if c.told[g.Task] || now.Sub(due) < stoppedWithin {
		return
	}
	c.told[g.Task] = true
	r.brokef("%s run %d runs on %s, begun %.1f s ago (late: %t), %.1f s after its job was cancelled", g.Task, g.Number, g.Worker,
		now.Sub(g.Since).Seconds(), g.Late, now.Sub(c.at).Seconds())
}

// countLate counts the starts that were carried out late, and those of jobs whose
// cancelling had been acknowledged before.
func (r *Run) countLate() {
	for _, g := range r.jobs.Fleet.Books.Late() {
		r.count("late")
		for _, c := range r.cancels {
			if strings.HasPrefix(g.Task, c.id+".") && g.Since.After(c.at) {
				r.count("late and cancelled")
			}
		}
	}
}
