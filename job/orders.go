package job

import (
	"errors"
	"time"

	"amberway/platform"
)

// Times of orders to workers.
const (
	// fullPause holds back starts after a worker had no room, until the next look
	// tells what runs there.
	fullPause = 400 * time.Millisecond
	// unhealthyPause holds back starts after a worker refused to serve.
	unhealthyPause = time.Second
	// refusedPause comes before a refused task is tried at another worker.
	refusedPause = 20 * time.Millisecond
	// settleAfter is how long a start without an answer waits to be listed
	// before it is stopped.
	settleAfter = 300 * time.Millisecond
	// settlePoll is the pause between looks that are to tell how a lasting run stands.
	settlePoll = 100 * time.Millisecond
)

// start orders a run of the task on the worker.
func (c *Core) start(t *task, w *worker, number int64, ticket string) {
	r := &run{number: number, task: t, at: w, phase: starting, sentAt: c.now, progressAt: c.now, pacing: pacing{pace: fullPace}}
	r.attach()
	w.isolate(t, c.now)
	if t.unavailableSince.IsZero() {
		t.unavailableSince = c.now
	}
	n := t.of.of
	o := platform.StartOrder{
		Task:     t.key().String(),
		Run:      number,
		Spec:     n.job.Spec,
		Until:    w.lease(c.now),
		Fence:    c.fence,
		Snapshot: t.snapshot,
		Ticket:   ticket,
	}
	c.emit(LogLine{What: "start", Job: n.job.id, Task: o.Task, Run: number, Worker: w.ID, Fields: []any{"waited_ms", c.now.Sub(n.due).Milliseconds(), "used", w.used.MilliCores, "failures", len(t.failed), "crashes", t.crashes.All}})
	c.flow.startSent(len(o.Spec) + len(o.Snapshot) + len(o.Ticket))
	c.emit(StartRun{Worker: w.Worker, Order: o})
}

// nextRun returns the number of the next start.
func (c *Core) nextRun() int64 {
	c.lastRun++
	return c.lastRun
}

// stop has a run end. Its room stays taken until the end is known.
func (c *Core) stop(r *run, why string) {
	if r.phase == stopping {
		return
	}
	c.noteRun(r, "stop", why, c.stopInputs(r))
	r.phase = stopping
	r.stopPending = false
	r.stopAt = c.now
	r.task.ready = false
	c.sendStop(r)
}

// sendStop sends the order to stop that is owed. Each time it asks anew whether the run may
// end: others of its step may be away by now that were at work when its stop was decided.
func (c *Core) sendStop(r *run) {
	if r.stopPending || r.stopConfirmed {
		return
	}
	if !c.mayStop(r) {
		c.deferStop(r)
		return
	}
	if r.stopAttempts > 0 {
		c.noteStopAgain(r)
	}
	r.stopPending = true
	r.stopAttempts++
	c.orderStop(r.at, r.task.key().String(), r.number)
}

// noteStopAgain logs an order to stop that is repeated, as its answer was lost.
func (c *Core) noteStopAgain(r *run) {
	in := []any{"sent", r.stopAttempts, "decided_ms", c.now.Sub(r.stopAt).Milliseconds()}
	c.noteRun(r, "stop sent again", "", append(in, c.stopInputs(r)...))
}

// noteRun logs a decision on a run.
func (c *Core) noteRun(r *run, what, why string, inputs []any) {
	c.emit(LogLine{What: what, Job: r.task.of.of.job.id, Task: r.task.key().String(), Run: r.number, Worker: r.at.ID, Why: why, Fields: inputs})
}

func (c *Core) orderStop(w *worker, task string, run int64) {
	c.flow.spend(orderBytes)
	c.emit(StopRun{Worker: w.Worker, Task: task, Run: run, Fence: c.fence})
}

// reconcileRuns sends the orders to stop that are owed at a worker.
func (c *Core) reconcileRuns(w *worker) {
	for _, r := range w.runs {
		if r.phase == unconfirmed && c.now.After(r.knownAt.Add(settleAfter)) && c.maySettle(r) {
			c.stop(r, "its start was not answered")
		}
		if r.phase == stopping && c.now.After(r.knownAt.Add(settleAfter)) {
			c.sendStop(r)
		}
	}
	for id, s := range w.orphans {
		if !s.stopPending {
			s.stopPending = true
			c.orderStop(w, id.task, id.number)
		}
	}
}

