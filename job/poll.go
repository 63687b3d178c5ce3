package job

import (
	"errors"
	"time"

	"amberway/platform"
)

// reconcileWorker does what is due for one worker: it drops the runs of an expired lease, sends
// pending stops, evicts the lasting tasks of a worker that shuts down, and polls.
func (c *Core) reconcileWorker(w *worker) {
	if w.missedPolls > 0 || !w.listed {
		c.expireLease(w)
	}
	if c.workers[w.ID] != w {
		return
	}
	c.reconcileRuns(w)
	c.forgetRestart(w)
	if (c.shuttingDown(w) || w.tainted() && !w.letsLeaseExpire()) && w.contacted && w.missedPolls == 0 {
		c.evictLasting(w)
	}
	c.requestFence(w)
	if !w.polling && !c.dormant(w) && !c.now.Before(c.nextPoll(w)) && c.flow.mayPoll(w.contacted, w.pollSentAt, c.now) {
		c.poll(w)
	}
}

// nextPoll returns when the worker is to be polled next.
func (c *Core) nextPoll(w *worker) time.Time {
	never := c.now.Add(time.Hour)
	switch {
	case !w.contacted || w.missedPolls > 0 || w.unverified:
		return w.nextPollAt
	case w.lastEndSeen > w.lastEndStored && c.writesFailing:
		return w.nextPollAt
	case w.moreEnds && c.mayAcknowledge(w):
		return w.nextPollAt
	case w.lastEndSeen > w.lastEndStored:
		// The next poll waits for the write, so that it acknowledges the ends, but not for
		// longer than pollWait.
		return latest(w.nextPollAt, w.pollSentAt.Add(pollWait))
	case w.busy() && w.lastEndStored > w.lastEndAcked && !c.mayAcknowledge(w) && !w.needsPromptPoll(c.now):
		// A worker with ends to report answers at once, whatever the wait.
		return latest(w.nextPollAt, w.polledAt.Add(pollRetry))
	case w.busy():
		return w.nextPollAt
	case c.mayAcknowledge(w):
		return latest(w.nextPollAt, w.idleSince.Add(ackDelay))
	}
	return never
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *Core) poll(w *worker) {
	o := platform.PollOrder{Fence: w.orderFence()}
	if c.mayAcknowledge(w) {
		o.LastAcked = w.lastAckable()
		c.raiseFence(w)
	}
	if w.contacted && w.missedPolls == 0 && !w.offRoster && !w.letsLeaseExpire() {
		// A silent worker's lease is not renewed, so that it expires. One that has left the roster has no runs.
		o.LeaseUntil = w.extendLease(c.now)
	}
	if w.contacted && w.missedPolls == 0 && w.lastEndSeen == w.lastEndStored && w.busy() && !w.needsPromptPoll(c.now) {
		o.Wait = c.pollWaitFor(w)
	}
	w.polling, w.pollWaits = true, o.Wait > 0
	if o.LeaseUntil > 0 {
		w.latePollUntil = latest(w.latePollUntil, c.now.Add(o.Wait+pollSlack+maxOrderDelay))
	}
	w.pollSentAt = c.now
	if w.contacted {
		c.flow.spend(pollBytes)
	} else {
		c.flow.spend(firstPollBytes)
	}
	c.emit(PollWorker{Worker: w.Worker, Order: o})
}

// pollWaitFor returns how long the worker may hold a poll. It is polled more often while its
// latency-sensitive tasks share it with best-effort tasks.
func (c *Core) pollWaitFor(w *worker) time.Duration {
	if w.shared() {
		return pacedPollWait
	}
	return pollWait
}

