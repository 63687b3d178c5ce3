package job

import (
	"slices"
	"time"

	"amberway/platform"
)

// A task may crash each worker that starts it. Such a worker reports no end, so the cause has
// to be inferred from what ran there. Each start of such a task costs a worker for seconds, and
// the work of all tasks beside it: without a limit one task took down a pool of eleven workers,
// one every 0.15 s. The crash counts are kept in the store, as the next owner would otherwise
// start from zero.

// Limits for attributing crashes to tasks.
const (
	// startupWindow is how long after its start a run is a prime suspect of a crash. Tasks that
	// crash their workers do so within a hundredth of a second, and a worker that runs anything
	// answers each second or sooner.
	startupWindow = 500 * time.Millisecond
	// stableAfter is how long a run has to go on for its task's crash count to be reset. Hosts
	// fail now and then: a task that lasts for weeks sees many crashes that it did not cause.
	stableAfter = 10 * time.Second
	// isolateFrom is the number of crashes from which a task is isolated: it starts only once
	// the store holds its count, on the worker with the lowest load, and nothing else starts
	// there for startupWindow, so that its next crash has no other suspect.
	isolateFrom = 2
	// crashLimit is how many crashes fail a task if all suspects of the last one were of its
	// job, crashLimitShared how many fail it otherwise. Up to two more starts are acceptable
	// after the third crash; a crash that an owner did not store before it ended is not counted.
	crashLimit       = 3
	crashLimitShared = 4
	// crashLimitUnconfirmed is the limit of a task that is known to have started on fewer than
	// minConfirmedCrashes of the crashed workers. A start whose answer was lost may not have
	// been carried out, and no job may fail for fewer than two crashes.
	crashLimitUnconfirmed = 5
	minConfirmedCrashes   = 2
	// crashBackoff is how long a lasting task waits after crashLimit crashes. Each further crash
	// doubles it, up to maxCrashBackoff.
	crashBackoff    = 4 * time.Second
	maxCrashBackoff = time.Minute
)

// crashes counts the workers that crashed with a task among the suspects.
type crashes struct {
	// All includes crashes of workers on which the task may not have started, Confirmed only
	// the others.
	All       int `json:"a"`
	Confirmed int `json:"s,omitempty"`
}

// limit returns how many crashes fail the task.
func (n crashes) limit(alone bool) int {
	switch {
	case n.Confirmed < minConfirmedCrashes:
		return crashLimitUnconfirmed
	case alone:
		return crashLimit
	}
	return crashLimitShared
}

// backoff returns how long a lasting task waits before it starts again.
func (n crashes) backoff() time.Duration {
	if n.All < crashLimit {
		return 0
	}
	return min(crashBackoff<<min(n.All-crashLimit, maxBackoffDoublings), maxCrashBackoff)
}

// maxBackoffDoublings keeps the backoff from overflowing.
const maxBackoffDoublings = 8

// suspects returns the runs that may have crashed the worker: those that are not known to have
// been running for startupWindow or, if there are none, for stableAfter. A worker that is
// silent beyond its lease may not have crashed.
func (w *worker) suspects(how loss) []*run {
	if how != lossCrash {
		return nil
	}
	if l := w.youngerThan(startupWindow); len(l) > 0 {
		return l
	}
	return w.youngerThan(stableAfter)
}

// youngerThan returns the runs that are not known to have been running for d, except those for
// which a crash was counted already.
func (w *worker) youngerThan(d time.Duration) []*run {
	var l []*run
	for _, r := range w.runs {
		if r.knownAge() < d && !r.crashCounted {
			l = append(l, r)
		}
	}
	return l
}

// attributeCrash counts a crash against the tasks of the runs, which have been dropped. Runs
// that were reassigned to the next incarnation only become suspects: if it runs them, they had
// not started before the crash.
func (c *Core) attributeCrash(suspects []*run) {
	alone := true
	for _, r := range suspects {
		alone = alone && r.task.step.instance.job == suspects[0].task.step.instance.job
	}
	for _, r := range suspects {
		switch {
		case r.crashCounted:
		case slices.Contains(r.worker.runs, r):
			r.crashSuspect, r.soleCrashSuspect = true, alone
		default:
			c.countCrash(r, alone)
		}
	}
}

// confirmCrash counts the crash of which the run is a suspect, as no later incarnation ran it.
func (c *Core) confirmCrash(r *run) {
	if r.crashSuspect && !r.crashCounted {
		c.countCrash(r, r.soleCrashSuspect)
	}
}

// countCrash counts a crash against the run's task, and fails its job after too many.
func (c *Core) countCrash(r *run, alone bool) {
	t := r.task
	j := t.step.instance.job
	if t.done || j.state.Final() {
		return
	}
	t.crashes.All++
	r.crashCounted = true
	if r.startConfirmed {
		t.crashes.Confirmed++
	}
	c.crashesChanged(j)
	c.logRun(r, "crash counted", "", []any{
		"crashes", t.crashes.All, "begun_at", t.crashes.Confirmed, "alone", alone, "lived_ms", r.knownAge().Milliseconds(),
	})
	// Hosts that crash one after the other may hit a lasting task again and again. To fail its
	// job would stop all of its ready tasks, so the task is started less often instead.
	if t.step.Lasting {
		t.notBefore = latest(t.notBefore, c.now.Add(t.crashes.backoff()))
		return
	}
	if t.crashes.All >= t.crashes.limit(alone) {
		c.finalise(j, platform.StateFailed, "workers crashed under task "+t.key().String()+" too often")
	}
}

// clearCrashes resets the crash count of the run's task once the run has gone on for
// stableAfter.
func (c *Core) clearCrashes(r *run) {
	t := r.task
	if t.crashes.All == 0 || r.knownAge() < stableAfter {
		return
	}
	t.crashes = crashes{}
	c.crashesChanged(t.step.instance.job)
}

// crashesChanged has the job's crash counts written to the store at once. Its isolated tasks
// start again only after that.
func (c *Core) crashesChanged(j *job) {
	j.crashVersion++
	c.markDirty(j)
	c.writeUrgent = true
}

// isolated reports whether so many workers have crashed under the task that its next start is
// to show whether it is the cause.
func (t *task) isolated() bool {
	return t.crashes.All >= isolateFrom
}

// mayStart reports whether the task may be started now, given a worker with room. An isolated
// task waits until the store holds its crash count: a count in the memory of one owner only
// would let the next owner start from zero. A task that was lost waits until it is certain that
// no other owner had noted its successful end before the loss.
func (c *Core) mayStart(t *task) bool {
	if c.now.Before(t.notBefore) || c.ownedUntil.Before(t.lostAt) {
		return false
	}
	j := t.step.instance.job
	return !t.isolated() || j.crashVersion == j.storedCrashVersion
}

// isolate blocks other starts on the worker for startupWindow if the task is isolated.
func (w *worker) isolate(t *task, now time.Time) {
	if t.isolated() {
		w.isolatedUntil = now.Add(startupWindow)
	}
}

// freshRunPenalty keeps isolated tasks off workers with recent starts, whose runs would be
// suspects as well. It outweighs how near the task's data is.
const freshRunPenalty = 1 << 39

// scoreIsolated returns a worker's score for an isolated task: the lower its load, the less is
// lost in a crash.
func (w *worker) scoreIsolated(load int64, now time.Time) int64 {
	v := -load
	for _, r := range w.runs {
		if now.Sub(r.sentAt) < startupWindow {
			v -= freshRunPenalty
			break
		}
	}
	return v
}
