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
	// mostStalls is how often a task is moved for standing still: some tasks may
	// show no progress anywhere.
	mostStalls = 3
	// stallAside is how long a worker gets no starts after a run stood still
	// there.
	stallAside = 3 * time.Second
)

// checkRun moves a run elsewhere that stands still or is much too slow.
func (c *Core) checkRun(r *run) {
	if r.phase != running {
		return
	}
	switch {
	case c.standsStill(r) && c.mayEnd(r):
		r.task.stalls++
		c.leaveWorker(r, "it stands still")
	case c.crawls(r):
		c.leaveWorker(r, "it would be done sooner elsewhere")
	}
}

// standsStill reports whether the run has shown no progress for too long.
func (c *Core) standsStill(r *run) bool {
	t := r.task
	if t.of.Lasting {
		return r.stuck(c.now)
	}
	if t.stalls >= mostStalls {
		return false
	}
	return c.now.Sub(r.movedAt) > max(stallAfter, c.expect(t.of.of.job, t.of.Step)/stallShare)
}

func (c *Core) leaveWorker(r *run, why string) {
	t := r.task
	w := r.at
	t.moved = true
	t.avoid = w.ID
	if len(c.pools[w.Service]) > setAsideShare {
		w.setAside = c.now.Add(stallAside)
	}
	c.do(Note{What: "worker set aside", Worker: w.ID, Job: t.of.of.job.id, Run: r.number, Why: why, Inputs: []any{
		"percent", r.percent, "went_ms", c.now.Sub(r.sentAt).Milliseconds(), "expected_ms", c.expect(t.of.of.job, t.of.Step).Milliseconds(),
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
	forgetMost  = 20
)

// forget removes final jobs that nobody asks for any more.
func (c *Core) forget() {
	if c.now.Before(c.forgetAt) {
		return
	}
	c.forgetAt = c.now.Add(forgetEvery)
	c.forgetReplaced()
	var l []string
	for id, j := range c.jobs {
		if len(l) >= forgetMost {
			break
		}
		if !j.state.Final() || j.kept != j.state || c.now.Sub(j.finalAt) < forgetAfter {
			continue
		}
		delete(c.jobs, id)
		l = append(l, progressKey(id))
	}
	if len(l) > 0 {
		c.write(nil, l)
	}
}
