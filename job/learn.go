package job

import (
	"time"

	"amberway/platform"
)

// runTimeWeight is the share of one run in the mean of its queue: about the last
// twenty runs count.
const runTimeWeight = 0.05

// runTimeEstimate is how long the tasks of a queue have taken.
type runTimeEstimate struct {
	mean time.Duration
	runs int
}

// recordRunTime takes in the time of a run that is done. The run time includes the
// way of the order and of the end, which a job waits for as well.
func (c *Core) recordRunTime(r *run) {
	q := r.task.of.of.job.queue.Name
	e := c.runTimes[q]
	if e == nil {
		e = &runTimeEstimate{}
		c.runTimes[q] = e
	}
	took := c.now.Sub(r.sentAt)
	e.runs++
	if e.runs == 1 {
		e.mean = took
		return
	}
	e.mean += time.Duration(runTimeWeight * float64(took-e.mean))
}

// expectedRunTime returns how long a task of the step is expected to take: its estimate,
// drawn towards what tasks of its queue have taken, since estimates are off by
// up to nine tenths.
func (c *Core) expectedRunTime(j *job, s *platform.Step) time.Duration {
	e := c.runTimes[j.queue.Name]
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
	// quarantineFailures is how many first failures in a row set a worker aside.
	quarantineFailures = 3
	// quarantineFor is how long it then gets no starts.
	quarantineFor = 3 * time.Second
	// quarantineDivisor bounds the share of a pool that is set aside at once.
	quarantineDivisor = 3
)

// recordOutcome counts an end for or against the worker. A job that has failed on
// another worker speaks against the job, not the worker.
func (c *Core) recordOutcome(w *worker, t *task, how platform.End) {
	if how == platform.EndDone {
		w.failures = 0
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
		w.failures++
	}
	j.failedOn[w.ID] = true
	if w.failures >= quarantineFailures {
		c.quarantine(w)
	}
}

func (c *Core) quarantine(w *worker) {
	aside := 0
	p := c.pools[w.Service]
	for _, o := range p {
		if c.now.Before(o.quarantinedUntil) {
			aside++
		}
	}
	if c.now.Before(w.quarantinedUntil) || aside*quarantineDivisor >= len(p) {
		return
	}
	w.quarantinedUntil = c.now.Add(quarantineFor)
	c.emit(LogLine{What: "worker quarantined", Worker: w.ID, Why: "its runs fail", Fields: []any{"failures", w.failures}})
	w.failures = quarantineFailures - 1
}
