package job

import (
	"time"

	"amberway/platform"
)

// Delays before a lasting task whose run ended by itself starts again.
const (
	// longRunRestartDelay applies after a run that went on for at least shortRun.
	longRunRestartDelay = 20 * time.Millisecond
	// shortRunRestartDelay applies after a shorter run, so that a task which always fails does
	// not use up all starts. The platform allows three seconds until the restart.
	shortRunRestartDelay = 600 * time.Millisecond
	// shortRun is the time below which a run counts as short.
	shortRun = 2 * time.Second
)

// lastingEnded marks a lasting task as unavailable after the end of a run, and has it placed
// again.
func (c *Core) lastingEnded(t *task, r *run, how platform.End) {
	t.ready = false
	if t.unavailableSince.IsZero() {
		t.unavailableSince = c.now
	}
	if r != nil && (how == platform.EndFailed || how == platform.EndDone) {
		t.notBefore = c.now.Add(c.restartDelay(r))
	}
	c.replan(t.step.instance.job.queue.Service)
}

func (c *Core) restartDelay(r *run) time.Duration {
	if c.now.Sub(r.sentAt) < shortRun {
		return shortRunRestartDelay
	}
	return longRunRestartDelay
}

// evictLasting stops the lasting runs on a worker that is being drained, as far as the disruption
// budgets of their steps allow it now. It reports whether there are none left.
func (c *Core) evictLasting(w *worker) bool {
	if c.now.Before(c.evictFrom) {
		return !w.hasLasting()
	}
	empty := true
	for _, r := range w.runs {
		if !r.task.step.Lasting {
			continue
		}
		empty = false
		if r.phase != running || !c.roomElsewhere(w, r.task) {
			continue
		}
		if !c.mayStop(r) {
			c.deferStop(r)
			continue
		}
		c.stop(r, "its worker is being drained")
		w.evictedAt = c.now
	}
	return empty
}

// roomElsewhere reports whether the task could start on another worker at once. Its queue may be sent
// to another service than that of the worker.
func (c *Core) roomElsewhere(w *worker, t *task) bool {
	for _, o := range c.pools[t.step.instance.job.queue.Service] {
		if o != w && o.acceptsStarts(c.now) && c.allowed(o, t.step) {
			return true
		}
	}
	return false
}

// stopLasting stops the lasting runs on a worker although no other worker has room for their tasks,
// as far as the disruption budgets of their steps allow it now. The tasks wait for a worker.
func (c *Core) stopLasting(w *worker, why string) {
	for _, r := range w.runs {
		if r.task.step.Lasting && r.phase == running && c.mayStop(r) {
			c.stop(r, why)
		}
	}
}
