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
	// unheard is what runs of earlier owners may take at workers that have not answered.
	unheard platform.Resources
	// held are the services in which its tasks wait for its cap, and freed says that
	// some of it has come free since.
	held  map[string]bool
	freed bool
	// asked is what was counted of what it asks for in the round.
	asked  platform.Resources
	round  int
	share  share
	served served
	of     *teams
}

// teams are those that jobs are handed in by. A team that the configuration has no more
// keeps its last cap for what it handed in before.
type teams struct {
	byName map[string]*team
	// freed are the teams with tasks that may start again.
	freed []*team
	// ended are the jobs that have become final while runs of them may go on unheard of.
	ended []*job
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
		t = &team{Team: platform.Team{Name: name}, held: map[string]bool{}, of: l}
		l.byName[name] = t
	}
	return t
}

// take takes the teams of a configuration in force.
func (l *teams) take(in []platform.Team) {
	for _, v := range in {
		t := l.find(v.Name)
		t.Team = v
		t.free()
	}
}

// mayTake reports whether n more tasks that need as much stay within the team's cap.
func (t *team) mayTake(need platform.Resources, n int64) bool {
	if t == nil || t.Cap == (platform.Resources{}) {
		return true
	}
	return t.taken().Plus(need, n).Within(t.Cap)
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
		t.free()
	}
}

// taken returns what the team has, as far as is known.
func (t *team) taken() platform.Resources {
	if t == nil {
		return platform.Resources{}
	}
	return t.used.Plus(t.unheard, 1)
}

// hold notes that tasks wait in the service for the team's cap.
func (t *team) hold(service string) {
	t.held[service] = true
}

// free has the tasks that wait for the cap placed.
func (t *team) free() {
	if !t.freed && len(t.held) > 0 {
		t.freed = true
		t.of.freed = append(t.of.freed, t)
	}
}

// released returns the services in which tasks that waited for a cap may start.
func (l *teams) released() []string {
	var s []string
	for _, t := range l.freed {
		s = slices.AppendSeq(s, maps.Keys(t.held))
		clear(t.held)
		t.freed = false
	}
	l.freed = l.freed[:0]
	return s
}

// count begins a count of what teams ask for.
func (l *teams) count() {
	l.round++
}

// asks returns how many of n tasks the team may have beside what it takes and what was
// counted of it in this round: hosts for more of them would stand idle.
func (t *team) asks(takes, need platform.Resources, n int64) int64 {
	if t == nil || n == 0 || t.Cap == (platform.Resources{}) {
		return n
	}
	if t.round != t.of.round {
		t.round, t.asked = t.of.round, platform.Resources{}
	}
	has := takes.Plus(t.asked, 1)
	n = min(n, fitsTimes(t.Cap.MilliCores, has.MilliCores, need.MilliCores),
		fitsTimes(t.Cap.MemoryMB, has.MemoryMB, need.MemoryMB), fitsTimes(t.Cap.GPUs, has.GPUs, need.GPUs))
	t.asked = t.asked.Plus(need, n)
	return n
}

// fitsTimes returns how often the need fits beside what is taken, many times where there
// is no bound.
func fitsTimes(bound, taken, need int64) int64 {
	const many = 1 << 40
	if bound == 0 || need == 0 {
		return many
	}
	return max(0, (bound-taken)/need)
}

// addUnheard counts the tasks of a job that may run unheard of.
func (c *Core) addUnheard(j *job) {
	if j.team == nil || c.settled(j) {
		return
	}
	if j.left != nil {
		j.team.unheard = j.team.unheard.Plus(j.left.Running, 1)
	}
	for _, n := range j.instances {
		for _, s := range n.steps {
			j.team.unheard = j.team.unheard.Plus(s.Resources, int64(s.idle))
		}
	}
}

// countUnheard counts what earlier owners may have started for each team at workers that
// have not answered: the tasks without a run of jobs that are not settled, but no more
// than those workers have, where that is known. Until they answer, nothing that the count
// leaves no room for is started, so that a team stays within its cap across owners.
func (c *Core) countUnheard(unmet unmetRoom) {
	for _, t := range c.teams.byName {
		if t.unheard != (platform.Resources{}) {
			t.unheard = platform.Resources{}
			t.free()
		}
	}
	if len(c.unmet) == 0 && !c.now.Before(c.unreadUntil) {
		c.teams.ended = nil
		return
	}
	for _, j := range c.live {
		c.addUnheard(j)
	}
	for _, j := range c.teams.ended {
		c.addUnheard(j)
	}
	if unmet.unknown || c.now.Before(c.unreadUntil) {
		return
	}
	for _, t := range c.teams.byName {
		t.unheard = t.unheard.Least(unmet.Resources)
	}
}
