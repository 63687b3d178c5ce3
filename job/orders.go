package job

import (
	"errors"
	"time"

	"amberway/platform"
)

// Delays of orders to workers.
const (
	// fullPause holds back starts after a worker refused one for lack of room, until the
	// next poll lists what runs there.
	fullPause = 400 * time.Millisecond
	// unhealthyPause holds back starts after a worker answered one with an error.
	unhealthyPause = time.Second
	// refusedPause is the delay before a refused task is tried on another worker.
	refusedPause = 20 * time.Millisecond
	// settleAfter is how long an unconfirmed start may remain unlisted before the run is
	// stopped, and the delay before an order to stop is repeated.
	settleAfter = 300 * time.Millisecond
	// settlePoll is the interval of polls that are to settle the state of a lasting run.
	settlePoll = 100 * time.Millisecond
)

// Why an order that was answered has to be sent again.
var (
	errOvertaken          = errors.New("refused: a later order came first")
	errEarlierIncarnation = errors.New("answered by an earlier incarnation")
)

// start sends an order to start a run of the task on the worker.
func (c *Core) start(t *task, w *worker, number int64, ticket string) {
	r := &run{number: number, task: t, worker: w, phase: starting, sentAt: c.now, sentClock: w.earliestClock(c.now), progressAt: c.now, pacing: pacing{pace: fullPace}}
	r.attach()
	w.isolate(t, c.now)
	if t.unavailableSince.IsZero() {
		t.unavailableSince = c.now
	}
	n := t.step.instance
	var lease platform.WorkerClock
	if r.expendable = w.tainted(); r.expendable {
		lease = c.expendableLease(t, w)
	} else {
		lease = w.extendLease(c.now)
	}
	o := platform.StartOrder{
		Task:       t.key().String(),
		Run:        number,
		Spec:       n.job.Spec,
		LeaseUntil: lease,
		Fence:      w.orderFence(),
		Snapshot:   t.snapshot,
		Ticket:     ticket,
	}
	c.emit(LogLine{What: "start", Job: n.job.id, Task: o.Task, Run: number, Worker: w.ID, Fields: []any{"waited_ms", c.now.Sub(n.due).Milliseconds(), "used", w.used.MilliCores, "failures", len(t.failedRuns), "crashes", t.crashes.All}})
	c.flow.startSent(len(o.Spec) + len(o.Snapshot) + len(o.Ticket))
	c.emit(StartRun{Worker: w.Worker, Order: o})
}

// nextRun returns the number of the next start.
func (c *Core) nextRun() int64 {
	c.lastRun++
	return c.lastRun
}

// stop has a run stopped. Its resources stay in use until its end is known.
func (c *Core) stop(r *run, why string) {
	if r.phase == stopping {
		return
	}
	c.logRun(r, "stop", why, c.stopInputs(r))
	r.phase = stopping
	r.stopPending = false
	r.stopAt = c.now
	r.task.ready = false
	c.sendStop(r)
}

// sendStop sends the order to stop a run, unless one is pending or confirmed. It checks each
// time whether the run may be stopped: other tasks of its step that were ready when the stop
// was decided on may be unavailable by now.
func (c *Core) sendStop(r *run) {
	if r.stopPending || r.stopConfirmed {
		return
	}
	if !c.mayStop(r) {
		c.deferStop(r)
		return
	}
	if r.stopAttempts > 0 {
		c.logStopRetry(r)
	}
	r.stopPending = true
	r.stopAttempts++
	c.orderStop(r.worker, r.task.key().String(), r.number)
}

// logStopRetry logs that an order to stop is repeated, as no answer came.
func (c *Core) logStopRetry(r *run) {
	fields := []any{"sent", r.stopAttempts, "decided_ms", c.now.Sub(r.stopAt).Milliseconds()}
	c.logRun(r, "stop sent again", "", append(fields, c.stopInputs(r)...))
}

// logRun logs a decision on a run.
func (c *Core) logRun(r *run, what, why string, fields []any) {
	c.emit(LogLine{What: what, Job: r.task.step.instance.job.id, Task: r.task.key().String(), Run: r.number, Worker: r.worker.ID, Why: why, Fields: fields})
}

func (c *Core) orderStop(w *worker, task string, run int64) {
	c.flow.spend(orderBytes)
	c.emit(StopRun{Worker: w.Worker, Task: task, Run: run, Fence: w.orderFence()})
}

// reconcileRuns sends the orders to stop that are due on a worker: for unconfirmed starts that
// do not get listed, for stops without an answer, and for orphans.
func (c *Core) reconcileRuns(w *worker) {
	for _, r := range w.runs {
		if r.phase == unconfirmed && c.now.After(r.knownAt.Add(settleAfter)) && c.maySettle(r) {
			c.stop(r, "its start was not answered")
		}
		if r.phase == stopping && c.now.After(r.knownAt.Add(settleAfter)) {
			c.sendStop(r)
		}
	}
	for _, id := range w.orphansToStop() {
		w.orphans[id].stopPending = true
		c.orderStop(w, id.task, id.number)
	}
}

