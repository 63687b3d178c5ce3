package job

import (
	"time"

	"amberway/platform"
)

// runTimeWeight is the weight of one run in the moving average of its queue: the average
// covers about the last twenty runs.
const runTimeWeight = 0.05

// runTimeEstimate is the moving average of the run times of a queue's tasks.
type runTimeEstimate struct {
	mean time.Duration
	runs int
}

// recordRunTime adds a successful run to the average of its queue. The run time includes
// the transit of the start order and of the result, since the job waits for these as well.
func (c *Core) recordRunTime(r *run) {
	q := r.task.step.instance.job.queue.Name
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

// averageRunTime returns the average run time of the queue's tasks, or zero before enough of them
// have ended.
func (c *Core) averageRunTime(queue string) time.Duration {
	e := c.runTimes[queue]
	if e == nil || e.runs < 5 {
		return 0
	}
	return e.mean
}

// expectedRunTime returns how long a task of the step is expected to take: the mean of the
// caller's estimate, which can be off by up to nine tenths, and the average of its queue.
func (c *Core) expectedRunTime(j *job, s *platform.Step) time.Duration {
	average := c.averageRunTime(j.queue.Name)
	if average == 0 {
		return s.Estimate
	}
	if s.Estimate == 0 {
		return average
	}
	return (s.Estimate + average) / 2
}

// Limits for the quarantine of workers.
const (
	// quarantineFailures is how many failures in a row, as counted by recordOutcome, put a
	// worker into quarantine.
	quarantineFailures = 3
	// quarantineFor is how long a quarantined worker gets no starts.
	quarantineFor = 3 * time.Second
	// quarantineDivisor limits how much of a pool is quarantined at once: one worker in
	// three.
	quarantineDivisor = 3
)

// recordOutcome counts the end of a run for or against the worker. Failures of a job that
// has failed on another worker before are attributed to the job, not to the worker.
func (c *Core) recordOutcome(w *worker, t *task, how platform.End) {
	if how == platform.EndDone {
		w.failures = 0
	}
	if how != platform.EndFailed {
		return
	}
	t.avoid = w.ID
	j := t.step.instance.job
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
	quarantined := 0
	p := c.pools[w.Service]
	for _, o := range p {
		if c.now.Before(o.quarantinedUntil) {
			quarantined++
		}
	}
	if c.now.Before(w.quarantinedUntil) || quarantined*quarantineDivisor >= len(p) {
		return
	}
	w.quarantinedUntil = c.now.Add(quarantineFor)
	c.emit(LogLine{What: "worker quarantined", Worker: w.ID, Why: "its runs fail", Fields: []any{"failures", w.failures}})
	w.failures = quarantineFailures - 1
}
