package job

import (
	"iter"
	"time"

	"amberway/platform"
)

// A recurring job may have any number of times that are due. Its instances are created in their
// order, while few tasks of the earlier ones wait, so that the memory that a job takes depends on
// what runs and not on how many times are due. Another owner may have been further ahead: an instance
// of which a worker lists a run or an end is created at once.

// defaultMaxWaiting is the default of Core.maxWaiting.
const defaultMaxWaiting = 1000

// dueAt returns when an instance of the job comes due.
func (j *job) dueAt(k int) time.Time {
	if j.Times == 0 {
		return j.ReceivedAt
	}
	return j.First.Add(time.Duration(k) * j.Every)
}

// instanceCount returns how many instances the job has in all.
func (j *job) instanceCount() int {
	return max(1, j.Times)
}

// openInstance creates an instance and returns it, or the one that there is. It returns nil if the job
// has no such instance or all tasks of it are done.
func (j *job) openInstance(k int) *instance {
	if n := j.instances[k]; n != nil {
		return n
	}
	if k < j.oldestInstance || k >= j.instanceCount() || j.complete[k] {
		return nil
	}
	n := newInstance(j, k, j.dueAt(k))
	j.instances[k] = n
	return n
}

// addDueInstances creates instances of a job that have come due, in their order, while fewer than
// maxWaiting of its tasks wait.
func (c *Core) addDueInstances(j *job) {
	if j.state.Final() || j.nextInstance >= j.instanceCount() {
		return
	}
	waiting := j.waitingTasks()
	for ; j.nextInstance < j.instanceCount(); j.nextInstance++ {
		k := j.nextInstance
		if j.instances[k] != nil || k < j.oldestInstance || j.complete[k] {
			continue
		}
		if j.Times > 0 && (c.now.Before(j.dueAt(k)) || waiting >= c.maxWaiting) {
			return
		}
		waiting += j.openInstance(k).remaining
		c.reorder(j.queue.Service)
	}
}

// openListedInstance creates the instance of a run or an end that a worker lists, if it has not been
// created yet.
func (c *Core) openListedInstance(k taskKey) {
	if j := c.active[k.id]; j != nil && j.instances[k.instance] == nil && j.openInstance(k.instance) != nil {
		c.emit(LogLine{What: "instance created early", Job: j.id, Why: "a worker lists a run of an earlier owner", Fields: []any{"time", k.instance}})
		c.reorder(j.queue.Service)
	}
}

// restoreInstances applies the progress that an earlier owner has stored.
func (c *Core) restoreInstances(j *job, p Progress) {
	for k, q := range sorted(p.Instances) {
		if q.Complete && k >= j.oldestInstance {
			j.noteComplete(k)
			j.started = true
			continue
		}
		if n := j.openInstance(k); n != nil {
			n.restore(q, c.now)
			j.started = true
			if n.remaining == 0 {
				c.completeInstance(n)
			}
		}
	}
	c.finishInstances(j)
}

// completeInstance drops an instance whose tasks are all done.
func (c *Core) completeInstance(n *instance) {
	c.recordServed(n.job, n)
	delete(n.job.instances, n.index)
	n.job.noteComplete(n.index)
}

func (j *job) noteComplete(k int) {
	if j.complete == nil {
		j.complete = map[int]bool{}
	}
	j.complete[k] = true
}

// finishInstances passes over the oldest instances that are complete, and completes a job that has
// none left.
func (c *Core) finishInstances(j *job) {
	for j.complete[j.oldestInstance] {
		delete(j.complete, j.oldestInstance)
		j.oldestInstance++
	}
	if j.oldestInstance >= j.instanceCount() && !j.state.Final() {
		c.finalise(j, platform.StateSucceeded, "all tasks done")
	}
}

// waitingTasks returns how many tasks of the job's instances have neither begun nor are done.
func (j *job) waitingTasks() int {
	n := 0
	for _, i := range j.instances {
		for _, s := range i.steps {
			n += s.idle
		}
	}
	return n
}

// dueInstances returns how many instances have come due that have not been created.
func (c *Core) dueInstances(j *job) int {
	n := 0
	for k := j.nextInstance; k < j.instanceCount() && !c.now.Before(j.dueAt(k)); k++ {
		if j.instances[k] == nil && !j.complete[k] {
			n++
		}
	}
	return n
}

// addUnknownRuns adds to r what the job may have running besides its known runs, as all workers have
// yet to report the runs of earlier owners.
func (c *Core) addUnknownRuns(r platform.Resources, j *job) platform.Resources {
	for _, n := range j.instances {
		for _, s := range n.steps {
			r = r.AddTimes(s.Resources, int64(s.idle))
		}
	}
	if due := c.dueInstances(j); due > 0 {
		for _, s := range j.Steps {
			r = r.AddTimes(s.Resources, int64(s.Count)*int64(due))
		}
	}
	return r
}

// inOrder iterates over the job's instances, the oldest first.
func (j *job) inOrder() iter.Seq[*instance] {
	return func(yield func(*instance) bool) {
		if j.Times == 0 {
			if n := j.instances[0]; n != nil {
				yield(n)
			}
			return
		}
		for _, n := range sorted(j.instances) {
			if !yield(n) {
				return
			}
		}
	}
}
