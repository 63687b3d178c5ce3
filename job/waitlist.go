package job

import (
	"cmp"
	"slices"
	"time"

	"amberway/common"
)

// candidate is an unblocked step, which may have waiting tasks.
type candidate struct {
	*step
	priority int
	// overShare says that the job exceeds its team's share, see beyondShare.
	overShare bool
	// late says that the job is not expected to meet its deadline any more.
	late bool
	// latestStart is when the step has to start for its job to meet its deadline.
	latestStart time.Time
}

// waitlist holds the jobs of one service and their steps in the order of placement.
type waitlist struct {
	service string
	jobs    common.OrderedSet[*job]
	// steps are the unblocked steps, the most urgent first. They are collected again if
	// needsSort is set.
	steps     []candidate
	needsSort bool
	// head is the first step with waiting tasks, as of the last placement.
	head candidate
	// needsPlacement says that there may be room for waiting tasks.
	needsPlacement bool
}

// waitlists keeps the order in which tasks are placed, by service. Collecting and sorting
// the steps is expensive with some hundred jobs, while most events change only the room on
// the workers of one service.
type waitlists struct {
	byService map[string]*waitlist
	// all are the waitlists in the order in which they were added.
	all []*waitlist
}

func newWaitlists() waitlists {
	return waitlists{byService: map[string]*waitlist{}}
}

// listOf returns the waitlist of the service, which it creates if there is none.
func (l *waitlists) listOf(service string) *waitlist {
	w := l.byService[service]
	if w == nil {
		w = &waitlist{service: service}
		l.byService[service] = w
		l.all = append(l.all, w)
	}
	return w
}

// replan requests a placement of the service's waiting tasks, as there may be room for them.
func (l *waitlists) replan(service string) {
	l.listOf(service).needsPlacement = true
}

// reorder requests that the service's unblocked steps are collected, sorted and placed.
func (l *waitlists) reorder(service string) {
	w := l.listOf(service)
	w.needsSort = true
	w.needsPlacement = true
}

func (l *waitlists) reorderAll() {
	for s := range l.byService {
		l.reorder(s)
	}
}

// enqueue adds an active job.
func (l *waitlists) enqueue(j *job) {
	l.listOf(j.queue.Service).jobs.Add(j)
	l.reorder(j.queue.Service)
}

// dequeue removes a job that is final.
func (l *waitlists) dequeue(j *job) {
	l.listOf(j.queue.Service).jobs.Remove(j)
	l.reorder(j.queue.Service)
}

// rebuildWaitlists sorts all active jobs into the waitlists again, since a new
// configuration may have changed their services.
func (c *Core) rebuildWaitlists() {
	var jobs []*job
	for _, l := range c.all {
		jobs = slices.AppendSeq(jobs, l.jobs.All())
		l.jobs.Clear()
	}
	for _, j := range jobs {
		c.enqueue(j)
	}
	c.reorderAll()
}

// place starts waiting tasks in all services that need it, the most urgent first, as far as
// there is room.
func (c *Core) place() {
	counted := false
	for _, s := range c.teams.takeUnblocked() {
		c.replan(s)
	}
	var due []*waitlist
	for _, l := range c.all {
		if !l.needsPlacement {
			continue
		}
		l.needsPlacement = false
		if l.needsSort && !counted {
			c.updateUncontacted()
			counted = true
		}
		if l.needsSort {
			l.needsSort = false
			c.collect(l)
		}
		l.head = l.first()
		if l.head.step == nil {
			c.recordDemand(l.service, l.steps)
			continue
		}
		due = append(due, l)
	}
	// If not all starts can be sent now, the service with the most urgent step goes first.
	slices.SortFunc(due, func(a, b *waitlist) int { return compareCandidates(a.head, b.head) })
	for _, l := range due {
		if !c.placeAll(c.pools[l.service], l.steps) {
			l.needsPlacement = true
			c.scheduleWake(c.flow.nextStartAt(c.now))
		}
		c.recordDemand(l.service, l.steps)
	}
}

// first returns the most urgent step with waiting tasks that its team's cap allows, or the
// zero candidate.
func (l *waitlist) first() candidate {
	for _, s := range l.steps {
		if s.idle > 0 && s.withinCap(1) {
			return s
		}
	}
	return candidate{}
}

// collect collects and sorts the unblocked steps of the jobs that may run.
func (c *Core) collect(l *waitlist) {
	l.steps = l.steps[:0]
	for j := range l.jobs.All() {
		if !c.inheritedRunsKnown(j) || !c.mayStartInService(j) {
			continue
		}
		for _, n := range j.instances {
			if j.Times == 0 || !c.now.Before(n.due) {
				c.collectSteps(l, n)
			}
		}
	}
	sortCandidates(l.steps)
}

func (c *Core) collectSteps(l *waitlist, n *instance) {
	q := n.job.queue
	for _, s := range n.steps {
		if s.remaining == 0 || !s.unblocked() {
			continue
		}
		latest := c.latestStart(s)
		l.steps = append(l.steps, candidate{
			step:        s,
			priority:    q.Priority,
			overShare:   c.beyondShare(n.job),
			late:        !s.Lasting && c.now.After(latest),
			latestStart: latest,
		})
	}
}

func sortCandidates(l []candidate) {
	slices.SortFunc(l, compareCandidates)
}

// compareCandidates orders the more urgent step first and the zero candidate last.
func compareCandidates(a, b candidate) int {
	if a.step == nil || b.step == nil {
		return compareBool(a.step == nil, b.step == nil)
	}
	return cmp.Or(
		cmp.Compare(a.priority, b.priority),
		compareBool(a.overShare, b.overShare),
		compareBool(a.late, b.late),
		a.latestStart.Compare(b.latestStart),
		cmp.Compare(a.instance.job.id, b.instance.job.id),
		cmp.Compare(a.instance.index, b.instance.index),
		cmp.Compare(a.index, b.index),
	)
}
