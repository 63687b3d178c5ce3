package job

import "time"

// A lasting step says how many of its tasks may be away by the system's doing. Whatever ends
// a run of such a step asks mayEnd first, in the same step of time in which the order goes
// out: what was true when the end was decided on may not be any more.

const (
	// soundFor is how long a look speaks for a task's being at work. Looks come
	// each second; one without an answer is known as that after 1.7 s.
	soundFor = 1500 * time.Millisecond
	// freshLook is the longest that a look may have taken, and its answer be known, to
	// show that a run is not at work yet: less than the fastest tasks take to be, 0.3 s.
	freshLook = 150 * time.Millisecond
	// stopsEnd is the longest that a worker takes to end a run: until then it lists one that
	// it was told to stop.
	stopsEnd = 900 * time.Millisecond
	// slowLooksAfter is how long a run waits for such a look before a slower one will do.
	slowLooksAfter = time.Second
	// lateOrders is how much later than it was sent an order may be carried out that was not
	// answered.
	lateOrders = 12 * time.Second
)

// guarded reports whether only some of the step's tasks may be away.
func (s *step) guarded() bool {
	return s.Lasting && s.MayMiss > 0
}

// mayEnd reports whether an order to end the run may go out now: no more tasks of its step
// are away then than it bears, or the run is not at work in any case.
func (c *Core) mayEnd(r *run) bool {
	s := r.task.of
	if !s.guarded() || s.of.job.state.Final() {
		return true
	}
	return s.bearsAnother(r.task, c.now) || r.notAtWork(c.now)
}

// bearsAnother reports whether the step bears that the task is away beside those that may be.
func (s *step) bearsAnother(t *task, now time.Time) bool {
	return len(s.awayBeside(t, now)) < s.MayMiss
}

// awayBeside returns the numbers of the step's tasks but one that are not known to be at
// work.
func (s *step) awayBeside(t *task, now time.Time) []int {
	var l []int
	for _, o := range s.tasks {
		if o != t && !o.sound(now) {
			l = append(l, o.index)
		}
	}
	return l
}

// sound reports whether a lasting task is at work, by what its worker has said
// of late.
func (t *task) sound(now time.Time) bool {
	if !t.atWork {
		return false
	}
	for _, r := range t.runs {
		if !r.at.looked(now) || r.mayBeStopping() || now.Before(r.stopDoubtedUntil) {
			return false
		}
	}
	return true
}

// looked reports whether the worker has answered a look of late, and each one since.
func (w *worker) looked(now time.Time) bool {
	return w.silent == 0 && now.Sub(w.lookedAt) <= soundFor
}

// mayBeStopping reports whether the run, which an earlier owner started, may be listed only
// because its stop is under way: its worker took orders of that owner until it first answered
// this one.
func (r *run) mayBeStopping() bool {
	return r.adopted && r.at.askedAt.Before(r.sentAt.Add(stopsEnd))
}

// notAtWork reports whether the run is known not to be at work at this moment. The age of a
// run does not tell: where its start was carried out late, or looks came late, a run may be
// at work by now that the last look showed on its way.
func (r *run) notAtWork(now time.Time) bool {
	if !r.absent && !r.stuck(now) || now.Sub(r.at.lookedAt) > freshLook {
		return false
	}
	return now.Sub(r.at.askedAt) <= freshLook || r.waitedForLook(now)
}

// waitedForLook reports whether the run has waited for a fast look for so long that one which
// has just been answered will do. Where no look is fast, tasks of one step would wait for one
// another without end.
func (r *run) waitedForLook(now time.Time) bool {
	since := r.knownAt
	switch {
	case r.phase == stopping:
		since = r.stopAt
	case !r.absent:
		since = r.movedAt.Add(warmUp)
	}
	return now.Sub(since) > slowLooksAfter
}

// stuck reports whether the run was on its way to be at work by the last look, and has
// made no progress for longer than that takes.
func (r *run) stuck(now time.Time) bool {
	return r.listed && r.percent < 100 && now.Sub(r.movedAt) > warmUp
}

// unsettled reports whether a look is to tell at once how a lasting run stands: whether its
// start was carried out or, where too many others are away, whether it is at work.
func (w *worker) unsettled(now time.Time) bool {
	return w.anyGuarded(func(r *run) bool { return r.awaitsLook(now) })
}

// unsure reports whether a start of a guarded run has not been settled.
func (w *worker) unsure() bool {
	return w.anyGuarded(func(r *run) bool { return r.phase == unsure })
}

// anyGuarded reports whether the function holds for a guarded run on the worker.
func (w *worker) anyGuarded(f func(*run) bool) bool {
	for _, r := range w.runs {
		if r.task.of.guarded() && f(r) {
			return true
		}
	}
	return false
}

// awaitsLook reports whether only a fresh look lets an order to stop the run go out, or a
// start be settled.
func (r *run) awaitsLook(now time.Time) bool {
	switch {
	case r.phase == unsure && !r.absent:
		return true
	case r.phase == unsure, r.phase == stopping && !r.stopped, r.stuck(now):
		return !r.task.of.bearsAnother(r.task, now)
	}
	return false
}

// settlePause returns how long after an answer a worker is looked at again to settle a run: a
// link that holds looks up is not to carry nothing else.
func (w *worker) settlePause() time.Duration {
	return max(settleLook, w.lookedAt.Sub(w.askedAt))
}

// takeStopBack lets a run go on that is at work although its stop was decided, and whose end
// has to wait for others. Two such stops would wait for one another without end.
func (c *Core) takeStopBack(r *run) {
	if r.phase != stopping || r.stopped || r.stopSent || r.percent < 100 || c.mayEnd(r) {
		return
	}
	r.phase = running
	r.stopHeld = false
	r.stopDoubtedUntil = c.now.Add(lateOrders)
	c.noteRun(r, "stop taken back", "it is at work, and others of its step are away", c.stopInputs(r))
}

// stopInputs are the figures that decide whether a lasting run may be stopped: which others
// of its step are away, for how long at most, and by how old a look the run itself is known.
func (c *Core) stopInputs(r *run) []any {
	s := r.task.of
	if !s.guarded() {
		return nil
	}
	away := s.awayBeside(r.task, c.now)
	var longest time.Duration
	for _, x := range away {
		if o := s.tasks[x]; !o.awaySince.IsZero() {
			longest = max(longest, c.now.Sub(o.awaySince))
		}
	}
	return []any{
		"away", len(away), "away_tasks", away, "away_ms", longest.Milliseconds(), "may_miss", s.MayMiss,
		"percent", r.percent, "at_work", r.task.atWork, "look_ms", c.now.Sub(r.at.lookedAt).Milliseconds(), "age_ms", c.now.Sub(r.sentAt).Milliseconds(),
	}
}

// holdStop logs, once for a run, that its stop waits for others of its step.
func (c *Core) holdStop(r *run) {
	if r.stopHeld {
		return
	}
	r.stopHeld = true
	c.noteRun(r, "stop held back", "as many others of its step are away as it bears", c.stopInputs(r))
}
