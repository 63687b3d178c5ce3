package job

import (
	"time"

	"amberway/platform"
)

// Pauses before a lasting task that ended by itself starts again.
const (
	// longRunRestartDelay follows a run that was at work for a while.
	longRunRestartDelay = 20 * time.Millisecond
	// shortRunRestartDelay follows one that ended soon after its start, so that a task
	// which always fails does not take all starts. The pages allow three
	// seconds.
	shortRunRestartDelay = 600 * time.Millisecond
	// shortRun is the longest run that counts as ended soon.
	shortRun = 2 * time.Second
)

// lastingEnded notes that a run of a lasting task is over, so that the task
// waits to be started again.
func (c *Core) lastingEnded(t *task, r *run, how platform.End) {
	t.ready = false
	if t.unavailableSince.IsZero() {
		t.unavailableSince = c.now
	}
	if r != nil && (how == platform.EndFailed || how == platform.EndDone) {
		t.notBefore = c.now.Add(c.restartDelay(r))
	}
	c.replan(t.of.of.job.queue.Service)
}

func (c *Core) restartDelay(r *run) time.Duration {
	if c.now.Sub(r.sentAt) < shortRun {
		return shortRunRestartDelay
	}
	return longRunRestartDelay
}

// evacuate ends the lasting runs on a worker that is to be emptied, as far as
// their steps bear it now. It reports whether none is left.
func (c *Core) evacuate(w *worker) bool {
	if c.now.Before(c.evacuateFrom) {
		return !w.hasLasting()
	}
	empty := true
	for _, r := range w.runs {
		if !r.task.of.Lasting {
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
		c.stop(r, "its worker is to be emptied")
	}
	return empty
}

// roomElsewhere reports whether the task can go on at another worker at once.
func (c *Core) roomElsewhere(w *worker, t *task) bool {
	for _, o := range c.pools[w.Service] {
		if o != w && o.acceptsStarts(c.now) && c.allowed(o, t.of) {
			return true
		}
	}
	return false
}
