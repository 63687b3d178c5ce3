package job

import (
	"time"

	"amberway/platform"
)

// First-class work is lasting tasks, and the tasks of jobs that can be in time and are within
// their team's share. Placement takes it before other work of its priority (compareCandidates).

// firstClass is what the first-class work of a pool needs.
type firstClass struct {
	// now is what its tasks need that run or wait for room, soon what those need that will do so
	// when a host that is moved now runs tasks.
	now, soon platform.Resources
	// inTime is the part of soon without the tasks that would be late on such a host.
	inTime platform.Resources
	// waiting is the work, in core-seconds, of its tasks that wait for room, and waitingInTime the
	// part of it that would be in time on such a host.
	waiting, waitingInTime float64
	// spread and spreadInTime count the hosts that steps need for their MaxPerWorker.
	spread, spreadInTime int
}

// firstTasks counts the first-class tasks of one step, by the terms of firstClass.
type firstTasks struct {
	step                   *step
	now, soon, inTime      int
	waiting, waitingInTime int
}

// firstClassOf returns what the first-class work of a service needs, with hosts moved now running
// tasks at the given time. It leaves out jobs that may not run yet and tasks beyond their team's
// cap.
func (c *Core) firstClassOf(service string, at time.Time) firstClass {
	var l []firstTasks
	var need firstClass
	for j := range c.listOf(service).jobs.All() {
		if !c.inheritedRunsKnown(j) {
			continue
		}
		beyond := c.beyondShare(j)
		for n := range j.inOrder() {
			for _, s := range n.steps {
				if s.remaining == 0 || beyond && !s.Lasting {
					continue
				}
				latest := c.latestStart(s)
				l = append(l, c.firstTasks(s, latest, at))
				c.addSpread(&need, s, latest, at)
			}
		}
	}
	need.now = c.sumTasks(l, func(t firstTasks) int { return t.now })
	need.soon = c.sumTasks(l, func(t firstTasks) int { return t.soon })
	need.inTime = c.sumTasks(l, func(t firstTasks) int { return t.inTime })
	need.waiting = c.sumWork(l, func(t firstTasks) int { return t.waiting })
	need.waitingInTime = c.sumWork(l, func(t firstTasks) int { return t.waitingInTime })
	return need
}

// firstTasks counts the first-class tasks of a step that has to start by latest and is within its
// team's share.
func (c *Core) firstTasks(s *step, latest, at time.Time) firstTasks {
	t := firstTasks{step: s}
	switch {
	case s.Lasting:
		n := c.remainingOutside(s)
		t.soon, t.inTime = n, n
		if s.unblocked() {
			t.now = n
		}
		return t
	case !s.unblocked():
		if c.unblockedBy(s, at) {
			t.soon, t.inTime = s.remaining, s.remaining
		}
	default:
		t.now, t.soon, t.inTime = s.idle, s.idle, s.idle
		t.waiting, t.waitingInTime = s.idle, s.idle
	}
	if c.now.After(latest) {
		t.now, t.soon, t.waiting = 0, 0, 0
	}
	if at.After(latest) {
		t.inTime, t.waitingInTime = 0, 0
	}
	c.addFirstRuns(&t, latest, at)
	return t
}

// addFirstRuns adds the tasks that run and were started by latest. When an adopted run was started
// is not known; it counts as first-class.
func (c *Core) addFirstRuns(t *firstTasks, latest, at time.Time) {
	runTime := c.expectedRunTime(t.step.instance.job, t.step.Step)
	for _, v := range t.step.tasks {
		if v.done || len(v.runs) == 0 || v.runsEvacuated() {
			continue
		}
		r := v.runs[0]
		if !r.adopted && r.sentAt.After(latest) {
			continue
		}
		t.now++
		if r.sentAt.Add(runTime).After(at) {
			t.soon++
			t.inTime++
		}
	}
}

// sumTasks returns what the counted tasks need within their teams' caps.
func (c *Core) sumTasks(l []firstTasks, count func(firstTasks) int) platform.Resources {
	var sum platform.Resources
	c.teams.startCount()
	for _, t := range l {
		n := t.step.instance.job.team.limitToCap(platform.Resources{}, t.step.Resources, int64(count(t)))
		sum = sum.AddTimes(workerDemand(t.step.Step), n)
	}
	return sum
}

// sumWork returns the work of the counted tasks, which wait for room, in core-seconds, within what
// their teams' caps leave.
func (c *Core) sumWork(l []firstTasks, count func(firstTasks) int) float64 {
	sum := 0.0
	c.teams.startCount()
	for _, t := range l {
		sum += c.waitingWork(t.step, count(t))
	}
	return sum
}

// waitingWork returns the work of n tasks of the step, in core-seconds, as far as the cap of their
// team leaves room for them beside those that run and those counted since startCount.
func (c *Core) waitingWork(s *step, n int) float64 {
	j := s.instance.job
	k := j.team.limitToCap(j.team.usage(), s.Resources, int64(n))
	if k <= 0 {
		return 0
	}
	return float64(k*workerDemand(s.Step).MilliCores) / 1000 * c.expectedRunTime(j, s.Step).Seconds()
}

// addSpread counts the hosts that the step needs for its MaxPerWorker.
func (c *Core) addSpread(need *firstClass, s *step, latest, at time.Time) {
	if s.MaxPerWorker == 0 || !s.unblocked() {
		return
	}
	n := (c.remainingOutside(s) + s.MaxPerWorker - 1) / s.MaxPerWorker
	if s.Lasting || !c.now.After(latest) {
		need.spread = max(need.spread, n)
	}
	if s.Lasting || !at.After(latest) {
		need.spreadInTime = max(need.spreadInTime, n)
	}
}
