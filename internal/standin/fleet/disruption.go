package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// unavailableAfter is how long a lasting task may fail to be ready before it counts as
// unavailable. A task that was stopped by an order counts at once.
const unavailableAfter = 4500 * time.Millisecond

// disruptionChecks checks the disruption budgets of lasting jobs.
type disruptionChecks struct {
	// maxUnavailable holds the checked jobs, with how many of their tasks may be unavailable.
	maxUnavailable map[string]int
	// unavailable holds their tasks that are not ready.
	unavailable map[string]*unavailableTask
	// disruptions counts the orders that have stopped one of their tasks that was ready.
	disruptions int
}

// unavailableTask is a lasting task that is not ready.
type unavailableTask struct {
	since time.Time
	// byOrder says that it was stopped by an order when it was last ready.
	byOrder bool
}

// stopOrder is an order that stops a run.
type stopOrder struct {
	task, worker string
	run          int64
	// exempt says that the disruption budget does not apply: the worker is leaving, or the
	// order was delayed.
	exempt bool
}

func newDisruptionChecks() disruptionChecks {
	return disruptionChecks{maxUnavailable: map[string]int{}, unavailable: map[string]*unavailableTask{}}
}

// CheckDisruptions enables the check of the disruption budget of a lasting job. Its only
// step has count tasks, of which budget may be unavailable at once.
func (c *Checker) CheckDisruptions(job string, count, budget int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxUnavailable[job] = budget
	for x := range count {
		c.unavailable[fmt.Sprintf("%s.0.0.%d", job, x)] = &unavailableTask{since: time.Now()}
	}
}

// Disruptions returns how many orders have stopped a ready task of a checked job.
func (c *Checker) Disruptions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disruptions
}

// recordReady records that a run of a lasting task is ready.
func (c *Checker) recordReady(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unavailable, task)
}

// recordNotReady records that a run has ended. The caller holds the lock.
func (c *Checker) recordNotReady(task string) {
	job, _, _ := strings.Cut(task, ".")
	if _, checked := c.maxUnavailable[job]; checked && c.unavailable[task] == nil {
		c.unavailable[task] = &unavailableTask{since: time.Now()}
	}
}

// checkDisruption records that an order stops a run. If the task is ready, it checks that
// the disruption budget still allows one more task of the step to be unavailable.
func (c *Checker) checkDisruption(o stopOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, _, _ := strings.Cut(o.task, ".")
	limit, checked := c.maxUnavailable[job]
	if !checked || c.unavailable[o.task] != nil {
		return
	}
	c.disruptions++
	if l := c.describeUnavailable(job); len(l) >= limit && !o.exempt {
		c.violations = append(c.violations, fmt.Sprintf("%s run %d on %s was ready and was stopped by an order while %d others of its step were unavailable, with a budget of %d: %s",
			o.task, o.run, o.worker, len(l), limit, strings.Join(l, ", ")))
	}
	c.unavailable[o.task] = &unavailableTask{since: time.Now(), byOrder: true}
}

// describeUnavailable describes the job's tasks that count as unavailable.
func (c *Checker) describeUnavailable(job string) []string {
	var l []string
	for t, a := range c.unavailable {
		d := time.Since(a.since)
		if strings.HasPrefix(t, job+".") && (a.byOrder || d >= unavailableAfter) {
			l = append(l, fmt.Sprintf("%s for %.2f s, stopped by an order: %t", t, d.Seconds(), a.byOrder))
		}
	}
	slices.Sort(l)
	return l
}
