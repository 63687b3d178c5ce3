package job

import "time"

// Figures of runs that do not get on.
const (
	// stallAfter is how long a run may show no progress: looks come each second
	// and tell whole percents of tasks of one or two seconds.
	stallAfter = 1500 * time.Millisecond
	// stallShare is the share of its expected time in which a longer task may
	// show none.
	stallShare = 10
	// warmUp is how long a lasting task may take to be at work: the slowest
	// take a second and a half.
	warmUp = 3 * time.Second
	// maxStalls is how often a task is moved for standing still: some tasks may
	// show no progress anywhere.
	maxStalls = 3
	// stallQuarantine is how long a worker gets no starts after a run stood still
	// there.
	stallQuarantine = 3 * time.Second
)

// checkProgress moves a run elsewhere that stands still or is much too slow.
func (c *Core) checkProgress(r *run) {
	if r.phase != running {
		return
	}
	switch {
	case c.stalled(r) && c.mayStop(r):
		r.task.stalls++
		c.moveElsewhere(r, "it stands still")
	case c.tooSlow(r):
		c.moveElsewhere(r, "it would be done sooner elsewhere")
	}
}

// stalled reports whether the run has shown no progress for too long.
func (c *Core) stalled(r *run) bool {
	t := r.task
	if t.of.Lasting {
		return r.stuck(c.now)
	}
	if t.stalls >= maxStalls {
		return false
	}
	return c.now.Sub(r.progressAt) > max(stallAfter, c.expectedRunTime(t.of.of.job, t.of.Step)/stallShare)
}

func (c *Core) moveElsewhere(r *run, why string) {
	t := r.task
	w := r.at
	t.moved = true
	t.avoid = w.ID
	if len(c.pools[w.Service]) > quarantineDivisor {
		w.quarantinedUntil = c.now.Add(stallQuarantine)
	}
	c.emit(LogLine{What: "worker set aside", Worker: w.ID, Job: t.of.of.job.id, Run: r.number, Why: why, Fields: []any{
		"percent", r.percent, "went_ms", c.now.Sub(r.sentAt).Milliseconds(), "expected_ms", c.expectedRunTime(t.of.of.job, t.of.Step).Milliseconds(),
	}})
	c.stop(r, why)
}

// Times of forgetting final jobs.
const (
	// forgetAfter is how long callers may ask for a final job's state: the pages
	// say two minutes.
	forgetAfter = 3 * time.Minute
	// forgetEvery is how often final jobs are looked through, and forgetMost how
	// many are forgotten at a time.
	forgetEvery = 5 * time.Second
	forgetBatch = 20
)

// forgetJobs removes final jobs that nobody asks for any more.
func (c *Core) forgetJobs() {
	if c.now.Before(c.nextForgetAt) {
		return
	}
	c.nextForgetAt = c.now.Add(forgetEvery)
	c.forgetReplaced()
	var l []string
	for id, j := range c.jobs {
		if len(l) >= forgetBatch {
			break
		}
		if !j.state.Final() || j.storedState != j.state || c.now.Sub(j.finalAt) < forgetAfter {
			continue
		}
		delete(c.jobs, id)
		l = append(l, progressKey(id))
	}
	if len(l) > 0 {
		c.queueWrite(nil, l)
	}
}
