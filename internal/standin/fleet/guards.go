package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// noticeAfter is how long a lasting task may be away before it counts as that, unless an
// order has ended it.
const noticeAfter = 4500 * time.Millisecond

// guards are the books of lasting jobs of which only some tasks may be away at once.
type guards struct {
	// mayMiss are the jobs, with how many of their tasks may be away.
	mayMiss map[string]int
	// away are their tasks that are not at work.
	away map[string]*awayTask
	// endings counts the orders that have ended one that was at work.
	endings int
}

// awayTask is a lasting task that is not at work.
type awayTask struct {
	since time.Time
	// byOrder says that an order ended it when it was last at work.
	byOrder bool
}

// order is an order that ends a run.
type order struct {
	task, worker string
	run          int64
	// exempt says that it may end the run whatever else is away: its worker leaves, or it
	// was held up.
	exempt bool
}

func newGuards() guards {
	return guards{mayMiss: map[string]int{}, away: map[string]*awayTask{}}
}

// Guard has the tasks of a lasting job watched, of whose only step so many may be away.
func (b *Books) Guard(job string, count, mayMiss int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mayMiss[job] = mayMiss
	for x := range count {
		b.away[fmt.Sprintf("%s.0.0.%d", job, x)] = &awayTask{since: time.Now()}
	}
}

// Endings returns how many orders have ended a watched task that was at work.
func (b *Books) Endings() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endings
}

// cameToWork notes that a run of a lasting task is at work.
func (b *Books) cameToWork(task string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.away, task)
}

// leftWork notes that a run has ended. The caller holds the lock.
func (b *Books) leftWork(task string) {
	job, _, _ := strings.Cut(task, ".")
	if _, watched := b.mayMiss[job]; watched && b.away[task] == nil {
		b.away[task] = &awayTask{since: time.Now()}
	}
}

// endedByOrder checks that not as many others of a task's step are away as it may miss, as
// an order ends it.
func (b *Books) endedByOrder(o order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	job, _, _ := strings.Cut(o.task, ".")
	most, watched := b.mayMiss[job]
	if !watched || b.away[o.task] != nil {
		return
	}
	b.endings++
	if l := b.othersAway(job); len(l) >= most && !o.exempt {
		b.broken = append(b.broken, fmt.Sprintf("%s run %d on %s is ended at work by an order while %d others of its step are away, which may miss %d: %s",
			o.task, o.run, o.worker, len(l), most, strings.Join(l, ", ")))
	}
	b.away[o.task] = &awayTask{since: time.Now(), byOrder: true}
}

// othersAway tells of the job's tasks that count as away.
func (b *Books) othersAway(job string) []string {
	var l []string
	for t, a := range b.away {
		d := time.Since(a.since)
		if strings.HasPrefix(t, job+".") && (a.byOrder || d >= noticeAfter) {
			l = append(l, fmt.Sprintf("%s for %.2f s, by an order: %t", t, d.Seconds(), a.byOrder))
		}
	}
	slices.Sort(l)
	return l
}
