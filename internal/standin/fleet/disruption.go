package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// unavailableAfter is how long a lasting task may be away before it counts as that, unless an
// order has ended it.
const unavailableAfter = 4500 * time.Millisecond

// disruptionChecks are the books of lasting jobs of which only some tasks may be away at once.
type disruptionChecks struct {
	// maxUnavailable are the jobs, with how many of their tasks may be away.
	maxUnavailable map[string]int
	// unavailable are their tasks that are not at work.
	unavailable map[string]*unavailableTask
	// disruptions counts the orders that have ended one that was at work.
	disruptions int
}

// unavailableTask is a lasting task that is not at work.
type unavailableTask struct {
	since time.Time
	// byOrder says that an order ended it when it was last at work.
	byOrder bool
}

// stopOrder is an order that ends a run.
type stopOrder struct {
	task, worker string
	run          int64
	// exempt says that it may end the run whatever else is away: its worker leaves, or it
	// was held up.
	exempt bool
}

func newDisruptionChecks() disruptionChecks {
	return disruptionChecks{maxUnavailable: map[string]int{}, unavailable: map[string]*unavailableTask{}}
}

// CheckDisruptions has the tasks of a lasting job watched, of whose only step so many may be away.
func (b *Checker) CheckDisruptions(job string, count, mayMiss int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxUnavailable[job] = mayMiss
	for x := range count {
		b.unavailable[fmt.Sprintf("%s.0.0.%d", job, x)] = &unavailableTask{since: time.Now()}
	}
}

// Disruptions returns how many orders have ended a watched task that was at work.
func (b *Checker) Disruptions() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.disruptions
}

// recordReady notes that a run of a lasting task is at work.
func (b *Checker) recordReady(task string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.unavailable, task)
}

// recordNotReady notes that a run has ended. The caller holds the lock.
func (b *Checker) recordNotReady(task string) {
	job, _, _ := strings.Cut(task, ".")
	if _, watched := b.maxUnavailable[job]; watched && b.unavailable[task] == nil {
		b.unavailable[task] = &unavailableTask{since: time.Now()}
	}
}

// checkDisruption checks that not as many others of a task's step are away as it may miss, as
// an order ends it.
func (b *Checker) checkDisruption(o stopOrder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	job, _, _ := strings.Cut(o.task, ".")
	most, watched := b.maxUnavailable[job]
	if !watched || b.unavailable[o.task] != nil {
		return
	}
	b.disruptions++
	if l := b.describeUnavailable(job); len(l) >= most && !o.exempt {
		b.violations = append(b.violations, fmt.Sprintf("%s run %d on %s is ended at work by an order while %d others of its step are away, which may miss %d: %s",
			o.task, o.run, o.worker, len(l), most, strings.Join(l, ", ")))
	}
	b.unavailable[o.task] = &unavailableTask{since: time.Now(), byOrder: true}
}

// describeUnavailable tells of the job's tasks that count as away.
func (b *Checker) describeUnavailable(job string) []string {
	var l []string
	for t, a := range b.unavailable {
		d := time.Since(a.since)
		if strings.HasPrefix(t, job+".") && (a.byOrder || d >= unavailableAfter) {
			l = append(l, fmt.Sprintf("%s for %.2f s, by an order: %t", t, d.Seconds(), a.byOrder))
		}
	}
	slices.Sort(l)
	return l
}