// apply handles the answer to a poll, or its failure.
func (e PollResult) apply(c *Core) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	w.polling = false
	switch {
	case errors.Is(e.Err, platform.ErrOtherIncarnation):
		c.removeWorker(w, "another incarnation answers at its address")
		return
	case e.Err != nil:
		w.missedPolls++
		w.nextPollAt = c.now.Add(c.pollPause(w))
		if w.missedPolls == 1 {
			c.emit(LogLine{What: "worker silent", Worker: w.ID, Why: e.Err.Error()})
			c.relistAfterSilence(w)
		}
		c.reconcileWorker(w)
		return
	case e.Rejection == platform.RejectedFenced && !c.overtaken(w, e.Fence):
		c.stepDownFenced()
		return
	case e.Rejection == platform.RejectedFenced:
		c.logOvertaken(w, "poll", e.Fence)
		w.nextPollAt = c.now
		c.reconcileWorker(w)
		return
	}
	if e.Poll.SharedConnection {
		c.emit(LogLine{What: whatConnectionShared, Worker: w.ID, Why: "another incarnation has answered on it before", Fields: []any{"answered_by", int64(e.Poll.Incarnation)}})
	}
	if !c.checkAnswerer(w, e.Poll.ReportedStart) {
		return
	}
	if !w.pollWaits {
		c.flow.noteResponse(w.pollSentAt, c.now)
	}
	news := w.missedPolls > 0 || !w.contacted || len(e.Poll.Ended) > 0 || len(w.orphans) > 0
	if w.missedPolls > 0 {
		c.emit(LogLine{What: "worker answers again", Worker: w.ID, Fields: []any{"looks", w.missedPolls}})
	}
	w.missedPolls, w.missedLists = 0, 0
	w.unverified = false
	if !w.contacted {
		c.noteContact(w, e.SentAt)
	}
	c.noteAnsweredFence(w, e.Fence)
	w.nextPollAt = c.now
	w.polledAt, w.answeredPollSentAt = c.now, e.SentAt
	w.noteClock(e.Poll.Clock, c.now)
	w.lastEndAcked = max(w.lastEndAcked, e.Acked)
	c.noteListedEnds(w, e.Poll)
	c.handleEnds(w, e.Poll.Ended)
	c.handleRunning(w, e.SentAt, e.Poll.Running)
	c.adjustPace(w)
	if w.needsPromptPoll(c.now) {
		w.nextPollAt = c.now.Add(w.settlePause())
	}
	if w.lastEndSeen > w.lastEndStored && c.writesFailing {
		w.nextPollAt = c.now.Add(pollRetry)
	}
	c.reconcileWorker(w)
	if news {
		c.replan(w.Service)
	}
}

// pollPause returns the pause after a poll without an answer. It doubles for a worker that is known by
// its record only, which may be by another writer to the store.
func (c *Core) pollPause(w *worker) time.Duration {
	if c.knownToExist(w) {
		return pollRetry
	}
	return min(pollRetry<<min(w.missedPolls-1, maxPollDoublings), maxPollPause)
}

// relistAfterSilence has the machine list read soon after a worker has fallen silent, as the list
// shows whether it crashed. If its machine has an order, silence is expected, and the list is not
// read more often than the link allows.
func (c *Core) relistAfterSilence(w *worker) {
	if m := c.machinesByName[w.Host]; m != nil && m.order != nil && m.order.recorded {
		c.listAt = earliest(c.listAt, c.now.Add(max(listAfterSilence, c.listGap())))
		return
	}
	c.silenceAt = c.now
	c.listAt = earliest(c.listAt, c.now.Add(listAfterSilence))
}

// handleRunning compares the reported runs with the known ones. Runs that were started after the
// poll was sent may be missing from the report, and runs whose ends are not listed yet as well.
func (c *Core) handleRunning(w *worker, sentAt time.Time, rows []platform.RunningRow) {
	reported := make(map[rawRunID]bool, len(rows))
	for _, v := range rows {
		reported[rawRunID{task: v.Task, number: v.Run}] = true
		k, ok := parseTaskKey(v.Task)
		if !ok {
			continue
		}
		r := w.findRun(k, v.Run)
		if r == nil {
			r = c.adopt(w, k, v)
		}
		if r != nil {
			c.updateRun(r, v)
		}
	}
	for _, r := range w.runs {
		if reported[rawRunID{task: r.task.key().String(), number: r.number}] || !r.sentAt.Before(sentAt) {
			continue
		}
		if w.moreEnds && !r.task.step.Lasting {
			c.endUnlisted(r, sentAt)
			continue
		}
		c.runMissing(r, sentAt)
	}
	for n := range w.orphans {
		if !reported[n] {
			w.dropOrphan(n)
		}
	}
}

