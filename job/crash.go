package job

import (
	"time"

	"amberway/platform"
)

// A task may crash each worker that starts it. Such a worker tells of no end, so that
// what crashed it has to be inferred from what ran there. Each start of such a task costs
// a worker for seconds, and the work of all tasks beside it: without a bound one task took
// a pool of eleven workers down every 0.15 s. The counts are kept in the store, as a next
// owner would begin at nothing.

// Figures of blaming tasks for crashes.
const (
	// startupWindow is how long after its start a run is the first to be blamed for a crash:
	// tasks that crash their workers do so within a hundredth of a second, and a worker
	// that runs anything is heard of each second or sooner.
	startupWindow = 500 * time.Millisecond
	// stableAfter is how long a run has to be there for its task to be cleared of
	// earlier crashes. Hosts fail now and then: a task that lasts for weeks sees many
	// crashes that are not its doing.
	stableAfter = 10 * time.Second
	// isolateFrom is how many crashes send a task on trial: it starts only once the store
	// has its count, on the emptiest worker, and nothing else starts there for freshFor,
	// so that its next crash speaks against it alone.
	isolateFrom = 2
	// crashLimit is how many crashes give a task up of which the last was on a worker
	// without another suspect, crashLimitShared how many do otherwise. The users bear two
	// starts after three crashes; an owner that ends before it has counted a crash loses
	// that one.
	crashLimit       = 3
	crashLimitShared = 4
	// crashLimitUnconfirmed is the limit of a task that is not known to have begun on
	// crashesSeen of the workers: a start whose answer is lost may not have been carried
	// out, and a job is given up for two crashes at least.
	crashLimitUnconfirmed = 5
	minConfirmedCrashes   = 2
	// crashBackoff is how long a lasting task waits after crashLimit crashes. Each further
	// one doubles it, up to crashPauseMost.
	crashBackoff    = 4 * time.Second
	maxCrashBackoff = time.Minute
)

// crashes counts the workers that crashed under a task, as far as it may be to blame.
type crashes struct {
	// All counts also those on which it may not have begun, Seen only the others.
	All       int `json:"a"`
	Confirmed int `json:"s,omitempty"`
}

// limit returns how many crashes give the task up.
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

// maxBackoffDoublings keeps a pause from overflowing.
const maxBackoffDoublings = 8

// suspects returns the runs that may have crashed the worker: those that it is not known
// to have borne for freshFor or, where there are none, for provenAfter. A worker that is
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

// youngerThan returns the runs that the worker is not known to have borne for as long.
func (w *worker) youngerThan(d time.Duration) []*run {
	var l []*run
	for _, r := range w.runs {
		if r.knownAge() < d && !r.crashCounted {
			l = append(l, r)
		}
	}
	return l
}

// attributeCrash counts a crash against the tasks of the runs, which have been dropped. Those that
// were handed to the next incarnation are accused only: should it run them, they had not
// begun before.
func (c *Core) attributeCrash(suspects []*run) {
	alone := true
	for _, r := range suspects {
		alone = alone && r.task.of.of.job == suspects[0].task.of.of.job
	}
	for _, r := range suspects {
		switch {
		case r.crashCounted:
		case r.at.runs[r.id()] == r:
			r.crashSuspect, r.soleCrashSuspect = true, alone
		default:
			c.countCrash(r, alone)
		}
	}
}

// confirmCrash counts the crash of which a run was accused that its worker has not run since.
func (c *Core) confirmCrash(r *run) {
	if r.crashSuspect && !r.crashCounted {
		c.countCrash(r, r.soleCrashSuspect)
	}
}

// countCrash counts a crash against the task of the run, and gives it up after too many.
func (c *Core) countCrash(r *run, alone bool) {
	t := r.task
	j := t.of.of.job
	if t.done || j.state.Final() {
		return
	}
	t.crashes.All++
	r.crashCounted = true
	if r.startConfirmed {
		t.crashes.Confirmed++
	}
	c.crashesChanged(j)
	c.noteRun(r, "crash counted", "", []any{
		"crashes", t.crashes.All, "begun_at", t.crashes.Confirmed, "alone", alone, "lived_ms", r.knownAge().Milliseconds(),
	})
	// Hosts that crash one after the other hit a lasting task again and again, and giving its
	// job up would stop all tasks that are at work. It starts less often instead.
	if t.of.Lasting {
		t.notBefore = latest(t.notBefore, c.now.Add(t.crashes.backoff()))
		return
	}
	if t.crashes.All >= t.crashes.limit(alone) {
		c.finalise(j, platform.StateFailed, "workers crashed under task "+t.key().String()+" as often as is borne")
	}
}

// clearCrashes clears the task of a run of earlier crashes, once the run has been there for long.
func (c *Core) clearCrashes(r *run) {
	t := r.task
	if t.crashes.All == 0 || r.knownAge() < stableAfter {
		return
	}
	t.crashes = crashes{}
	c.crashesChanged(t.of.of.job)
}

// crashesChanged has the counts of the job's crashes written before its tasks on trial
// start again.
func (c *Core) crashesChanged(j *job) {
	j.crashVersion++
	c.markDirty(j)
	c.writeUrgent = true
}

// isolated reports whether so many workers have crashed under the task that the next start
// is to tell whether it is the task's doing.
func (t *task) isolated() bool {
	return t.crashes.All >= isolateFrom
}

// mayStart reports whether the task may be started now, wherever there is room. A start
// on trial waits for the store: an owner that counted in its memory alone would leave the
// next one to begin anew.
func (t *task) mayStart(now time.Time) bool {
	if now.Before(t.notBefore) {
		return false
	}
	j := t.of.of.job
	return !t.isolated() || j.crashVersion == j.storedCrashVersion
}

// isolate keeps other starts from the worker for a moment if the task is on trial.
func (w *worker) isolate(t *task, now time.Time) {
	if t.isolated() {
		w.isolatedUntil = now.Add(startupWindow)
	}
}

// freshRunPenalty keeps a task on trial from workers with fresh runs, which would be suspects
// as well. It outweighs how near the task's data is.
const freshRunPenalty = 1 << 39

// scoreIsolated says how good a worker is for a task on trial: the less runs there, the less
// is lost.
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
