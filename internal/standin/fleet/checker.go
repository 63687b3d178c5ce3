package fleet

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Checker notes what workers did, and which promises that broke.
type Checker struct {
	mu         sync.Mutex
	active     map[string]ActiveRun
	done       map[string]bool
	violations []string
	startCount int
	// lateStarts are the starts whose orders were carried out late.
	lateStarts []ActiveRun
	// started are the jobs of which a task began.
	started map[string]bool
	// acknowledged are the tasks of which a good end was taken note of.
	acknowledged map[string]bool
	// firstStepTasks is how many tasks the first step of each job has; zero checks no
	// order.
	firstStepTasks int
	// crashes counts the workers that crashed under each task.
	crashes map[string]int
	disruptionChecks
}

// ActiveRun is a run that goes on.
type ActiveRun struct {
	Task, Worker string
	Number       int64
	StartedAt    time.Time
	// Late says that its order was carried out late.
	Late bool
}

// NewChecker returns empty books.
func NewChecker() *Checker {
	return &Checker{active: map[string]ActiveRun{}, done: map[string]bool{}, started: map[string]bool{}, acknowledged: map[string]bool{}, crashes: map[string]int{}, disruptionChecks: newDisruptionChecks()}
}

func (b *Checker) recordStart(task string, number int64, worker string, late bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startCount++
	if o, ok := b.active[task]; ok {
		b.violations = append(b.violations, fmt.Sprintf("%s run %d began on %s while it ran on %s", task, number, worker, o.Worker))
	}
	if b.acknowledged[task] {
		b.violations = append(b.violations, fmt.Sprintf("%s run %d began on %s after a good end of it was taken note of", task, number, worker))
	}
	b.checkStepOrder(task)
	job, _, _ := strings.Cut(task, ".")
	b.started[job] = true
	g := ActiveRun{Task: task, Worker: worker, Number: number, StartedAt: time.Now(), Late: late}
	if late {
		b.lateStarts = append(b.lateStarts, g)
	}
	b.active[task] = g
}

// checkStepOrder checks that a task of the second step begins after the first step.
func (b *Checker) checkStepOrder(task string) {
	p := strings.Split(task, ".")
	if b.firstStepTasks == 0 || len(p) != 4 || p[2] != "1" {
		return
	}
	for x := range b.firstStepTasks {
		before := fmt.Sprintf("%s.%s.0.%d", p[0], p[1], x)
		if !b.done[before] {
			b.violations = append(b.violations, fmt.Sprintf("%s began before %s was done", task, before))
		}
	}
}

// CheckStepOrder has each start of a second step checked: jobs have so many tasks in
// their first step.
func (b *Checker) CheckStepOrder(firstStep int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstStepTasks = firstStep
}

// recordCrash notes the tasks that ran on a worker which crashed.
func (b *Checker) recordCrash(tasks []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range tasks {
		b.crashes[t]++
	}
}

// CrashCount returns how many workers crashed under the task.
func (b *Checker) CrashCount(task string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes[task]
}

// recordAck takes note of an end that a worker may forget.
func (b *Checker) recordAck(task, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if how == "done" {
		b.acknowledged[task] = true
	}
}

// Started reports whether a task of the job has begun.
func (b *Checker) Started(job string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started[job]
}

func (b *Checker) recordEnd(task string, _ int64, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.active, task)
	b.recordNotReady(task)
	if how == "done" {
		b.done[task] = true
	}
}

// Violations returns the promises that were broken.
func (b *Checker) Violations() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.violations...)
}

// StartCount returns how many runs began.
func (b *Checker) StartCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.startCount
}

// Done reports whether the task has ended well.
func (b *Checker) Done(task string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done[task]
}

// IsRunning reports whether the task runs.
func (b *Checker) IsRunning(task string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.active[task]
	return ok
}

// RunsOfJob returns the runs of the job's tasks.
func (b *Checker) RunsOfJob(job string) []ActiveRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	var l []ActiveRun
	for t, g := range b.active {
		if strings.HasPrefix(t, job+".") {
			l = append(l, g)
		}
	}
	return l
}

// LateStarts returns the starts whose orders were carried out late.
func (b *Checker) LateStarts() []ActiveRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.lateStarts)
}

// RunningCount returns how many tasks run.
func (b *Checker) RunningCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.active)
}
