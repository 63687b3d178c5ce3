package job

import (
	"time"

	"amberway/platform"
)

// learnWeight is the share of one run in the mean of its queue: about the last
// twenty runs count.
const learnWeight = 0.05

// estimate is how long the tasks of a queue have taken.
type estimate struct {
	mean time.Duration
	runs int
}

// learnRun takes in the time of a run that is done. The run time includes the
// way of the order and of the end, which a job waits for as well.
func (c *Core) learnRun(r *run) {
	q := r.task.of.of.job.queue.Name
	e := c.learn[q]
	if e == nil {
		e = &estimate{}
		c.learn[q] = e
	}
	took := c.now.Sub(r.sentAt)
	e.runs++
	if e.runs == 1 {
		e.mean = took
		return
	}
	e.mean += time.Duration(learnWeight * float64(took-e.mean))
}

// expect returns how long a task of the step is expected to take: its estimate,
// drawn towards what tasks of its queue have taken, since estimates are off by
// up to nine tenths.
func (c *Core) expect(j *job, s *platform.Step) time.Duration {
	e := c.learn[j.queue.Name]
	if e == nil || e.runs < 5 {
		return s.Estimate
	}
	if s.Estimate == 0 {
		return e.mean
	}
	return (s.Estimate + e.mean) / 2
}

// Times of judging workers.
const (
	// blameLimit is how many first failures in a row set a worker aside.
	blameLimit = 3
	// setAsideFor is how long it then gets no starts.
	setAsideFor = 3 * time.Second
	// setAsideShare bounds the share of a pool that is set aside at once.
	setAsideShare = 3
)

// judge counts an end for or against the worker. A job that has failed on
// another worker speaks against the job, not the worker.
func (c *Core) judge(w *worker, t *task, how platform.End) {
	if how == platform.EndDone {
		w.blame = 0
	}
	if how != platform.EndFailed {
		return
	}
	t.avoid = w.ID
	j := t.of.of.job
	if j.failedOn == nil {
		j.failedOn = map[platform.WorkerID]bool{}
	}
	if len(j.failedOn) == 0 || (len(j.failedOn) == 1 && j.failedOn[w.ID]) {
		w.blame++
	}
	j.failedOn[w.ID] = true
	if w.blame >= blameLimit {
		c.setAside(w)
	}
}

func (c *Core) setAside(w *worker) {
	aside := 0
	p := c.pools[w.Service]
	for _, o := range p {
		if c.now.Before(o.setAside) {
			aside++
		}
	}
	if c.now.Before(w.setAside) || aside*setAsideShare >= len(p) {
		return
	}
	w.setAside = c.now.Add(setAsideFor)
	c.do(Note{What: "worker set aside", Worker: w.ID, Why: "its runs fail", Inputs: []any{"failures", w.blame}})
	w.blame = blameLimit - 1
}