// maySettle reports whether a run with an unconfirmed start may be stopped to settle whether it
// started. In a step with a disruption budget the task may be ready by now: the run is stopped
// only after a poll did not list it, and if the budget allows it or the task is known not to be
// ready.
func (c *Core) maySettle(r *run) bool {
	if !r.task.step.hasDisruptionBudget() {
		return true
	}
	return r.absent && c.mayStop(r)
}

// apply handles the result of a start.
func (e StartResult) apply(c *Core) {
	c.flow.startAnswered()
	w := c.successor(e.Worker)
	if w == nil {
		return
	}
	if e.Err == nil && w.ID == e.Worker {
		w.noteClock(e.Clock, c.now)
	}
	if e.Err == nil && e.Rejection == platform.Accepted && w.ID == e.Worker {
		c.noteAnsweredFence(w, e.Fence)
	}
	k, _ := parseTaskKey(e.Task)
	r := w.findRun(k, e.Run)
	var other *platform.OtherIncarnationError
	switch {
	case errors.As(e.Err, &other) && w.ID == e.Worker:
		if r != nil {
			c.startRefused(r, e)
		}
		c.checkAnswerer(w, other.ReportedStart)
		return
	case errors.Is(e.Err, platform.ErrOtherIncarnation) && w.ID == e.Worker:
		c.removeWorker(w, "another incarnation answers at its address")
		return
	case e.Rejection == platform.RejectedFenced && !c.overtaken(w, e.Fence):
		c.stepDownFenced()
		return
	case r == nil:
		return
	}
	r.knownAt = c.now
	if e.Err == nil {
		c.flow.noteResponse(r.sentAt, c.now)
	}
	switch {
	case e.Err == nil && e.Rejection == platform.Accepted && w.ID == e.Worker && e.Clock < r.sentClock:
		c.startAcceptedElsewhere(r, e.Clock)
	case e.Err == nil && e.Rejection == platform.Accepted:
		c.startAccepted(r)
	case errors.Is(e.Err, platform.ErrUnknownOutcome):
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
	c.markStarted(r.task.step.instance.job)
}

// startAcceptedElsewhere handles a start that was accepted by a later incarnation, which is yet to
// be found: its clock is behind. The run counts as unconfirmed until a poll tells. Its lease ends
// by the clock of the earlier incarnation, so it counts as the longest that there is.
func (c *Core) startAcceptedElsewhere(r *run, clock platform.WorkerClock) {
	c.logRun(r, "start answered by another incarnation", "its clock is behind that of the worker that was asked", []any{"clock_ms", int64(clock), "at_least_ms", int64(r.sentClock)})
	if r.phase == starting {
		r.phase = unconfirmed
	}
	w := r.worker
	w.unverified = true
	w.nextPollAt = c.now
	c.markRestarted(w, w.sentFence)
}

// startRefused drops a run that is certain not to have started.
func (c *Core) startRefused(r *run, e StartResult) {
	w := r.worker
	t := r.task
	why := string(e.Rejection)
	if e.Err != nil {
		why = e.Err.Error()
	}
	if e.Rejection == platform.RejectedFenced {
		c.logOvertaken(w, "start", e.Fence)
	}
	c.logRun(r, "start refused", why, []any{"used", w.used.MilliCores, "room", w.Capacity.MilliCores})
	switch {
	case errors.Is(e.Err, platform.ErrNotSent):
		w.missedPolls = max(w.missedPolls, 1)
		w.nextPollAt = c.now
	case errors.Is(e.Err, platform.ErrOtherIncarnation) && w.ID != e.Worker:
		// It concerns the incarnation before.
	case e.Err != nil:
		w.noRoomUntil = c.now.Add(unhealthyPause)
	default:
		w.noRoomUntil = c.now.Add(fullPause)
	}
	t.avoid = w.ID
	t.notBefore = c.now.Add(refusedPause)
	r.detach()
	if t.step.Gang {
		c.stopGang(t.step, r.number)
	}
}

// apply handles the result of an order to stop.
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
		c.removeWorker(w, "another incarnation answers at its address")
		return
	case e.Rejection == platform.RejectedFenced && !c.overtaken(w, e.Fence):
		c.stepDownFenced()
		return
	case e.Rejection == platform.RejectedFenced:
		c.logOvertaken(w, "stop", e.Fence)
		e.Err = errOvertaken
	case e.Err == nil && w.ID != e.Worker:
		e.Err = errEarlierIncarnation
	}
	if s := w.orphans[rawRunID{task: e.Task, number: e.Run}]; s != nil && e.Err != nil {
		s.stopPending = false
	}
	k, _ := parseTaskKey(e.Task)
	r := w.findRun(k, e.Run)
	if r == nil {
		return
	}
	r.stopPending = false
	r.knownAt = c.now
	if e.Err == nil {
		r.stopConfirmed = true
		w.nextPollAt = c.now
	} else {
		c.logRun(r, "stop not answered", e.Err.Error(), nil)
	}
	c.reconcileWorker(w)
}
