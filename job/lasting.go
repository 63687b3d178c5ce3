package job

import (
	"time"

	"amberway/platform"
)

// Pauses before a lasting task that ended by itself starts again.
const (
	// restartSoon follows a run that was at work for a while.
	restartSoon = 20 * time.Millisecond
	// restartLater follows one that ended soon after its start, so that a task
	// which always fails does not take all starts. The pages allow three
	// seconds.
	restartLater = 600 * time.Millisecond
	// soundFor is how long a look speaks for a task's being at work. Looks come
	// each second; one without an answer is known as that after 1.7 s.
	soundFor = 1500 * time.Millisecond
	// shortRun is the longest run that counts as ended soon.
	shortRun = 2 * time.Second
)

// lastingEnded notes that a run of a lasting task is over, so that the task
// waits to be started again.
func (c *Core) lastingEnded(t *task, r *run, how platform.End) {
	t.atWork = false
	if t.awaySince.IsZero() {
		t.awaySince = c.now
	}
	if r != nil && (how == platform.EndFailed || how == platform.EndDone) {
		t.notBefore = c.now.Add(c.restartPause(r))
	}
	c.replan(t.of.of.job.queue.Service)
}

func (c *Core) restartPause(r *run) time.Duration {
	if c.now.Sub(r.sentAt) < shortRun {
		return restartLater
	}
	return restartSoon
}

// mayTake reports whether a lasting run may be ended by the system without
// more tasks of its step being away than it bears.
func (t *task) mayTake(now time.Time) bool {
	s := t.of
	if !s.Lasting || s.MayMiss == 0 || t.neverAtWork(now) {
		return true
	}
	away := 0
	for _, o := range s.tasks {
		if o != t && !o.sound(now) {
			away++
		}
	}
	return away < s.MayMiss
}

// stopInputs are the figures that decide whether a lasting run may be stopped: which others
// of its step are away, for how long at most, and by how old a look the run itself is known.
func (c *Core) stopInputs(r *run) []any {
	s := r.task.of
	if !s.Lasting || s.MayMiss == 0 {
		return nil
	}
	var away []int
	var longest time.Duration
	for _, o := range s.tasks {
		if o == r.task || o.sound(c.now) {
			continue
		}
		away = append(away, o.index)
		if !o.awaySince.IsZero() {
			longest = max(longest, c.now.Sub(o.awaySince))
		}
	}
	return []any{
		"away", len(away), "away_tasks", away, "away_ms", longest.Milliseconds(), "may_miss", s.MayMiss,
		"percent", r.percent, "at_work", r.task.atWork, "look_ms", c.now.Sub(r.at.lookedAt).Milliseconds(), "age_ms", c.now.Sub(r.sentAt).Milliseconds(),
	}
}

// neverAtWork reports whether the task's run has had its time to be at work and
// is not. One that began of late may be by now, whatever the last look said.
func (t *task) neverAtWork(now time.Time) bool {
	if t.atWork {
		return false
	}
	for _, r := range t.runs {
		if now.Sub(r.sentAt) < warmUp {
			return false
		}
	}
	return true
}

// sound reports whether a lasting task is at work, by what its worker has said
// of late.
func (t *task) sound(now time.Time) bool {
	if !t.atWork {
		return false
	}
	for _, r := range t.runs {
		if r.at.silent > 0 || now.Sub(r.at.lookedAt) > soundFor {
			return false
		}
	}
	return true
}

// evacuate ends the lasting runs on a worker that is to be emptied, as far as
// their steps bear it now. It reports whether none is left.
func (c *Core) evacuate(w *worker) bool {
	if c.now.Before(c.evacuateAt) {
		return !w.lasting()
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
		if !r.task.mayTake(c.now) {
			c.holdStop(r)
			continue
		}
		c.stop(r, "its worker is to be emptied")
	}
	return empty
}

// holdStop logs, once for a run, that its stop waits for others of its step.
func (c *Core) holdStop(r *run) {
	if r.stopHeld {
		return
	}
	r.stopHeld = true
	t := r.task
	c.do(Note{What: "stop held back", Job: t.of.of.job.id, Task: t.key().String(), Run: r.number, Worker: r.at.ID, Why: "as many others of its step are away as it bears", Inputs: c.stopInputs(r)})
}

// roomElsewhere reports whether the task can go on at another worker at once.
func (c *Core) roomElsewhere(w *worker, t *task) bool {
	for _, o := range c.pools[w.Service] {
		if o != w && o.takes(c.now) && c.allowed(o, t.of) {
			return true
		}
	}
	return false
}
