package job

import "time"

// A lasting step says how many of its tasks may be away by the system's doing. Whatever ends
// a run of such a step asks mayEnd first, in the same step of time in which the order goes
// out: what was true when the end was decided on may not be any more.

const (
	// pollFreshFor is how long a look speaks for a task's being at work. Looks come
	// each second; one without an answer is known as that after 1.7 s.
	pollFreshFor = 1500 * time.Millisecond
	// promptPoll is the longest that a look may have taken, and its answer be known, to
	// show that a run is not at work yet: less than the fastest tasks take to be, 0.3 s.
	promptPoll = 150 * time.Millisecond
	// maxStopTime is the longest that a worker takes to end a run: until then it lists one that
	// it was told to stop.
	maxStopTime = 900 * time.Millisecond
	// slowPollAfter is how long a run waits for such a look before a slower one will do.
	slowPollAfter = time.Second
	// maxOrderDelay is how much later than it was sent an order may be carried out that was not
	// answered.
	maxOrderDelay = 12 * time.Second
)

// hasDisruptionBudget reports whether only some of the step's tasks may be away.
func (s *step) hasDisruptionBudget() bool {
	return s.Lasting && s.MaxUnavailable > 0
}

// mayStop reports whether an order to end the run may go out now: no more tasks of its step
// are away then than it bears, or the run is not at work in any case.
func (c *Core) mayStop(r *run) bool {
	s := r.task.of
	if !s.hasDisruptionBudget() || s.of.job.state.Final() {
		return true
	}
	return s.allowsDisruption(r.task, c.now) || r.confirmedUnready(c.now)
}

// allowsDisruption reports whether the step bears that the task is away beside those that may be.
func (s *step) allowsDisruption(t *task, now time.Time) bool {
	return len(s.othersUnavailable(t, now)) < s.MaxUnavailable
}

// othersUnavailable returns the numbers of the step's tasks but one that are not known to be at
// work.
func (s *step) othersUnavailable(t *task, now time.Time) []int {
	var l []int
	for _, o := range s.tasks {
		if o != t && !o.confirmedReady(now) {
			l = append(l, o.index)
		}
	}
	return l
}

// confirmedReady reports whether a lasting task is at work, by what its worker has said
// of late.
func (t *task) confirmedReady(now time.Time) bool {
	if !t.ready {
		return false
	}
	for _, r := range t.runs {
		if !r.at.recentlyPolled(now) || r.mayBeStopping() || now.Before(r.lateStopUntil) {
			return false
		}
	}
	return true
}

// recentlyPolled reports whether the worker has answered a look of late, and each one since.
func (w *worker) recentlyPolled(now time.Time) bool {
	return w.missedPolls == 0 && now.Sub(w.polledAt) <= pollFreshFor
}

// mayBeStopping reports whether the run, which an earlier owner started, may be listed only
// because its stop is under way: its worker took orders of that owner until it first answered
// this one.
func (r *run) mayBeStopping() bool {
	return r.adopted && r.at.answeredPollSentAt.Before(r.sentAt.Add(maxStopTime))
}

// confirmedUnready reports whether the run is known not to be at work at this moment. The age of a
// run does not tell: where its start was carried out late, or looks came late, a run may be
// at work by now that the last look showed on its way.
func (r *run) confirmedUnready(now time.Time) bool {
	if !r.absent && !r.stuck(now) || now.Sub(r.at.polledAt) > promptPoll {
		return false
	}
	return now.Sub(r.at.answeredPollSentAt) <= promptPoll || r.waitedForPoll(now)
}

// waitedForPoll reports whether the run has waited for a fast look for so long that one which
// has just been answered will do. Where no look is fast, tasks of one step would wait for one
// another without end.
func (r *run) waitedForPoll(now time.Time) bool {
	since := r.knownAt
	switch {
	case r.phase == stopping:
		since = r.stopAt
	case !r.absent:
		since = r.progressAt.Add(warmUp)
	}
	return now.Sub(since) > slowPollAfter
}

// stuck reports whether the run was on its way to be at work by the last look, and has
// made no progress for longer than that takes.
func (r *run) stuck(now time.Time) bool {
	return r.listed && r.percent < 100 && now.Sub(r.progressAt) > warmUp
}

// needsPromptPoll reports whether a look is to tell at once how a lasting run stands: whether its
// start was carried out or, where too many others are away, whether it is at work.
func (w *worker) needsPromptPoll(now time.Time) bool {
	return w.anyBudgeted(func(r *run) bool { return r.awaitsPoll(now) })
}

// hasUnconfirmedStart reports whether a start of a guarded run has not been settled.
func (w *worker) hasUnconfirmedStart() bool {
	return w.anyBudgeted(func(r *run) bool { return r.phase == unconfirmed })
}

// anyBudgeted reports whether the function holds for a guarded run on the worker.
func (w *worker) anyBudgeted(f func(*run) bool) bool {
	for _, r := range w.runs {
		if r.task.of.hasDisruptionBudget() && f(r) {
			return true
		}
	}
	return false
}

// awaitsPoll reports whether only a fresh look lets an order to stop the run go out, or a
// start be settled.
func (r *run) awaitsPoll(now time.Time) bool {
	switch {
	case r.phase == unconfirmed && !r.absent:
		return true
	case r.phase == unconfirmed, r.phase == stopping && !r.stopConfirmed, r.stuck(now):
		return !r.task.of.allowsDisruption(r.task, now)
	}
	return false
}

// settlePause returns how long after an answer a worker is looked at again to settle a run: a
// link that holds looks up is not to carry nothing else.
func (w *worker) settlePause() time.Duration {
	return max(settlePoll, w.polledAt.Sub(w.answeredPollSentAt))
}

// withdrawStop lets a run go on that is at work although its stop was decided, and whose end
// has to wait for others. Two such stops would wait for one another without end.
func (c *Core) withdrawStop(r *run) {
	if r.phase != stopping || r.stopConfirmed || r.stopPending || r.percent < 100 || c.mayStop(r) {
		return
	}
	r.phase = running
	r.stopDeferred = false
	r.lateStopUntil = c.now.Add(maxOrderDelay)
	c.noteRun(r, "stop taken back", "it is at work, and others of its step are away", c.stopInputs(r))
}

// stopInputs are the figures that decide whether a lasting run may be stopped: which others
// of its step are away, for how long at most, and by how old a look the run itself is known.
func (c *Core) stopInputs(r *run) []any {
	s := r.task.of
	if !s.hasDisruptionBudget() {
		return nil
	}
	away := s.othersUnavailable(r.task, c.now)
	var longest time.Duration
	for _, x := range away {
		if o := s.tasks[x]; !o.unavailableSince.IsZero() {
			longest = max(longest, c.now.Sub(o.unavailableSince))
		}
	}
	return []any{
		"away", len(away), "away_tasks", away, "away_ms", longest.Milliseconds(), "may_miss", s.MaxUnavailable,
		"percent", r.percent, "at_work", r.task.ready, "look_ms", c.now.Sub(r.at.polledAt).Milliseconds(), "age_ms", c.now.Sub(r.sentAt).Milliseconds(),
	}
}

// deferStop logs, once for a run, that its stop waits for others of its step.
func (c *Core) deferStop(r *run) {
	if r.stopDeferred {
		return
	}
	r.stopDeferred = true
	c.noteRun(r, "stop held back", "as many others of its step are away as it bears", c.stopInputs(r))
}
