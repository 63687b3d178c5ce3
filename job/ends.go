package job

import (
	"slices"

	"amberway/platform"
)

// handleEnds handles the reported ends that are new.
func (c *Core) handleEnds(w *worker, ends []platform.EndedRow) {
	unstored := w.lastEndSeen > w.lastEndStored
	for _, e := range ends {
		if e.Number <= w.lastEndSeen {
			continue
		}
		w.lastEndSeen = e.Number
		if e.End == platform.EndExpired {
			c.noteExpiry(w, e.Number)
		}
		if c.handleEnd(w, e) {
			unstored = true
		}
	}
	c.settleHold(w)
	if !unstored {
		w.markStored(w.lastEndSeen)
	} else if w.moreEnds && c.inFlight == nil && c.writeDueAt.IsZero() {
		// No job has anything to write, and the worker lists no other ends before the next write.
		c.writeDueAt = c.now.Add(writeDelay)
	}
}

// handleEnd handles one reported end. It reports whether the end has to be stored before the
// worker may forget it.
func (c *Core) handleEnd(w *worker, e platform.EndedRow) bool {
	id := rawRunID{task: e.Task, number: e.Run}
	w.dropOrphan(id)
	k, ok := parseTaskKey(e.Task)
	if !ok {
		return false
	}
	r := w.findRun(k, e.Run)
	c.openListedInstance(k)
	t := c.task(k)
	if r == nil && e.End == platform.EndDone && w.startedElsewhere(e, t) {
		c.taint(w, e)
		if t == nil || !t.idle() {
			// The run that goes on decides.
			return false
		}
	}
	delete(w.abandoned, id)
	if r != nil {
		r.detach()
		w.idleSince = c.now
	}
	if t == nil {
		return c.jobs[k.id] != nil
	}
	if e.Snapshot != "" && t.step.Checkpoints {
		t.snapshot, t.snapshotAt = e.Snapshot, c.now
	}
	c.emit(LogLine{What: "end", Job: k.id, Task: e.Task, Run: e.Run, Worker: w.ID, Why: string(e.End), Fields: []any{"number", e.Number}})
	c.recordOutcome(w, t, e.End)
	if t.step.Lasting {
		c.lastingEnded(t, r, e.End)
		return false
	}
	if e.End == platform.EndDone {
		c.taskDone(t, r)
		return true
	}
	if e.End == platform.EndFailed {
		c.taskFailed(t, e.Run)
		return true
	}
	if t.step.Gang {
		c.stopGang(t.step, e.Run)
	}
	return false
}

// task returns the task with the key if its job is active and its instance is not done.
func (c *Core) task(k taskKey) *task {
	j := c.active[k.id]
	if j == nil {
		return nil
	}
	n := j.instances[k.instance]
	if n == nil || k.step >= len(n.steps) || k.index >= len(n.steps[k.step].tasks) {
		return nil
	}
	return n.steps[k.step].tasks[k.index]
}

func (c *Core) taskDone(t *task, r *run) {
	n := t.step.instance
	j := n.job
	c.markStarted(j)
	c.markDirty(j)
	if r != nil {
		t.startedAt = r.sentAt
		t.doneAt = c.now
		t.doneOn = r.worker.ID
		c.recordRunTime(r)
	}
	if t.step.Gang {
		// One successful end counts for the whole gang.
		for _, o := range t.step.tasks {
			n.markDone(o)
		}
	} else {
		n.markDone(t)
	}
	for _, o := range t.runs {
		c.stop(o, "another copy has succeeded")
	}
	if t.step.remaining == 0 {
		// Steps that depend on this one may be unblocked.
		c.reorder(j.queue.Service)
	}
	if n.remaining == 0 {
		c.completeInstance(n)
		c.finishInstances(j)
	}
}

func (c *Core) taskFailed(t *task, run int64) {
	j := t.step.instance.job
	c.markStarted(j)
	c.markDirty(j)
	if t.step.Gang {
		// The members of a gang share their run numbers, and so their failures.
		t = t.step.tasks[0]
	}
	if t.done || slices.Contains(t.failedRuns, run) {
		return
	}
	t.failedRuns = append(t.failedRuns, run)
	if len(t.failedRuns) >= max(1, j.queue.Attempts) {
		c.finalise(j, platform.StateFailed, "task "+t.key().String()+" has failed as often as its queue allows")
	}
}

func (c *Core) markStarted(j *job) {
	j.started = true
	if j.state == platform.StateQueued {
		j.state = platform.StateRunning
	}
}
