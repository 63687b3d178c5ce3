package job

import (
	"time"

	"amberway/platform"
)

// upcomingDemand returns the resources that the known jobs of a service will need at a
// future time: for waiting tasks, tasks that will still run, and steps that will be
// unblocked by then, since the later steps of a job need hosts only seconds after it
// arrives. It leaves out jobs that may not run yet and tasks beyond their team's cap.
func (c *Core) upcomingDemand(service string, at time.Time) platform.Resources {
	var sum platform.Resources
	c.teams.startCount()
	for j := range c.listOf(service).jobs.All() {
		if !c.inheritedRunsKnown(j) {
			continue
		}
		for n := range j.inOrder() {
			for _, s := range n.steps {
				tasks := j.team.limitToCap(platform.Resources{}, s.Resources, int64(c.upcomingTasks(s, at)))
				sum = sum.AddTimes(workerDemand(s.Step), tasks)
			}
		}
	}
	return sum
}

// upcomingTasks returns how many tasks of the step will run or wait for room at the time.
func (c *Core) upcomingTasks(s *step, at time.Time) int {
	switch {
	case s.remaining == 0:
		return 0
	case s.Lasting:
		return c.remainingOutside(s)
	case !s.unblocked():
		if c.unblockedBy(s, at) {
			return s.remaining
		}
		return 0
	}
	return c.unfinished(s, at)
}

// unblockedBy reports whether the steps before s are expected to be done by the time.
func (c *Core) unblockedBy(s *step, at time.Time) bool {
	for _, a := range s.After {
		before := s.instance.steps[a]
		if before.remaining > 0 && (!before.unblocked() || c.unfinished(before, at) > 0) {
			return false
		}
	}
	return true
}

// unfinished counts the tasks of an unblocked step that are not expected to be done by the
// time.
func (c *Core) unfinished(s *step, at time.Time) int {
	n := s.idle
	runTime := c.expectedRunTime(s.instance.job, s.Step)
	for _, t := range s.tasks {
		if !t.done && len(t.runs) > 0 && !t.runsEvacuated() && t.runs[0].sentAt.Add(runTime).After(at) {
			n++
		}
	}
	return n
}
