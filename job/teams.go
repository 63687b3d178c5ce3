package job

import (
	"fmt"
	"maps"
	"slices"

	"amberway/platform"
)

// team is the owner's state of one team. Jobs of public queues without a key have the nil
// team, which has neither cap nor share.
type team struct {
	platform.Team
	// used is what its runs take on all workers, including runs that are being stopped, whose
	// start is unconfirmed, or that an earlier owner started.
	used platform.Resources
	// uncontactedUsage is what runs that earlier owners started may take on workers that
	// have not been contacted.
	uncontactedUsage platform.Resources
	// waitingServices are the services in which its tasks wait for its cap. unblocked says
	// that some of its usage has been released since.
	waitingServices map[string]bool
	unblocked       bool
	// counted is the demand that limitToCap has granted it in the count with the number
	// round.
	counted platform.Resources
	round   int
	share   share
	served  servedCounts
	teams   *teams
}

// teams holds all teams that have submitted jobs or are configured. A team that is removed
// from the configuration keeps its last cap for its remaining jobs.
type teams struct {
	byName map[string]*team
	// unblocked are the teams whose waiting tasks are to be placed again.
	unblocked []*team
	// endedUncontacted are jobs that are final, but may still have runs on workers that
	// have not been contacted.
	endedUncontacted []*job
	// round is the number of the current count by limitToCap.
	round int
}

func newTeams() *teams {
	return &teams{byName: map[string]*team{}}
}

// find returns the team with the name, or nil for "". It adds teams that are not in the
// configuration.
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

// update applies the teams of a configuration.
func (l *teams) update(in []platform.Team) {
	for _, v := range in {
		t := l.find(v.Name)
		t.Team = v
		t.unblock()
	}
}

// mayUse reports whether n more tasks with the need stay within the team's cap.
func (t *team) mayUse(need platform.Resources, n int64) bool {
	if t == nil || t.Cap == (platform.Resources{}) {
		return true
	}
	return t.usage().AddTimes(need, n).Within(t.Cap)
}

// checkCap returns an error if a step of the job can never run within the team's cap. Its
// text is shown to the caller.
func checkCap(r Record, t platform.Team) error {
	for i, s := range r.Steps {
		n := int64(1)
		if s.Gang {
			n = int64(s.Count)
		}
		if !(platform.Resources{}).AddTimes(s.Resources, n).Within(t.Cap) {
			return fmt.Errorf("step %d: needs more than the cap of team %s ever allows", i, t.Name)
		}
	}
	return nil
}

// charge adds n times the need of a run to the team's usage: 1 when the run begins, -1 when
// it has ended.
func (t *team) charge(need platform.Resources, n int64) {
	if t == nil {
		return
	}
	t.used = t.used.AddTimes(need, n)
	if n < 0 {
		t.unblock()
	}
}

// usage returns what the team's runs take, including what may run on workers that have not
// been contacted.
func (t *team) usage() platform.Resources {
	if t == nil {
		return platform.Resources{}
	}
	return t.used.AddTimes(t.uncontactedUsage, 1)
}

// addWaiting records that tasks in the service wait for the team's cap.
func (t *team) addWaiting(service string) {
	t.waitingServices[service] = true
}

// unblock requests a new placement of the tasks that wait for the cap.
func (t *team) unblock() {
	if !t.unblocked && len(t.waitingServices) > 0 {
		t.unblocked = true
		t.teams.unblocked = append(t.teams.unblocked, t)
	}
}

// takeUnblocked returns the services in which tasks waiting for a cap may now start, and
// resets the list.
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

// startCount starts a new count by limitToCap for all teams.
func (l *teams) startCount() {
	l.round++
}

// limitToCap returns how many of n tasks fit below the team's cap, beside the given usage and
// what was granted earlier in this round. Hosts for more tasks would stay idle.
func (t *team) limitToCap(usage, need platform.Resources, n int64) int64 {
	if t == nil || n == 0 || t.Cap == (platform.Resources{}) {
		return n
	}
	if t.round != t.teams.round {
		t.round, t.counted = t.teams.round, platform.Resources{}
	}
	used := usage.AddTimes(t.counted, 1)
	n = min(n, countFitting(t.Cap.MilliCores, used.MilliCores, need.MilliCores),
		countFitting(t.Cap.MemoryMB, used.MemoryMB, need.MemoryMB), countFitting(t.Cap.GPUs, used.GPUs, need.GPUs))
	t.counted = t.counted.AddTimes(need, n)
	return n
}

// countFitting returns how many times the need fits within the limit beside what is used,
// or a very large number if there is no limit.
func countFitting(limit, used, need int64) int64 {
	const many = 1 << 40
	if limit == 0 || need == 0 {
		return many
	}
	return max(0, (limit-used)/need)
}

// addUncontacted adds what a job may have running on workers that have not been contacted
// to its team's uncontactedUsage.
func (c *Core) addUncontacted(j *job) {
	if j.team == nil || c.inheritedRunsKnown(j) {
		return
	}
	if j.leftover != nil {
		j.team.uncontactedUsage = j.team.uncontactedUsage.AddTimes(j.leftover.Running, 1)
	}
	j.team.uncontactedUsage = c.addUnknownRuns(j.team.uncontactedUsage, j)
}

// countUncontacted estimates what earlier owners may have started for each team on workers
// that have not been contacted: all tasks without a known run of jobs that may have runs
// there, but no more than the capacity of those workers, if it is known. Counting this
// against the cap until the workers answer keeps teams within their caps across owners.
func (c *Core) countUncontacted(capacity uncontactedCapacity) {
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
	if capacity.unknown || c.now.Before(c.rosterUnknownUntil) {
		return
	}
	for _, t := range c.teams.byName {
		t.uncontactedUsage = t.uncontactedUsage.Min(capacity.Resources)
	}
}
