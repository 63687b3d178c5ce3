package job

import (
	"maps"
	"math"
	"time"
)

// A team's weight is how many jobs a second it may send once there is more work than room.
// The jobs that it sends beyond that wait behind those of the others, and are refused
// first. With one team at twelve times its usual for 14 s, and another at eight, four plays
// of 34 s: worth +0.036 +/- 0.017, the worst-served tenth of teams 0.27 and 0.33. Holding
// teams to their weights by what they have running gave +0.044 +/- 0.017 there, and lost
// 0.024 +/- 0.015 where a team at five times its usual had room beside the others.

// Figures of shares.
const (
	// shareBurst is how long a team may save up what it has not sent.
	shareBurst = time.Second
	// maxShareWait is how long the jobs beyond a share wait behind the others at most: all
	// that was taken has to end, and what came first goes first in the end.
	maxShareWait = 10 * time.Second
	// teamFractionIncrease is what the part that is taken of a team's jobs grows by at each judgement
	// at which all that was taken was within its share, leastPart the least that it is.
	teamFractionIncrease = 1.1
	minTeamFraction      = 0.05
	// teamFractionTolerance is the change of a part that entry hosts are told of.
	teamFractionTolerance = 0.1
)

// share is what a team may send before its jobs wait behind those of others.
type share struct {
	// bucket is how many jobs it may send now.
	tokenBucket
	// sent and beyond count its jobs since the last judgement, and those of them that
	// were beyond its share.
	sent, beyond int
	// fraction is which part of its jobs is taken where queues are full, from 0 to 1.
	fraction float64
}

// spend takes in a job that comes now, and reports whether it is beyond the team's share.
func (t *team) spend(now time.Time) bool {
	if t == nil || t.Weight <= 0 {
		return false
	}
	s := &t.share
	most := t.Weight * shareBurst.Seconds()
	if s.filledAt.IsZero() {
		s.tokenBucket = tokenBucket{tokens: most, filledAt: now}
	}
	s.refill(now, t.Weight, most)
	s.sent++
	if s.tokens < 1 {
		s.beyond++
		return true
	}
	s.tokens--
	return false
}

// adjust returns which part of the team's jobs is to be taken where queues are full, and
// begins a new count. Only what was taken is counted, so that the part falls by what is
// beyond the share and grows slowly from there; where all is taken, it is what is within.
func (s *share) adjust(full bool) float64 {
	if s.fraction == 0 || !full {
		s.fraction = 1
	}
	if s.beyond > 0 {
		s.fraction = max(minTeamFraction, s.fraction*(1-float64(s.beyond)/float64(s.sent)))
	} else {
		s.fraction = min(1, s.fraction*teamFractionIncrease)
	}
	s.sent, s.beyond = 0, 0
	return s.fraction
}

// adjustFractions returns which part is taken of the jobs of teams that send more than their
// shares, all of the others', by whether queues were full before and are now.
func (l *teams) adjustFractions(before, full bool) map[string]float64 {
	parts := map[string]float64{}
	for n, t := range l.byName {
		if p := t.share.adjust(before && full); p < 1 && full {
			parts[n] = p
		}
	}
	return parts
}

// sameFractions reports whether callers would be treated alike by both.
func sameFractions(a, b map[string]float64) bool {
	return maps.EqualFunc(a, b, func(x, y float64) bool { return math.Abs(x-y) < teamFractionTolerance })
}

// beyondShare reports whether the job waits behind those that are within their teams'
// shares.
func (c *Core) beyondShare(j *job) bool {
	return j.overShare && c.now.Sub(j.knownAt) < maxShareWait
}
