package job

import "time"

// A lasting step may limit how many of its tasks the system makes unavailable at once: its
// disruption budget. Whatever stops a run of such a step calls mayStop first, in the same
// event in which the order is sent, as the budget may have been used up since the stop was
// decided.

const (
	// pollFreshFor is how long the answer to a poll proves that a task is ready. Workers are
	// polled each second; a poll without an answer counts as missed after 1.7 s.
	pollFreshFor = 1500 * time.Millisecond
	// promptPoll is the longest time that a poll may have taken, and the greatest age of its
	// answer, for it to prove that a run is not ready yet. The fastest tasks take 0.3 s to
	// become ready.
	promptPoll = 150 * time.Millisecond
	// maxStopTime is the longest time that a worker takes to stop a run. Until then it goes on
	// listing it.
	maxStopTime = 900 * time.Millisecond
	// slowPollAfter is how long a run waits for a prompt poll before a slower one is accepted.
	slowPollAfter = time.Second
	// maxOrderDelay is the longest delay with which an order that was not answered may be
	// carried out.
	maxOrderDelay = 12 * time.Second
)

// hasDisruptionBudget reports whether only some of the step's tasks may be unavailable.
func (s *step) hasDisruptionBudget() bool {
	return s.Lasting && s.MaxUnavailable > 0
}

// mayStop reports whether a stop of the run may be ordered now: the disruption budget of its
// step allows it, or the run is not ready anyway.
func (c *Core) mayStop(r *run) bool {
	s := r.task.step
	if !s.hasDisruptionBudget() || s.instance.job.state.Final() {
		return true
	}
	return s.allowsDisruption(r.task, c.now) || r.confirmedUnready(c.now)
}

// allowsDisruption reports whether the step's budget allows the task to become unavailable.
func (s *step) allowsDisruption(t *task, now time.Time) bool {
	return len(s.othersUnavailable(t, now)) < s.MaxUnavailable
}

// othersUnavailable returns the indexes of the step's tasks, except t, that are not known to be
// ready.
func (s *step) othersUnavailable(t *task, now time.Time) []int {
	var l []int
	for _, o := range s.tasks {
		if o != t && !o.confirmedReady(now) {
			l = append(l, o.index)
		}
	}
	return l
}

// confirmedReady reports whether a lasting task is ready by a recent answer of its worker.
func (t *task) confirmedReady(now time.Time) bool {
	if !t.ready {
		return false
	}
	for _, r := range t.runs {
		if !r.worker.recentlyPolled(now) || r.mayBeStopping() || now.Before(r.lateStopUntil) {
			return false
		}
	}
	return true
}

// recentlyPolled reports whether the worker has recently answered a poll, and missed none since.
func (w *worker) recentlyPolled(now time.Time) bool {
	return w.missedPolls == 0 && now.Sub(w.polledAt) <= pollFreshFor
}

// mayBeStopping reports whether an adopted run may be listed only because the stop ordered by
// an earlier owner is still in progress: its worker accepted that owner's orders until it
// first answered this one.
func (r *run) mayBeStopping() bool {
	return r.adopted && r.worker.answeredPollSentAt.Before(r.sentAt.Add(maxStopTime))
}

// confirmedUnready reports whether the run is known not to be ready at this moment. The age of
// the run does not prove it: if its start was carried out late or polls were slow, a run that
// was warming up at the last poll may be ready by now.
func (r *run) confirmedUnready(now time.Time) bool {
	if !r.absent && !r.stuck(now) || now.Sub(r.worker.polledAt) > promptPoll {
		return false
	}
	return now.Sub(r.worker.answeredPollSentAt) <= promptPoll || r.waitedForPoll(now)
}

// waitedForPoll reports whether the run has waited for a prompt poll for so long that a slow one
// whose answer has just come will do. Where no poll is prompt, tasks of one step would
// otherwise wait for one another forever.
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

// stuck reports whether the run was still warming up at the last poll and has made no progress
// for longer than any warm-up takes.
func (r *run) stuck(now time.Time) bool {
	return r.listed && r.percent < 100 && now.Sub(r.progressAt) > warmUp
}

// needsPromptPoll reports whether the worker is to be polled at once to settle the state of a
// lasting run: whether its start was carried out or, if its step's budget is used up, whether
// it is ready.
func (w *worker) needsPromptPoll(now time.Time) bool {
	return w.anyBudgeted(func(r *run) bool { return r.awaitsPoll(now) })
}

// anyBudgeted reports whether f holds for a run on the worker whose step has a disruption
// budget.
func (w *worker) anyBudgeted(f func(*run) bool) bool {
	for _, r := range w.runs {
		if r.task.step.hasDisruptionBudget() && f(r) {
			return true
		}
	}
	return false
}

// awaitsPoll reports whether only a new poll allows an order to stop the run, or settles its
// start.
func (r *run) awaitsPoll(now time.Time) bool {
	switch {
	case r.phase == unconfirmed && !r.absent:
		return true
	case r.phase == unconfirmed, r.phase == stopping && !r.stopConfirmed, r.stuck(now):
		return !r.task.step.allowsDisruption(r.task, now)
	}
	return false
}

// settlePause returns how long after an answer the worker is polled again to settle a run. It is
// at least as long as the last poll took, so that polls do not use up a slow link.
func (w *worker) settlePause() time.Duration {
	return max(settlePoll, w.polledAt.Sub(w.answeredPollSentAt))
}

// withdrawStop lets a run that is ready go on although its stop was decided, as long as the
// budget of its step forbids the stop. Two such stops would otherwise wait for one another
// forever.
func (c *Core) withdrawStop(r *run) {
	if r.phase != stopping || r.stopConfirmed || r.stopPending || r.percent < 100 || c.mayStop(r) {
		return
	}
	r.phase = running
	r.stopDeferred = false
	r.lateStopUntil = c.now.Add(maxOrderDelay)
	c.logRun(r, "stop withdrawn", "it is ready, and the disruption budget of its step is used up", c.stopInputs(r))
}

// stopInputs returns the log fields that explain whether a lasting run may be stopped: which
// others of its step are unavailable and since when, and how old the last poll of the run is.
func (c *Core) stopInputs(r *run) []any {
	s := r.task.step
	if !s.hasDisruptionBudget() {
		return nil
	}
	unavailable := s.othersUnavailable(r.task, c.now)
	var longest time.Duration
	for _, x := range unavailable {
		if o := s.tasks[x]; !o.unavailableSince.IsZero() {
			longest = max(longest, c.now.Sub(o.unavailableSince))
		}
	}
	return []any{
		"away", len(unavailable), "away_tasks", unavailable, "away_ms", longest.Milliseconds(), "may_miss", s.MaxUnavailable,
		"percent", r.percent, "at_work", r.task.ready, "look_ms", c.now.Sub(r.worker.polledAt).Milliseconds(), "age_ms", c.now.Sub(r.sentAt).Milliseconds(),
	}
}

// deferStop logs, once for each run, that its stop waits for other tasks of its step.
func (c *Core) deferStop(r *run) {
	if r.stopDeferred {
		return
	}
	r.stopDeferred = true
	c.logRun(r, "stop deferred", "the disruption budget of its step is used up", c.stopInputs(r))
}
