package job

import (
	"slices"
)

// servedCounts counts jobs that have finished, in time or late.
type servedCounts struct {
	inTime, late int
}

// recordServed counts a finished job as in time or late. Recurring jobs are left out: like
// lasting ones, they have no deadline.
func (c *Core) recordServed(j *job, n *instance) {
	if j.Times > 0 {
		return
	}
	inTime := !c.now.After(c.deadline(j, n))
	c.emit(LogLine{What: whatJobServed, Job: j.id, Fields: []any{"in_time", inTime, "data_centre", j.DataCentre, "team", j.Team}})
	switch {
	case j.team == nil:
	case inTime:
		j.team.served.inTime++
	default:
		j.team.served.late++
	}
}

// whatJobServed is the What of the log line for a finished job.
const whatJobServed = "job served"

// worstTenth returns the mean fraction of jobs finished in time over the worst-served tenth
// of the teams, at least one team, or false if no team has finished a job.
func (l *teams) worstTenth() (float64, bool) {
	var fractions []float64
	for _, t := range l.byName {
		if n := t.served.inTime + t.served.late; n > 0 {
			fractions = append(fractions, float64(t.served.inTime)/float64(n))
		}
	}
	if len(fractions) == 0 {
		return 0, false
	}
	slices.Sort(fractions)
	worst := fractions[:max(1, len(fractions)/10)]
	sum := 0.0
	for _, s := range worst {
		sum += s
	}
	return sum / float64(len(worst)), true
}

// worstTenth returns teams.worstTenth if this host is the owner, and false otherwise.
func (n *Node) worstTenth() (float64, bool) {
	o := n.localOwner()
	if o == nil {
		return 0, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.teams.worstTenth()
}
