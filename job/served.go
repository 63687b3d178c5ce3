package job

import (
	"slices"
)

// servedCounts counts the jobs that were done, by whether they were in time.
type servedCounts struct {
	inTime, late int
}

// recordServed counts a job that is done. Jobs with times and lasting ones have no time in
// which they are to be done.
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

// whatJobServed is the name of the line for a job that is done.
const whatJobServed = "job served"

// worstTenth returns the share of jobs in time of the worst-served tenth of the teams, one
// at least, or false where no team has been served.
func (l *teams) worstTenth() (float64, bool) {
	var shares []float64
	for _, t := range l.byName {
		if n := t.served.inTime + t.served.late; n > 0 {
			shares = append(shares, float64(t.served.inTime)/float64(n))
		}
	}
	if len(shares) == 0 {
		return 0, false
	}
	slices.Sort(shares)
	worst := shares[:max(1, len(shares)/10)]
	sum := 0.0
	for _, s := range worst {
		sum += s
	}
	return sum / float64(len(worst)), true
}

// worstTenth returns the worst-served tenth of teams where this host owns.
func (n *Node) worstTenth() (float64, bool) {
	o := n.localOwner()
	if o == nil {
		return 0, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.teams.worstTenth()
}
