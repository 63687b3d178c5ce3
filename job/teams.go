package job

import (
	"fmt"
	"maps"
	"slices"

	"amberway/platform"
)

// team is what an owner knows of one team. The nil team is that of jobs of public queues,
// and has no cap.
type team struct {
	platform.Team
	// used is what its runs take on all workers, also those that are being stopped, whose
	// start was not answered, or that an earlier owner started.
	used platform.Resources
	// uncontactedUsage is what runs of earlier owners may take at workers that have not answered.
	uncontactedUsage platform.Resources
	// waitingServices are the services in which its tasks wait for its cap, and freed says that
	// some of it has come free since.
	waitingServices map[string]bool
	unblocked       bool
	// counted is what was counted of what it asks for in the round.
	counted platform.Resources
	round   int
	share   share
	served  servedCounts
	teams   *teams
}

// teams are those that jobs are handed in by. A team that the configuration has no more
// keeps its last cap for what it handed in before.
type teams struct {
	byName map[string]*team
	// unblocked are the teams with tasks that may start again.
	unblocked []*team
	// endedUncontacted are the jobs that have become final while runs of them may go on unheard of.
	endedUncontacted []*job
	// round numbers the counts of what teams ask for.
	round int
}

func newTeams() *teams {
	return &teams{byName: map[string]*team{}}
}

// find returns the team with the name, which need not be in the configuration; nil for "".
func (l *teams) find(name string) *team {
	if name == "" {
		return nil
	}
	t := l.byName[name]
	if t == nil {
		t = &team{Team: platform.Team{Name: name}, waitingServices: map[string]bool{}, teams: l}
		l.byName[name] = t
	}
	return t
}

// update takes the teams of a configuration in force.
func (l *teams) update(in []platform.Team) {
	for _, v := range in {
		t := l.find(v.Name)
		t.Team = v
		t.unblock()
	}
}

// mayUse reports whether n more tasks that need as much stay within the team's cap.
func (t *team) mayUse(need platform.Resources, n int64) bool {
	if t == nil || t.Cap == (platform.Resources{}) {
		return true
	}
	return t.usage().Plus(need, n).Within(t.Cap)
}

// checkCap returns what of a job can never run within the cap of the team as its caller
// should read it.
func checkCap(r Record, t platform.Team) error {
	for i, s := range r.Steps {
		n := int64(1)
		if s.Gang {
			n = int64(s.Count)
		}
		if !(platform.Resources{}).Plus(s.Resources, n).Within(t.Cap) {
			return fmt.Errorf("step %d: needs more than the cap of team %s ever allows", i, t.Name)
		}
	}
	return nil
}

// charge counts a run that begins, or one that has ended with -1.
func (t *team) charge(need platform.Resources, n int64) {
	if t == nil {
		return
	}
	t.used = t.used.Plus(need, n)
	if n < 0 {
		t.unblock()
	}
}

// usage returns what the team has, as far as is known.
func (t *team) usage() platform.Resources {
	if t == nil {
		return platform.Resources{}
	}
	return t.used.Plus(t.uncontactedUsage, 1)
}

// addWaiting notes that tasks wait in the service for the team's cap.
func (t *team) addWaiting(service string) {
	t.waitingServices[service] = true
}

// unblock has the tasks that wait for the cap placed.
func (t *team) unblock() {
	if !t.unblocked && len(t.waitingServices) > 0 {
		t.unblocked = true
		t.teams.unblocked = append(t.teams.unblocked, t)
	}
}

// takeUnblocked returns the services in which tasks that waited for a cap may start.
func (l *teams) takeUnblocked() []string {
	var s []string
	for _, t := range l.unblocked {
		s = slices.AppendSeq(s, maps.Keys(t.waitingServices))
		clear(t.waitingServices)
		t.unblocked = false
	}
	l.unblocked = l.unblocked[:0]
	return s
}

// startCount begins a count of what teams ask for.
func (l *teams) startCount() {
	l.round++
}

// limitToCap returns how many of n tasks the team may have beside what it takes and what was
// counted of it in this round: hosts for more of them would stand idle.
func (t *team) limitToCap(takes, need platform.Resources, n int64) int64 {
	if t == nil || n == 0 || t.Cap == (platform.Resources{}) {
		return n
	}
	if t.round != t.teams.round {
		t.round, t.counted = t.teams.round, platform.Resources{}
	}
	has := takes.Plus(t.counted, 1)
	n = min(n, countFitting(t.Cap.MilliCores, has.MilliCores, need.MilliCores),
		countFitting(t.Cap.MemoryMB, has.MemoryMB, need.MemoryMB), countFitting(t.Cap.GPUs, has.GPUs, need.GPUs))
	t.counted = t.counted.Plus(need, n)
	return n
}

// countFitting returns how often the need fits beside what is taken, many times where there
// is no bound.
func countFitting(bound, taken, need int64) int64 {
	const many = 1 << 40
	if bound == 0 || need == 0 {
		return many
	}
	return max(0, (bound-taken)/need)
}

// addUncontacted counts the tasks of a job that may run unheard of.
func (c *Core) addUncontacted(j *job) {
	if j.team == nil || c.inheritedRunsKnown(j) {
		return
	}
	if j.leftover != nil {
		j.team.uncontactedUsage = j.team.uncontactedUsage.Plus(j.leftover.Running, 1)
	}
	for _, n := range j.instances {
		for _, s := range n.steps {
			j.team.uncontactedUsage = j.team.uncontactedUsage.Plus(s.Resources, int64(s.idle))
		}
	}
}

// countUncontacted counts what earlier owners may have started for each team at workers that
// have not answered: the tasks without a run of jobs that are not settled, but no more
// than those workers have, where that is known. Until they answer, nothing that the count
// leaves no room for is started, so that a team stays within its cap across owners.
func (c *Core) countUncontacted(unmet uncontactedRoom) {
	for _, t := range c.teams.byName {
		if t.uncontactedUsage != (platform.Resources{}) {
			t.uncontactedUsage = platform.Resources{}
			t.unblock()
		}
	}
	if len(c.uncontacted) == 0 && !c.now.Before(c.rosterUnknownUntil) {
		c.teams.endedUncontacted = nil
		return
	}
	for _, j := range c.active {
		c.addUncontacted(j)
	}
	for _, j := range c.teams.endedUncontacted {
		c.addUncontacted(j)
	}
	if unmet.unknown || c.now.Before(c.rosterUnknownUntil) {
		return
	}
	for _, t := range c.teams.byName {
		t.uncontactedUsage = t.uncontactedUsage.Least(unmet.Resources)
	}
}
