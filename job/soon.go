package job

import (
	"time"

	"amberway/platform"
)

// upcomingDemand returns what the jobs of a service that are known will ask for at the time:
// what waits, what will still run, and the steps that will have opened. The later
// steps of a job ask for hosts seconds after it came. Jobs that may not run yet ask
// for none, and what is beyond the cap of its team for as little.
func (c *Core) upcomingDemand(service string, at time.Time) platform.Resources {
	var sum platform.Resources
	c.teams.startCount()
	for _, j := range c.listOf(service).jobs {
		if !c.inheritedRunsKnown(j) {
			continue
		}
		for _, n := range j.instances {
			for _, s := range n.steps {
				tasks := j.team.limitToCap(platform.Resources{}, s.Resources, int64(c.upcomingTasks(s, at)))
				sum = sum.Plus(workerDemand(s.Step), tasks)
			}
		}
	}
	return sum
}

// upcomingTasks returns how many tasks of the step will ask for room at the time.
func (c *Core) upcomingTasks(s *step, at time.Time) int {
	switch {
	case s.remaining == 0:
		return 0
	case s.Lasting:
		return s.remaining
	case !s.unblocked():
		if c.opensBy(s, at) {
			return s.remaining
		}
		return 0
	}
	return c.unfinished(s, at)
}

// opensBy reports whether the steps before s are to be done by the time.
func (c *Core) opensBy(s *step, at time.Time) bool {
	for _, a := range s.After {
		before := s.of.steps[a]
		if before.remaining > 0 && (!before.unblocked() || c.unfinished(before, at) > 0) {
			return false
		}
	}
	return true
}

// unfinished counts the tasks of an open step that will not be done by the time.
func (c *Core) unfinished(s *step, at time.Time) int {
	n := s.idle
	takes := c.expectedRunTime(s.of.job, s.Step)
	for _, t := range s.tasks {
		if !t.done && len(t.runs) > 0 && t.runs[0].sentAt.Add(takes).After(at) {
			n++
		}
	}
	return n
}
