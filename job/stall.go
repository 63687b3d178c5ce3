package job

import (
	"slices"
	"time"
)

// Limits for runs that make no progress.
const (
	// stallAfter is how long a run may make no progress. Workers are polled each second, and
	// report whole percents of tasks that take one or two seconds.
	stallAfter = 1500 * time.Millisecond
	// stallDivisor bounds the same for longer tasks: they may make no progress for their expected
	// run time divided by stallShare.
	stallDivisor = 10
	// warmUp is how long a lasting task may take to become ready. The slowest take a second and
	// a half.
	warmUp = 3 * time.Second
	// maxStalls is how often a task is moved for making no progress. Some tasks may not report
	// any, wherever they run.
	maxStalls = 3
	// stallQuarantine is how long a worker gets no starts after a run was moved off it.
	stallQuarantine = 3 * time.Second
)

// checkProgress moves a run that is stalled or much too slow to another worker.
func (c *Core) checkProgress(r *run) {
	if r.phase != running {
		return
	}
	switch {
	case c.stalled(r) && c.mayStop(r):
		r.task.stalls++
		c.moveElsewhere(r, "it makes no progress")
	case c.tooSlow(r):
		c.moveElsewhere(r, "it would be done sooner elsewhere")
	}
}

// stalled reports whether the run has made no progress for too long.
func (c *Core) stalled(r *run) bool {
	t := r.task
	if t.step.Lasting {
		return r.stuck(c.now)
	}
	if t.stalls >= maxStalls {
		return false
	}
	return c.now.Sub(r.progressAt) > max(stallAfter, c.expectedRunTime(t.step.instance.job, t.step.Step)/stallDivisor)
}

// moveElsewhere stops the run, so that its task starts on another worker, and quarantines its
// worker unless the pool is small.
func (c *Core) moveElsewhere(r *run, why string) {
	t := r.task
	w := r.worker
	t.moved = true
	t.avoid = w.ID
	if len(c.pools[w.Service]) > quarantineDivisor {
		w.quarantinedUntil = c.now.Add(stallQuarantine)
	}
	c.emit(LogLine{What: "worker quarantined", Worker: w.ID, Job: t.step.instance.job.id, Run: r.number, Why: why, Fields: []any{
		"percent", r.percent, "went_ms", c.now.Sub(r.sentAt).Milliseconds(), "expected_ms", c.expectedRunTime(t.step.instance.job, t.step.Step).Milliseconds(),
	}})
	c.stop(r, why)
}

// Retention of final jobs.
const (
	// forgetAfter is how long callers may ask for a final job's state. The platform requires two
	// minutes.
	forgetAfter = 3 * time.Minute
	// forgetEvery is how often final jobs are checked for their age, forgetBatch how many are
	// deleted at a time.
	forgetEvery = 5 * time.Second
	forgetBatch = 20
	// forgetMarksBatch is how many cancel marks without a job are deleted at a time.
	forgetMarksBatch = 100
)

// forgetJobs deletes final jobs whose retention has ended.
func (c *Core) forgetJobs() {
	if c.now.Before(c.nextForgetAt) {
		return
	}
	c.nextForgetAt = c.now.Add(forgetEvery)
	c.forgetReplaced()
	var l []string
	c.finalJobs = slices.DeleteFunc(c.finalJobs, func(j *job) bool {
		if len(l) >= forgetBatch || j.storedState != j.state || c.now.Sub(j.finalAt) < forgetAfter {
			return false
		}
		delete(c.jobs, j.id)
		l = append(l, progressKey(j.id))
		return true
	})
	l = append(l, c.forgetCancelMarks()...)
	if len(l) > 0 {
		c.queueWrite(nil, l)
	}
}

// forgetCancelMarks drops the cancel marks of jobs whose records have not come for as long as final jobs
// are kept, and returns their keys.
func (c *Core) forgetCancelMarks() []string {
	var l []string
	for id, since := range sorted(c.cancelled) {
		if c.now.Sub(since) >= forgetAfter && len(l) < forgetMarksBatch {
			delete(c.cancelled, id)
			l = append(l, cancelKey(id))
		}
	}
	return l
}
