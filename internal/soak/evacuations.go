package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"amberway/internal/standin/fleet"
)

// Parameters of evacuations.
const (
	// evacuationWithin is how long after its acceptance an evacuation may take to be in force.
	evacuationWithin = 5 * time.Second
	// evacuationInterval is the mean time between two evacuations, which last minEvacuation to
	// maxEvacuation: longer than evacuationWithin, and so that some overlap. A share of them is
	// withdrawn within briefEvacuation.
	evacuationInterval = 3 * time.Second
	minEvacuation      = 7 * time.Second
	maxEvacuation      = 14 * time.Second
	briefEvacuation    = 100 * time.Millisecond
	briefShare         = 0.2
	// thawTime is how long after its freeze an entry host may still send orders from before it.
	thawTime = time.Second
)

// evacuations returns evacuations of data centres until the given time.
func evacuations(r *rand.Rand, until time.Duration) []Event {
	var l []Event
	for at := time.Second; at < until; at += time.Duration(r.ExpFloat64() * float64(evacuationInterval)) {
		d := randomDuration(r, minEvacuation, maxEvacuation)
		if r.Float64() < briefShare {
			d = randomDuration(r, 0, briefEvacuation)
		}
		l = append(l, Event{At: at, Kind: Evacuation, Entry: r.IntN(fleet.DataCentres), Duration: d})
	}
	return l
}

// evacuate has the operator evacuate a data centre for a time.
func (r *Run) evacuate(e Event) {
	d := fleet.DataCentre(e.Entry)
	r.recordError(r.deployment.Fleet.Evacuate(d))
	time.Sleep(min(e.Duration, time.Until(r.settledAt)-settleTime))
	r.deployment.Fleet.WithdrawEvacuation(d)
}

// noteThaw records that the process of an entry host goes on after a freeze.
func (r *Run) noteThaw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.thaws = append(r.thaws, time.Now())
}

// checkEvacuated reports the tasks that were started in a data centre after its evacuation had
// to be in force. Orders that were carried out late, or sent by a process that had just been
// frozen, may have been given before.
func (r *Run) checkEvacuated() {
	for _, s := range r.deployment.Fleet.Checker.EvacuatedStarts(evacuationWithin) {
		if !s.Delayed && !r.justThawed(s.StartedAt) {
			r.violationf("%s started on %s %s after the evacuation of its data centre", s.Task, s.Worker, s.EvacuatedFor)
		}
	}
	r.counts["evacuations"] = r.deployment.Fleet.Checker.EvacuationCount()
}

func (r *Run) justThawed(at time.Time) bool {
	for _, t := range r.thaws {
		if d := at.Sub(t); d >= 0 && d < thawTime {
			return true
		}
	}
	return false
}

// evacuationString describes an evacuation on one line.
func (e Event) evacuationString() string {
	return fmt.Sprintf("%6.2fs %-9s %s for %s", e.At.Seconds(), e.Kind, fleet.DataCentre(e.Entry), e.Duration)
}