// updateRun updates a run from its worker's report.
func (c *Core) updateRun(r *run, v platform.RunningRow) {
	r.startConfirmed, r.listed, r.absent, r.crashSuspect = true, true, false, false
	if r.phase == unconfirmed || r.phase == starting {
		if r.phase == unconfirmed {
			c.logRun(r, "start settled", "its worker lists the run", nil)
		}
		r.phase = running
		r.knownAt = c.now
	}
	if v.Percent != r.percent {
		r.percent = v.Percent
		r.progressAt = c.now
	}
	r.reportedAt = c.now
	r.level = v.Level
	c.checkProgress(r)
	c.clearCrashes(r)
	c.withdrawStop(r)
	t := r.task
	if v.Snapshot != "" && t.step.Checkpoints {
		t.snapshot, t.snapshotAt = v.Snapshot, c.now
	}
	if t.step.Lasting {
		t.ready = v.Percent >= 100 && r.phase == running
		if t.ready {
			t.unavailableSince = time.Time{}
		}
	}
	c.markStarted(t.step.instance.job)
}

// adopt takes over a run that an earlier owner started. A run that is no longer wanted becomes
// an orphan, and adopt returns nil.
func (c *Core) adopt(w *worker, k taskKey, v platform.RunningRow) *run {
	c.openListedInstance(k)
	t := c.task(k)
	wanted := t != nil && !t.done && (len(t.runs) == 0 || t.step.Speculative)
	if !wanted {
		id := rawRunID{task: v.Task, number: v.Run}
		if w.orphans[id] == nil {
			w.addOrphan(id, c.orphanOf(k))
			c.emit(LogLine{What: "run orphaned", Job: k.id, Task: v.Task, Run: v.Run, Worker: w.ID, Why: "its job or task is over, or it runs elsewhere"})
		}
		return nil
	}
	r := &run{number: v.Run, task: t, worker: w, phase: running, sentAt: c.now, knownAt: c.now, progressAt: c.now, pacing: pacing{pace: fullPace, paceRetryAt: c.now}, percent: v.Percent, adoptedPercent: v.Percent, startConfirmed: true, adopted: true}
	r.attach()
	c.emit(LogLine{What: "run adopted", Job: k.id, Task: v.Task, Run: v.Run, Worker: w.ID})
	return r
}

// orphanOf returns an orphaned run of the task, with its job and resources if they are known.
func (c *Core) orphanOf(k taskKey) *orphan {
	j := c.jobs[k.id]
	if j == nil || k.step >= len(j.Steps) {
		return &orphan{}
	}
	return &orphan{job: j, usage: j.Steps[k.step].Resources}
}

// runMissing handles a known run that the worker does not report.
func (c *Core) runMissing(r *run, sentAt time.Time) {
	switch r.phase {
	case running:
		if r.knownAt.Before(sentAt) {
			c.dropRun(r, lossUnlisted, "the worker does not list it")
		}
	case stopping:
		if r.stopConfirmed && r.knownAt.Before(sentAt) {
			c.dropRun(r, lossUnlisted, "stopped before it started")
		}
		r.absent = true
	case unconfirmed:
		// The start may still be carried out; only a stop settles it.
		r.absent = r.knownAt.Before(sentAt)
	case starting:
	}
}

// dropRun removes a run that was lost.
func (c *Core) dropRun(r *run, how loss, why string) {
	t := r.task
	c.logRun(r, "run gone", why, []any{"how", string(how), "lived_ms", r.knownAge().Milliseconds()})
	r.detach()
	r.worker.idleSince = c.now
	if t.step.Lasting {
		c.lastingEnded(t, r, platform.EndExpired)
	} else if !c.certainlyOwner() {
		t.lostAt = c.now
	}
	if t.step.Gang {
		c.stopGang(t.step, r.number)
	}
	c.confirmCrash(r)
	c.replan(r.worker.Service)
}