// maySettle reports whether a run of which it is not known whether it began may be
// stopped to settle that. A task of which only some may be away could be at work by now: the
// stop follows a look that does not list it at once, or waits until others are at work.
func (c *Core) maySettle(r *run) bool {
	if !r.task.of.hasDisruptionBudget() {
		return true
	}
	return r.absent && c.mayStop(r)
}

// apply takes in the answer to a start.
func (e StartResult) apply(c *Core) {
	c.flow.startAnswered()
	w := c.successor(e.Worker)
	if w == nil {
		return
	}
	if e.Err == nil && w.ID == e.Worker {
		w.noteClock(e.Clock, c.now)
	}
	k, _ := parseTaskKey(e.Task)
	r := w.find(k, e.Run)
	switch {
	case errors.Is(e.Err, platform.ErrOtherIncarnation) && w.ID == e.Worker:
		c.removeWorker(w, "another life answers at its address")
		return
	case e.Rejection == platform.RejectedFence:
		c.emit(StepDown{Why: "a worker has seen a higher fence"})
		return
	case r == nil:
		return
	}
	r.knownAt = c.now
	if e.Err == nil {
		c.flow.noteResponse(r.sentAt, c.now)
	}
	switch {
	case e.Err == nil && e.Rejection == platform.Accepted:
		c.startAccepted(r)
	case errors.Is(e.Err, platform.ErrUnknown):
		if r.phase == starting {
			r.phase = unconfirmed
		}
		c.emit(LogLine{What: "start not answered", Job: k.id, Task: e.Task, Run: e.Run, Worker: w.ID, Why: e.Err.Error()})
	default:
		c.startRefused(r, e)
	}
	if e.Err != nil || e.Rejection != platform.Accepted {
		c.replan(w.Service)
	}
	c.reconcileWorker(w)
}

func (c *Core) startAccepted(r *run) {
	r.startConfirmed = true
	if r.phase == starting || r.phase == unconfirmed {
		r.phase = running
	}
	r.progressAt = c.now
	c.markStarted(r.task.of.of.job)
}

// startRefused frees a run that has certainly not begun.
func (c *Core) startRefused(r *run, e StartResult) {
	w := r.at
	t := r.task
	why := string(e.Rejection)
	if e.Err != nil {
		why = e.Err.Error()
	}
	c.noteRun(r, "start refused", why, []any{"used", w.used.MilliCores, "room", w.Capacity.MilliCores})
	switch {
	case errors.Is(e.Err, platform.ErrNotSent):
		w.missedPolls = max(w.missedPolls, 1)
		w.nextPollAt = c.now
	case e.Err != nil:
		w.noRoomUntil = c.now.Add(unhealthyPause)
	default:
		w.noRoomUntil = c.now.Add(fullPause)
	}
	t.avoid = w.ID
	t.notBefore = c.now.Add(refusedPause)
	r.detach()
	if t.of.Gang {
		c.stopGang(t.of, r.number)
	}
}

// apply takes in the answer to an order to stop.
func (e StopResult) apply(c *Core) {
	w := c.successor(e.Worker)
	if w == nil {
		return
	}
	if e.Err == nil && w.ID == e.Worker {
		w.noteClock(e.Clock, c.now)
	}
	switch {
	case errors.Is(e.Err, platform.ErrOtherIncarnation) && w.ID == e.Worker:
		c.removeWorker(w, "another life answers at its address")
		return
	case e.Err == nil && e.Rejection == platform.RejectedFence:
		c.emit(StepDown{Why: "a worker has seen a higher fence"})
		return
	}
	if s := w.orphans[rawRunID{task: e.Task, number: e.Run}]; s != nil && e.Err != nil {
		s.stopPending = false
	}
	k, _ := parseTaskKey(e.Task)
	r := w.find(k, e.Run)
	if r == nil {
		return
	}
	r.stopPending = false
	r.knownAt = c.now
	if e.Err == nil {
		r.stopConfirmed = true
		w.nextPollAt = c.now
	} else {
		c.noteRun(r, "stop not answered", e.Err.Error(), nil)
	}
	c.reconcileWorker(w)
}
