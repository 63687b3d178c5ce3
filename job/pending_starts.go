package job

import (
	"math"
)

// pendingStarts counts tasks that are waiting to start.
type pendingStarts struct {
	// inTime counts those of jobs whose deadline has not passed, late the others.
	inTime, late int
}

// pendingByPriority holds the pending starts of each priority.
type pendingByPriority map[int]pendingStarts

// upTo returns the pending starts of the priority and of all more urgent ones.
func (l pendingByPriority) upTo(priority int) pendingStarts {
	var n pendingStarts
	for p, w := range l {
		if p <= priority {
			n.inTime += w.inTime
			n.late += w.late
		}
	}
	return n
}

// addUpTo adds at most limit of the other starts, the most urgent first and those in time
// before late ones.
func (l pendingByPriority) addUpTo(o pendingByPriority, limit int) {
	for p, w := range sorted(o) {
		w.inTime = min(w.inTime, limit)
		w.late = min(w.late, limit-w.inTime)
		limit -= w.inTime + w.late
		sum := l[p]
		sum.inTime += w.inTime
		sum.late += w.late
		l[p] = sum
	}
}

// countPendingStarts counts the tasks that wait for the owner to send their start. Of each
// pool, no more are counted than its hosts can take within limitAboveDelay: the others wait for
// hosts, however fast the owner sends. When all were counted, a flood on one pool limited the
// queues of pools with idle hosts as well.
func (c *Core) countPendingStarts() pendingByPriority {
	l := pendingByPriority{}
	for _, w := range c.all {
		pending := pendingByPriority{}
		for j := range w.jobs.All() {
			n := pending[j.queue.Priority]
			for _, i := range j.instances {
				k := i.unstarted()
				if k > 0 && c.now.After(c.deadline(j, i)) {
					n.late += k
				} else {
					n.inTime += k
				}
			}
			pending[j.queue.Priority] = n
		}
		l.addUpTo(pending, c.startableSoon(w))
	}
	return l
}

// startableSoon returns how many waiting tasks of a service its hosts can take within
// limitAboveDelay: those for which cores are free now, and as many as the cores hold that
// running tasks will free. Run times of short tasks are about as long as limitAboveDelay. A new
// owner counts the hosts that have yet to answer it as well.
func (c *Core) startableSoon(l *waitlist) int {
	var tasks, needed int64
	for _, s := range l.steps {
		if !s.Lasting && !s.BestEffort && s.idle > 0 {
			tasks += int64(s.idle)
			needed += int64(s.idle) * s.MilliCores
		}
	}
	if needed == 0 {
		return math.MaxInt
	}
	unanswered := c.now.Before(c.admission.evaluateByRateUntil)
	usable := -c.lastingCores(l.service)
	for _, w := range c.pools[l.service] {
		if w.acceptsStarts(c.now) || unanswered && c.inService(w) {
			usable += w.Capacity.MilliCores
		}
	}
	return int(max(0, usable) / max(1, needed/tasks))
}

// unstarted counts the tasks of the instance that are waiting to start. Lasting tasks are
// left out: they are few, and wait again only after they end.
func (i *instance) unstarted() int {
	n := 0
	for _, s := range i.steps {
		if !s.Lasting {
			n += s.idle
		}
	}
	return n
}
