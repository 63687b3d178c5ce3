package job

import (
	"encoding/json"
	"fmt"
	"time"

	"amberway/platform"
)

// Figures of learning how the peak of the load goes round.
const (
	// peakShare is the part of all load from which on one service is at its peak:
	// more than all others together.
	peakShare = 0.5
	// peakJobs is the fewest jobs, of the last arrivalWindow, that make a peak: one
	// or two large ones are chance.
	peakJobs = 3
	// leastGap is the shortest time between two peaks that is taken for a pattern.
	// Hosts take 1.7 s to move there and as long to move back.
	leastGap = 2 * moveTakes
	// gapTolerance is the part of a gap by which two gaps may differ and still be
	// the same pattern, and for which hosts wait for a peak that is overdue.
	gapTolerance = 0.25
	// risesBefore is how long before a service carries most of the load it has
	// begun to rise, so that hosts are to be there by then.
	risesBefore = time.Second
	// earlyAfter is how long after a rise the load is taken down that the next one
	// is to be prepared for: hosts that are ordered at the rise itself take tasks
	// by then.
	earlyAfter = 2 * time.Second
)

// rotationKey holds the Rotation that an owner has learned, for the next owner.
const rotationKey = "owner/rotation"

// load is what comes in for one service now.
type load struct {
	service string
	// cores is the work that comes in, jobs how many jobs of late brought it.
	cores, jobs float64
}

// Rotation is what has been learned of a load whose peak goes from one service to
// the next at regular gaps. The zero Rotation has learned nothing and expects
// nothing, and neither does one whose gaps differ.
type Rotation struct {
	// Peak is the service that has carried most of the load since RisenAt.
	Peak    string    `json:"p,omitempty"`
	RisenAt time.Time `json:"a,omitzero"`
	// Rises says when each service last rose to the peak.
	Rises map[string]time.Time `json:"r,omitempty"`
	// Gap is the time between two rises; Regular says that the last ones agree.
	Gap     time.Duration `json:"g,omitempty"`
	Regular bool          `json:"s,omitempty"`
	// Astray says that the last rise was not where it was expected.
	Astray bool `json:"m,omitempty"`
	// EarlyCores is the load soon after a rise, as the last rises had it.
	EarlyCores float64 `json:"e,omitempty"`
	// earlyAt is when the load of the present peak is to be taken down.
	earlyAt time.Time
}

// observe takes in what comes in now. It reports whether it has learned something
// that a next owner should know.
func (r *Rotation) observe(now time.Time, all []load) bool {
	total := 0.0
	for _, l := range all {
		total += l.cores
	}
	learned := false
	for _, l := range all {
		if l.service == r.Peak {
			learned = r.takeEarly(now, l.cores) || learned
		} else if l.cores > peakShare*total && l.jobs >= peakJobs {
			r.rise(now, l.service, all)
			learned = true
		}
	}
	return learned
}

// takeEarly takes down the load soon after a rise.
func (r *Rotation) takeEarly(now time.Time, cores float64) bool {
	if r.earlyAt.IsZero() || now.Before(r.earlyAt) {
		return false
	}
	r.earlyAt = time.Time{}
	if r.EarlyCores > 0 {
		cores = (r.EarlyCores + cores) / 2
	}
	r.EarlyCores = cores
	return true
}

// rise notes that a service has come to its peak.
func (r *Rotation) rise(now time.Time, service string, all []load) {
	gap := now.Sub(r.RisenAt)
	if !r.RisenAt.IsZero() && gap >= leastGap {
		r.Astray = !r.mayFollow(service, all)
		r.takeGap(gap)
	}
	if r.Rises == nil {
		r.Rises = map[string]time.Time{}
	}
	r.Rises[service] = now
	r.Peak = service
	r.RisenAt = now
	r.earlyAt = now.Add(earlyAfter)
}

func (r *Rotation) takeGap(gap time.Duration) {
	if r.Gap == 0 {
		r.Gap = gap
		r.Regular = true
		return
	}
	r.Regular = (gap - r.Gap).Abs() <= time.Duration(gapTolerance*float64(r.Gap))
	if r.Regular {
		gap = (r.Gap + gap) / 2
	}
	r.Gap = gap
}

// next returns the services of which one is to rise next: those that have not had
// a peak yet, or else the one whose peak is the longest ago.
func (r *Rotation) next(all []load) []string {
	var never []string
	longest := ""
	for _, l := range all {
		at, ok := r.Rises[l.service]
		switch {
		case !ok:
			never = append(never, l.service)
		case l.service == r.Peak:
		case longest == "" || at.Before(r.Rises[longest]):
			longest = l.service
		}
	}
	if len(never) > 0 || longest == "" {
		return never
	}
	return []string{longest}
}

func (r *Rotation) mayFollow(service string, all []load) bool {
	for _, s := range r.next(all) {
		if s == service {
			return true
		}
	}
	return false
}

// expect returns the cores that each service is to have hosts for, since its peak
// is about to come. Where it may be one of several, each gets its part.
func (r *Rotation) expect(now time.Time, all []load) map[string]float64 {
	if !r.Regular || r.Astray {
		return nil
	}
	due := r.RisenAt.Add(r.Gap)
	late := time.Duration(gapTolerance * float64(r.Gap))
	if now.Before(due.Add(-risesBefore-moveTakes)) || now.After(due.Add(late)) {
		return nil
	}
	l := r.next(all)
	cores := make(map[string]float64, len(l))
	for _, s := range l {
		cores[s] = r.EarlyCores / float64(len(l))
	}
	return cores
}

// put returns the entry by which the next owner learns of it.
func (r *Rotation) put() (platform.Put, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return platform.Put{}, fmt.Errorf("job: rotation of the load: %w", err)
	}
	return platform.Put{Key: rotationKey, Value: b}, nil
}

func decodeRotation(e platform.Entry) (Rotation, error) {
	var r Rotation
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return Rotation{}, fmt.Errorf("job: %s: %w", e.Key, err)
	}
	return r, nil
}

// loads returns what comes in now for each service that has had work.
func (c *Core) loads() []load {
	var l []load
	for _, s := range c.config.Services {
		if a := c.balance.arrivals[s.Name]; a != nil && !s.Spare {
			l = append(l, load{service: s.Name, cores: a.long.value(c.now), jobs: a.jobs(c.now)})
		}
	}
	return l
}

// learnRotation takes in what comes in now, and returns the cores that services
// are to have hosts for ahead of their peak.
func (c *Core) learnRotation() map[string]float64 {
	r := &c.balance.rotation
	l := c.loads()
	if r.observe(c.now, l) {
		c.do(Note{What: "load rotates", Inputs: []any{
			"peak", r.Peak, "gap_ms", r.Gap.Milliseconds(), "regular", r.Regular, "astray", r.Astray, "early_cores", int(r.EarlyCores),
		}})
		p, err := r.put()
		if err != nil {
			c.do(Note{What: "rotation not encoded", Why: err.Error()})
		} else {
			c.write([]platform.Put{p}, nil)
		}
	}
	return r.expect(c.now, l)
}
