package job

import (
	"time"

	"amberway/platform"
)

// stepOrder returns the numbers of the steps in an order in which each comes after those that it
// depends on. Steps that wait for each other, directly or not, are left out.
func stepOrder(steps []platform.Step) []int {
	order := make([]int, 0, len(steps))
	waitsFor := make([]int, len(steps))
	dependents := make([][]int, len(steps))
	for i := range steps {
		waitsFor[i] = len(steps[i].After)
		if waitsFor[i] == 0 {
			order = append(order, i)
		}
		for _, a := range steps[i].After {
			dependents[a] = append(dependents[a], i)
		}
	}
	for next := 0; next < len(order); next++ {
		for _, i := range dependents[order[next]] {
			waitsFor[i]--
			if waitsFor[i] == 0 {
				order = append(order, i)
			}
		}
	}
	return order
}

// criticalPaths holds the expected times of the chains of dependent steps of a job. They are the
// same for all of its instances.
type criticalPaths struct {
	// order lists the steps after those that they depend on.
	order []int
	// runTime is the average run time of the queue for which the times were computed.
	runTime time.Duration
	// from holds, by step, the expected time of the longest chain that begins with the step.
	from []time.Duration
	// longest is the expected time of the longest chain of all.
	longest time.Duration
}

// criticalPaths returns the job's critical paths. They are computed again only when the average
// run time of its queue has changed, in time linear in the number of dependencies.
func (c *Core) criticalPaths(j *job) *criticalPaths {
	p := &j.paths
	runTime := c.averageRunTime(j.queue.Name)
	if p.from != nil && p.runTime == runTime {
		return p
	}
	if p.from == nil {
		p.order = stepOrder(j.Steps)
		p.from = make([]time.Duration, len(j.Steps))
	}
	p.runTime = runTime
	p.longest = 0
	clear(p.from)
	for k := len(p.order) - 1; k >= 0; k-- {
		i := p.order[k]
		s := &j.Steps[i]
		p.from[i] += c.expectedRunTime(j, s)
		p.longest = max(p.longest, p.from[i])
		for _, a := range s.After {
			p.from[a] = max(p.from[a], p.from[i])
		}
	}
	return p
}

// deadline returns when the instance of the job has to be done: its due time, plus the
// expected time of its critical path times the queue's stretch, plus the queue's goal.
func (c *Core) deadline(j *job, n *instance) time.Time {
	stretch := j.queue.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	return n.due.Add(time.Duration(stretch*float64(c.criticalPaths(j).longest)) + j.queue.Goal)
}

// latestStart returns when the step has to start for its job to meet its deadline.
func (c *Core) latestStart(s *step) time.Time {
	n := s.instance
	return c.deadline(n.job, n).Add(-c.criticalPaths(n.job).from[s.index])
}
