package job

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// A team's weight is its share: how many jobs a second it may submit while there is more
// work than capacity. Jobs beyond that wait behind those of other teams and are refused
// first. Limiting what a team has running instead would leave capacity idle that nobody else
// needs.

// Parameters of shares.
const (
	// shareBurst is how long a team accumulates unused share.
	shareBurst = time.Second
	// maxShareWait is how long a job beyond its team's share waits behind others at most.
	// Every accepted job has to end, so after this the order of arrival counts again.
	maxShareWait = 10 * time.Second
	// teamFractionIncrease multiplies the admitted fraction of a team's jobs at each
	// evaluation that finds its admitted jobs within its share. minTeamFraction is the
	// lower bound of the fraction.
	teamFractionIncrease = 1.1
	minTeamFraction      = 0.05
	// teamFractionRelax multiplies it instead while work beyond the shares finds hosts again: from
	// a fifth to all in two seconds.
	teamFractionRelax = 1.5
	// teamFractionTolerance is the smallest change of a fraction that is published.
	teamFractionTolerance = 0.1
)

// share tracks how much of its share a team has used.
type share struct {
	// tokenBucket holds the number of jobs that the team may submit now.
	tokenBucket
	// accepted counts its accepted jobs since the last evaluation, overShare those of them that
	// exceeded its share.
	accepted, overShare int
	// fraction is the fraction of its jobs, from 0 to 1, that is admitted while admission
	// is limited.
	fraction float64
}

// spend charges a new job to the team's share, and reports whether it exceeds the share.
func (t *team) spend(now time.Time) bool {
	if t == nil || t.Weight <= 0 {
		return false
	}
	s := &t.share
	capacity := t.Weight * shareBurst.Seconds()
	if s.filledAt.IsZero() {
		s.tokenBucket = tokenBucket{tokens: capacity, filledAt: now}
	}
	s.refill(now, t.Weight, capacity)
	s.accepted++
	if s.tokens < 1 {
		s.overShare++
		return true
	}
	s.tokens--
	return false
}

// adjust evaluates the jobs since the last call and returns the fraction of the team's jobs
// to admit while admission is limited. Only accepted jobs are counted, so the fraction falls
// in proportion to the excess and then grows slowly. If admission was not limited before, it
// starts as the part of the jobs that was within the share. It grows faster while the limits
// are relaxed.
func (s *share) adjust(limited, relaxed bool) float64 {
	if s.fraction == 0 || !limited {
		s.fraction = 1
	}
	switch {
	case relaxed:
		s.fraction = min(1, s.fraction*teamFractionRelax)
	case s.overShare > 0:
		s.fraction = max(minTeamFraction, s.fraction*(1-float64(s.overShare)/float64(s.accepted)))
	default:
		s.fraction = min(1, s.fraction*teamFractionIncrease)
	}
	s.accepted, s.overShare = 0, 0
	return s.fraction
}

// adjustFractions adjusts all teams and returns the fractions of those that are limited,
// given whether admission was limited before and is now, and whether the limits are relaxed.
func (l *teams) adjustFractions(before, limited, relaxed bool) map[string]float64 {
	fractions := map[string]float64{}
	for n, t := range l.byName {
		if f := t.share.adjust(before && limited, before && limited && relaxed); f < 1 && limited {
			fractions[n] = f
		}
	}
	return fractions
}

// inheritShares charges the inherited jobs to the shares of their teams, in the order in which they
// arrived. Otherwise the backlog of a flooding team would count as work within its share after each
// takeover.
func (c *Core) inheritShares() {
	l := slices.Collect(maps.Values(c.active))
	slices.SortFunc(l, func(a, b *job) int {
		return cmp.Or(a.ReceivedAt.Compare(b.ReceivedAt), cmp.Compare(a.id, b.id))
	})
	for _, j := range l {
		j.overShare = j.team.spend(j.ReceivedAt)
	}
	for _, t := range c.teams.byName {
		t.share.accepted, t.share.overShare = 0, 0
	}
}

// limited reports whether the fraction of a team is in force.
func (l *teams) limited() bool {
	for _, t := range l.byName {
		if t.share.fraction > 0 && t.share.fraction < 1 {
			return true
		}
	}
	return false
}

// inheritFractions continues with the fractions of the previous owner.
func (l *teams) inheritFractions(fractions map[string]float64) {
	for n, f := range fractions {
		if t := l.byName[n]; t != nil {
			t.share.fraction = f
		}
	}
}

// sameFractions reports whether the fractions are equal within teamFractionTolerance.
func sameFractions(a, b map[string]float64) bool {
	return maps.EqualFunc(a, b, func(x, y float64) bool { return math.Abs(x-y) < teamFractionTolerance })
}

// beyondShare reports whether the job waits behind jobs within their teams' shares.
func (c *Core) beyondShare(j *job) bool {
	return j.overShare && c.now.Sub(j.knownAt) < maxShareWait
}
