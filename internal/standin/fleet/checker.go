package fleet

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Checker records what workers did, and the violations of guarantees that it found.
type Checker struct {
	mu         sync.Mutex
	active     map[string]StartedRun
	done       map[string]bool
	violations []string
	startCount int
	// delayedStarts are the starts whose orders were delayed.
	delayedStarts []StartedRun
	// started are the jobs of which a task has started.
	started map[string]bool
	// acknowledged are the tasks whose success was acknowledged to the worker.
	acknowledged map[string]bool
	// firstStepTasks is how many tasks the first step of each job has; if zero, the order
	// of steps is not checked.
	firstStepTasks int
	// crashes counts the workers that crashed while they ran each task.
	crashes map[string]int
	disruptionChecks
	evacuationChecks
}

// StartedRun is a run that has started.
type StartedRun struct {
	Task, Worker string
	Number       int64
	StartedAt    time.Time
	// Delayed says that the order to start it was delayed.
	Delayed bool
}

// NewChecker returns a checker that has recorded nothing.
func NewChecker() *Checker {
	return &Checker{active: map[string]StartedRun{}, done: map[string]bool{}, started: map[string]bool{}, acknowledged: map[string]bool{}, crashes: map[string]int{}, disruptionChecks: newDisruptionChecks(), evacuationChecks: newEvacuationChecks()}
}

func (c *Checker) recordStart(task string, number int64, worker, dataCentre string, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startCount++
	if o, ok := c.active[task]; ok {
		c.violations = append(c.violations, fmt.Sprintf("%s run %d started on %s while the task was running on %s", task, number, worker, o.Worker))
	}
	if c.acknowledged[task] {
		c.violations = append(c.violations, fmt.Sprintf("%s run %d started on %s after the success of the task was acknowledged", task, number, worker))
	}
	c.checkStepOrder(task)
	job, _, _ := strings.Cut(task, ".")
	c.started[job] = true
	r := StartedRun{Task: task, Worker: worker, Number: number, StartedAt: time.Now(), Delayed: late}
	if late {
		c.delayedStarts = append(c.delayedStarts, r)
	}
	c.active[task] = r
	c.evacuationChecks.recordStart(r, dataCentre)
}

// checkStepOrder checks that a task of the second step starts after the first step is done.
func (c *Checker) checkStepOrder(task string) {
	p := strings.Split(task, ".")
	if c.firstStepTasks == 0 || len(p) != 4 || p[2] != "1" {
		return
	}
	for x := range c.firstStepTasks {
		before := fmt.Sprintf("%s.%s.0.%d", p[0], p[1], x)
		if !c.done[before] {
			c.violations = append(c.violations, fmt.Sprintf("%s started before %s was done", task, before))
		}
	}
}

// CheckStepOrder enables the check that the second step of a job starts after the first
// is done. The first step of each job has the given number of tasks.
func (c *Checker) CheckStepOrder(tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstStepTasks = tasks
}

// recordCrash records the crash of a worker that ran the tasks.
func (c *Checker) recordCrash(tasks []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range tasks {
		c.crashes[t]++
	}
}

// CrashCount returns how many workers crashed while they ran the task.
func (c *Checker) CrashCount(task string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes[task]
}

// recordAck records that the end of a run was acknowledged, so that the worker forgets it.
func (c *Checker) recordAck(task, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome == "done" {
		c.acknowledged[task] = true
	}
}

// Started reports whether a task of the job has started.
func (c *Checker) Started(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started[job]
}

func (c *Checker) recordEnd(task string, _ int64, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, task)
	c.recordNotReady(task)
	if outcome == "done" {
		c.done[task] = true
	}
}

// Violations describes the guarantees that were violated.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// StartCount returns how many runs have started.
func (c *Checker) StartCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startCount
}

// Done reports whether the task has succeeded.
func (c *Checker) Done(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done[task]
}

// IsRunning reports whether the task is running.
func (c *Checker) IsRunning(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.active[task]
	return ok
}

// RunsOfJob returns the runs of the job's tasks that have not ended.
func (c *Checker) RunsOfJob(job string) []StartedRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	var l []StartedRun
	for t, r := range c.active {
		if strings.HasPrefix(t, job+".") {
			l = append(l, r)
		}
	}
	return l
}

// DelayedStarts returns the starts whose orders were delayed.
func (c *Checker) DelayedStarts() []StartedRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.delayedStarts)
}

// RunningCount returns how many tasks are running.
func (c *Checker) RunningCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}
