package fleet

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Books notes what workers did, and which promises that broke.
type Books struct {
	mu     sync.Mutex
	going  map[string]Going
	done   map[string]bool
	broken []string
	starts int
	// late are the starts whose orders were carried out late.
	late []Going
	// started are the jobs of which a task began.
	started map[string]bool
	// noted are the tasks of which a good end was taken note of.
	noted map[string]bool
	// firstStep is how many tasks the first step of each job has; zero checks no
	// order.
	firstStep int
	// crashes counts the workers that crashed under each task.
	crashes map[string]int
	guards
}

// Going is a run that goes on.
type Going struct {
	Task, Worker string
	Number       int64
	Since        time.Time
	// Late says that its order was carried out late.
	Late bool
}

// NewBooks returns empty books.
func NewBooks() *Books {
	return &Books{going: map[string]Going{}, done: map[string]bool{}, started: map[string]bool{}, noted: map[string]bool{}, crashes: map[string]int{}, guards: newGuards()}
}

func (b *Books) began(task string, number int64, worker string, late bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	if o, ok := b.going[task]; ok {
		b.broken = append(b.broken, fmt.Sprintf("%s run %d began on %s while it ran on %s", task, number, worker, o.Worker))
	}
	if b.noted[task] {
		b.broken = append(b.broken, fmt.Sprintf("%s run %d began on %s after a good end of it was taken note of", task, number, worker))
	}
	b.checkOrder(task)
	job, _, _ := strings.Cut(task, ".")
	b.started[job] = true
	g := Going{Task: task, Worker: worker, Number: number, Since: time.Now(), Late: late}
	if late {
		b.late = append(b.late, g)
	}
	b.going[task] = g
}

// checkOrder checks that a task of the second step begins after the first step.
func (b *Books) checkOrder(task string) {
	p := strings.Split(task, ".")
	if b.firstStep == 0 || len(p) != 4 || p[2] != "1" {
		return
	}
	for x := range b.firstStep {
		before := fmt.Sprintf("%s.%s.0.%d", p[0], p[1], x)
		if !b.done[before] {
			b.broken = append(b.broken, fmt.Sprintf("%s began before %s was done", task, before))
		}
	}
}

// CheckOrder has each start of a second step checked: jobs have so many tasks in
// their first step.
func (b *Books) CheckOrder(firstStep int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstStep = firstStep
}

// crashed notes the tasks that ran on a worker which crashed.
func (b *Books) crashed(tasks []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range tasks {
		b.crashes[t]++
	}
}

// Crashes returns how many workers crashed under the task.
func (b *Books) Crashes(task string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes[task]
}

// note takes note of an end that a worker may forget.
func (b *Books) note(task, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if how == "done" {
		b.noted[task] = true
	}
}

// Started reports whether a task of the job has begun.
func (b *Books) Started(job string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started[job]
}

func (b *Books) ended(task string, _ int64, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.going, task)
	b.leftWork(task)
	if how == "done" {
		b.done[task] = true
	}
}

// Broken returns the promises that were broken.
func (b *Books) Broken() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.broken...)
}

// Starts returns how many runs began.
func (b *Books) Starts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts
}

// Done reports whether the task has ended well.
func (b *Books) Done(task string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done[task]
}

// Runs reports whether the task runs.
func (b *Books) Runs(task string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.going[task]
	return ok
}

// RunsOf returns the runs of the job's tasks.
func (b *Books) RunsOf(job string) []Going {
	b.mu.Lock()
	defer b.mu.Unlock()
	var l []Going
	for t, g := range b.going {
		if strings.HasPrefix(t, job+".") {
			l = append(l, g)
		}
	}
	return l
}

// Late returns the starts whose orders were carried out late.
func (b *Books) Late() []Going {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.late)
}

// Running returns how many tasks run.
func (b *Books) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.going)
}
