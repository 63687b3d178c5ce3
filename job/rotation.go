package job

import (
	"fmt"
	"slices"
	"time"
)

// Figures of learning how the peak of the load goes round.
const (
	// peakShare is the part of all load from which on one service is at its peak:
	// more than all others together.
	peakShare = 0.5
	// peakJobs is the fewest jobs, of the last arrivalWindow, that make a peak: one
	// or two large ones are chance.
	peakJobs = 3
	// leastGap and mostGap bound the time between two peaks that is taken for a
	// pattern: hosts take 1.7 s to move there and as long to move back, and a
	// history goes back two minutes.
	leastGap = 2 * moveTakes
	mostGap  = historySteps * historyStep / 2
	// gapTolerance is the part of a gap by which two gaps may differ and still be
	// the same pattern.
	gapTolerance = 0.25
	// aheadOf is how far ahead of now a service has hosts ordered: a host takes
	// moveTakes, and turns come up to half a second sooner or later.
	aheadOf = moveTakes + 500*time.Millisecond
	// smoothSteps is how many entries of a profile on each side are averaged: one
	// entry holds some few jobs.
	smoothSteps = 2
)

// load is what comes in for one service now.
type load struct {
	service string
	// cores is the work that comes in, jobs how many jobs of late brought it.
	cores, jobs float64
	past        *history
}

// rotation is what has been learned of a load whose peak goes from one service to
// the next at regular gaps. The zero rotation has learned nothing and expects
// nothing, and neither does one whose gaps differ.
type rotation struct {
	// peak is the service that has carried most of the load since risenAt.
	peak    string
	risenAt time.Time
	// rises says when each service last rose to the peak.
	rises map[string]time.Time
	// centre is the middle of the turn of the service that had the peak before.
	centre time.Time
	// gap is the time between two centres; regular says that the last ones agree.
	gap     time.Duration
	regular bool
	// astray says that the last rise was not where it was expected.
	astray bool
	// profile is the load of a turn, in cores for each historyStep, with its centre
	// in the middle: the mean of the last turns.
	profile []int
}

// observe takes in what comes in now. It reports whether it has learned something
// that a next owner should know.
func (r *rotation) observe(now time.Time, all []load) bool {
	total := 0.0
	for _, l := range all {
		total += l.cores
	}
	for _, l := range all {
		if l.service != r.peak && l.cores > peakShare*total && l.jobs >= peakJobs {
			r.rise(now, l.service, all)
			return true
		}
	}
	return false
}

// rise notes that a service has come to its peak, and so that the turn of the one
// before is over.
func (r *rotation) rise(now time.Time, service string, all []load) {
	turn := now.Sub(r.risenAt)
	if !r.risenAt.IsZero() && turn >= leastGap && turn <= mostGap {
		r.astray = !slices.Contains(r.next(all), service)
		r.endTurn(now, turn, all)
	}
	if r.rises == nil {
		r.rises = map[string]time.Time{}
	}
	r.rises[service] = now
	r.peak = service
	r.risenAt = now
}

// endTurn learns from the turn that is over.
func (r *rotation) endTurn(now time.Time, turn time.Duration, all []load) {
	from := r.risenAt.Add(-turn / 2)
	i := slices.IndexFunc(all, func(l load) bool { return l.service == r.peak })
	if i < 0 {
		return
	}
	c := all[i].past.centre(from, now)
	if !r.centre.IsZero() {
		r.takeGap(c.Sub(r.centre))
	}
	r.centre = c
	r.takeProfile(all[i].past, turn)
}

func (r *rotation) takeGap(gap time.Duration) {
	if r.gap == 0 {
		r.gap = gap
		r.regular = true
		return
	}
	r.regular = (gap - r.gap).Abs() <= time.Duration(gapTolerance*float64(r.gap))
	if r.regular {
		gap = (r.gap + gap) / 2
	}
	r.gap = gap
}

// takeProfile takes the turn around the centre into the profile.
func (r *rotation) takeProfile(h *history, turn time.Duration) {
	half := int64(turn / historyStep)
	if len(r.profile) > 0 {
		half = int64(len(r.profile) / 2)
	}
	c := stepOf(r.centre)
	p := make([]int, 2*half+1)
	for i := range p {
		p[i] = int(h.at(c - half + int64(i)))
		if len(r.profile) > 0 {
			p[i] = (p[i] + r.profile[i]) / 2
		}
	}
	r.profile = p
}

// next returns the services of which one is to rise next: those that have not had
// a peak yet, or else the one whose peak is the longest ago.
func (r *rotation) next(all []load) []string {
	var never []string
	longest := ""
	for _, l := range all {
		at, ok := r.rises[l.service]
		switch {
		case l.service == r.peak:
		case !ok:
			never = append(never, l.service)
		case longest == "" || at.Before(r.rises[longest]):
			longest = l.service
		}
	}
	if len(never) > 0 || longest == "" {
		return never
	}
	return []string{longest}
}

// expect returns the cores that services are to have hosts for as their turn comes
// or rises: the service at its peak, and the next one. Where that may be one of
// several, each gets its part.
func (r *rotation) expect(now time.Time, all []load) map[string]float64 {
	if !r.regular || r.astray || r.centre.IsZero() {
		return nil
	}
	cores := map[string]float64{r.peak: r.rising(now, r.centre.Add(r.gap))}
	l := r.next(all)
	for _, s := range l {
		cores[s] = r.rising(now, r.centre.Add(2*r.gap)) / float64(len(l))
	}
	return cores
}

// rising returns what is to come in about when a host that is ordered now takes
// tasks, of a turn with the centre, while it rises.
func (r *rotation) rising(now, centre time.Time) float64 {
	if !now.Before(centre) {
		return 0
	}
	half := int64(len(r.profile) / 2)
	middle := half + min(0, stepOf(now.Add(aheadOf))-stepOf(centre))
	sum := 0
	for i := middle - smoothSteps; i <= middle+smoothSteps; i++ {
		if i >= 0 && i < int64(len(r.profile)) {
			sum += r.profile[i]
		}
	}
	return float64(sum) / (2*smoothSteps + 1)
}

// loads returns what comes in at the time for each service that has had work.
func (c *Core) loads(at time.Time) []load {
	var l []load
	for _, s := range c.config.Services {
		if a := c.balance.arrivals[s.Name]; a != nil && !s.Spare {
			l = append(l, load{service: s.Name, cores: a.long.value(at), jobs: a.jobs(at), past: &a.past})
		}
	}
	return l
}

// learnRotation takes in what comes in now, and returns the cores that services
// are to have hosts for ahead of their peak.
func (c *Core) learnRotation() map[string]float64 {
	r := &c.balance.rotation
	l := c.loads(c.now)
	if r.observe(c.now, l) {
		c.do(Note{What: "load rotates", Inputs: []any{
			"peak", r.peak, "gap_ms", r.gap.Milliseconds(), "regular", r.regular, "astray", r.astray,
			"centre_ms_ago", c.now.Sub(r.centre).Milliseconds(), "profile", fmt.Sprint(r.profile),
		}})
	}
	return r.expect(c.now, l)
}
